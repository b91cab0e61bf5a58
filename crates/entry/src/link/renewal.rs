//! Renews the leases: one for each shard, several in one call where they go the same way.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flamingopost_core::budget;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::ServerKey;
use flamingopost_core::lease::{Granted, Ticket};
use flamingopost_core::timing;
use flamingopost_core::view::{self, State};
use flamingopost_daemon::event::Event as _;
use flamingopost_wire::lease::{Grant, Refusal, Renewal, Reply};
use flamingopost_wire::rpc::ControlClient as _;

use super::controllers::Target;
use super::spread::Heard;
use super::{Link, jittered};
use crate::event::Event as Log;
use crate::report::Tally;

/// Renewals that somebody asks for out of turn are at least this far apart.
const LEAST: Duration = Duration::from_millis(50);

/// Time within which a host that has just started sends its first renewals.
const START: Duration = Duration::from_millis(100);

/// How long the last renewal, which gives everything up, may take.
const FAREWELL: Duration = Duration::from_secs(1);

/// One lease's part of a call.
struct Item {
    shard: u16,
    ticket: Ticket,
    sent: Duration,
    taken: BTreeMap<ServerKey, Tally>,
}

/// Renews until the process is over.
pub async fn run(link: Arc<Link>) {
    tokio::time::sleep(START.mul_f64(rand::random())).await;
    let turns = Turns::default();
    while link.is_running() {
        turn(&link, &turns);
        note_lapses(&link, &turns);
        show(&link);
        tokio::select! {
            () = tokio::time::sleep(jittered(timing::RENEWAL_INTERVAL)) => {}
            () = link.shared.renewal_wanted() => tokio::time::sleep(LEAST).await,
            () = link.shared.stop().stopped() => return,
        }
    }
}

/// Gives up all leases and connections: callers are gone.
pub async fn farewell(link: &Link) {
    let calls = plan(link).into_iter().map(|(address, shards)| async move {
        let (renewals, _) = prepare(link, &shards, true);
        if let Ok(client) = link.peers.client(&address) {
            let _ = client.renew(renewals).await;
        }
    });
    let _ = tokio::time::timeout(FAREWELL, futures::future::join_all(calls)).await;
}

/// What the loop remembers from turn to turn.
#[derive(Default)]
struct Turns {
    /// Addresses that have not answered the last call yet.
    calling: Arc<Mutex<BTreeSet<String>>>,
    /// Shards whose lease is held.
    held: Arc<Mutex<BTreeSet<u16>>>,
}

fn turn(link: &Arc<Link>, turns: &Turns) {
    for (address, shards) in plan(link) {
        // One call at a time to each address: those to a process that hangs would pile up.
        if !lock(&turns.calling).insert(address.clone()) {
            continue;
        }
        let (link, calling) = (link.clone(), turns.calling.clone());
        let held = turns.held.clone();
        tokio::spawn(async move {
            call(&link, &address, &shards, &held).await;
            lock(&calling).remove(&address);
        });
    }
}

/// Which shards are renewed where.
fn plan(link: &Link) -> BTreeMap<String, Vec<u16>> {
    let mut plan: BTreeMap<String, Vec<u16>> = BTreeMap::new();
    let shards = link
        .shared
        .adopted()
        .map(|adopted| adopted.fleet.shards_in_use())
        .unwrap_or_default();
    let relay = link.relay();
    let controllers = link.controllers();
    for shard in shards {
        if controllers.is_doubtful(shard) {
            link.asking.notify_one();
        }
        let target = match &relay {
            Some(relay) => Target::Send(relay.clone()),
            None => controllers.target(shard),
        };
        if let Target::Send(address) = target {
            plan.entry(address).or_default().push(shard);
        }
    }
    plan
}

