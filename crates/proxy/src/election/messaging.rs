//! Messages between this host and the other entry hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::quorum::{HEARTBEAT_INTERVAL, STORE_RENEWAL_INTERVAL};
use flamingopost_core::term::Term;

use super::Election;
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{EndedTerm, LedTerm, LogReport, Message, Payload, Sample, Server, micros};
use crate::platform::Platform;
use crate::service::{ResolvedServer, Service};

/// How long hosts repeat the notification of a change of primary. Datagrams are lost, and a host
/// that received none of them for this long has lost its lease as well.
const PROPAGATION_WINDOW: Duration = Duration::from_millis(1_000);

/// Maximum number of changes in one message, which has to fit into a datagram. The remaining ones
/// follow in later messages, when earlier changes have expired.
const MAX_ENDED_TERMS: usize = 12;

/// Maximum number of services whose samples one message requests or contains, which has to fit into
/// a datagram.
const MAX_SAMPLES: usize = 16;

/// Maximum number of log reports in one message, which has to fit into a datagram.
const MAX_LOG_REPORTS: usize = 8;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Receives messages from other hosts and handles them, forever.
    ///
    /// # Errors
    /// Returns an error if the socket is unusable.
    pub async fn listen(self: Rc<Self>) -> std::io::Result<()> {
        loop {
            let (message, from) = self.socket.receive().await?;
            self.handle(message, from);
        }
    }

    /// Sends heartbeats to the other hosts, forever.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            // A host that has just started has no quorum until its first heartbeat is
            // acknowledged, and refuses writes until then.
            tokio::select! {
                _ = interval.tick() => {}
                () = self.fleet.contact_due.notified() => {}
            }
            self.fleet.check_feeds();
            let now = self.site.now();
            let has_quorum = self.has_quorum();
            self.rewrite_claims();
            self.claim_ordered_changes();
            self.record_claims_verified_if_due();
            let beat = self.heartbeat(now);
            let needs_logs = self.needs_log_reports(has_quorum, now);
            let reports_no_shares = self.reports_no_shares(now);
            for (_, peer) in self.fleet.electors().iter() {
                self.send_message(String::new(), beat.clone(), peer.address);
                if needs_logs {
                    self.send_message(String::new(), Payload::LogQuery, peer.address);
                }
                if reports_no_shares {
                    self.send_message(String::new(), Payload::NoShares, peer.address);
                }
            }
            if !has_quorum {
                self.check_claims_in_store();
            }
        }
    }

    /// Reports whether this host is in contact with a majority of hosts.
    pub(super) fn has_quorum(&self) -> bool {
        self.fleet
            .with_quorum(|quorum, now| quorum.holds_lease(now))
    }

    /// Builds a heartbeat of this host at `now`.
    pub(super) fn heartbeat(&self, now: Duration) -> Payload {
        Payload::Heartbeat {
            sent: micros(now),
            out_of_touch: self.quorum_age_ms(now),
            epoch: self.newest_known_epoch().0,
            sample_requests: self.sample_requests(),
            ended_terms: self.recent_ended_terms(PROPAGATION_WINDOW),
        }
    }

    /// Returns for how many milliseconds this host may have missed notifications, because it was
    /// not in contact with a majority.
    fn quorum_age_ms(&self, now: Duration) -> u32 {
        let has_quorum = self.has_quorum();
        self.log_lease_change(has_quorum, now);
        if has_quorum {
            self.last_quorum_at.set(Some(now));
        }
        let since = self.last_quorum_at.get().map(|at| now.saturating_sub(at));
        let millis = since.and_then(|since| u32::try_from(since.as_millis()).ok());
        millis.unwrap_or(u32::MAX)
    }

    /// Reports whether this host has to ask the others how far logs reach, because it may have
    /// missed that.
    ///
    /// Guards against a primary that restarted without its log, on a host that has just started or
    /// was partitioned. Such a host does not know what the primary lacks: one wrote to it for 350
    /// ms while other hosts did not trust it, and the acknowledged writes were rolled back.
    fn needs_log_reports(&self, has_quorum: bool, now: Duration) -> bool {
        if self.servers_known_since.get().is_none() && self.fleet.is_known() {
            self.servers_known_since.set(Some(now));
        }
        let is_new = self
            .servers_known_since
            .get()
            .is_none_or(|known| now < known + PROPAGATION_WINDOW);
        let (_, since) = self.lease_state.get();
        is_new || !has_quorum || now < since + PROPAGATION_WINDOW
    }

    /// Sends `to` how far this host has seen the logs of services reach.
    fn send_logs(&self, to: SocketAddr) {
        let services = self.fleet.services();
        // A host that knows from the store alone that there were writes may have found a primary
        // empty.
        let logs = services.iter().filter(|service| {
            service.has_seen_entries() || service.is_written() && !service.distrusted().is_empty()
        });
        let logs: Vec<LogReport> = logs
            .map(|service| LogReport {
                service: service.name.clone(),
                furthest: service.furthest_position().into(),
                term_start: service.newest_term_start(),
                doubted: service.distrusted_servers(),
                led: self.led_terms(service),
            })
            .collect();
        for logs in logs.chunks(MAX_LOG_REPORTS) {
            let logs = logs.to_vec();
            self.send_message(String::new(), Payload::LogReply { logs }, to);
        }
    }

    /// Returns the servers of `service` that were seen to lead, with their terms.
    fn led_terms(&self, service: &Rc<Service<C>>) -> Vec<LedTerm> {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return Vec::new();
        };
        let succession = succession.borrow();
        let led = succession.known_leaders().iter();
        led.filter_map(|(server, term)| Some(LedTerm::new(service.to_peer_server(*server)?, *term)))
            .collect()
    }

    /// Records the terms that another host has seen servers of `service` lead.
    fn apply_led_terms(&self, service: &Rc<Service<C>>, led: &[LedTerm]) {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return;
        };
        for it in led {
            if let ResolvedServer::Listed(server) = service.resolve_server(&it.server) {
                succession.borrow_mut().record_leader(server, it.term());
            }
        }
    }

    /// Records how far another host has seen logs reach.
    fn apply_logs(&self, logs: &[LogReport]) {
        for log in logs {
            if let Some(service) = self.fleet.find_service(&log.service) {
                service.record_peer_position(log.furthest.into());
                // A report without a position is sent only if there were writes.
                service.apply_store_record(true);
                log.term_start
                    .iter()
                    .for_each(|it| service.record_term_start(it));
                log.doubted
                    .iter()
                    .for_each(|it| service.record_peer_distrust(it));
                self.apply_led_terms(&service, &log.led);
            }
        }
    }

    /// Returns for how many milliseconds this host has been in contact with a majority without a
    /// break, or 0 if it does not know itself which orders were given before.
    fn quorum_held_ms(&self) -> u32 {
        let millis = self.quorum_held().as_millis();
        u32::try_from(millis).unwrap_or(u32::MAX)
    }

    /// Reports whether this host has known for `time` which orders were given.
    pub(super) fn has_known_orders_for(&self, time: Duration) -> bool {
        self.quorum_held() >= time
    }

    fn quorum_held(&self) -> Duration {
        let (holds, since) = self.lease_state.get();
        match holds && self.has_quorum() && self.knows_prior_orders() {
            true => self.site.now().saturating_sub(since),
            false => Duration::ZERO,
        }
    }

    /// Reports whether this host knows for each service whether its primary was replaced before this
    /// host started.
    fn knows_prior_orders(&self) -> bool {
        let services = self.fleet.services();
        !services.is_empty() && services.iter().all(|it| it.knows_prior_orders())
    }

    /// Logs that this host has lost or regained its lease.
    fn log_lease_change(&self, holds: bool, now: Duration) {
        let (held_before, since) = self.lease_state.get();
        if held_before == holds {
            return;
        }
        self.lease_state.set((holds, now));
        let (heard, hosts) = self
            .fleet
            .with_quorum(|quorum, now| (quorum.recently_heard(now).len(), quorum.host_count()));
        self.site.log(&Event::Lease {
            outcome: if holds { "back" } else { "lost" },
            millis: now.saturating_sub(since).as_millis(),
            heard,
            hosts,
        });
    }

    /// Returns the services whose reads wait for a sample of the primary's replication position.
    fn sample_requests(&self) -> Vec<String> {
        let services = self.fleet.services();
        let lacking = services.iter().filter(|service| service.lacks_sample.get());
        let names = lacking.map(|service| service.name.clone());
        names.take(MAX_SAMPLES).collect()
    }

    /// Returns this host's newest samples of the primaries of `services`.
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

    /// Records samples from a host that answered the message sent at `sent`. A sample's age counts
    /// back from the answer, which came no earlier than `sent`, so the primary was queried no
    /// earlier than that age before `sent`.
    fn apply_samples(&self, samples: &[Sample], sent: Duration) {
        let sent = sent.min(self.site.now());
        for sample in samples {
            if let Some(service) = self.fleet.find_service(&sample.service) {
                let age = Duration::from_millis(u64::from(sample.age));
                service.record_peer_sample(sample.position.into(), sent.saturating_sub(age));
            }
        }
    }

    /// Returns the changes of primaries that this host has learned of within `age`.
    ///
    /// An order is announced to each host by a single datagram, which may be lost or miss a host
    /// that is partitioned. So the messages that keep a lease alive carry the change as well.
    fn recent_ended_terms(&self, age: Duration) -> Vec<EndedTerm> {
        let services = self.fleet.services();
        let ended = services
            .iter()
            .filter_map(|service| service.recent_replacement(age));
        ended.take(MAX_ENDED_TERMS).collect()
    }

    /// Records that another host reports a primary as replaced.
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
            succession.borrow_mut().defer_to_peer(self.site.now());
        }
    }

    /// Asks the store which primaries are being replaced. While most hosts are silent, only the
    /// store can show that this host is not the partitioned one.
    fn check_claims_in_store(self: &Rc<Self>) {
        let now = self.site.now();
        let read_at = self.claims_read_at.get();
        let is_recent = read_at.is_some_and(|at| now < at + STORE_RENEWAL_INTERVAL);
        if is_recent || self.is_reading_claims.replace(true) {
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
            // A restored store may lack a claim that is being acted on, for good if no host that
            // made one has run since.
            let fleet = &election.fleet;
            let is_verified = election.claims_verified_in.get() >= election.epoch();
            let is_complete = fleet.with_epochs(|epochs, now| {
                epochs.are_claims_complete(now) && (is_verified || epochs.restored_at().is_some())
            });
            if !is_complete {
                return;
            }
            let mut is_every_lease_extended = true;
            for service in election.fleet.services() {
                let attempt = service.newest_term().number().unsigned_abs();
                match claims.contains(&(service.name.clone(), attempt)) {
                    true => is_every_lease_extended = false,
                    false => service.record_no_claims(sent),
                }
            }
            if is_every_lease_extended {
                election.claims_read_at.set(Some(sent));
            }
        });
    }

    /// Handles one message. Any message from a listed host counts as contact with it. Heartbeats
    /// and acknowledgements from hosts that are not listed are ignored.
    fn handle(self: &Rc<Self>, message: Message, from: SocketAddr) {
        if let Some(host) = self.fleet.peer(&message.host) {
            self.fleet
                .with_quorum(|quorum, now| quorum.record_message(host, now));
            match message.payload {
                Payload::Heartbeat {
                    sent,
                    out_of_touch,
                    epoch,
                    sample_requests,
                    ended_terms,
                } => {
                    self.fleet.record_peer_epoch(host, Epoch(epoch));
                    self.fleet.record_heartbeat(host);
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
                    // Ended terms are applied before the acknowledgement extends the lease.
                    ended_terms
                        .iter()
                        .for_each(|it| self.apply_ended_term(&message.host, it));
                    self.peer_knows_orders(Duration::from_millis(u64::from(in_touch)));
                    let sent = Duration::from_micros(sent);
                    self.fleet
                        .with_quorum(|quorum, _| quorum.record_reply(host, sent));
                    self.apply_samples(&samples, sent);
                    return;
                }
                Payload::OperationRequest {
                    incarnation,
                    sent,
                    requests,
                } => {
                    let requests = requests
                        .iter()
                        .map(|it| (it.team.as_str(), it.request(incarnation, sent)));
                    return self.answer_requests(host, sent, requests, from);
                }
                Payload::OperationGrant { sent, grants } => {
                    return self.apply_grants(host, sent, &grants);
                }
                Payload::ZoneOperationRequest {
                    incarnation,
                    sent,
                    requests,
                } => {
                    let exchange = self.exchange();
                    return exchange.answer(host, (incarnation, sent), &requests);
                }
                Payload::ZoneOperationGrant { sent, grants } => {
                    return self.exchange().apply(host, sent, &grants);
                }
                Payload::NoShares => return self.fleet.record_no_shares(host),
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
            // Sent by a host that is not listed yet.
            Payload::Heartbeat { .. }
            | Payload::HeartbeatAck { .. }
            | Payload::OperationRequest { .. }
            | Payload::OperationGrant { .. }
            | Payload::ZoneOperationRequest { .. }
            | Payload::ZoneOperationGrant { .. }
            | Payload::NoShares => {}
            // Not specific to a service, and handled above.
            Payload::LogQuery | Payload::LogReply { .. } => {}
            Payload::ReachabilityQuery { server, furthest } => {
                service.record_peer_position(furthest.into());
                self.answer_reachability(service, server, from);
            }
            Payload::ReachabilityReply {
                server,
                furthest,
                reaches,
            } => {
                service.record_peer_position(furthest.into());
                let host = self.fleet.peer(&message.host);
                if let (Some(succession), Some(host)) = (succession, host)
                    && is_about_leader(&service, server.as_ref())
                {
                    let opinion = Payload::opinion(reaches);
                    succession.borrow_mut().record_opinion(host, opinion);
                    service.failover_notify.notify_one();
                }
            }
            Payload::ConnectionShortage { server } => {
                if let ResolvedServer::Listed(server) = service.resolve_server(&server) {
                    service.yield_connections(server);
                }
            }
            Payload::PrimaryObserved { server, term, took } => {
                if let Some(took) = took {
                    self.site
                        .record_promotion_time(Duration::from_millis(u64::from(took)));
                }
                service.record_peer_leader(&server, Term::from_number(term));
            }
            Payload::PromotionStarted { ended_term } => {
                self.apply_ended_term(&message.host, &ended_term)
            }
        }
    }

    /// Notifies the hosts that may have more than one connection to each server of those to which
    /// this host lacks connections.
    pub(super) fn send_shortages(&self, service: &Rc<Service<C>>) {
        let short = service.take_connection_shortages();
        for server in short
            .into_iter()
            .filter_map(|it| service.to_peer_server(it))
        {
            for address in self.fleet.connection_holders(&service.name).iter() {
                let server = server.clone();
                self.send(service, Payload::ConnectionShortage { server }, *address);
            }
        }
    }

    /// Sends a message about `service`.
    pub(super) fn send(&self, service: &Rc<Service<C>>, payload: Payload, to: SocketAddr) {
        self.send_message(service.name.clone(), payload, to);
    }

    /// Sends a message about the service named `service`, or about none if the name is empty.
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

/// Reports whether a report from another host about `server` concerns the primary known to this
/// host. No server is named if there is no primary.
fn is_about_leader<C: Codec>(service: &Rc<Service<C>>, server: Option<&Server>) -> bool {
    match (
        server.map(|server| service.resolve_server(server)),
        service.leader(),
    ) {
        (Some(ResolvedServer::Listed(server)), Some(leader)) => server == leader,
        (None, None) => true,
        _ => false,
    }
}
