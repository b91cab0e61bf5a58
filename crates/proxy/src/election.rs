//! Carries the succession of each service's primary out: asks hosts and servers, claims, orders.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::Standing;
use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leader::Role;
use flamingopost_core::succession::{
    FencingToken, NextStep, Order, PAUSE_THRESHOLD, Report, Succession, Trouble, View,
};
use flamingopost_core::term::Term;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::back::{self, Back, Target};
use crate::codec::Codec;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::message::Status;
use crate::peer::{Ended, Socket, Word};
use crate::platform::{Error, Platform, Promotion, Revision, Token};
use crate::service::Service;
use crate::site::Site;

mod claims;
mod handover;
mod holder;
mod proof;
mod talk;

/// Time between two steps while something is wrong.
const STEP: Duration = Duration::from_millis(20);

/// Time between two looks while nothing is.
const LOOK: Duration = Duration::from_millis(100);

/// How long a server may take to say what it is; its slots may be busy for a while.
const ASK: Duration = Duration::from_millis(200);

/// A server that has not answered a question in time is still taken as reached when it has
/// answered something else within this time.
const FRESH: Duration = Duration::from_millis(200);

/// Time between two questions to all servers while nobody leads.
const SEEK: Duration = Duration::from_millis(120);

/// Time between two pleas for connections; one holds for a second.
const PLEA: Duration = Duration::from_millis(200);

/// How long the store may take to decide a claim before hosts act in turn.
const CLAIM: Duration = Duration::from_millis(250);

/// How long before an order that rests on a host's turn the others are told of it: several times the way
/// between zones.
const ANNOUNCED: Duration = Duration::from_millis(20);

/// How long an order may take to be answered before it is repeated.
const ORDER: Duration = Duration::from_millis(500);

/// Runs the succession of all services of a host.
pub struct Election<C: Codec, P> {
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
    platform: Rc<P>,
    socket: Rc<Socket>,
    services: RefCell<BTreeMap<String, Rc<RefCell<Succession>>>>,
    reserve: RefCell<Option<FencingToken>>,
    /// Claims of others, and since when each is known.
    held: RefCell<BTreeMap<(String, Revision), Duration>>,
    /// Changes of primaries that were claimed or ordered, and when this host heard of each.
    changes: RefCell<BTreeMap<(String, u64), claims::Change>>,
    /// By service: the newest term for the change of whose primary the store has a claim. Nothing before the
    /// claims were read.
    claimed_terms: RefCell<Option<BTreeMap<String, Term>>>,
    /// Whether a host that would know has told of the orders that were given before this one started.
    orders_heard: Cell<bool>,
    /// The epoch of the store in which claims were last known to be there.
    claimed_in: Cell<Epoch>,
    /// Which services are recorded as written to.
    records: RefCell<proof::Records>,
    /// What was last read of the store's records.
    written: Mutex<Option<proof::Written>>,
    /// Whether a question to the store is on its way.
    asking: Cell<bool>,
    /// When most other hosts were last in touch.
    in_touch: Cell<Option<Duration>>,
    /// Whether this host has a lease, and since when that is so.
    lease: Cell<(bool, Duration)>,
    /// Since when this host has known the servers.
    servers_known: Cell<Option<Duration>>,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Ready to run.
    pub fn new(
        site: Rc<Site>,
        fleet: Rc<Fleet<C>>,
        platform: Rc<P>,
        socket: Rc<Socket>,
    ) -> Election<C, P> {
        let lease = Cell::new((false, site.now()));
        Election {
            lease,
            site,
            fleet,
            platform,
            socket,
            services: RefCell::default(),
            reserve: RefCell::default(),
            held: RefCell::default(),
            changes: RefCell::default(),
            claimed_terms: RefCell::default(),
            orders_heard: Cell::new(false),
            claimed_in: Cell::default(),
            records: RefCell::default(),
            written: Mutex::default(),
            asking: Cell::new(false),
            in_touch: Cell::new(None),
            servers_known: Cell::new(None),
        }
    }

    /// Takes note of a token that may be used while the store is away.
    pub fn reserve(&self, token: Token) {
        let grant = FencingToken(token.0);
        *self.reserve.borrow_mut() = Some(grant);
        for succession in self.services.borrow().values() {
            succession.borrow_mut().reserve_token(grant);
        }
    }

