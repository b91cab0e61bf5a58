//! What all parts of an entry host process share: the clock, the configuration in force, the
//! leases, and what was seen of the backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use flamingopost_core::budget::Grant;
use flamingopost_core::budget::host_budget::{CLOSE_MARGIN, HostBudget};
use flamingopost_core::clock::Clock;
use flamingopost_core::directory::Directory;
use flamingopost_core::history::History;
use flamingopost_core::key::{ServerKey, ServiceKey};
use flamingopost_core::lease::{Acknowledge, Leader, LeaseHolder};
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use flamingopost_core::view;
use flamingopost_daemon::incarnation;
use flamingopost_daemon::stop::Stop;
use tokio::sync::{Notify, watch};

use crate::adopted::Adopted;
use crate::report::{Outcome, Tallies, Tally};

/// Shared by all tasks of an entry host.
pub struct Shared {
    clock: Arc<dyn Clock>,
    stop: Stop,
    incarnation: u64,
    directory: RwLock<Arc<Directory>>,
    adopted: watch::Sender<Option<Arc<Adopted>>>,
    leases: Mutex<LeaseHolder>,
    changes: watch::Sender<u64>,
    purses: Mutex<BTreeMap<ServerKey, HostBudget>>,
    tallies: Mutex<Tallies>,
    demand: Mutex<BTreeMap<ServerKey, u16>>,
    renew: Notify,
    heard: AtomicU64,
}

impl Shared {
    /// What a host starts with: no configuration and no lease.
    pub fn new(clock: Arc<dyn Clock>, stop: Stop) -> Shared {
        let incarnation = incarnation::random();
        Shared {
            clock,
            stop,
            incarnation,
            directory: RwLock::default(),
            adopted: watch::Sender::new(None),
            leases: Mutex::new(LeaseHolder::new(incarnation)),
            changes: watch::Sender::new(0),
            purses: Mutex::default(),
            tallies: Mutex::default(),
            demand: Mutex::default(),
            renew: Notify::new(),
            heard: AtomicU64::new(0),
        }
    }

    /// The clock that every decision of the process is timed by.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Now, by the clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// How far the process is on its way out.
    pub fn stop(&self) -> &Stop {
        &self.stop
    }