async fn call(link: &Link, address: &str, shards: &[u16], held: &Mutex<BTreeSet<u16>>) {
    let (renewals, items) = prepare(link, shards, false);
    let started = link.shared.now();
    let answer = match link.peers.client(address) {
        Ok(client) => client.renew(renewals).await,
        Err(error) => Err(error),
    };
    let took = link.shared.now().saturating_sub(started);
    metrics::histogram!("flamingopost_renewal_seconds", "host" => link.host.name.clone())
        .record(took);
    match answer {
        Ok(replies) if replies.len() == items.len() => {
            note_relay(link, address, &replies);
            for (item, reply) in items.into_iter().zip(replies) {
                take(link, address, item, reply, held);
            }
        }
        Ok(_) => give_up(link, address, &items, "answers are missing"),
        Err(error) => give_up(link, address, &items, &error.to_string()),
    }
}

/// A relay that answers and refuses is of no more use than one that is dead: it was not set up
/// as one, or cannot reach a controller that this host may reach.
fn note_relay(link: &Link, address: &str, replies: &[Reply]) {
    match replies
        .iter()
        .any(|reply| matches!(reply, Reply::Refused(_)))
    {
        true => link.relay_failed(address),
        false => link.relay_answered(address),
    }
}

/// The renewals, and what is needed to take their answers. The leases run from here.
fn prepare(link: &Link, shards: &[u16], stopping: bool) -> (Vec<Renewal>, Vec<Item>) {
    let Some(adopted) = link.shared.adopted() else {
        return (Vec::new(), Vec::new());
    };
    let prepared = shards.iter().map(|shard| {
        if stopping {
            link.shared.leases().give_up(*shard);
        }
        let servers = servers(&adopted.fleet, *shard);
        let taken = link.shared.take_tallies(&servers, &primaries(link, *shard));
        let sent = link.shared.now();
        let renewal = renewal(link, *shard, &servers, &taken, stopping);
        let ticket = link.shared.leases().renewal_sent(*shard, sent);
        let item = Item {
            shard: *shard,
            ticket,
            sent,
            taken,
        };
        (renewal, item)
    });
    prepared.unzip()
}

fn renewal(
    link: &Link,
    shard: u16,
    servers: &BTreeSet<ServerKey>,
    taken: &BTreeMap<ServerKey, Tally>,
    stopping: bool,
) -> Renewal {
    let directory = link.shared.directory();
    let name = |key: &ServerKey| directory.servers.name(*key).map(str::to_owned);
    let now = link.shared.now();
    let reports = taken
        .iter()
        .filter_map(|(key, tally)| Some((name(key)?, tally.report(now))));
    let demand = link.shared.demand();
    let demand = demand
        .iter()
        .filter(|(key, wanted)| servers.contains(key) && **wanted > 0)
        .filter_map(|(key, wanted)| Some((name(key)?, *wanted)));
    let version = link.shared.leases().version(shard);
    Renewal {
        shard,
        host: link.host.name.clone(),
        incarnation: link.shared.incarnation(),
        zone: link.host.zone.clone(),
        rpc: link.host.rpc.clone(),
        config: link.version(),
        version: version.map(Into::into),
        reports: reports.collect(),
        demand: demand.collect(),
        stopping,
    }
}

fn servers(fleet: &Fleet, shard: u16) -> BTreeSet<ServerKey> {
    let services = fleet.services.values();
    let services = services.filter(|service| service.shard == shard);
    services
        .flat_map(|service| service.servers.iter().copied())
        .collect()
}

fn primaries(link: &Link, shard: u16) -> BTreeSet<ServerKey> {
    let leases = link.shared.leases();
    let services = leases.view(shard).map(|view| view.services.values());
    let states = services.into_iter().flatten().map(|service| service.state);
    let primaries = states.filter_map(|state| match state {
        State::Open { primary, .. } => Some(primary),
        State::Closed { .. } => None,
    });
    primaries.collect()
}

fn take(link: &Link, address: &str, item: Item, reply: Reply, held: &Mutex<BTreeSet<u16>>) {
    match reply {
        Reply::Granted(grant) => {
            let shard = item.shard;
            if granted(link, address, item, grant) && lock(held).insert(shard) {
                let view = version_text(link, shard);
                Log::Leased { shard, view }.log();
            }
        }
        Reply::Refused(refusal) => refused(link, address, &item, refusal),
    }
}

