//! The controller of one shard, as an actor around the core's state machine.
//!
//! Every process has one for each shard: it stands by, or leads. The machine says what to do;
//! each action runs on its own and hands its outcome back, so none waits for another.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorContext as _, AsyncContext, Context, Handler, Message, MessageResult};
use flamingopost_core::budget::Grant;
use flamingopost_core::budget::share::Holder;
use flamingopost_core::key::{HostKey, ServerKey, ServiceKey};
use flamingopost_core::leadership::{self, Controller, Group, Reply};
use flamingopost_core::lease::Instance;
use flamingopost_core::membership::{Leaving, Member, Membership, Process, Reason};
use flamingopost_core::row;
use flamingopost_platform::group::Status;
use flamingopost_platform::table::Tag;
use flamingopost_wire::authority::{Ask, Promise, Release, Released};
use flamingopost_wire::lease;
use flamingopost_wire::status::{self, Ordered};

use crate::budgets::{self, Budgets, Renewer};
use crate::candidate;
use crate::config::Config;
use crate::hints::Hints;
use crate::poll::Reader;
use crate::servers::{Address, Servers};
use crate::shard_floors::Keeper;
use crate::shard_status;
use crate::shared::Shared;

/// How often the machine is asked what is due.
const STEP: Duration = Duration::from_millis(25);

/// How often standbys are chosen anew and what is long gone is forgotten.
const REVIEW: Duration = Duration::from_secs(1);

/// How often floors are looked after.
const FLOORS: Duration = Duration::from_millis(500);

/// How long a shard without a row is left to the process that comes first for it.
const COURTESY: Duration = Duration::from_millis(1_000);

/// Silence of a control process after which it is no candidate for a standby.
const CANDIDATE: Duration = Duration::from_secs(5);

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
    pub(crate) leaving: Leaving,
    /// What each server last said, and when it was asked.
    pub(crate) statuses: BTreeMap<ServerKey, (Duration, Status)>,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) led: bool,
    /// Whether the process is about to end and wants a standby to take over.
    pub(crate) retiring: bool,
}

/// The configuration in force has changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Configure(pub Arc<Config>);

/// The platform's list or the operators' drains have changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Hinted(pub Arc<Hints>);

/// An entry host renews its lease.
#[derive(Message)]
#[rtype(result = "lease::Reply")]
pub struct Renew(pub lease::Renewal);

/// A controller is there, or asks for a promise.
#[derive(Message)]
#[rtype(result = "Option<Promise>")]
pub struct Asked(pub Ask);

/// A successor wants this process to give up.
#[derive(Message)]
#[rtype(result = "Released")]
pub struct GiveUp(pub Release);

/// An operator wants a planned promotion.
#[derive(Message)]
#[rtype(result = "Ordered")]
pub struct Order(pub String);

/// An operator wants to know the state; `None` where another process leads the shard.
#[derive(Message)]
#[rtype(result = "Option<status::Status>")]
pub struct Report;

/// The process is about to end: a standby is to take over. Answers whether this process still
/// leads the shard.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Retire;

