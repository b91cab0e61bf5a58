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
    Grant, Next, Order, PAUSED, Report, Succession, Trouble, View,
};
use flamingopost_core::term::Term;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::back::{self, Back, Target};
use crate::codec::Codec;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::message::Status;
use crate::peer::{EndedTerm, Payload, Socket};
use crate::platform::{Error, Platform, Promotion, Revision, Token};
use crate::service::Service;
use crate::site::Site;

mod claim_holder;
mod claims;
mod empty_log;
mod handover;
mod messaging;

/// Time between two steps while something is wrong.
const ACTIVE_STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks while nothing is.
const IDLE_STEP_INTERVAL: Duration = Duration::from_millis(100);

/// How long a server may take to say what it is; its slots may be busy for a while.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);

/// A server that has not answered a question in time is still taken as reached when it has
/// answered something else within this time.
const RECENT_CONTACT: Duration = Duration::from_millis(200);

/// Time between two questions to all servers while nobody leads.
const LEADER_SEARCH_INTERVAL: Duration = Duration::from_millis(120);

/// Time between two pleas for connections; one holds for a second.
const SHORTAGE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// How long the store may take to decide a claim before hosts act in turn.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// How long before an order that rests on a host's turn the others are told of it: several times the way
/// between zones.
const ORDER_ANNOUNCEMENT_LEAD: Duration = Duration::from_millis(20);

/// How long an order may take to be answered before it is repeated.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the succession of all services of a host.
pub struct Election<C: Codec, P> {
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
    platform: Rc<P>,
    socket: Rc<Socket>,
    services: RefCell<BTreeMap<String, Rc<RefCell<Succession>>>>,
    reserve_grant: RefCell<Option<Grant>>,
    /// Claims of others, and since when each is known.
    known_claims: RefCell<BTreeMap<(String, Revision), Duration>>,
    /// Changes of primaries that were claimed or ordered, and when this host heard of each.
    changes: RefCell<BTreeMap<(String, u64), claims::Change>>,
    /// By service: the newest term for the change of whose primary the store has a claim. Nothing before the
    /// claims were read.
    claimed_terms: RefCell<Option<BTreeMap<String, Term>>>,
    /// Whether a host that would know has told of the orders that were given before this one started.
    orders_known: Cell<bool>,
    /// The epoch of the store in which claims were last known to be there.
    claims_checked_in: Cell<Epoch>,
    /// Which services are recorded as written to.
    records: RefCell<empty_log::Records>,
    /// What was last read of the store's records.
    written_services: Mutex<Option<empty_log::WrittenServices>>,
    /// Whether a question to the store is on its way.
    is_reading_claims: Cell<bool>,
    /// When most other hosts were last in touch.
    last_quorum_at: Cell<Option<Duration>>,
    /// Whether this host has a lease, and since when that is so.
    lease_state: Cell<(bool, Duration)>,
    /// Since when this host has known the servers.
    servers_known_since: Cell<Option<Duration>>,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Ready to run.
    pub fn new(
        site: Rc<Site>,
        fleet: Rc<Fleet<C>>,
        platform: Rc<P>,
        socket: Rc<Socket>,
    ) -> Election<C, P> {
        let lease_state = Cell::new((false, site.now()));
        Election {
            lease_state,
            site,
            fleet,
            platform,
            socket,
            services: RefCell::default(),
            reserve_grant: RefCell::default(),
            known_claims: RefCell::default(),
            changes: RefCell::default(),
            claimed_terms: RefCell::default(),
            orders_known: Cell::new(false),
            claims_checked_in: Cell::default(),
            records: RefCell::default(),
            written_services: Mutex::default(),
            is_reading_claims: Cell::new(false),
            last_quorum_at: Cell::new(None),
            servers_known_since: Cell::new(None),
        }
    }

