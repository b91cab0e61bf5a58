//! One service as this host serves it: what is known of its servers, its pools and its gates.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_core::fleet::{Fleet, Server};
use flamingopost_core::health::{HealthState, ReplicaHealth};
use flamingopost_core::hedge::Hedge;
use flamingopost_core::key::{ServerKey, ServiceKey, ZoneKey};
use flamingopost_core::lease::Leader;
use flamingopost_core::position::Position;
use flamingopost_core::retry::budget::Budget;
use flamingopost_core::retry::{self, Attempt};
use flamingopost_core::route::server::{Freshness, ServerSettings, Status};
use flamingopost_core::route::{LEAVING_GRACE, Table};
use flamingopost_core::term::Term;
use tokio::sync::watch;

use crate::adopted::Adopted;
use crate::back;
use crate::back::Back;
use crate::gate::Gate;
use crate::pool::{Allotment, Pool};
use crate::report::Outcome;
use crate::shared::Shared;

/// Round trip to a server in another zone, beyond that to one in the same zone, until measured.
const ZONE_DISTANCE: Duration = Duration::from_millis(3);

/// What serves one server's requests.
#[derive(Clone)]
pub struct Way {
    /// Its connections.
    pub pool: Arc<Pool>,
    /// Its admission.
    pub gate: Arc<Gate>,
}

/// Where this host is.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// What it calls itself towards servers: `ZONE/HOST`.
    pub peer: Arc<str>,
}

/// One service.
pub struct Service {
    /// Its key.
    pub key: ServiceKey,
    /// Its name, the database name on its servers.
    pub name: String,
    shared: Arc<Shared>,
    changes: watch::Receiver<u64>,
    adoptions: watch::Receiver<Option<Arc<Adopted>>>,
    place: Place,
    state: Mutex<State>,
    /// When a caller last asked something, in milliseconds of the clock.
    used: AtomicU64,
}

struct State {
    table: Table,
    ways: BTreeMap<ServerKey, Way>,
    synced: Option<Synced>,
    retries: Budget,
    /// How fast its replicas answer, compared with each other.
    panel: ReplicaHealth,
    hedge: Hedge,
    hedges: Budget,
    /// Parameters that its servers report at start-up.
    parameters: Arc<Vec<(String, String)>>,
}

/// What the table was last brought up to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Synced {
    changes: u64,
    version: u64,
}

impl Allotment for Shared {
    fn limit(&self, server: ServerKey) -> u16 {
        self.allotment(server)
    }
}

impl Service {
    /// A service of which nothing is known yet, seen from `place`.
    pub fn new(key: ServiceKey, name: String, place: Place, shared: Arc<Shared>) -> Service {
        let state = State {
            table: Table::new(place.zone),
            ways: BTreeMap::new(),
            synced: None,
            retries: Budget::retries(),
            panel: ReplicaHealth::default(),
            hedge: Hedge::default(),
            hedges: Budget::hedges(),
            parameters: Arc::default(),
        };
        Service {
            key,
            name,
            changes: shared.changes(),
            adoptions: shared.adoptions(),
            shared,
            place,
            state: Mutex::new(state),
            used: AtomicU64::new(0),
        }
    }

    /// Works on the table of servers, brought up to date first.
    pub fn with_table<T>(&self, work: impl FnOnce(&mut Table, Duration) -> T) -> T {
        let now = self.shared.now();
        let mut state = self.lock();
        self.sync(&mut state, now);
        work(&mut state.table, now)
    }

    /// How to reach `server`, if it is one of the service's.
    pub fn way(&self, server: ServerKey) -> Option<Way> {
        self.lock().ways.get(&server).cloned()
    }

    /// Every server and the way to it.
    pub fn ways(&self) -> Vec<(ServerKey, Way)> {
        let now = self.shared.now();
        let mut state = self.lock();
        self.sync(&mut state, now);
        let ways = state.ways.iter();
        ways.map(|(key, way)| (*key, way.clone())).collect()
    }

    /// Parameters that servers report to everybody who connects.
    pub fn parameters(&self) -> Arc<Vec<(String, String)>> {
        Arc::clone(&self.lock().parameters)
    }

    /// Notes that a caller asked something.
    pub fn touch(&self, now: Duration) {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.used.store(millis, Ordering::Relaxed);
    }