    /// For how long this host has missed a primary that others reach.
    pub fn outvoted(&self) -> Option<Duration> {
        let now = self.site.now();
        let services = self.services.borrow();
        let since = services.values().filter_map(|it| it.borrow().outvoted());
        since.min().map(|since| now.saturating_sub(since))
    }

    /// Starts a task for each service that has none.
    pub fn attend(self: &Rc<Self>) {
        for service in self.fleet.services() {
            if self.services.borrow().contains_key(&service.name) {
                continue;
            }
            let mut succession = Succession::default();
            if let Some(grant) = *self.reserve.borrow() {
                succession.reserve_token(grant);
            }
            let succession = Rc::new(RefCell::new(succession));
            let mut services = self.services.borrow_mut();
            services.insert(service.name.clone(), Rc::clone(&succession));
            drop(services);
            let election = Rc::clone(self);
            tokio::task::spawn_local(async move { election.watch(service, succession).await });
        }
    }

    async fn watch(self: Rc<Self>, service: Rc<Service<C>>, succession: Rc<RefCell<Succession>>) {
        let mut sought = Duration::ZERO;
        let mut doubted = Duration::ZERO;
        let mut pleaded = Duration::ZERO;
        let mut last = self.site.now();
        let mut epoch = self.epoch_heard();
        self.tell_of_orders(&service);
        loop {
            let now = self.site.now();
            if now >= last + PAUSE_THRESHOLD {
                succession.borrow_mut().resume_after_pause(now);
            }
            last = now;
            let before = std::mem::replace(&mut epoch, self.epoch_heard());
            if before < epoch {
                succession.borrow_mut().invalidate_claim(now);
            }
            let view = self.view(&service, &succession);
            let pause = if view.trouble.is_some() { STEP } else { LOOK };
            if now >= pleaded + PLEA {
                pleaded = now;
                self.plead(&service);
            }
            if let Some((target, since)) = service.doubt()
                && now >= doubted + ASK
            {
                doubted = now;
                self.try_primary(&service, target, since);
            }
            if self.fleet.serves(&service.name)
                && let Some(target) = service.take_unchecked()
            {
                self.check(&service, target);
            }
            self.keep_record(&service, view.rank);
            if view.leader.is_none() && now >= sought + SEEK {
                sought = now;
                self.ask_servers(&service, &succession);
            }
            let answered = succession.borrow().answered_hosts();
            let next = succession.borrow_mut().step(&view, now);
            for next in next {
                if let NextStep::Promote { server, .. } = next {
                    self.tell_word(&service, server, &answered);
                }
                self.act(&service, &succession, next, &view);
            }
            // Another change of the service's state ends the pause early.
            let _ = timeout(pause, service.alarm.notified()).await;
        }
    }

