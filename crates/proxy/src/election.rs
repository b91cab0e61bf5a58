//! Runs the failover of each service's primary: queries hosts and servers, claims a change in the
//! platform's store, and orders the promotion.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::change_log::{ChangeLog, Coverage};
use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::quorum::Closing;
use flamingopost_core::succession::{FencingToken, Ground, NextStep, Order, Succession, View};
use flamingopost_daemon::task;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::codec::Codec;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::peer::{EndedTerm, Payload, Socket};
use crate::platform::{Error, Platform, Revision, Token};
use crate::server_connection::Target;
use crate::service::Service;
use crate::shared_probe::SharedProbes;
use crate::site::Site;

mod claim_holder;
mod claims;
mod closing;
mod electorate;
mod empty_log;
mod ended_terms;
mod handover;
mod limits;
mod log_reports;
mod messaging;
mod promote;
mod reachability;
mod receive;
mod run;
mod status;
mod successor;
mod unheard_order;
mod view;

use status::Probe;

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
    /// Identifies this process to the other hosts.
    process: u64,
    /// When this process started.
    started_at: Duration,
    /// Changes of primaries that this host has learned of, for the other hosts.
    ended_terms: RefCell<ChangeLog>,
    /// Processes of other hosts that had no contact to a majority yet when this host first heard them.
    fresh_processes: RefCell<BTreeMap<HostKey, u64>>,
    /// Changes of services that are not configured here yet, with the hosts that reported them.
    unconfigured_terms: RefCell<BTreeMap<String, (String, EndedTerm)>>,
    /// Which changes were received from each elector.
    received_terms: RefCell<BTreeMap<HostKey, Coverage>>,
    /// Claims held by other hosts, by service and the revision at which they were won, and when this host
    /// first saw or heard of each of them.
    known_claims: RefCell<BTreeMap<(String, Revision), Duration>>,
    /// Ids of the servers that holders of claims were about to order, by service and change number.
    named_successors: RefCell<BTreeMap<(String, u64), String>>,
    /// Changes of primaries that were claimed or ordered, by service and change number.
    changes: RefCell<BTreeMap<(String, u64), claims::Change>>,
    /// The newest claim of each service. `None` until the claims were read.
    newest_claims: RefCell<Option<BTreeMap<String, claims::NewestClaim>>>,
    /// The newest revision of the store that this host knew while the primary of each service was well.
    well_at: RefCell<BTreeMap<String, Revision>>,
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
    /// The agreement on the electorate.
    agreement: RefCell<electorate::Agreement>,
    /// Whether a read of the store's claims is in flight.
    is_reading_claims: Cell<bool>,
    /// When the newest such read was sent that gave a lease for every service.
    claims_read_at: Cell<Option<Duration>>,
    /// When this host was last in contact with a majority of the other hosts.
    last_quorum_at: Cell<Option<Duration>>,
    /// Whether this host holds its lease, and since when that has been the case.
    lease_state: Cell<(bool, Duration)>,
    /// Whether all prior orders were known when that was last checked.
    orders_check: Cell<Option<messaging::OrdersCheck>>,
    /// When this host first knew the list of hosts.
    hosts_known_since: Cell<Option<Duration>>,
    /// When this host first knew the list of servers.
    servers_known_since: Cell<Option<Duration>>,
    /// Requests of other hosts for the state of a leaving primary's successor, by service.
    successor_queries: RefCell<BTreeMap<String, Vec<successor::Query>>>,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Creates an election that has not started yet.
    pub fn new(
        site: Rc<Site>,
        fleet: Rc<Fleet<C>>,
        platform: Rc<P>,
        socket: Rc<Socket>,
    ) -> Election<C, P> {
        let started_at = site.now();
        let lease_state = Cell::new((false, started_at));
        Election {
            lease_state,
            site,
            fleet,
            platform,
            socket,
            services: RefCell::default(),
            reserved_token: RefCell::default(),
            process: rand::random(),
            started_at,
            ended_terms: RefCell::default(),
            fresh_processes: RefCell::default(),
            unconfigured_terms: RefCell::default(),
            received_terms: RefCell::default(),
            known_claims: RefCell::default(),
            named_successors: RefCell::default(),
            changes: RefCell::default(),
            newest_claims: RefCell::default(),
            well_at: RefCell::default(),
            orders_known: Cell::new(false),
            claims_checked_in: Cell::default(),
            unclaimed_changes: RefCell::default(),
            late_claims_at: Cell::default(),
            claims_verified_in: Cell::default(),
            verification_attempted_at: Cell::default(),
            records: RefCell::default(),
            written_services: Mutex::default(),
            probes: RefCell::default(),
            agreement: RefCell::default(),
            is_reading_claims: Cell::new(false),
            claims_read_at: Cell::new(None),
            last_quorum_at: Cell::new(None),
            orders_check: Cell::new(None),
            hosts_known_since: Cell::new(None),
            servers_known_since: Cell::new(None),
            successor_queries: RefCell::default(),
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
            NextStep::Claim | NextStep::RenewClaim { .. } => {
                let (election, service) = (Rc::clone(self), Rc::clone(service));
                let (succession, panicked) = (Rc::clone(succession), Rc::clone(succession));
                let site = Rc::clone(&self.site);
                let attempt = view.term.number().unsigned_abs();
                let claim = election.claim(service, succession, attempt);
                task::spawn_or_else("claim", claim, move || {
                    // Another host may hold the claim, so the change begins anew.
                    panicked.borrow_mut().resume_after_pause(site.now());
                });
            }
            NextStep::EndTerm { server, token } => {
                self.end_term(service, succession, server, token);
            }
            NextStep::Promote { server, token } => {
                let (election, service) = (Rc::clone(self), Rc::clone(service));
                let (succession, panicked) = (Rc::clone(succession), Rc::clone(succession));
                let site = Rc::clone(&self.site);
                let promote = election.promote(service, succession, server, token);
                task::spawn_or_else("promotion", promote, move || {
                    // The order may have been given.
                    let now = site.now();
                    panicked.borrow_mut().order_finished(Order::Unknown, now);
                });
            }
        }
    }

    /// Logs which hosts were told of the end of the term before an order, whether each of them has
    /// confirmed it, how long ago each was last heard, and what lets the order go.
    fn log_order_basis(
        &self,
        service: &Rc<Service<C>>,
        server: ServerKey,
        closing: &Closing,
        ground: Option<(Ground, ServerKey)>,
    ) {
        let electors = self.fleet.electors();
        let contacts = electors.iter().map(|(key, peer)| {
            let state = match closing.is_confirmed(*key) {
                true => "confirmed",
                false => "not confirmed",
            };
            let age = self.fleet.with_quorum(|quorum, now| quorum.age(*key, now));
            let millis = age.unwrap_or_default().as_millis();
            format!("{} ({state}, heard {millis} ms ago)", peer.host)
        });
        let contacts: Vec<String> = contacts.collect();
        let clearance = self
            .fleet
            .with_quorum(|quorum, now| quorum.order_from(closing, now));
        self.site.log(&Event::Rests {
            basis: clearance.map_or_else(String::new, |it| it.basis.to_string()),
            service: service.name.clone(),
            server: service.name_of(Some(server)),
            millis: self
                .site
                .now()
                .saturating_sub(closing.announced_at())
                .as_millis(),
            hosts: contacts.join(", "),
            longest: service.name_of(ground.map(|(_, longest)| longest)),
            ground: ground.map_or_else(String::new, |(ground, _)| ground.to_string()),
            electorate: self
                .fleet
                .with_quorum(|it, _| it.standing().number.to_string()),
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