    /// How long nobody has asked anything.
    pub fn unused(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.used.load(Ordering::Relaxed)))
    }

    /// Notes what `back` told of its server in answer to something sent at `sent`; `fresh` where
    /// it told how current its data are.
    pub fn heard(&self, back: &Back, fresh: Option<Freshness>, sent: Duration) {
        self.shared
            .report(back.server, Outcome::Answered(back.position));
        let Some(position) = back.position else {
            return;
        };
        let status = Status { position, fresh };
        self.with_table(|table, now| table.record_status(back.server, status, sent, now));
        let mut state = self.lock();
        if state.parameters.is_empty() && !back.parameters.is_empty() {
            state.parameters = Arc::new(back.parameters.clone());
        }
    }

    /// Notes that a connection to `server` was refused or broke, which slowness does not explain:
    /// controllers need not wait as long as for one that is merely silent.
    pub fn broke(&self, server: ServerKey) {
        self.shared.report(server, Outcome::Broken);
        self.with_table(|table, now| table.mark_unreachable(server, now));
    }

    /// Notes what kept a connection to `server` from being opened or used.
    pub fn stumbled(&self, server: ServerKey, error: &back::Error) {
        match error {
            back::Error::Io(_) => self.broke(server),
            _ => self.failed(server),
        }
    }

    /// Notes that `server` did not answer in time, or could not be used.
    pub fn failed(&self, server: ServerKey) {
        self.shared.report(server, Outcome::Failed);
        self.with_table(|table, now| table.mark_unreachable(server, now));
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.shared.now()
    }

    /// Tells the controller how many connections to `server` there is use for, and admission how
    /// many there may be: requests past them would wait in the pool, where weight does not count.
    /// One is always let through, because the first grant comes only after somebody wanted it.
    pub fn want(&self, server: ServerKey, way: &Way) {
        self.shared.want(server, way.gate.demand());
        way.gate.allow(self.shared.allotment(server).max(1));
    }

    /// Notes that a request starts on `server`.
    pub fn started(&self, server: ServerKey) {
        self.with_table(|table, now| table.request_started(server, now));
    }

    /// After which wait a copy of a read is sent, where its rule says `wait`; nothing before
    /// enough was learnt.
    pub fn hedge_wait(&self, rule: Duration) -> Option<Duration> {
        let mut state = self.lock();
        state.hedges.record_request();
        state.hedge.wait(rule)
    }

    /// Whether a copy may be sent now.
    pub fn may_hedge(&self) -> bool {
        let mut state = self.lock();
        let State { hedge, hedges, .. } = &mut *state;
        hedge.may_send(hedges)
    }

    /// The first copy of a read was answered after `took`.
    pub fn hedge_answered(&self, took: Duration) {
        self.lock().hedge.record(took);
    }

    /// Notes that it ended, after `took` where it was answered.
    pub fn finished(&self, server: ServerKey, took: Option<Duration>) {
        let distance = self.with_table(|table, _| {
            table.request_finished(server, took);
            let known = table.servers().get(&server);
            known.map(|known| known.settings.distance)
        });
        if let (Some(took), Some(distance)) = (took, distance)
            && Some(server) != self.leading()
        {
            let took = took.saturating_sub(distance);
            self.lock().panel.record(server, took);
        }
    }

    /// Sets slow replicas aside and takes them back; to be called a few times a second. Returns
    /// what changed.
    pub fn judge(&self) -> Vec<(ServerKey, HealthState)> {
        let primary = self.leading();
        let mut busy = (0, 0);
        for (key, way) in self.ways() {
            if Some(key) != primary {
                let (running, slots) = way.gate.load();
                busy = (busy.0 + running, busy.1 + slots);
            }
        }
        let now = self.shared.now();
        let mut state = self.lock();
        if let Some(primary) = primary {
            state.panel.remove(primary);
            state.table.set_health(primary, HealthState::Full);
        }
        let busy = busy.0 as f64 / f64::from(u32::try_from(busy.1.max(1)).unwrap_or(u32::MAX));
        let changed = state.panel.evaluate(busy, now);
        for (server, standing) in &changed {
            state.table.set_health(*server, *standing);
        }
        changed
    }

    /// The server that leads, or last did.
    fn leading(&self) -> Option<ServerKey> {
        match self.shared.leader(self.key) {
            Leader::Open { primary, .. } | Leader::Lapsed { primary, .. } => Some(primary),
            Leader::Closed { .. } | Leader::Unknown => None,
        }
    }

    /// Notes the first attempt at a request, which pays into the budget of retries.
    pub fn tell_first_attempt(&self) {
        self.lock().retries.record_request();
    }

    /// Whether a failed attempt is followed by another.
    pub fn retry(&self, attempt: &Attempt) -> retry::RetryDecision {
        let now = self.shared.now();
        retry::decide(attempt, &mut self.lock().retries, now)
    }

    /// Whether `term` is, as far as this host knows, not over.
    pub fn leads(&self, term: Term) -> bool {
        match self.shared.leader(self.key) {
            Leader::Open { term: open, .. } | Leader::Lapsed { term: open, .. } => open == term,
            Leader::Closed { .. } | Leader::Unknown => false,
        }
    }

    /// Whether `term` is open and its lease valid.
    pub fn leads_under_lease(&self, term: Term) -> bool {
        let leader = self.shared.leader(self.key);
        matches!(leader, Leader::Open { term: open, .. } if open == term)
    }

    /// Whether `server` leads `term`, and its lease is valid.
    pub fn may_write(&self, server: ServerKey, term: Term) -> bool {
        self.shared.leader(self.key)
            == Leader::Open {
                term,
                primary: server,
            }
    }

    /// Whether something may begin on `server`.
    pub fn takes_work(&self, server: ServerKey) -> bool {
        self.with_table(|table, now| {
            let known = table.servers().get(&server);
            known.is_some_and(|known| {
                let since = known.leaving;
                since.is_none_or(|since| now <= since + LEAVING_GRACE)
            })
        })
    }

    /// Every server but the primary, with the position last heard of it.
    pub fn replicas(&self) -> Vec<(ServerKey, Way, Option<Position>)> {
        let primary = self.leading();
        let ways = self.ways();
        let others = ways.into_iter().filter(|(key, _)| Some(*key) != primary);
        self.with_table(|table, _| {
            let position = |key| table.servers().get(&key).and_then(|known| known.position());
            others.map(|(key, way)| (key, way, position(key))).collect()
        })
    }

    /// Whether a server at `server` has everything up to `wanted`.
    pub fn covers(&self, server: Position, wanted: Position) -> bool {
        self.with_table(|table, _| table.history().covers(server, wanted))
    }

    fn sync(&self, state: &mut State, now: Duration) {
        let changes = *self.changes.borrow();
        let adopted = self.adoptions.borrow();
        let wanted = Synced {
            changes,
            version: adopted.as_ref().map_or(0, |adopted| adopted.version),
        };
        if state.synced == Some(wanted) {
            return;
        }
        let adopted = adopted.clone();
        if let Some(adopted) = adopted {
            let renewed = state.synced.map(|synced| synced.version) != Some(wanted.version);
            if renewed {
                self.configure(state, &adopted.fleet, now);
            }
            self.lead(state, &adopted.fleet, now);
        }
        state.synced = Some(wanted);
    }

    fn configure(&self, state: &mut State, fleet: &Fleet, now: Duration) {
        let servers = fleet.servers.iter();
        let servers: BTreeMap<ServerKey, &Server> = servers
            .filter(|(_, server)| server.service == self.key)
            .map(|(key, server)| (*key, server))
            .collect();
        let facts = servers
            .iter()
            .map(|(key, server)| (*key, self.facts(server)))
            .collect();
        state.table.configure(&facts, now);
        state.ways.retain(|key, way| {
            let server = servers.get(key);
            server.is_some_and(|server| server.address == way.pool.address())
        });
        for (key, server) in servers {
            let ways = state.ways.entry(key);
            ways.or_insert_with(|| self.open_way(key, server));
        }
    }

    fn facts(&self, server: &Server) -> ServerSettings {
        let near = server.zone == self.place.zone;
        ServerSettings {
            zone: server.zone,
            slots: server.slots,
            distance: if near { Duration::ZERO } else { ZONE_DISTANCE },
            leaving: server.leaving,
        }
    }

    fn open_way(&self, key: ServerKey, server: &Server) -> Way {
        let allotment: Arc<dyn Allotment> = Arc::clone(&self.shared) as _;
        let name = self.name.clone();
        let peer = Arc::clone(&self.place.peer);
        let pool = Pool::new(key, server.address, name, peer, allotment);
        let clock = Arc::clone(self.shared.clock());
        Way {
            pool: Arc::new(pool),
            gate: Arc::new(Gate::new(clock, server.slots)),
        }
    }

    fn lead(&self, state: &mut State, fleet: &Fleet, now: Duration) {
        let leases = self.shared.leases();
        if let Some(view) = leases.service(self.key) {
            state.table.adopt(view.clone(), now);
        }
        let Some(service) = fleet.services.get(&self.key) else {
            return;
        };
        if let Leader::Open { term, .. } = leases.leader(self.key, now) {
            let left = leases.time_left(service.shard, now);
            state.table.extend_lease(term, now + left);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
