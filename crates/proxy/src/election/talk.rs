//! What this host and the others say to each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::quorum::HEARTBEAT;
use tokio::time::timeout;

use super::{CLAIM, Election, FRESH, Probe, target};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{Message, Server, Word};
use crate::platform::Platform;
use crate::service::{Meant, Service};

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
        let mut interval = tokio::time::interval(HEARTBEAT);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            // A host that has just started is in touch with nobody until its first question is
            // answered, and refuses writes meanwhile.
            tokio::select! {
                _ = interval.tick() => {}
                () = self.fleet.peers_changed.notified() => {}
            }
            self.fleet.look_at_feeds();
            let now = self.site.now();
            let sent = micros(now);
            for (_, peer) in self.fleet.electors() {
                self.tell(String::new(), Word::Beat { sent }, peer.address);
            }
            let with_most = self
                .fleet
                .with_quorum(|quorum, now| quorum.is_with_most(now));
            if !with_most {
                self.ask_store();
            }
        }
    }

    /// Asks the store whether anybody replaces a primary; with most hosts silent, only it can
    /// tell that this host is not the one that is cut off.
    fn ask_store(self: &Rc<Self>) {
        if self.asking.replace(true) {
            return;
        }
        let election = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let sent = election.site.now();
            let claims = timeout(CLAIM, election.platform.claims()).await;
            election.asking.set(false);
            let Ok(Ok(claims)) = claims else {
                return;
            };
            let under_way = |service: &Rc<Service<C>>| {
                let attempt = service.term().number().unsigned_abs();
                claims.contains(&(service.name.clone(), attempt))
            };
            if !election.fleet.services().iter().any(under_way) {
                election.fleet.with_quorum(|quorum, _| quorum.store(sent));
            }
        });
    }

    fn take(self: &Rc<Self>, message: Message, from: SocketAddr) {
        if let Some(host) = self.fleet.peer(&message.host) {
            self.fleet
                .with_quorum(|quorum, now| quorum.heard(host, now));
            match message.word {
                Word::Beat { sent } => {
                    let news = self.fleet.news();
                    self.tell(String::new(), Word::Echo { sent, news }, from);
                    return;
                }
                Word::Echo { sent, news } => {
                    self.fleet.told(news);
                    let sent = Duration::from_micros(sent);
                    self.fleet
                        .with_quorum(|quorum, _| quorum.answered(host, sent));
                    return;
                }
                _ => {}
            }
        }
        let Some(service) = self.fleet.named(&message.service) else {
            return;
        };
        let succession = self.services.borrow().get(&service.name).cloned();
        match message.word {
            // From a host that is not listed yet.
            Word::Beat { .. } | Word::Echo { .. } => {}
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
                    succession.borrow_mut().opinion(host, opinion);
                    service.alarm.notify_one();
                }
            }
            Word::Short { server } => {
                if let Meant::Listed(server) = service.meant(&server) {
                    service.squeeze(server);
                }
            }
            Word::Acting { planned, .. } => {
                service.hold(planned);
                self.site.log(&Event::OtherActs {
                    service: service.name.clone(),
                    host: message.host,
                });
                if let Some(succession) = succession {
                    succession.borrow_mut().other_acts(self.site.now());
                }
            }
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
                contact.age(now).is_some_and(|age| age < FRESH)
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
