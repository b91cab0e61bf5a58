//! Runs the failover of each service's primary: queries hosts and servers, claims a change in the
//! platform's store, and orders the promotion.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::ServerState;
use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leader::Role;
use flamingopost_core::succession::{
    FencingToken, NextStep, Order, PAUSE_THRESHOLD, Report, Succession, Trouble, View,
};
use flamingopost_core::term::Term;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::codec::Codec;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::message::Status;
use crate::peer::{EndedTerm, Payload, Socket};
use crate::platform::{Error, Platform, Promotion, Revision, Token};
use crate::server_connection::{self, ServerConnection, Target};
use crate::service::Service;
use crate::shared_probe::SharedProbes;
use crate::site::Site;

mod claim_holder;
mod claims;
mod empty_log;
mod handover;
mod limits;
mod messaging;
mod pace;
mod reachability;
mod unheard_order;

use handover::{NOTIFYING_HOSTS, REPLACEMENT_NOTICE_INTERVAL};
use pace::{FREQUENT_HOSTS, Pace};

/// Interval between two steps of a service's state machine while its primary is in trouble.
const ACTIVE_STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a status query to a server. It allows for request slots that are busy for a while.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);

/// A server that misses [`STATUS_TIMEOUT`] still counts as reachable if it answered any other
/// request within this time.
const RECENT_CONTACT: Duration = Duration::from_millis(200);

/// Timeout of a claim in the store. After it, hosts act in turn without the store.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// How long before an order given in turn, without the store, the other hosts are notified of it.
/// This is several times the latency between availability zones.
const ORDER_ANNOUNCEMENT_LEAD: Duration = Duration::from_millis(20);

