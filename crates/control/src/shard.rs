//! The controller of one shard: an actor around the core's leadership state machine.
//!
//! Every process runs one actor per shard, which either leads the shard or stands by. The state
//! machine decides which actions are due. Actions run concurrently and return their outcomes to
//! the actor, so that no action waits for another.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use flamingopost_core::key::{HostKey, ServerKey, ServiceKey};
use flamingopost_core::leadership::{self, Controller, Group};
use flamingopost_core::lease::Instance;
use flamingopost_core::membership::{LeavingServers, Member, Membership, Process, Reason};
use flamingopost_core::row;
use flamingopost_platform::group::Status;
use flamingopost_platform::table::Tag;
use flamingopost_wire::authority::{Promise, PromiseRequest, Release, Released};
use flamingopost_wire::status::{Claimed, Ordered};

use crate::budgets::{self, Budgets};
use crate::candidate;
use crate::config::Config;
use crate::hints::Hints;
use crate::poll::Reader;
use crate::servers::{Address, Servers};
use crate::shard_floors::RowState;
use crate::shard_status;
use crate::shared::Shared;

/// Interval between two steps of the state machine while this process leads the shard.
const LEADER_STEP_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between two steps while this process stands by. It is longer because every process
/// stands by for every shard of the fleet.
const STANDBY_STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which standby candidates are chosen and expired state is removed.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the row of floors is read or written if necessary.
const FLOORS_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a shard without a row is left to the process that ranks first for it.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(1_000);

/// Time since its last answer after which a control process is no longer a standby candidate. The
/// time is long because each process is queried rarely in a large fleet; only a candidate that
/// answers immediately becomes a standby.
const CANDIDATE_EXPIRY: Duration = Duration::from_secs(30);

/// The controller of one shard.
pub struct Shard {
    pub(crate) number: u16,
    /// Time at which this process created the actor.
    pub(crate) created: Duration,
    pub(crate) shared: Arc<Shared>,
    pub(crate) reader: Reader,
    pub(crate) controller: Controller,
    pub(crate) servers: Arc<Servers>,
    /// Last seen revision of the row and its tag, for the next compare-and-set.
    pub(crate) tag: Option<(u64, Tag)>,
    /// Addresses of the lease holders' remote calls.
    pub(crate) holder_addresses: BTreeMap<Instance, String>,
    /// Latest time at which each holder's lease ends.
    pub(crate) lease_ends: BTreeMap<Instance, Duration>,
    pub(crate) budgets: Budgets,
    pub(crate) floors_row: RowState,
    /// Number of connections granted to each holder, for the status report.
    pub(crate) granted_connections: BTreeMap<Instance, u32>,
    pub(crate) membership: Membership,
    pub(crate) leaving: LeavingServers,
    /// Entry hosts that operators have drained.
    pub(crate) drained_hosts: BTreeSet<HostKey>,
    /// Last status of each server, and the time at which it was requested.
    pub(crate) statuses: BTreeMap<ServerKey, (Duration, Status)>,
    pub(crate) config: Option<Arc<Config>>,
    /// Whether this process has led the shard without losing its view since.
    pub(crate) was_leading: bool,
    /// Last value of the gauge `flamingopost_shard_leads`.
    pub(crate) reported_leading: Option<bool>,
    /// Whether the process is draining and waits for a standby to take over.
    pub(crate) retiring: bool,
}

impl Shard {
    /// Creates the controller of shard `number`, at the start of the process or when a new
    /// configuration adds the shard.
    pub fn new(number: u16, shared: Arc<Shared>, reader: Reader) -> Shard {
        let me = shared.intern(|directory| directory.hosts.intern(&shared.process().host));
        let name = format!("{}/{}", shared.process().zone, shared.process().host);
        let controller = Controller::new(me, shared.process().incarnation, shared.now());
        Shard {
            number,
            created: shared.now(),
            controller,
            reader,
            shared,
            servers: Arc::new(Servers::new(&name)),
            tag: None,
            holder_addresses: BTreeMap::new(),
            lease_ends: BTreeMap::new(),
            budgets: Budgets::default(),
            floors_row: RowState::default(),
            granted_connections: BTreeMap::new(),
            membership: Membership::default(),
            leaving: LeavingServers::default(),
            drained_hosts: BTreeSet::new(),
            statuses: BTreeMap::new(),
            config: None,
            was_leading: false,
            reported_leading: None,
            retiring: false,
        }
    }

