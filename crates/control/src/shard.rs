//! The controller of one shard, as an actor around the core's state machine.
//!
//! Every process has one for each shard: it stands by, or leads. The machine says what to do;
//! each action runs on its own and hands its outcome back, so none waits for another.

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
use crate::shard_floors::Keeper;
use crate::shard_status;
use crate::shared::Shared;

/// How often the machine of a controller is asked what is due.
const STEP: Duration = Duration::from_millis(25);

/// The same where this process stands by. It does so for every shard of the fleet.
const STANDBY_STEP: Duration = Duration::from_millis(100);

/// How often standbys are chosen anew and what is long gone is forgotten.
const REVIEW: Duration = Duration::from_secs(1);

/// How often floors are looked after.
const FLOORS: Duration = Duration::from_millis(500);

/// How long a shard without a row is left to the process that comes first for it.
const COURTESY: Duration = Duration::from_millis(1_000);

/// Silence of a control process after which it is no candidate for a standby. Long, for each is
/// asked rarely in a large fleet; only one that answers at once is named.
const CANDIDATE: Duration = Duration::from_secs(30);

/// The controller of one shard.
pub struct Shard {
    pub(crate) number: u16,
    /// When this process learnt of the shard.
    pub(crate) born: Duration,
    pub(crate) shared: Arc<Shared>,
    pub(crate) reader: Reader,
    pub(crate) controller: Controller,
    pub(crate) servers: Arc<Servers>,
    /// Tag of the row's revision that was last seen, for the next compare-and-set.
    pub(crate) tag: Option<(u64, Tag)>,
    /// Where lease holders are reached.
    pub(crate) holders: BTreeMap<Instance, String>,
    /// When the lease of each ends at the latest.
    pub(crate) leases: BTreeMap<Instance, Duration>,
    pub(crate) budgets: Budgets,
    pub(crate) keeper: Keeper,
    /// Connections granted to each, for operators.
    pub(crate) granted: BTreeMap<Instance, u32>,
    pub(crate) membership: Membership,
    pub(crate) leaving: LeavingServers,
    /// Entry hosts that operators want to end.
    pub(crate) drained: BTreeSet<HostKey>,
    /// What each server last said, and when it was asked.
    pub(crate) statuses: BTreeMap<ServerKey, (Duration, Status)>,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) led: bool,
    /// What the metrics say of it.
    pub(crate) shown: Option<bool>,
    /// Whether the process is about to end and wants a standby to take over.
    pub(crate) retiring: bool,
}

impl Shard {
    /// The controller of shard `number` of a process that has just started, or has just learnt
    /// that there is such a shard.
    pub fn new(number: u16, shared: Arc<Shared>, reader: Reader) -> Shard {
        let me = shared.intern(|directory| directory.hosts.intern(&shared.process().host));
        let name = format!("{}/{}", shared.process().zone, shared.process().host);
        let controller = Controller::new(me, shared.process().incarnation, shared.now());
        Shard {
            number,
            born: shared.now(),
            controller,
            reader,
            shared,
            servers: Arc::new(Servers::new(&name)),
            tag: None,
            holders: BTreeMap::new(),
            leases: BTreeMap::new(),
            budgets: Budgets::default(),
            keeper: Keeper::default(),
            granted: BTreeMap::new(),
            membership: Membership::default(),
            leaving: LeavingServers::default(),
            drained: BTreeSet::new(),
            statuses: BTreeMap::new(),
            config: None,
            led: false,
            shown: None,
            retiring: false,
        }
    }

    /// Asks the machine what is due and does it.
    pub(crate) fn step(&mut self, ctx: &mut Context<Self>) {
        let now = self.shared.now();
        for action in self.controller.step(now) {
            self.perform(action, ctx);
        }
        self.note_lead(now);
    }

    fn note_lead(&mut self, now: Duration) {
        let leads = self.controller.leading_epoch(now).is_some();
        if leads && !self.led {
            self.budgets.restart();
        }
        // An authority that has only run out for a moment keeps its connections; one that is
        // over gives them back, for they count against the server's limit.
        if self.led && !leads && self.controller.view().is_none() {
            self.servers.close();
            self.leases.clear();
            self.granted.clear();
        }
        self.led = leads || (self.led && self.controller.view().is_some());
        if self.shown != Some(leads) {
            self.shown = Some(leads);
            let shard = self.number.to_string();
            metrics::gauge!("flamingopost_shard_leads", "shard" => shard)
                .set(f64::from(u8::from(leads)));
        }
    }

    /// Asks the machine what is due, and comes back when it may have more.
    fn tick(&mut self, ctx: &mut Context<Self>) {
        self.step(ctx);
        let pause = match self.controller.view() {
            Some(_) => STEP,
            None => STANDBY_STEP,
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

    /// Tells the machine of services, servers, and who of them is leaving.
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

    pub(crate) fn take_hints(&mut self, hints: &Hints) {
        let mut changed = false;
        changed |= self
            .leaving
            .replace(Reason::Operator, hints.drained.clone());
        changed |= self
            .leaving
            .replace(Reason::Platform, hints.leaving.clone());
        self.drained.clone_from(&hints.ended);
        let hosts = hints.hosts.iter();
        self.membership
            .set_listed_hosts(hosts.map(|(host, hint)| (*host, *hint)).collect());
        if !hints.zones.is_empty() {
            self.controller.set_listed_zones(hints.zones.clone());
        }
        if changed {
            self.set_groups();
        }
    }

    /// Chooses candidates for standbys and forgets what is long gone.
    fn review(&mut self) {
        let now = self.shared.now();
        let since = now.saturating_sub(CANDIDATE);
        let heard = self.shared.peers().heard_since(since);
        let order = candidate::order(self.number, &self.shared.process().zone, heard);
        let hosts = self.shared.intern(|directory| {
            let names = order.iter();
            names.map(|host| directory.hosts.intern(host)).collect()
        });
        self.controller.set_standby_candidates(hosts);
        self.membership.forget(now);
        self.leases.retain(|_, until| *until > now);
        let known: Vec<Instance> = self.membership.members().map(instance).collect();
        self.holders.retain(|holder, _| known.contains(holder));
        self.granted.retain(|holder, _| known.contains(holder));
    }

    /// Whether a shard that nobody has claimed yet is left to another process for a moment. The
    /// first process of a fresh fleet would otherwise claim every shard.
    pub(crate) fn leaves_to_another(&self) -> bool {
        let now = self.shared.now();
        let heard = self.shared.peers().heard_since(Duration::ZERO);
        now < self.born + COURTESY
            && !candidate::is_first(self.number, &self.shared.process().host, &heard)
    }

    pub(crate) fn asked(&mut self, ask: &PromiseRequest) -> Option<Promise> {
        self.shared
            .lead(self.number, ask.epoch, &ask.controller, &ask.rpc);
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

    pub(crate) fn give_up(&mut self, release: &Release) -> Released {
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

    pub(crate) fn order(&mut self, name: &str) -> Ordered {
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
        if !shard_status::has_heir(self, key) {
            return Ordered::NoCandidate;
        }
        self.controller.switch_over(key, now);
        Ordered::Begun
    }

    /// Lets this process claim the shard at once, where `gone` are exactly those whom the row
    /// names. Naming them is how an operator says that they have been looked at: a host that is
    /// only cut off would go on, and two controllers would act for the shard.
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
        ctx.run_interval(REVIEW, |shard, _| shard.review());
        ctx.run_interval(FLOORS, |shard, ctx| shard.keep_floors(ctx));
    }
}