    /// Takes note of a token that may be used while the store is away.
    pub fn reserve_token(&self, token: Token) {
        let grant = Grant(token.0);
        *self.reserve_grant.borrow_mut() = Some(grant);
        for succession in self.services.borrow().values() {
            succession.borrow_mut().reserve(grant);
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
    pub fn start_new_services(self: &Rc<Self>) {
        for service in self.fleet.services() {
            if self.services.borrow().contains_key(&service.name) {
                continue;
            }
            let mut succession = Succession::default();
            if let Some(grant) = *self.reserve_grant.borrow() {
                succession.reserve(grant);
            }
            let succession = Rc::new(RefCell::new(succession));
            let mut services = self.services.borrow_mut();
            services.insert(service.name.clone(), Rc::clone(&succession));
            drop(services);
            let election = Rc::clone(self);
            tokio::task::spawn_local(
                async move { election.run_service(service, succession).await },
            );
        }
    }

    async fn run_service(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
    ) {
        let mut last_search = Duration::ZERO;
        let mut last_probe = Duration::ZERO;
        let mut last_shortage_report = Duration::ZERO;
        let mut last_step = self.site.now();
        let mut epoch = self.newest_known_epoch();
        self.update_known_orders(&service);
        loop {
            let now = self.site.now();
            if now >= last_step + PAUSED {
                succession.borrow_mut().paused(now);
            }
            last_step = now;
            let before = std::mem::replace(&mut epoch, self.newest_known_epoch());
            if before < epoch {
                succession.borrow_mut().restored(now);
            }
            let view = self.view(&service, &succession);
            let pause = if view.trouble.is_some() {
                ACTIVE_STEP_INTERVAL
            } else {
                IDLE_STEP_INTERVAL
            };
            if now >= last_shortage_report + SHORTAGE_REPORT_INTERVAL {
                last_shortage_report = now;
                self.send_shortages(&service);
            }
            if let Some((target, since)) = service.doubt()
                && now >= last_probe + STATUS_TIMEOUT
            {
                last_probe = now;
                self.probe_primary(&service, target, since);
            }
            if self.fleet.serves(&service.name)
                && let Some(target) = service.take_unchecked()
            {
                self.check_primary(&service, target);
            }
            self.write_record_if_due(&service, view.rank);
            if view.leader.is_none() && now >= last_search + LEADER_SEARCH_INTERVAL {
                last_search = now;
                self.ask_servers(&service, &succession);
            }
            let answered = succession.borrow().answered();
            let next = succession.borrow_mut().step(&view, now);
            for next in next {
                if let Next::Promote { server, .. } = next {
                    self.log_order_basis(&service, server, &answered);
                }
                self.perform(&service, &succession, next, &view);
            }
            // Another change of the service's state ends the pause early.
            let _ = timeout(pause, service.alarm.notified()).await;
        }
    }

    /// Tries a primary that is silent on a connection of its own, which tells a slow one from
    /// one that is gone long before the statements there have had their time.
    fn probe_primary(self: &Rc<Self>, service: &Rc<Service<C>>, target: Target, since: Duration) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        tokio::task::spawn_local(async move {
            if let Probe::Silent = election.query_status(&service, &target).await {
                service.silent(target.server, since);
            }
        });
    }

    fn perform(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
        next: Next,
        view: &View,
    ) {
        match next {
            Next::AskHosts => self.ask_hosts(service, view),
            Next::AskServers => self.ask_servers(service, succession),
            Next::Claim => {
                let (election, service) = (Rc::clone(self), Rc::clone(service));
                let succession = Rc::clone(succession);
                let attempt = view.term.number().unsigned_abs();
                tokio::task::spawn_local(async move {
                    election.claim(service, succession, attempt).await;
                });
            }
            Next::Promote { server, grant } => {
                let (election, service) = (Rc::clone(self), Rc::clone(service));
                let succession = Rc::clone(succession);
                tokio::task::spawn_local(async move {
                    election.promote(service, succession, server, grant).await;
                });
            }
        }
    }

    /// Logs whose word an order rests on, and how old it is.
    fn log_order_basis(
        &self,
        service: &Rc<Service<C>>,
        server: ServerKey,
        answered: &BTreeSet<HostKey>,
    ) {
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
            self.send(
                service,
                Payload::ReachabilityQuery { server, furthest },
                peer.address,
            );
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
                let Probe::Status(status) = election.query_status(&service, &target).await else {
                    return;
                };
                let report = Report {
                    role: status.role,
                    term: status.term,
                    received: status.received,
                };
                succession.borrow_mut().report(target.server, report);
                service.alarm.notify_one();
            });
        }
    }

    /// Asks a server what it is, on a connection of its own: pooled ones may be stuck.
    async fn query_status(&self, service: &Rc<Service<C>>, target: &Target) -> Probe {
        let sent = self.site.now();
        let asked = timeout(STATUS_TIMEOUT, async {
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
        grant: Grant,
    ) {
        let id = service.name_of(Some(server));
        let serves = match self.trouble(&service) {
            Some(Trouble::Leaving) => service.serves_until_relieved(),
            _ => Duration::ZERO,
        };
        let replaced = service.leader().and_then(|leader| target(&service, leader));
        let term = service.term();
        if let Some(named) = service.named(server) {
            let successor = (named, succession.borrow().received());
            let ended_term = EndedTerm::new(service.name.clone(), term, grant.0, successor, serves);
            service.end_term(&ended_term);
            for (_, peer) in self.fleet.peers() {
                let ended_term = ended_term.clone();
                self.send(
                    &service,
                    Payload::PromotionStarted { ended_term },
                    peer.address,
                );
            }
        }
        if succession.borrow().is_in_turn() && !self.has_highest_token(&service, grant).await {
            succession
                .borrow_mut()
                .ordered(Order::Refused, self.site.now());
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
            ORDER_TIMEOUT,
            self.platform.promote(&service.name, &id, host, token),
        );
        let order = match ordered.await {
            Ok(Ok(Promotion::Accepted)) => Order::Accepted,
            Ok(Ok(Promotion::Refused)) => Order::Refused,
            Ok(Err(_)) | Err(_) => Order::Unknown,
        };
        let now = self.site.now();
        succession.borrow_mut().ordered(order, now);
        if order == Order::Accepted {
            let next = Term::from_number(term.number() + 1);
            if let Some(replaced) = replaced {
                self.step_down(
                    &service,
                    &replaced,
                    next,
                    handover::step_down_at(sent, serves),
                );
            }
            if let Some(successor) = target(&service, server) {
                self.await_promotion(&service, successor, term, sent);
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
    async fn has_highest_token(&self, service: &Rc<Service<C>>, grant: Grant) -> bool {
        tokio::time::sleep(ORDER_ANNOUNCEMENT_LEAD).await;
        service.newest_order().is_none_or(|newest| newest <= grant)
    }

    fn view(&self, service: &Rc<Service<C>>, succession: &Rc<RefCell<Succession>>) -> View {
        let told = succession.borrow().answered();
        let trouble = self.trouble(service);
        let (gone, quiet_at) = self.fleet.with_quorum(|quorum, now| {
            // Nobody is asked about a primary that leaves: who is in touch hears of the order while
            // it still serves.
            let told = match trouble {
                Some(Trouble::Leaving) => quorum.in_touch(now),
                _ => told,
            };
            (quorum.gone(now), quorum.quiet_at(&told, now))
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
            led: service.term_led(),
            led_by: service.led_by(),
            trouble,
            ordered: service.newest_order(),
            candidates: candidates.map(|(target, _)| target.server).collect(),
            peers: self
                .fleet
                .electors()
                .into_iter()
                .map(|(key, _)| key)
                .filter(|key| !gone.contains(key))
                .collect(),
            quiet_at: quiet_at.max(orders_from),
            rank: self.fleet.rank(&service.name),
            synchronous,
            newest: service.newest(),
            marks: service.marks(),
            former: service.former(),
            doubted: service.doubted(),
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

/// What the store answers to `call` within [`CLAIM_TIMEOUT`], or why there is no such answer.
async fn in_time<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, String> {
    match timeout(CLAIM_TIMEOUT, call).await {
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
