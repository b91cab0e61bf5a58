//! What this host and the others say to each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::quorum::HEARTBEAT_INTERVAL;
use flamingopost_core::term::Term;

use super::{Election, FRESH, Probe, target};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{Ended, Led, Log, Message, Sample, Server, Word};
use crate::platform::Platform;
use crate::service::{Meant, Service};

/// For how long hosts tell each other of a change of primary: datagrams are lost, and a host that
/// has heard nothing of it for so long has no lease either.
const TELL: Duration = Duration::from_millis(1_000);

/// Changes that one message tells of: it has to fit into a datagram. What is left out is told with
/// the next one, as those before it come of age.
const ENDED_MOST: usize = 12;

/// Services whose samples one message asks for or holds, which has to fit into a datagram.
const SAMPLES_MOST: usize = 16;

/// Logs that one message tells of, which has to fit into a datagram.
const LOGS_MOST: usize = 8;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Answers what other hosts ask and takes in what they tell, for ever.
    ///
    /// # Errors
    /// The socket is unusable.
    pub async fn listen(self: Rc<Self>) -> std::io::Result<()> {
        loop {
            let (message, from) = self.socket.receive().await?;
            self.take(message, from);
        }
    }

    /// Keeps in contact with the other hosts, for ever.
    pub async fn keep_contact(self: Rc<Self>) {
        let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            // A host that has just started is in touch with nobody until its first question is
            // answered, and refuses writes meanwhile.
            tokio::select! {
                _ = interval.tick() => {}
                () = self.fleet.contact_due.notified() => {}
            }
            self.fleet.look_at_feeds();
            let now = self.site.now();
            let with_most = self.is_with_most();
            self.rewrite_claims();
            let beat = self.beat(now);
            let looks = self.looks(with_most, now);
            for (_, peer) in self.fleet.electors() {
                self.tell(String::new(), beat.clone(), peer.address);
                if looks {
                    self.tell(String::new(), Word::Look, peer.address);
                }
            }
            if !with_most {
                self.ask_store();
            }
        }
    }

    /// Whether this host is in touch with most others.
    fn is_with_most(&self) -> bool {
        self.fleet
            .with_quorum(|quorum, now| quorum.holds_lease(now))
    }

    /// A heartbeat of this host at `now`.
    pub(super) fn beat(&self, now: Duration) -> Word {
        Word::Beat {
            sent: micros(now),
            out_of_touch: self.out_of_touch(now),
            epoch: self.epoch_heard().0,
            lacks: self.lacks(),
            ended: self.ended(TELL),
        }
    }

    /// For how many milliseconds this host may have missed what the others heard.
    fn out_of_touch(&self, now: Duration) -> u32 {
        let with_most = self.is_with_most();
        self.tell_of_lease(with_most, now);
        if with_most {
            self.in_touch.set(Some(now));
        }
        let since = self.in_touch.get().map(|at| now.saturating_sub(at));
        let millis = since.and_then(|since| u32::try_from(since.as_millis()).ok());
        millis.unwrap_or(u32::MAX)
    }

    /// Whether this host asks the others how far logs reach: it may have missed that.
    ///
    /// Guards against a primary that has started again without its log, on a host that has just
    /// started or was cut off: it knows of nothing that the primary lacks, and wrote to it for 350 ms
    /// beside hosts that did not believe it. What it had acknowledged was rolled back.
    fn looks(&self, with_most: bool, now: Duration) -> bool {
        if self.servers_known.get().is_none() && self.fleet.is_known() {
            self.servers_known.set(Some(now));
        }
        let is_new = self
            .servers_known
            .get()
            .is_none_or(|known| now < known + TELL);
        let (_, since) = self.lease.get();
        is_new || !with_most || now < since + TELL
    }

    /// Tells `to` how far this host has seen logs reach.
    fn tell_logs(&self, to: SocketAddr) {
        let services = self.fleet.services();
        let logs = services.iter().filter(|service| service.furthest().log > 0);
        let logs: Vec<Log> = logs
            .map(|service| Log {
                service: service.name.clone(),
                furthest: service.furthest().into(),
                term_start: service.newest_term_start(),
                doubted: service.doubted_servers(),
                led: self.led(service),
            })
            .collect();
        for logs in logs.chunks(LOGS_MOST) {
            let logs = logs.to_vec();
            self.tell(String::new(), Word::Logs { logs }, to);
        }
    }

    /// Servers of `service` that were seen to lead.
    fn led(&self, service: &Rc<Service<C>>) -> Vec<Led> {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return Vec::new();
        };
        let succession = succession.borrow();
        let led = succession.known_leaders().iter();
        led.filter_map(|(server, term)| Some(Led::new(service.named(*server)?, *term)))
            .collect()
    }

    /// Another host has seen servers of `service` lead.
    fn take_led(&self, service: &Rc<Service<C>>, led: &[Led]) {
        let services = self.services.borrow();
        let Some(succession) = services.get(&service.name) else {
            return;
        };
        for it in led {
            if let Meant::Listed(server) = service.meant(&it.server) {
                succession.borrow_mut().record_leader(server, it.term());
            }
        }
    }

    /// Another host has seen logs reach so far.
    fn take_logs(&self, logs: &[Log]) {
        for log in logs {
            if let Some(service) = self.fleet.named(&log.service) {
                service.told(log.furthest.into());
                log.term_start.iter().for_each(|it| service.term_began(it));
                log.doubted
                    .iter()
                    .for_each(|it| service.doubted_elsewhere(it));
                self.take_led(&service, &log.led);
            }
        }
    }

    /// For how many milliseconds this host has been in touch with most others without a break.
    fn in_touch_for(&self) -> u32 {
        let now = self.site.now();
        let (holds, since) = self.lease.get();
        let lasts = now.saturating_sub(since).as_millis();
        match holds && self.is_with_most() {
            true => u32::try_from(lasts).unwrap_or(u32::MAX),
            false => 0,
        }
    }

    /// Logs that this host has lost its lease, or has it back.
    fn tell_of_lease(&self, holds: bool, now: Duration) {
        let (held, since) = self.lease.get();
        if held == holds {
            return;
        }
        self.lease.set((holds, now));
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

    /// Services whose reads wait for a sample of how far the primary is.
    fn lacks(&self) -> Vec<String> {
        let services = self.fleet.services();
        let lacking = services.iter().filter(|service| service.lacks_sample.get());
        let names = lacking.map(|service| service.name.clone());
        names.take(SAMPLES_MOST).collect()
    }

    /// This host's newest samples of the primaries of `services`.
    fn samples(&self, services: &[String]) -> Vec<Sample> {
        let sample = |name: &String| {
            let (position, age) = self.fleet.named(name)?.newest_sample()?;
            Some(Sample {
                service: name.clone(),
                position: position.into(),
                age: u32::try_from(age.as_millis() + 1).ok()?,
            })
        };
        services
            .iter()
            .take(SAMPLES_MOST)
            .filter_map(sample)
            .collect()
    }

    /// Another host has answered what was sent at `sent`: a primary that it asked some time before it
    /// answered, it asked no earlier than that long before `sent`.
    fn take_samples(&self, samples: &[Sample], sent: Duration) {
        let sent = sent.min(self.site.now());
        for sample in samples {
            if let Some(service) = self.fleet.named(&sample.service) {
                let age = Duration::from_millis(u64::from(sample.age));
                service.told_sample(sample.position.into(), sent.saturating_sub(age));
            }
        }
    }

    /// Changes of primaries that this host has heard of within `age`.
    ///
    /// An order is announced by one datagram to each host, which may be lost, and a host that was
    /// cut off meanwhile hears none. What keeps a lease alive tells of the change as well.
    fn ended(&self, age: Duration) -> Vec<Ended> {
        let services = self.fleet.services();
        let ended = services.iter().filter_map(|service| service.ended(age));
        ended.take(ENDED_MOST).collect()
    }

    /// Another host tells that a primary is replaced.
    fn take_ended(&self, host: &str, ended: &Ended) {
        let Some(service) = self.fleet.named(&ended.service) else {
            return;
        };
        if !service.end_term(ended) {
            return;
        }
        self.changed(&service.name, ended.term().number().unsigned_abs());
        self.site.log(&Event::OtherActs {
            service: service.name.clone(),
            host: host.to_owned(),
        });
        if let Some(succession) = self.services.borrow().get(&service.name) {
            succession.borrow_mut().defer_to_peer(self.site.now());
        }
    }

    /// Asks the store which primaries are being replaced; with most hosts silent, only it can
    /// tell that this host is not the one that is cut off.
    fn ask_store(self: &Rc<Self>) {
        if self.asking.replace(true) {
            return;
        }
        let election = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let sent = election.site.now();
            let claims = election.read_claims().await;
            election.asking.set(false);
            let Some(claims) = claims else {
                return;
            };
            // A restored store may lack a claim that is being acted on.
            let fleet = &election.fleet;
            if !fleet.with_epochs(|epochs, now| epochs.are_claims_complete(now)) {
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

    fn take(self: &Rc<Self>, message: Message, from: SocketAddr) {
        if let Some(host) = self.fleet.peer(&message.host) {
            self.fleet
                .with_quorum(|quorum, now| quorum.record_message(host, now));
            match message.word {
                Word::Beat {
                    sent,
                    out_of_touch,
                    epoch,
                    lacks,
                    ended,
                } => {
                    self.fleet.told_epoch(host, Epoch(epoch));
                    let missed = Duration::from_millis(u64::from(out_of_touch)) + TELL;
                    let echo = Word::Echo {
                        sent,
                        news: self.fleet.news(),
                        in_touch: self.in_touch_for(),
                        ended: self.ended(missed),
                        samples: self.samples(&lacks),
                    };
                    self.tell(String::new(), echo, from);
                    ended
                        .iter()
                        .for_each(|it| self.take_ended(&message.host, it));
                    return;
                }
                Word::Echo {
                    sent,
                    news,
                    in_touch,
                    ended,
                    samples,
                } => {
                    self.fleet.told_epoch(host, Epoch(news.epoch));
                    self.fleet.told(news);
                    // Before the answer prolongs the lease.
                    ended
                        .iter()
                        .for_each(|it| self.take_ended(&message.host, it));
                    self.told_of_orders(Duration::from_millis(u64::from(in_touch)));
                    let sent = Duration::from_micros(sent);
                    self.fleet
                        .with_quorum(|quorum, _| quorum.record_reply(host, sent));
                    self.take_samples(&samples, sent);
                    return;
                }
                _ => {}
            }
        }
        match &message.word {
            Word::Look => return self.tell_logs(from),
            Word::Logs { logs } => return self.take_logs(logs),
            _ => {}
        }
        let Some(service) = self.fleet.named(&message.service) else {
            return;
        };
        let succession = self.services.borrow().get(&service.name).cloned();
        match message.word {
            // From a host that is not listed yet.
            Word::Beat { .. } | Word::Echo { .. } => {}
            // They are about no service.
            Word::Look | Word::Logs { .. } => {}
            Word::Ask { server, furthest } => {
                service.told(furthest.into());
                let election = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    election.answer(service, server, from).await;
                });
            }
            Word::Tell {
                server,
                furthest,
                reaches,
            } => {
                service.told(furthest.into());
                let host = self.fleet.peer(&message.host);
                if let (Some(succession), Some(host)) = (succession, host)
                    && is_about_leader(&service, server.as_ref())
                {
                    let opinion = Word::opinion(reaches);
                    succession.borrow_mut().record_opinion(host, opinion);
                    service.alarm.notify_one();
                }
            }
            Word::Short { server } => {
                if let Meant::Listed(server) = service.meant(&server) {
                    service.squeeze(server);
                }
            }
            Word::Leads { server, term, took } => {
                if let Some(took) = took {
                    self.site.promoted(Duration::from_millis(u64::from(took)));
                }
                service.seen_to_lead(&server, Term::from_number(term));
            }
            Word::Acting { ended } => self.take_ended(&message.host, &ended),
        }
    }

    /// Tells whether this host reaches `server`, which it tries first.
    async fn answer(&self, service: Rc<Service<C>>, server: Option<Server>, from: SocketAddr) {
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
        let word = Word::Tell {
            server,
            furthest: service.furthest().into(),
            reaches,
        };
        self.send(&service, word, from);
    }

    /// Whether this host reaches a server, and believes that it has the service's log.
    async fn reaches(&self, service: &Rc<Service<C>>, server: ServerKey) -> bool {
        let Some(target) = target(service, server) else {
            return false;
        };
        match self.ask(service, &target).await {
            Probe::Status(_) => !service.is_doubted(server),
            Probe::Alive => true,
            Probe::Refused => false,
            // Too busy to answer a question in time, it may still answer statements.
            Probe::Silent => {
                let now = self.site.now();
                let contact = service.contact(server).unwrap_or_default();
                contact.answer_age(now).is_some_and(|age| age < FRESH)
            }
        }
    }

    /// Tells the other hosts of which servers this one lacks connections.
    pub(super) fn plead(&self, service: &Rc<Service<C>>) {
        let short = service.take_short();
        for server in short.into_iter().filter_map(|it| service.named(it)) {
            for (_, peer) in self.fleet.peers() {
                let server = server.clone();
                self.send(service, Word::Short { server }, peer.address);
            }
        }
    }

    pub(super) fn send(&self, service: &Rc<Service<C>>, word: Word, to: SocketAddr) {
        self.tell(service.name.clone(), word, to);
    }

    pub(super) fn tell(&self, service: String, word: Word, to: SocketAddr) {
        let host = self.site.host.clone();
        let message = Message {
            host,
            service,
            word,
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