    /// Advances the state machine and performs the actions that are due.
    pub(crate) fn step(&mut self, ctx: &mut Context<Self>) {
        let now = self.shared.now();
        for action in self.controller.step(now) {
            self.perform(action, ctx);
        }
        self.update_leadership(now);
    }

    fn update_leadership(&mut self, now: Duration) {
        let leads = self.controller.leading_epoch(now).is_some();
        if leads && !self.was_leading {
            self.budgets.restart();
        }
        // A brief lapse of authority keeps the connections. They are closed once the authority has
        // ended, because they count against the servers' limits.
        if self.was_leading && !leads && self.controller.view().is_none() {
            self.servers.close();
            self.lease_ends.clear();
            self.granted_connections.clear();
        }
        self.was_leading = leads || (self.was_leading && self.controller.view().is_some());
        if self.reported_leading != Some(leads) {
            self.reported_leading = Some(leads);
            let shard = self.number.to_string();
            metrics::gauge!("flamingopost_shard_leads", "shard" => shard)
                .set(f64::from(u8::from(leads)));
        }
    }

    /// Advances the state machine and schedules the next step.
    fn tick(&mut self, ctx: &mut Context<Self>) {
        self.step(ctx);
        let pause = match self.controller.view() {
            Some(_) => LEADER_STEP_INTERVAL,
            None => STANDBY_STEP_INTERVAL,
        };
        ctx.run_later(pause, Self::tick);
    }

    pub(crate) fn configure(&mut self, config: Arc<Config>) {
        let configured = config.fleet.servers.iter();
        let leaving = configured
            .filter(|(_, server)| server.leaving)
            .map(|(key, _)| *key)
            .collect();
        self.leaving.replace(Reason::Configuration, leaving);
        self.config = Some(config);
        self.set_servers();
        self.set_groups();
    }

    fn set_servers(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let directory = self.shared.directory();
        let mut addresses = BTreeMap::new();
        let mut limits = BTreeMap::new();
        for (key, service) in &config.fleet.services {
            if service.shard != self.number {
                continue;
            }
            for server in &service.servers {
                let Some(known) = config.fleet.servers.get(server) else {
                    continue;
                };
                let name = directory.services.name(*key).unwrap_or_default();
                let address = Address {
                    address: known.address,
                    service: name.to_owned(),
                };
                addresses.insert(*server, address);
                let limit = budgets::Server {
                    connections: known.connections,
                    zone: known.zone,
                };
                limits.insert(*server, limit);
            }
        }
        let timeout = self.shared.settings().server_timeout;
        self.servers.configure(&addresses, timeout);
        self.budgets.configure(limits);
        self.statuses.retain(|key, _| addresses.contains_key(key));
    }

    /// Passes the shard's services, their servers and the leaving servers to the state machine.
    pub(crate) fn set_groups(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let leaving = self.leaving.servers();
        let of_shard = config.fleet.services.iter();
        let of_shard = of_shard.filter(|(_, service)| service.shard == self.number);
        let groups: BTreeMap<ServiceKey, Group> = of_shard
            .map(|(key, service)| {
                let servers = service.servers.iter().map(|server| {
                    let leaves = match leaving.contains(server) {
                        true => leadership::Leaving::Yes,
                        false => leadership::Leaving::No,
                    };
                    (*server, leaves)
                });
                let group = Group {
                    servers: servers.collect(),
                    first_primary: service.first_primary,
                };
                (*key, group)
            })
            .collect();
        self.controller.configure(groups);
    }

    pub(crate) fn apply_hints(&mut self, hints: &Hints) {
        let mut changed = false;
        changed |= self
            .leaving
            .replace(Reason::Operator, hints.drained_servers.clone());
        changed |= self
            .leaving
            .replace(Reason::Platform, hints.leaving_servers.clone());
        self.drained_hosts.clone_from(&hints.drained_hosts);
        let hosts = hints.hosts.iter();
        self.membership
            .set_listed_hosts(hosts.map(|(host, hint)| (*host, *hint)).collect());
        if !hints.live_zones.is_empty() {
            self.controller.set_listed_zones(hints.live_zones.clone());
        }
        if changed {
            self.set_groups();
        }
    }