    /// Tries a primary that is silent on a connection of its own, which tells a slow one from
    /// one that is gone long before the statements there have had their time.
    fn try_primary(self: &Rc<Self>, service: &Rc<Service<C>>, target: Target, since: Duration) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        tokio::task::spawn_local(async move {
            if let Probe::Silent = election.ask(&service, &target).await {
                service.silent(target.server, since);
            }
        });
    }

    fn act(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
        next: NextStep,
        view: &View,
    ) {
        match next {
            NextStep::AskHosts => self.ask_hosts(service, view),
            NextStep::AskServers => self.ask_servers(service, succession),
            NextStep::Claim => {
                let (election, service) = (Rc::clone(self), Rc::clone(service));
                let succession = Rc::clone(succession);
                let attempt = view.term.number().unsigned_abs();
                tokio::task::spawn_local(async move {
                    election.claim(service, succession, attempt).await;
                });
            }
            NextStep::Promote { server, token } => {
                let (election, service) = (Rc::clone(self), Rc::clone(service));
                let succession = Rc::clone(succession);
                tokio::task::spawn_local(async move {
                    election.promote(service, succession, server, token).await;
                });
            }
        }
    }

    /// Logs whose word an order rests on, and how old it is.
    fn tell_word(&self, service: &Rc<Service<C>>, server: ServerKey, answered: &BTreeSet<HostKey>) {
        let electors = self.fleet.electors();
        let words = electors.iter().map(|(key, peer)| {
            let said = match answered.contains(key) {
                true => "answered",
                false => "silent",
            };
            let age = self.fleet.with_quorum(|quorum, now| quorum.age(*key, now));
            let millis = age.unwrap_or_default().as_millis();
            format!("{} ({said}, heard {millis} ms ago)", peer.host)
        });
        let words: Vec<String> = words.collect();
        self.site.log(&Event::Rests {
            service: service.name.clone(),
            server: service.name_of(Some(server)),
            hosts: words.join(", "),
        });
    }

    fn ask_hosts(&self, service: &Rc<Service<C>>, view: &View) {
        if let Some(trouble) = view.trouble {
            self.site.log(&Event::Suspected {
                service: service.name.clone(),
                trouble,
                hosts: view.peers.len(),
                servers: view.candidates.len(),
            });
        }
        let server = view.leader.and_then(|leader| service.named(leader));
        let furthest = service.furthest().into();
        for (_, peer) in self.fleet.electors() {
            let server = server.clone();
            self.send(service, Word::Ask { server, furthest }, peer.address);
        }
    }

    fn ask_servers(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
    ) {
        let synchronous = self.fleet.is_synchronous(&service.name);
        for (target, standing) in service.targets() {
            if standing != Standing::Serving && !synchronous {
                continue;
            }
            let (election, service) = (Rc::clone(self), Rc::clone(service));
            let succession = Rc::clone(succession);
            tokio::task::spawn_local(async move {
                let Probe::Status(status) = election.ask(&service, &target).await else {
                    return;
                };
                let report = Report {
                    role: status.role,
                    term: status.term,
                    received: status.received,
                };
                succession.borrow_mut().record_report(target.server, report);
                service.alarm.notify_one();
            });
        }
    }

    /// Asks a server what it is, on a connection of its own: pooled ones may be stuck.
    async fn ask(&self, service: &Rc<Service<C>>, target: &Target) -> Probe {
        let sent = self.site.now();
        let asked = timeout(ASK, async {
            let id = self.site.next_id();
            let mut back = Back::<C>::connect(id, target, &self.site.host).await?;
            let status = back.status().await?;
            let newest = service.term();
            match status.role {
                // It comes back, or is reached again, after it was replaced.
                Role::Primary if status.term < newest => {
                    service.said(target.server, &status, sent);
                    back.step_down(newest).await
                }
                Role::Primary | Role::Replica => Ok(status),
            }
        });
        let error = match asked.await {
            Ok(Ok(status)) => {
                service.said(target.server, &status, sent);
                return Probe::Status(status);
            }
            Ok(Err(error)) => error,
            Err(_) => back::Error::Io(std::io::ErrorKind::TimedOut.into()),
        };
        service.missed(target.server, &error, sent);
        match error {
            back::Error::Io(error) if error.kind() == std::io::ErrorKind::TimedOut => Probe::Silent,
            back::Error::Io(_) => Probe::Refused,
            back::Error::Codec(_) | back::Error::Refused(_) => Probe::Alive,
        }
    }

    async fn promote(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
        server: ServerKey,
        grant: FencingToken,
    ) {
        let id = service.name_of(Some(server));
        let serves = match self.trouble(&service) {
            Some(Trouble::Leaving) => service.serves_until_relieved(),
            _ => Duration::ZERO,
        };
        let replaced = service.leader().and_then(|leader| target(&service, leader));
        let term = service.term();
        if let Some(named) = service.named(server) {
            let successor = (named, succession.borrow().successor_position());
            let ended = Ended::new(service.name.clone(), term, grant.0, successor, serves);
            service.end_term(&ended);
            for (_, peer) in self.fleet.peers() {
                let ended = ended.clone();
                self.send(&service, Word::Acting { ended }, peer.address);
            }
        }
        if succession.borrow().acts_without_claim() && !self.is_first(&service, grant).await {
            succession
                .borrow_mut()
                .order_finished(Order::Refused, self.site.now());
            self.site.log(&Event::TurnGivenUp {
                service: service.name.clone(),
                server: id,
                token: grant.0,
            });
            return;
        }
        let sent = self.site.now();
        let token = Token(grant.0);
        let host = &self.site.host;
        let ordered = timeout(
            ORDER,
            self.platform.promote(&service.name, &id, host, token),
        );
        let order = match ordered.await {
            Ok(Ok(Promotion::Accepted)) => Order::Accepted,
            Ok(Ok(Promotion::Refused)) => Order::Refused,
            Ok(Err(_)) | Err(_) => Order::Unknown,
        };
        let now = self.site.now();
        succession.borrow_mut().order_finished(order, now);
        if order == Order::Accepted {
            let next = Term::from_number(term.number() + 1);
            if let Some(replaced) = replaced {
                self.step_down(&service, &replaced, next, handover::moment(sent, serves));
            }
            if let Some(successor) = target(&service, server) {
                self.look_for_effect(&service, successor, term, sent);
            }
        }
        self.site.log(&Event::Ordered {
            service: service.name.clone(),
            server: id,
            token: grant.0,
            outcome: format!("{order:?}"),
            millis: now.saturating_sub(sent).as_millis(),
        });
        service.alarm.notify_one();
    }

    /// Whether no other host announces an order under a higher token in the same moment.
    ///
    /// Guards against two hosts whose turns have both come while they waited for the leases of others:
    /// where the platform carries out whatever it is told, the order under the lower token comes second
    /// and undoes the change of the first.
    async fn is_first(&self, service: &Rc<Service<C>>, grant: FencingToken) -> bool {
        tokio::time::sleep(ANNOUNCED).await;
        service.newest_order().is_none_or(|newest| newest <= grant)
    }

    fn view(&self, service: &Rc<Service<C>>, succession: &Rc<RefCell<Succession>>) -> View {
        let told = succession.borrow().answered_hosts();
        let trouble = self.trouble(service);
        let (gone, quiet_at) = self.fleet.with_quorum(|quorum, now| {
            // Nobody is asked about a primary that leaves: who is in touch hears of the order while
            // it still serves.
            let told = match trouble {
                Some(Trouble::Leaving) => quorum.recently_heard(now),
                _ => told,
            };
            (quorum.gone_hosts(now), quorum.leases_end(&told, now))
        });
        let orders_from = self.fleet.orders_from(&gone);
        let targets = service.targets();
        let synchronous = self.fleet.is_synchronous(&service.name);
        // One that is leaving still receives, and may be the only one to have a commit.
        let candidates = targets
            .iter()
            .filter(|(_, standing)| synchronous || *standing == Standing::Serving);
        View {
            leader: service.leader(),
            term: service.term(),
            leader_term: service.term_led(),
            terms_led: service.led_by(),
            trouble,
            newest_token: service.newest_order(),
            candidates: candidates.map(|(target, _)| target.server).collect(),
            peers: self
                .fleet
                .electors()
                .into_iter()
                .map(|(key, _)| key)
                .filter(|key| !gone.contains(key))
                .collect(),
            leases_end: quiet_at.max(orders_from),
            rank: self.fleet.rank(&service.name),
            synchronous,
            newest_position: service.newest(),
            required_positions: service.marks(),
            previous_starts: service.former(),
            distrusted: service.doubted(),
        }
    }

    /// What is wrong with the primary; nothing is while this host knows too little to tell.
    fn trouble(&self, service: &Service<C>) -> Option<Trouble> {
        if !self.fleet.is_known() {
            return None;
        }
        service.trouble()
    }
}

/// What the store answers to `call` within [`CLAIM`], or why there is no such answer.
async fn in_time<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, String> {
    match timeout(CLAIM, call).await {
        Ok(answer) => answer.map_err(|error| error.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}

fn target<C: Codec>(service: &Rc<Service<C>>, key: ServerKey) -> Option<Target> {
    let targets = service.targets();
    let found = targets.into_iter().find(|(target, _)| target.server == key);
    found.map(|(target, _)| target)
}

/// What became of a question to a server.
enum Probe {
    Status(Status),
    /// It refused the question, so it is there.
    Alive,
    /// Its host refused the connection, or broke it.
    Refused,
    Silent,
}