    /// The number that this run of the process drew.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The names known so far.
    pub fn directory(&self) -> Arc<Directory> {
        let directory = self.directory.read();
        directory.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Lets `work` add names. Those who hold an earlier directory keep it; keys are the same.
    pub fn intern<T>(&self, work: impl FnOnce(&mut Directory) -> T) -> T {
        let directory = self.directory.write();
        let mut directory = directory.unwrap_or_else(PoisonError::into_inner);
        work(Arc::make_mut(&mut directory))
    }

    /// The configuration in force, if there is one yet.
    pub fn adopted(&self) -> Option<Arc<Adopted>> {
        self.adopted.borrow().clone()
    }

    /// Wakes whoever waits for a change of the configuration in force.
    pub fn adoptions(&self) -> watch::Receiver<Option<Arc<Adopted>>> {
        self.adopted.subscribe()
    }

    /// Puts `newer` in force unless a version as high already is. Returns whether it did.
    pub fn adopt(&self, newer: Adopted) -> bool {
        self.adopted.send_if_modified(|current| {
            // Two loops may have fetched two versions at the same time; compared and set under
            // one lock, the lower one can never come last and take the higher one back.
            let known = current.as_ref().map_or(0, |adopted| adopted.version);
            let rises = newer.version > known;
            if rises {
                *current = Some(Arc::new(newer));
            }
            rises
        })
    }

    /// Notes the highest configuration version that this host has heard of.
    pub fn hear(&self, version: u64) {
        self.heard.fetch_max(version, Ordering::Relaxed);
    }

    /// The highest configuration version heard of, in force or not.
    pub fn heard(&self) -> u64 {
        self.heard.load(Ordering::Relaxed)
    }

    /// Who leads `service` now, as far as this host may act on it.
    pub fn leader(&self, service: ServiceKey) -> Leader {
        self.leases().leader(service, self.clock.now())
    }

    /// Whether a write that was sent under `term`, and answered with `position`, may be
    /// acknowledged to its caller. Call it after the answer came, and answer the caller next.
    pub fn acknowledge(&self, service: ServiceKey, term: Term, position: Position) -> Acknowledge {
        let mut leases = self.leases();
        // The clock is read under the lock: read before, it could be from before a long wait
        // for the lock, and the write would be judged by a lease that has run out since.
        let now = self.clock.now();
        leases.acknowledge(service, term, position, now)
    }

    /// Where each term of `service` began.
    pub fn history(&self, service: ServiceKey) -> Option<History> {
        self.leases().history(service).cloned()
    }

    /// What the view acted by says of `service`.
    pub fn service(&self, service: ServiceKey) -> Option<view::Service> {
        self.leases().service(service).cloned()
    }

    /// Whether `server` receives no new work, by the configuration or by its controller.
    pub fn leaving(&self, server: ServerKey) -> bool {
        let Some(adopted) = self.adopted() else {
            return false;
        };
        let Some(facts) = adopted.fleet.servers.get(&server) else {
            return true;
        };
        let leases = self.leases();
        let by_view = leases.service(facts.service);
        facts.leaving || by_view.is_some_and(|service| service.leaving.contains(&server))
    }

    /// Connections that the host may have open to `server` now. It falls a moment before a grant
    /// runs out, so that connections are gone when another host is given them.
    pub fn allotment(&self, server: ServerKey) -> u16 {
        let soon = self.clock.now() + CLOSE_MARGIN;
        lock(&self.purses)
            .get(&server)
            .map_or(0, |purse| purse.allowed(soon))
    }

    /// Whether the host may have a connection to any backend server now.
    pub fn may_connect(&self) -> bool {
        let soon = self.clock.now() + CLOSE_MARGIN;
        let purses = lock(&self.purses);
        purses.values().any(|purse| purse.allowed(soon) > 0)
    }

    /// Records connections granted in answer to a renewal sent at `sent`, for a lease of `valid`.
    pub fn allot(&self, granted: BTreeMap<ServerKey, Grant>, sent: Duration, valid: Duration) {
        let mut purses = lock(&self.purses);
        for (server, grant) in granted {
            let purse = purses.entry(server).or_default();
            purse.grant(grant, sent, valid);
        }
    }

    /// Says how many connections to `server` the host could use.
    pub fn want(&self, server: ServerKey, connections: u16) {
        lock(&self.demand).insert(server, connections);
    }

    /// The connections wanted to each server.
    pub fn demand(&self) -> BTreeMap<ServerKey, u16> {
        lock(&self.demand).clone()
    }

    /// Notes what came of a connection attempt, a probe or a statement at `server`.
    pub fn report(&self, server: ServerKey, outcome: Outcome) {
        let now = self.clock.now();
        // The controller should hear of trouble without waiting for the next turn.
        if lock(&self.tallies).note(server, outcome, now) {
            self.renew_soon();
        }
    }

    /// Takes what the next renewal reports of `servers`, of which `primaries` lead services.
    pub fn take_tallies(
        &self,
        servers: &BTreeSet<ServerKey>,
        primaries: &BTreeSet<ServerKey>,
    ) -> BTreeMap<ServerKey, Tally> {
        lock(&self.tallies).take(servers, primaries)
    }

    /// Puts back what was taken for a renewal that did not get through.
    pub fn restore_tallies(&self, taken: &BTreeMap<ServerKey, Tally>) {
        lock(&self.tallies).restore(taken);
    }

    /// The leases, for the link to controllers.
    pub fn leases(&self) -> MutexGuard<'_, LeaseHolder> {
        lock(&self.leases)
    }

    /// Tells the data path that a view or a lease changed.
    pub fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// How many changes of views and leases there were.
    pub fn change(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Wakes whoever acts by views and leases when one changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Asks the link to renew leases at once: one was closed or found lapsed.
    pub fn renew_soon(&self) {
        self.renew.notify_one();
    }

    /// Returns when somebody asked for a renewal.
    pub async fn renewal_wanted(&self) {
        self.renew.notified().await;
    }
}

/// A panic elsewhere does not make what these locks protect wrong: each holder of a lock leaves
/// it whole between two statements.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