    /// Chooses standby candidates and removes expired members, leases and addresses.
    fn review(&mut self) {
        let now = self.shared.now();
        let since = now.saturating_sub(CANDIDATE_EXPIRY);
        let live = self.shared.peers().answered_since(since);
        let order = candidate::order(self.number, &self.shared.process().zone, live);
        let hosts = self.shared.intern(|directory| {
            let names = order.iter();
            names.map(|host| directory.hosts.intern(host)).collect()
        });
        self.controller.set_standby_candidates(hosts);
        self.membership.forget(now);
        self.lease_ends.retain(|_, until| *until > now);
        let known: Vec<Instance> = self.membership.members().map(instance).collect();
        self.holder_addresses
            .retain(|holder, _| known.contains(holder));
        self.granted_connections
            .retain(|holder, _| known.contains(holder));
    }

    /// Reports whether an unclaimed shard is left to a process that ranks before this one.
    /// Otherwise the first process of a new fleet would claim every shard.
    pub(crate) fn defers_first_claim(&self) -> bool {
        let now = self.shared.now();
        let live = self.shared.peers().answered_since(Duration::ZERO);
        now < self.created + FIRST_CLAIM_DELAY
            && !candidate::is_first(self.number, &self.shared.process().host, &live)
    }

    pub(crate) fn on_heartbeat(&mut self, ask: &PromiseRequest) -> Option<Promise> {
        self.shared
            .record_controller(self.number, ask.epoch, &ask.controller, &ask.rpc);
        let row: Option<row::Row> = match &ask.row {
            None => None,
            Some(row) => {
                let decoded = self.shared.intern(|directory| row.decode(directory));
                Some(decoded.ok()?)
            }
        };
        let ask = flamingopost_core::authority::Heartbeat {
            epoch: ask.epoch,
            wants_promise: ask.promise,
            revision: ask.revision,
            row,
        };
        Some(self.controller.on_heartbeat(&ask, self.shared.now()).into())
    }

    pub(crate) fn on_release(&mut self, release: &Release) -> Released {
        let released = self.controller.release(release.epoch, self.shared.now());
        let directory = self.shared.directory();
        let row = released.row.as_ref();
        Released {
            incarnation: released.incarnation,
            leases_ms: millis(released.leases),
            witness: released.witnessed_epoch,
            row: row.and_then(|row| flamingopost_wire::row::Row::encode(row, &directory).ok()),
        }
    }

    pub(crate) fn switch_over(&mut self, name: &str) -> Ordered {
        let now = self.shared.now();
        let key = self.shared.directory().services.find(name);
        let Some(key) = key.filter(|key| self.serves(*key)) else {
            return Ordered::NoSuchService;
        };
        if self.controller.leading_epoch(now).is_none() {
            return Ordered::NoSuchService;
        }
        let state = self
            .controller
            .view()
            .and_then(|view| view.services.get(&key));
        let open = state.is_some_and(|service| {
            matches!(service.state, flamingopost_core::view::State::Open { .. })
        });
        if !open {
            return Ordered::UnderWay;
        }
        if !shard_status::has_promotable_replica(self, key) {
            return Ordered::NoCandidate;
        }
        self.controller.switch_over(key, now);
        Ordered::Begun
    }

    /// Lets this process claim the shard immediately, if `gone` lists exactly the hosts that the
    /// row names. By listing them, an operator confirms that they are gone: a host that is only
    /// partitioned would continue, and two controllers would act for the shard.
    pub(crate) fn claim(&mut self, gone: &BTreeSet<String>) -> Claimed {
        if self.controller.view().is_some() {
            return Claimed::Leads;
        }
        let directory = self.shared.directory();
        let row = self.controller.row();
        let named = row.into_iter().flat_map(|row| {
            let hosts = row.standbys.iter().chain([&row.controller]);
            hosts.filter_map(|key| directory.hosts.name(*key))
        });
        let hosts: BTreeSet<String> = named.map(str::to_owned).collect();
        if hosts != *gone {
            return Claimed::Named { hosts };
        }
        self.controller.force();
        Claimed::Begun
    }

    pub(crate) fn serves(&self, service: ServiceKey) -> bool {
        let config = self.config.as_ref();
        let known = config.and_then(|config| config.fleet.services.get(&service));
        known.is_some_and(|service| service.shard == self.number)
    }
}

fn instance((process, _): (Process, &Member)) -> Instance {
    Instance {
        host: process.host,
        incarnation: process.incarnation,
    }
}

pub(crate) fn process(holder: Instance) -> Process {
    Process {
        host: holder.host,
        incarnation: holder.incarnation,
    }
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Actor for Shard {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.tick(ctx);
        ctx.run_interval(REVIEW_INTERVAL, |shard, _| shard.review());
        ctx.run_interval(FLOORS_INTERVAL, |shard, ctx| shard.sync_floors(ctx));
    }
}
