//! What this host and the others say to each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::quorum::HEARTBEAT;
use flamingopost_core::term::Term;

use super::{Election, Probe, RECENT_CONTACT, target};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{EndedTerm, LedTerm, LogReport, Message, Payload, Sample, Server};
use crate::platform::Platform;
use crate::service::{Meant, Service};

/// For how long hosts tell each other of a change of primary: datagrams are lost, and a host that
/// has heard nothing of it for so long has no lease either.
const PROPAGATION_WINDOW: Duration = Duration::from_millis(1_000);

/// Changes that one message tells of: it has to fit into a datagram. What is left out is told with
/// the next one, as those before it come of age.
const MAX_ENDED_TERMS: usize = 12;

/// Services whose samples one message asks for or holds, which has to fit into a datagram.
const MAX_SAMPLES: usize = 16;

/// Logs that one message tells of, which has to fit into a datagram.
const MAX_LOG_REPORTS: usize = 8;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Answers what other hosts ask and takes in what they tell, for ever.
    ///
    /// # Errors
    /// The socket is unusable.
    pub async fn listen(self: Rc<Self>) -> std::io::Result<()> {
        loop {
            let (message, from) = self.socket.receive().await?;
            self.handle(message, from);
        }
    }

    /// Keeps in contact with the other hosts, for ever.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut interval = tokio::time::interval(HEARTBEAT);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            // A host that has just started is in touch with nobody until its first question is
            // answered, and refuses writes meanwhile.
            tokio::select! {
                _ = interval.tick() => {}
                () = self.fleet.contact_due.notified() => {}
            }
            self.fleet.check_feeds();
            let now = self.site.now();
            let with_most = self.has_quorum();
            self.rewrite_claims();
            let beat = self.heartbeat(now);
            let looks = self.needs_log_reports(with_most, now);
            for (_, peer) in self.fleet.electors() {
                self.send_message(String::new(), beat.clone(), peer.address);
                if looks {
                    self.send_message(String::new(), Payload::LogQuery, peer.address);
                }
            }
            if !with_most {
                self.check_claims_in_store();
            }
        }
    }

    /// Whether this host is in touch with most others.
    fn has_quorum(&self) -> bool {
        self.fleet
            .with_quorum(|quorum, now| quorum.holds_lease(now))
    }

    /// A heartbeat of this host at `now`.
    pub(super) fn heartbeat(&self, now: Duration) -> Payload {
        Payload::Heartbeat {
            sent: micros(now),
            out_of_touch: self.quorum_age_ms(now),
            epoch: self.newest_known_epoch().0,
            sample_requests: self.sample_requests(),
            ended_terms: self.recent_ended_terms(PROPAGATION_WINDOW),
        }
    }

    /// For how many milliseconds this host may have missed what the others heard.
    fn quorum_age_ms(&self, now: Duration) -> u32 {
        let with_most = self.has_quorum();
        self.log_lease_change(with_most, now);
        if with_most {
            self.last_quorum_at.set(Some(now));
        }
        let since = self.last_quorum_at.get().map(|at| now.saturating_sub(at));
        let millis = since.and_then(|since| u32::try_from(since.as_millis()).ok());
        millis.unwrap_or(u32::MAX)
    }

    /// Whether this host asks the others how far logs reach: it may have missed that.
    ///
    /// Guards against a primary that has started again without its log, on a host that has just
    /// started or was cut off: it knows of nothing that the primary lacks, and wrote to it for 350 ms
    /// beside hosts that did not believe it. What it had acknowledged was rolled back.
    fn needs_log_reports(&self, with_most: bool, now: Duration) -> bool {
        if self.servers_known_since.get().is_none() && self.fleet.is_known() {
            self.servers_known_since.set(Some(now));
        }
        let is_new = self
            .servers_known_since
            .get()
            .is_none_or(|known| now < known + PROPAGATION_WINDOW);
        let (_, since) = self.lease_state.get();
        is_new || !with_most || now < since + PROPAGATION_WINDOW
    }

    /// Tells `to` how far this host has seen logs reach.
    fn send_logs(&self, to: SocketAddr) {
        let services = self.fleet.services();
        let logs = services.iter().filter(|service| service.furthest().log > 0);
        let logs: Vec<LogReport> = logs
            .map(|service| LogReport {
                service: service.name.clone(),
                furthest: service.furthest().into(),
                term_start: service.newest_term_start(),
                doubted: service.doubted_servers(),
                led: self.led_terms(service),
            })
            .collect();
        for logs in logs.chunks(MAX_LOG_REPORTS) {
            let logs = logs.to_vec();
            self.send_message(String::new(), Payload::LogReply { logs }, to);
        }
    }

    /// Servers of `service` that were seen to lead.
    fn led_terms(&self, service: &Rc<Service<C>>) -> Vec<LedTerm> {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return Vec::new();
        };
        let succession = succession.borrow();
        let led = succession.led().iter();
        led.filter_map(|(server, term)| Some(LedTerm::new(service.named(*server)?, *term)))
            .collect()
    }

    /// Another host has seen servers of `service` lead.
    fn apply_led_terms(&self, service: &Rc<Service<C>>, led: &[LedTerm]) {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return;
        };
        for it in led {
            if let Meant::Listed(server) = service.meant(&it.server) {
                succession.borrow_mut().told_led(server, it.term());
            }
        }
    }

    /// Another host has seen logs reach so far.
    fn apply_logs(&self, logs: &[LogReport]) {
        for log in logs {
            if let Some(service) = self.fleet.find_service(&log.service) {
                service.told(log.furthest.into());
                log.term_start.iter().for_each(|it| service.term_began(it));
                log.doubted
                    .iter()
                    .for_each(|it| service.doubted_elsewhere(it));
                self.apply_led_terms(&service, &log.led);
            }
        }
    }

    /// For how many milliseconds this host has been in touch with most others without a break.
    fn quorum_held_ms(&self) -> u32 {
        let now = self.site.now();
        let (holds, since) = self.lease_state.get();
        let lasts = now.saturating_sub(since).as_millis();
        match holds && self.has_quorum() {
            true => u32::try_from(lasts).unwrap_or(u32::MAX),
            false => 0,
        }
    }

    /// Logs that this host has lost its lease, or has it back.
    fn log_lease_change(&self, holds: bool, now: Duration) {
        let (held, since) = self.lease_state.get();
        if held == holds {
            return;
        }
        self.lease_state.set((holds, now));
        let (heard, hosts) = self
            .fleet
            .with_quorum(|quorum, now| (quorum.in_touch(now).len(), quorum.hosts()));
        self.site.log(&Event::Lease {
            outcome: if holds { "back" } else { "lost" },
            millis: now.saturating_sub(since).as_millis(),
            heard,
            hosts,
        });
    }

    /// Services whose reads wait for a sample of how far the primary is.
    fn sample_requests(&self) -> Vec<String> {
        let services = self.fleet.services();
        let lacking = services.iter().filter(|service| service.lacks_sample.get());
        let names = lacking.map(|service| service.name.clone());
        names.take(MAX_SAMPLES).collect()
    }

    /// This host's newest samples of the primaries of `services`.
    fn samples(&self, services: &[String]) -> Vec<Sample> {
        let sample = |name: &String| {
            let (position, age) = self.fleet.find_service(name)?.newest_sample()?;
            Some(Sample {
                service: name.clone(),
                position: position.into(),
                age: u32::try_from(age.as_millis() + 1).ok()?,
            })
        };
        services
            .iter()
            .take(MAX_SAMPLES)
            .filter_map(sample)
            .collect()
    }

    /// Another host has answered what was sent at `sent`: a primary that it asked some time before it
    /// answered, it asked no earlier than that long before `sent`.
    fn apply_samples(&self, samples: &[Sample], sent: Duration) {
        let sent = sent.min(self.site.now());
        for sample in samples {
            if let Some(service) = self.fleet.find_service(&sample.service) {
                let age = Duration::from_millis(u64::from(sample.age));
                service.told_sample(sample.position.into(), sent.saturating_sub(age));
            }
        }
    }

    /// Changes of primaries that this host has heard of within `age`.
    ///
    /// An order is announced by one datagram to each host, which may be lost, and a host that was
    /// cut off meanwhile hears none. What keeps a lease alive tells of the change as well.
    fn recent_ended_terms(&self, age: Duration) -> Vec<EndedTerm> {
        let services = self.fleet.services();
        let ended = services.iter().filter_map(|service| service.ended(age));
        ended.take(MAX_ENDED_TERMS).collect()
    }

    /// Another host tells that a primary is replaced.
    fn apply_ended_term(&self, host: &str, ended: &EndedTerm) {
        let Some(service) = self.fleet.find_service(&ended.service) else {
            return;
        };
        if !service.end_term(ended) {
            return;
        }
        self.record_peer_change(&service.name, ended.term().number().unsigned_abs());
        self.site.log(&Event::OtherActs {
            service: service.name.clone(),
            host: host.to_owned(),
        });
        if let Some(succession) = self.services.borrow().get(&service.name) {
            succession.borrow_mut().other_acts(self.site.now());
        }
    }

    /// Asks the store which primaries are being replaced; with most hosts silent, only it can
    /// tell that this host is not the one that is cut off.
    fn check_claims_in_store(self: &Rc<Self>) {
        if self.is_reading_claims.replace(true) {
            return;
        }
        let election = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let sent = election.site.now();
            let claims = election.read_claims().await;
            election.is_reading_claims.set(false);
            let Some(claims) = claims else {
                return;
            };
            // A restored store may lack a claim that is being acted on.
            let fleet = &election.fleet;
            if !fleet.with_epochs(|epochs, now| epochs.knows_claims(now)) {
                return;
            }
            for service in election.fleet.services() {
                let attempt = service.term().number().unsigned_abs();
                if !claims.contains(&(service.name.clone(), attempt)) {
                    service.unclaimed(sent);
                }
            }
        });
    }

    fn handle(self: &Rc<Self>, message: Message, from: SocketAddr) {
        if let Some(host) = self.fleet.peer(&message.host) {
            self.fleet
                .with_quorum(|quorum, now| quorum.heard(host, now));
            match message.payload {
                Payload::Heartbeat {
                    sent,
                    out_of_touch,
                    epoch,
                    sample_requests,
                    ended_terms,
                } => {
                    self.fleet.record_peer_epoch(host, Epoch(epoch));
                    let missed =
                        Duration::from_millis(u64::from(out_of_touch)) + PROPAGATION_WINDOW;
                    let echo = Payload::HeartbeatAck {
                        sent,
                        progress: self.fleet.feed_progress(),
                        in_touch: self.quorum_held_ms(),
                        ended_terms: self.recent_ended_terms(missed),
                        samples: self.samples(&sample_requests),
                    };
                    self.send_message(String::new(), echo, from);
                    ended_terms
                        .iter()
                        .for_each(|it| self.apply_ended_term(&message.host, it));
                    return;
                }
                Payload::HeartbeatAck {
                    sent,
                    progress,
                    in_touch,
                    ended_terms,
                    samples,
                } => {
                    self.fleet.record_peer_epoch(host, Epoch(progress.epoch));
                    self.fleet.record_peer_progress(progress);
                    // Before the answer prolongs the lease.
                    ended_terms
                        .iter()
                        .for_each(|it| self.apply_ended_term(&message.host, it));
                    self.peer_knows_orders(Duration::from_millis(u64::from(in_touch)));
                    let sent = Duration::from_micros(sent);
                    self.fleet
                        .with_quorum(|quorum, _| quorum.answered(host, sent));
                    self.apply_samples(&samples, sent);
                    return;
                }
                _ => {}
            }
        }
        match &message.payload {
            Payload::LogQuery => return self.send_logs(from),
            Payload::LogReply { logs } => return self.apply_logs(logs),
            _ => {}
        }
        let Some(service) = self.fleet.find_service(&message.service) else {
            return;
        };
        let succession = self.services.borrow().get(&service.name).cloned();
        match message.payload {
            // From a host that is not listed yet.
            Payload::Heartbeat { .. } | Payload::HeartbeatAck { .. } => {}
            // They are about no service.
            Payload::LogQuery | Payload::LogReply { .. } => {}
            Payload::ReachabilityQuery { server, furthest } => {
                service.told(furthest.into());
                let election = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    election.answer_reachability(service, server, from).await;
                });
            }
            Payload::ReachabilityReply {
                server,
                furthest,
                reaches,
            } => {
                service.told(furthest.into());
                let host = self.fleet.peer(&message.host);
                if let (Some(succession), Some(host)) = (succession, host)
                    && is_about_leader(&service, server.as_ref())
                {
                    let opinion = Payload::opinion(reaches);
                    succession.borrow_mut().opinion(host, opinion);
                    service.alarm.notify_one();
                }
            }
            Payload::ConnectionShortage { server } => {
                if let Meant::Listed(server) = service.meant(&server) {
                    service.squeeze(server);
                }
            }
            Payload::PrimaryObserved { server, term, took } => {
                if let Some(took) = took {
                    self.site
                        .record_promotion_time(Duration::from_millis(u64::from(took)));
                }
                service.seen_to_lead(&server, Term::from_number(term));
            }
            Payload::PromotionStarted { ended_term } => {
                self.apply_ended_term(&message.host, &ended_term)
            }
        }
    }

    /// Tells whether this host reaches `server`, which it tries first.
    async fn answer_reachability(
        &self,
        service: Rc<Service<C>>,
        server: Option<Server>,
        from: SocketAddr,
    ) {
        let meant = match &server {
            Some(server) => service.meant(server),
            None => service.leader().map_or(Meant::Unknown, Meant::Listed),
        };
        let reaches = match meant {
            Meant::Listed(key) => self.reaches(&service, key).await,
            // A former start is over, whoever answers at its address now.
            Meant::Former | Meant::Unknown => false,
            // Of a start that is not listed here yet, nothing can be said.
            Meant::Newer => return,
        };
        let payload = Payload::ReachabilityReply {
            server,
            furthest: service.furthest().into(),
            reaches,
        };
        self.send(&service, payload, from);
    }

    /// Whether this host reaches a server, and believes that it has the service's log.
    async fn reaches(&self, service: &Rc<Service<C>>, server: ServerKey) -> bool {
        let Some(target) = target(service, server) else {
            return false;
        };
        match self.query_status(service, &target).await {
            Probe::Status(_) => !service.is_doubted(server),
            Probe::Alive => true,
            Probe::Refused => false,
            // Too busy to answer a question in time, it may still answer statements.
            Probe::Silent => {
                let now = self.site.now();
                let contact = service.contact(server).unwrap_or_default();
                contact.age(now).is_some_and(|age| age < RECENT_CONTACT)
            }
        }
    }

    /// Tells the other hosts of which servers this one lacks connections.
    pub(super) fn send_shortages(&self, service: &Rc<Service<C>>) {
        let short = service.take_short();
        for server in short.into_iter().filter_map(|it| service.named(it)) {
            for (_, peer) in self.fleet.peers() {
                let server = server.clone();
                self.send(
                    service,
                    Payload::ConnectionShortage { server },
                    peer.address,
                );
            }
        }
    }

    pub(super) fn send(&self, service: &Rc<Service<C>>, payload: Payload, to: SocketAddr) {
        self.send_message(service.name.clone(), payload, to);
    }

    pub(super) fn send_message(&self, service: String, payload: Payload, to: SocketAddr) {
        let host = self.site.host.clone();
        let message = Message {
            host,
            service,
            payload,
        };
        self.socket.send(&message, to);
    }
}

/// Whether `server`, of which another host tells, is the one that leads as far as this host knows;
/// none is named where nobody does.
fn is_about_leader<C: Codec>(service: &Rc<Service<C>>, server: Option<&Server>) -> bool {
    match (server.map(|server| service.meant(server)), service.leader()) {
        (Some(Meant::Listed(server)), Some(leader)) => server == leader,
        (None, None) => true,
        _ => false,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