/// The process is over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Quit;

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
            leaving: Leaving::default(),
            statuses: BTreeMap::new(),
            config: None,
            led: false,
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
        let leads = self.controller.leads(now).is_some();
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
        let shard = self.number.to_string();
        metrics::gauge!("flamingopost_shard_leads", "shard" => shard)
            .set(f64::from(u8::from(leads)));
    }

    fn configure(&mut self, config: Arc<Config>) {
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

    fn take_hints(&mut self, hints: &Hints) {
        let mut changed = false;
        changed |= self
            .leaving
            .replace(Reason::Operator, hints.drained.clone());
        changed |= self
            .leaving
            .replace(Reason::Platform, hints.leaving.clone());
        let hosts = hints.hosts.iter();
        self.membership
            .listed(hosts.map(|(host, hint)| (*host, *hint)).collect());
        if !hints.zones.is_empty() {
            self.controller.list(hints.zones.clone());
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
        self.controller.candidates(hosts);
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

    fn renew(&mut self, renewal: lease::Renewal) -> lease::Reply {
        let now = self.shared.now();
        self.shared.hear(renewal.config);
        let decoded = self.decode(&renewal);
        let holder = decoded.holder;
        let member = Member {
            zone: decoded.zone,
            heard: now,
            config: renewal.config,
            stopping: renewal.stopping,
        };
        self.membership.heartbeat(process(holder), member);
        match self.controller.renewal(&decoded, now) {
            Reply::Refused { controller } => lease::Reply::Refused(self.refusal(controller)),
            Reply::Granted {
                version,
                valid,
                view,
            } => {
                let grants = self.allot(&renewal, holder, valid, now);
                let directory = self.shared.directory();
                let view =
                    view.map(|view| flamingopost_wire::view::Shard::encode(&view, &directory));
                lease::Reply::Granted(lease::Grant {
                    version: version.into(),
                    valid_ms: millis(valid),
                    view,
                    allotment: grants
                        .iter()
                        .map(|(name, g)| (name.clone(), g.leased))
                        .collect(),
                    floors: floors(&grants),
                    config: self.shared.heard(),
                })
            }
        }
    }

    fn allot(
        &mut self,
        renewal: &lease::Renewal,
        holder: Instance,
        valid: Duration,
        now: Duration,
    ) -> BTreeMap<String, Grant> {
        let of_budget = Holder {
            host: holder.host,
            incarnation: holder.incarnation,
        };
        if renewal.stopping {
            self.budgets.release(of_budget);
            self.leases.remove(&holder);
            self.granted.remove(&holder);
            return BTreeMap::new();
        }
        self.holders.insert(holder, renewal.rpc.clone());
        self.leases.insert(holder, now + valid);
        let directory = self.shared.directory();
        let demand = renewal.demand.iter();
        let demand = demand
            .filter_map(|(name, count)| Some((directory.servers.find(name)?, *count)))
            .collect();
        let renewer = Renewer {
            holder: of_budget,
            zone: self
                .shared
                .intern(|names| names.zones.intern(&renewal.zone)),
            valid,
        };
        let grants = self.budgets.renew(renewer, &demand, now);
        let total = grants.values().map(|grant| u32::from(grant.leased)).sum();
        self.granted.insert(holder, total);
        let named = grants.iter().filter_map(|(key, grant)| {
            let name = directory.servers.name(*key)?.to_owned();
            Some((name, *grant))
        });
        named.collect()
    }

    fn decode(&self, renewal: &lease::Renewal) -> leadership::Renewal {
        self.shared.intern(|directory| leadership::Renewal {
            holder: Instance {
                host: directory.hosts.intern(&renewal.host),
                incarnation: renewal.incarnation,
            },
            zone: directory.zones.intern(&renewal.zone),
            version: renewal.version.map(Into::into),
            reports: renewal
                .reports
                .iter()
                .filter_map(|(name, report)| Some((directory.servers.find(name)?, report.into())))
                .collect(),
            stopping: renewal.stopping,
        })
    }

    fn refusal(&self, controller: Option<HostKey>) -> lease::Refusal {
        let directory = self.shared.directory();
        let host = controller.and_then(|key| directory.hosts.name(key));
        let redirect = host
            .filter(|host| **host != self.shared.process().host)
            .and_then(|host| self.shared.rpc_of(host));
        lease::Refusal {
            redirect,
            config: self.shared.heard(),
        }
    }

    fn asked(&mut self, ask: &Ask) -> Option<Promise> {
        self.shared
            .lead(self.number, ask.epoch, &ask.controller, &ask.rpc);
        let row: Option<row::Row> = match &ask.row {
            None => None,
            Some(row) => {
                let decoded = self.shared.intern(|directory| row.decode(directory));
                Some(decoded.ok()?)
            }
        };
        let ask = flamingopost_core::authority::Ask {
            epoch: ask.epoch,
            promise: ask.promise,
            revision: ask.revision,
            row,
        };
        Some(self.controller.asked(&ask, self.shared.now()).into())
    }

    fn give_up(&mut self, release: &Release) -> Released {
        let released = self.controller.release(release.epoch, self.shared.now());
        let directory = self.shared.directory();
        let row = released.row.as_ref();
        Released {
            incarnation: released.incarnation,
            leases_ms: millis(released.leases),
            row: row.and_then(|row| flamingopost_wire::row::Row::encode(row, &directory).ok()),
        }
    }

    fn order(&mut self, name: &str) -> Ordered {
        let now = self.shared.now();
        let key = self.shared.directory().services.find(name);
        let Some(key) = key.filter(|key| self.serves(*key)) else {
            return Ordered::NoSuchService;
        };
        if self.controller.leads(now).is_none() {
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

    pub(crate) fn serves(&self, service: ServiceKey) -> bool {
        let config = self.config.as_ref();
        let known = config.and_then(|config| config.fleet.services.get(&service));
        known.is_some_and(|service| service.shard == self.number)
    }
}

fn floors(grants: &BTreeMap<String, Grant>) -> BTreeMap<String, lease::Floor> {
    let given = grants.iter().filter(|(_, grant)| grant.floor > 0);
    given
        .map(|(name, grant)| {
            let floor = lease::Floor {
                connections: grant.floor,
                valid_ms: millis(grant.floor_valid),
            };
            (name.clone(), floor)
        })
        .collect()
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
        ctx.run_interval(STEP, |shard, ctx| shard.step(ctx));
        ctx.run_interval(REVIEW, |shard, _| shard.review());
        ctx.run_interval(FLOORS, |shard, ctx| shard.keep_floors(ctx));
    }
}

impl Handler<Configure> for Shard {
    type Result = ();

    fn handle(&mut self, message: Configure, ctx: &mut Self::Context) {
        self.configure(message.0);
        self.step(ctx);
    }
}

impl Handler<Hinted> for Shard {
    type Result = ();

    fn handle(&mut self, message: Hinted, ctx: &mut Self::Context) {
        self.take_hints(&message.0);
        self.step(ctx);
    }
}

impl Handler<Retire> for Shard {
    type Result = bool;

    fn handle(&mut self, _: Retire, _: &mut Self::Context) -> Self::Result {
        self.retiring = true;
        self.controller.view().is_some()
    }
}

impl Handler<Quit> for Shard {
    type Result = ();

    fn handle(&mut self, _: Quit, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

impl Handler<Renew> for Shard {
    type Result = MessageResult<Renew>;

    fn handle(&mut self, message: Renew, ctx: &mut Self::Context) -> Self::Result {
        let reports_failures = message.0.reports.values().any(|report| report.failures > 0);
        let reply = self.renew(message.0);
        if reports_failures {
            self.step(ctx);
        }
        MessageResult(reply)
    }
}

impl Handler<Asked> for Shard {
    type Result = MessageResult<Asked>;

    fn handle(&mut self, message: Asked, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.asked(&message.0))
    }
}

impl Handler<GiveUp> for Shard {
    type Result = MessageResult<GiveUp>;

    fn handle(&mut self, message: GiveUp, ctx: &mut Self::Context) -> Self::Result {
        let released = self.give_up(&message.0);
        self.step(ctx);
        MessageResult(released)
    }
}

impl Handler<Order> for Shard {
    type Result = MessageResult<Order>;

    fn handle(&mut self, message: Order, ctx: &mut Self::Context) -> Self::Result {
        let ordered = self.order(&message.0);
        self.step(ctx);
        MessageResult(ordered)
    }
}

impl Handler<Report> for Shard {
    type Result = MessageResult<Report>;

    fn handle(&mut self, _: Report, _: &mut Self::Context) -> Self::Result {
        MessageResult(shard_status::report(self))
    }
}