/// Timeout of a promotion order, after which it is repeated.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the failover of all services on one host.
pub struct Election<C: Codec, P> {
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
    platform: Rc<P>,
    socket: Rc<Socket>,
    services: RefCell<BTreeMap<String, Rc<RefCell<Succession>>>>,
    reserved_token: RefCell<Option<FencingToken>>,
    /// Claims held by other hosts, and when this host first saw each of them.
    known_claims: RefCell<BTreeMap<(String, Revision), Duration>>,
    /// Changes of primaries that were claimed or ordered, by service and change number.
    changes: RefCell<BTreeMap<(String, u64), claims::Change>>,
    /// The newest term of each service for which the store holds a claim on the change of its
    /// primary. `None` until the claims were read.
    claimed_terms: RefCell<Option<BTreeMap<String, Term>>>,
    /// Whether another host that was connected for long enough has reported the orders given before
    /// this host started.
    orders_known: Cell<bool>,
    /// The store epoch for which claims were last checked, and rewritten where necessary.
    claims_checked_in: Cell<Epoch>,
    /// Changes whose claims this host has yet to write: it ordered them without a claim, or the
    /// store did not answer when they were to be written again after a restore.
    unclaimed_changes: RefCell<BTreeSet<(String, u64)>>,
    /// When this host last tried to claim such changes.
    late_claims_at: Cell<Duration>,
    /// The newest store epoch in which the store's claims are known to be complete.
    claims_verified_in: Cell<Epoch>,
    /// When this host last began to record that the store's claims are complete.
    verification_attempted_at: Cell<Option<Duration>>,
    /// Which services are recorded in the store as written to.
    records: RefCell<empty_log::Records>,
    /// The store's records as last read, cached for a short time.
    written_services: Mutex<Option<empty_log::WrittenServices>>,
    /// Probes of servers that other hosts have asked about.
    probes: RefCell<SharedProbes<reachability::Asker>>,
    /// Whether a read of the store's claims is in flight.
    is_reading_claims: Cell<bool>,
    /// When the newest such read was sent that gave a lease for every service.
    claims_read_at: Cell<Option<Duration>>,
    /// When this host was last in contact with a majority of the other hosts.
    last_quorum_at: Cell<Option<Duration>>,
    /// Whether this host holds its lease, and since when that has been the case.
    lease_state: Cell<(bool, Duration)>,
    /// When this host first knew the list of servers.
    servers_known_since: Cell<Option<Duration>>,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Creates an election that has not started yet.
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
            reserved_token: RefCell::default(),
            known_claims: RefCell::default(),
            changes: RefCell::default(),
            claimed_terms: RefCell::default(),
            orders_known: Cell::new(false),
            claims_checked_in: Cell::default(),
            unclaimed_changes: RefCell::default(),
            late_claims_at: Cell::default(),
            claims_verified_in: Cell::default(),
            verification_attempted_at: Cell::default(),
            records: RefCell::default(),
            written_services: Mutex::default(),
            probes: RefCell::default(),
            is_reading_claims: Cell::new(false),
            claims_read_at: Cell::new(None),
            last_quorum_at: Cell::new(None),
            servers_known_since: Cell::new(None),
        }
    }

    /// Stores a fencing token that may be used for one promotion while the store is unavailable.
    pub fn reserve_token(&self, token: Token) {
        let reserved_token = FencingToken(token.0);
        *self.reserved_token.borrow_mut() = Some(reserved_token);
        for succession in self.services.borrow().values() {
            succession.borrow_mut().reserve_token(reserved_token);
        }
    }

    /// Returns for how long this host has been unable to reach a primary that others reach.
    pub fn outvoted(&self) -> Option<Duration> {
        let now = self.site.now();
        let services = self.services.borrow();
        let since = services.values().filter_map(|it| it.borrow().outvoted());
        since.min().map(|since| now.saturating_sub(since))
    }

    /// Starts a task for each service that does not have one yet.
    pub fn start_new_services(self: &Rc<Self>) {
        for service in self.fleet.services() {
            if self.services.borrow().contains_key(&service.name) {
                continue;
            }
            let mut succession = Succession::default();
            if let Some(reserved_token) = *self.reserved_token.borrow() {
                succession.reserve_token(reserved_token);
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

    /// Runs the failover of one service, forever: observes it, advances its state machine, and
    /// performs the resulting actions.
    async fn run_service(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
    ) {
        let mut last_search = Duration::ZERO;
        let mut last_probe = Duration::ZERO;
        let mut last_shortage_report = Duration::ZERO;
        let mut last_notice = Duration::ZERO;
        let mut last_step = self.site.now();
        let mut epoch = self.newest_known_epoch();
        self.update_known_orders(&service);
        loop {
            let now = self.site.now();
            if now >= last_step + PAUSE_THRESHOLD {
                succession.borrow_mut().resume_after_pause(now);
            }
            last_step = now;
            let before = std::mem::replace(&mut epoch, self.newest_known_epoch());
            if before < epoch {
                succession.borrow_mut().invalidate_claim(now);
            }
            let view = self.view(&service, &succession);
            let pace = self.pace(&service);
            let pause = if view.trouble.is_some() {
                ACTIVE_STEP_INTERVAL
            } else {
                pace.idle_step
            };
            if now >= last_shortage_report + pace.shortage_report {
                last_shortage_report = now;
                self.send_shortages(&service);
            }
            if let Some((target, since)) = service.overdue_statement()
                && now >= last_probe + STATUS_TIMEOUT
            {
                last_probe = now;
                self.probe_primary(&service, target, since);
            }
            if !self.fleet.serves(&service.name) {
                service.end_unserved_check_hold();
            } else if let Some(target) = service.take_due_check() {
                self.check_primary(&service, target);
            }
            self.write_record_if_due(&service, view.rank);
            if view.leader.is_none() && now >= last_search + pace.search {
                last_search = now;
                self.ask_servers(&service, &succession);
            }
            if view.rank < NOTIFYING_HOSTS
                && now >= last_notice + REPLACEMENT_NOTICE_INTERVAL
                && let replaced = service.replaced_primaries()
                && !replaced.is_empty()
            {
                last_notice = now;
                self.notify_replaced_primaries(&service, replaced);
            }
            let answered = succession.borrow().answered_hosts();
            let next = succession.borrow_mut().step(&view, now);
            for next in next {
                if let NextStep::Promote { server, .. } = next {
                    self.log_order_basis(&service, server, &answered);
                }
                self.perform(&service, &succession, next, &view);
            }
            // A change of the service's state ends the pause early.
            let _ = timeout(pause, service.failover_notify.notified()).await;
        }
    }

    /// Returns how often this host does the periodic work for `service`.
    fn pace(&self, service: &Service<C>) -> Pace {
        let is_involved = self.fleet.serves(&service.name)
            || service.has_requests()
            || self.fleet.rank(&service.name) < FREQUENT_HOSTS;
        match is_involved {
            true => Pace::INVOLVED,
            false => Pace::BYSTANDER,
        }
    }

    /// Probes a silent primary on a separate connection. This distinguishes a slow primary from a
    /// dead one long before pending statements reach their timeout.
    fn probe_primary(self: &Rc<Self>, service: &Rc<Service<C>>, target: Target, since: Duration) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        tokio::task::spawn_local(async move {
            if let Probe::Silent = election.query_status(&service, &target).await {
                service.record_silence(target.server, since);
            }
        });
    }

    /// Performs one action that the state machine asks for.
    fn perform(
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

    /// Logs which hosts an order relies on, whether each of them answered, and how long ago each
    /// was last heard.
    fn log_order_basis(
        &self,
        service: &Rc<Service<C>>,
        server: ServerKey,
        answered: &BTreeSet<HostKey>,
    ) {
        let electors = self.fleet.electors();
        let contacts = electors.iter().map(|(key, peer)| {
            let state = match answered.contains(key) {
                true => "answered",
                false => "silent",
            };
            let age = self.fleet.with_quorum(|quorum, now| quorum.age(*key, now));
            let millis = age.unwrap_or_default().as_millis();
            format!("{} ({state}, heard {millis} ms ago)", peer.host)
        });
        let contacts: Vec<String> = contacts.collect();
        self.site.log(&Event::Rests {
            service: service.name.clone(),
            server: service.name_of(Some(server)),
            hosts: contacts.join(", "),
        });
    }

    /// Asks the electors whether they reach the primary.
    fn ask_hosts(&self, service: &Rc<Service<C>>, view: &View) {
        if let Some(trouble) = view.trouble {
            self.site.log(&Event::Suspected {
                service: service.name.clone(),
                trouble,
                hosts: view.peers.len(),
                servers: view.candidates.len(),
            });
        }
        let server = view
            .leader
            .and_then(|leader| service.to_peer_server(leader));
        let furthest = service.furthest_position().into();
        for (_, peer) in self.fleet.electors().iter() {
            let server = server.clone();
            self.send(
                service,
                Payload::ReachabilityQuery { server, furthest },
                peer.address,
            );
        }
    }

    /// Queries the status of all servers. While the primary is only leaving, other leaving servers are
    /// no candidates and left out, unless the service has synchronous commits: any of them may be the
    /// only one that holds a commit.
    fn ask_servers(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
    ) {
        let all = self.fleet.is_synchronous(&service.name)
            || self.trouble(service) != Some(Trouble::Leaving);
        for (target, state) in service.targets() {
            if state != ServerState::Serving && !all {
                continue;
            }
            let (election, service) = (Rc::clone(self), Rc::clone(service));
            let succession = Rc::clone(succession);
            tokio::task::spawn_local(async move {
                let status = match election.query_status(&service, &target).await {
                    Probe::Status(status) => status,
                    Probe::Refused => {
                        succession.borrow_mut().record_refusal(target.server);
                        return;
                    }
                    Probe::Alive | Probe::Silent => return,
                };
                let report = Report {
                    role: status.role,
                    term: status.term,
                    received: status.received,
                };
                succession.borrow_mut().record_report(target.server, report);
                service.failover_notify.notify_one();
            });
        }
    }

    /// Queries the status of a server on a separate connection, because pooled connections may be
    /// stuck.
    async fn query_status(&self, service: &Rc<Service<C>>, target: &Target) -> Probe {
        let sent = self.site.now();
        let asked = timeout(STATUS_TIMEOUT, async {
            let id = self.site.next_id();
            let mut back = ServerConnection::<C>::connect(id, target, &self.site.host).await?;
            let status = back.status().await?;
            let newest = service.newest_term();
            match status.role {
                // A replaced primary is back or reachable again.
                Role::Primary if status.term < newest => {
                    service.record_status(target.server, &status, sent);
                    back.step_down(newest).await
                }
                Role::Primary | Role::Replica => Ok(status),
            }
        });
        let error = match asked.await {
            Ok(Ok(status)) => {
                service.record_status(target.server, &status, sent);
                return Probe::Status(status);
            }
            Ok(Err(error)) => error,
            Err(_) => server_connection::Error::Io(std::io::ErrorKind::TimedOut.into()),
        };
        service.record_failure(target.server, &error, sent);
        match error {
            server_connection::Error::Io(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                Probe::Silent
            }
            server_connection::Error::Io(_) => Probe::Refused,
            server_connection::Error::Codec(_) | server_connection::Error::Refused(_) => {
                Probe::Alive
            }
        }
    }

    /// Announces the end of the current term to the other hosts, then orders `server` to lead.
    async fn promote(
        self: Rc<Self>,
        service: Rc<Service<C>>,
        succession: Rc<RefCell<Succession>>,
        server: ServerKey,
        token: FencingToken,
    ) {
        let id = service.name_of(Some(server));
        let serves = match self.trouble(&service) {
            Some(Trouble::Leaving) => service.remaining_service_time(),
            _ => Duration::ZERO,
        };
        let replaced = service.leader().and_then(|leader| target(&service, leader));
        let term = service.newest_term();
        if let Some(named) = service.to_peer_server(server) {
            let successor = (named, succession.borrow().successor_position());
            let ended_term = EndedTerm::new(service.name.clone(), term, token.0, successor, serves);
            service.end_term(&ended_term);
            for (_, peer) in self.fleet.peers().iter() {
                let ended_term = ended_term.clone();
                self.send(
                    &service,
                    Payload::PromotionStarted { ended_term },
                    peer.address,
                );
            }
        }
        if succession.borrow().acts_without_claim()
            && !self.has_highest_token(&service, token).await
        {
            succession
                .borrow_mut()
                .order_finished(Order::Refused, self.site.now());
            self.site.log(&Event::TurnGivenUp {
                service: service.name.clone(),
                server: id,
                token: token.0,
            });
            return;
        }
        if succession.borrow().acts_without_claim() {
            let attempt = term.number().unsigned_abs();
            self.record_unclaimed_change(&service.name, attempt);
        }
        let sent = self.site.now();
        let platform_token = Token(token.0);
        let host = &self.site.host;
        let ordered = timeout(
            ORDER_TIMEOUT,
            self.platform
                .promote(&service.name, &id, host, platform_token),
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
            token: token.0,
            outcome: format!("{order:?}"),
            millis: now.saturating_sub(sent).as_millis(),
        });
        service.failover_notify.notify_one();
    }

    /// Reports whether no other host announces an order with a higher token at the same moment.
    ///
    /// Guards against two hosts that both reach their turn while waiting for the leases of others
    /// to expire. On a platform that carries out every order, the one with the lower token would
    /// arrive second and undo the change made by the first.
    async fn has_highest_token(&self, service: &Rc<Service<C>>, token: FencingToken) -> bool {
        tokio::time::sleep(ORDER_ANNOUNCEMENT_LEAD).await;
        service.newest_order().is_none_or(|newest| newest <= token)
    }

    /// Collects what this host knows of a service, as input of its state machine.
    fn view(&self, service: &Rc<Service<C>>, succession: &Rc<RefCell<Succession>>) -> View {
        let answered = succession.borrow().answered_hosts();
        let trouble = self.trouble(service);
        let (gone, quiet_at) = self.fleet.with_quorum(|quorum, now| {
            // No host is queried about a primary that is leaving: connected hosts learn of the
            // order while the primary still serves.
            let answered = match trouble {
                Some(Trouble::Leaving) => quorum.recently_heard(now),
                _ => answered,
            };
            (quorum.gone_hosts(now), quorum.leases_end(&answered, now))
        });
        let orders_from = self.fleet.orders_from(&gone);
        let targets = service.targets();
        let synchronous = self.fleet.is_synchronous(&service.name);
        // A leaving replica still receives the log and may be the only one that holds a commit.
        let (candidates, leaving): (Vec<_>, Vec<_>) = targets
            .iter()
            .partition(|(_, state)| synchronous || *state == ServerState::Serving);
        let keys = |targets: Vec<&(Target, ServerState)>| {
            let keys = targets.into_iter().map(|(target, _)| target.server);
            keys.collect()
        };
        View {
            leader: service.leader(),
            term: service.newest_term(),
            leader_term: service.term_led(),
            terms_led: service.led_by(),
            trouble,
            newest_token: service.newest_order(),
            candidates: keys(candidates),
            leaving: keys(leaving),
            may_lack_servers: self.fleet.may_lack_servers() || self.may_list_be_copied(),
            peers: self
                .fleet
                .electors()
                .iter()
                .map(|(key, _)| *key)
                .filter(|key| !gone.contains(key))
                .collect(),
            leases_end: quiet_at.max(orders_from),
            rank: self.fleet.rank(&service.name),
            synchronous,
            newest_position: service.newest_position(),
            required_positions: service.required_positions(),
            previous_starts: service.former_starts(),
            distrusted: service.distrusted(),
        }
    }

    /// Returns the problem of a service's primary, or `None` while this host knows too little to
    /// judge.
    fn trouble(&self, service: &Service<C>) -> Option<Trouble> {
        if !self.fleet.is_known() {
            return None;
        }
        service.trouble()
    }
}

/// Returns the store's answer to `call` within [`CLAIM_TIMEOUT`], or a description of why there is
/// none.
async fn in_time<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, String> {
    match timeout(CLAIM_TIMEOUT, call).await {
        Ok(answer) => answer.map_err(|error| error.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}

/// Returns how to reach the server with `key`, if it is listed.
fn target<C: Codec>(service: &Rc<Service<C>>, key: ServerKey) -> Option<Target> {
    let targets = service.targets();
    let found = targets.into_iter().find(|(target, _)| target.server == key);
    found.map(|(target, _)| target)
}

/// Outcome of a status query to a server.
enum Probe {
    Status(Status),
    /// The server rejected the query, so it is running.
    Alive,
    /// The server's host refused or closed the connection.
    Refused,
    Silent,
}