/// Returns whether a lease came of it.
fn granted(link: &Link, address: &str, item: Item, grant: Grant) -> bool {
    let shard = item.shard;
    link.ear.tell(Heard::Version {
        version: grant.config,
        from: Some(address.to_owned()),
    });
    let view = match grant
        .view
        .as_ref()
        .map(|view| link.decode(view))
        .transpose()
    {
        Ok(view) => view,
        Err(error) => {
            let error = error.to_string();
            Log::BadView { shard, error }.log();
            return false;
        }
    };
    count(link, "granted");
    link.controllers().granted(shard, address);
    if grant.drain {
        link.shared.stop().drain();
    }
    let valid = Duration::from_millis(grant.valid_ms);
    let outcome = leased(link, item.ticket, &grant, valid, view);
    link.shared
        .allot(allotments(link, &grant), item.sent, valid);
    link.shared.changed();
    matches!(outcome, Granted::Until(_))
}

fn leased(
    link: &Link,
    ticket: Ticket,
    grant: &Grant,
    valid: Duration,
    view: Option<view::Shard>,
) -> Granted {
    let mut leases = link.shared.leases();
    // Read under the lock: a process that is paused here must not take a lease that has run out
    // for one that begins.
    let now = link.shared.now();
    leases.on_granted(ticket, grant.version.into(), valid, view, now)
}

fn allotments(link: &Link, grant: &Grant) -> BTreeMap<ServerKey, budget::Grant> {
    let directory = link.shared.directory();
    let known = grant.allotment.iter().filter_map(|(name, leased)| {
        let floor = grant.floors.get(name);
        let grant = budget::Grant {
            leased: *leased,
            floor: floor.map_or(0, |floor| floor.connections),
            floor_valid: Duration::from_millis(floor.map_or(0, |floor| floor.valid_ms)),
        };
        Some((directory.servers.find(name)?, grant))
    });
    known.collect()
}

fn refused(link: &Link, address: &str, item: &Item, refusal: Refusal) {
    link.shared.restore_tallies(&item.taken);
    link.ear.tell(Heard::Version {
        version: refusal.config,
        from: Some(address.to_owned()),
    });
    count(link, "refused");
    if link.controllers().redirect(item.shard, refusal.redirect) {
        link.shared.renew_soon();
    }
}

fn give_up(link: &Link, address: &str, items: &[Item], error: &str) {
    link.relay_failed(address);
    for item in items {
        count(link, "failed");
        link.shared.restore_tallies(&item.taken);
        link.controllers().failed(item.shard);
        let (rpc, error) = (address.to_owned(), error.to_owned());
        Log::Unrenewed {
            shard: item.shard,
            rpc,
            error,
        }
        .log();
    }
}

fn count(link: &Link, outcome: &'static str) {
    let host = link.host.name.clone();
    metrics::counter!("flamingopost_renewals_total", "host" => host, "outcome" => outcome)
        .increment(1);
}

fn show(link: &Link) {
    let Some(adopted) = link.shared.adopted() else {
        return;
    };
    let host = &link.host.name;
    metrics::gauge!("flamingopost_configuration_version", "host" => host.clone())
        .set(adopted.version as f64);
    let now = link.shared.now();
    for shard in adopted.fleet.shards_in_use() {
        let left = link.shared.leases().time_left(shard, now);
        let shard = shard.to_string();
        metrics::gauge!("flamingopost_lease_left_seconds", "host" => host.clone(), "shard" => shard)
            .set(left.as_secs_f64());
    }
}

fn note_lapses(link: &Link, turns: &Turns) {
    let now = link.shared.now();
    lock(&turns.held).retain(|shard| {
        let runs = !link.shared.leases().time_left(*shard, now).is_zero();
        if !runs {
            Log::Lapsed { shard: *shard }.log();
        }
        runs
    });
}

fn version_text(link: &Link, shard: u16) -> String {
    let version = link.shared.leases().version(shard).unwrap_or_default();
    format!("{}.{}", version.epoch, version.change)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
