//! Hosts agree on who decides, while they are added, lost, cut off and started again, and while the store
//! is away or carries calls out late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use flamingopost_core::epoch::CLAIM_REWRITE_TIME;
use flamingopost_core::key::HostKey;
use flamingopost_core::names::Names;
use flamingopost_core::quorum::{
    Closing, Electorate, Evidence, GONE_TIMEOUT, Group, HEARTBEAT_INTERVAL, Prospect, Quorum,
    RENEWAL_LIFETIME, Recording, Step, UNANIMOUS_LIFETIME,
};
use flamingopost_core::succession::PROMOTION_TIMEOUT;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two moments of a play.
const TICK: Duration = Duration::from_millis(10);

/// Interval between two heartbeats of a process that is not caught up.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);

/// How long a host holds its lease before it changes the electorate.
const STEADY_TIME: Duration = Duration::from_secs(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How long a host holds its lease until it has asked the servers for orders that nobody knows of.
const SEARCH_TIME: Duration = Duration::from_millis(1_600);

/// Interval between two copies that the store may be restored from.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// The number of copies that are kept.
const COPIES: usize = 5;

/// The epoch of the store, and the count of its writes.
type Revision = (u64, u64);

/// What the store holds, and loses when it is restored from a copy.
#[derive(Clone, Default)]
struct Contents {
    /// The electorate's record, with the count of the write that it comes from.
    record: Option<(u64, Electorate)>,
    /// The changes that were claimed.
    claims: BTreeSet<usize>,
    /// The epoch in which no claim was found missing.
    verified_in: u64,
}

#[derive(Default)]
struct Store {
    contents: Contents,
    epoch: u64,
    /// Number of writes of all epochs.
    writes: u64,
    copies: VecDeque<Contents>,
    next_copy: Duration,
    /// Writes that are carried out late, each with the revision that it expects.
    late: Vec<(Duration, Option<Revision>, Electorate)>,
}

impl Store {
    fn revision(&self) -> Option<Revision> {
        let (count, _) = self.contents.record.as_ref()?;
        Some((self.epoch, *count))
    }

    /// Writes the record if it is unchanged since `expected`. A write may be carried out in a later epoch
    /// than it was sent in, so only the counts are compared.
    fn write(&mut self, expected: Option<Revision>, electorate: Electorate) -> bool {
        let is_expected = self.revision().map(|it| it.1) == expected.map(|it| it.1);
        if is_expected {
            let newest = self.contents.record.as_ref().map(|(_, it)| it.number);
            let number = electorate.number;
            let is_of_epoch = expected.is_none_or(|(epoch, _)| epoch == self.epoch);
            assert!(
                !is_of_epoch || newest <= Some(number),
                "{number} in place of {newest:?}"
            );
            self.writes += 1;
            self.contents.record = Some((self.writes, electorate));
        }
        is_expected
    }

    fn copy(&mut self) {
        self.copies.push_back(self.contents.clone());
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
    }

    fn restore(&mut self, age: usize) {
        let copies = self.copies.len();
        if let Some(contents) = self.copies.get(copies.saturating_sub(age)) {
            self.contents = contents.clone();
            self.epoch += 1;
        }
    }
}

/// One process of a host.
struct Process {
    number: u64,
    quorum: Quorum,
    electorate: Option<Electorate>,
    recording: Recording<Revision>,
    /// The newest epoch of the store that it knows, and since when it does.
    epoch: Option<(u64, Duration)>,
    /// The newest epoch in which the store had the electorate that it had adopted.
    recorded_in: Option<u64>,
    /// The newest epoch in which it knows that the store lacks no claim.
    verified_in: u64,
    listed: BTreeSet<usize>,
    /// Changes of primaries that it was told of, and tells others.
    known: BTreeSet<usize>,
    /// Changes that it has read of in the store. It uses no primary that they replace.
    claimed: BTreeSet<usize>,
    /// Whether it may not know of changes from before its start, or from before an electorate that was
    /// formed without the consent of the one before.
    may_lack_changes: bool,
    held_since: Option<Duration>,
    next_beat: Duration,
    /// A change whose end of term it has announced.
    closing: Option<(usize, Closing)>,
}

impl Process {
    /// Reports whether it knows of each order that was given before it started.
    fn knows_orders(&self) -> bool {
        !self.may_lack_changes && self.claimed.is_subset(&self.known)
    }
}

/// A fleet, by the numbers of its hosts.
struct World {
    rng: ChaCha8Rng,
    keys: Vec<HostKey>,
    processes: BTreeMap<usize, Process>,
    store: Store,
    /// Which part of a partition each host is in, with the store as the last.
    parts: Vec<usize>,
    started: u64,
    /// Hosts that have ever run. The list keeps their entries.
    ever: BTreeSet<usize>,
    changes: usize,
    ordered: BTreeSet<usize>,
    now: Duration,
}

fn name(host: usize) -> String {
    format!("entry-{host}")
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = rng.random_range(1..=7);
        let mut names: Names<HostKey> = Names::default();
        let keys = (0..14).map(|host| names.intern(&name(host)));
        let mut world = World {
            keys: keys.collect(),
            rng,
            processes: BTreeMap::new(),
            store: Store::default(),
            parts: vec![0; 15],
            started: 0,
            ever: BTreeSet::new(),
            changes: 0,
            ordered: BTreeSet::new(),
            now: ms(0),
        };
        for host in 0..hosts {
            world.start(host);
        }
        world
    }

    fn store_part(&self) -> usize {
        self.parts[14]
    }

    fn reaches_store(&self, host: usize) -> bool {
        self.parts[host] == self.store_part()
    }

    fn start(&mut self, host: usize) {
        self.started += 1;
        let process = Process {
            number: self.started,
            quorum: Quorum::default(),
            electorate: None,
            recording: Recording::default(),
            epoch: None,
            recorded_in: None,
            verified_in: 0,
            listed: BTreeSet::new(),
            known: BTreeSet::new(),
            claimed: BTreeSet::new(),
            may_lack_changes: true,
            held_since: None,
            next_beat: self.now,
            closing: None,
        };
        self.processes.insert(host, process);
    }

    /// Lists `hosts` at `host`, which knows some of them late.
    fn list(&mut self, host: usize, hosts: &BTreeSet<usize>) {
        let (now, keys) = (self.now, &self.keys);
        let Some(process) = self.processes.get_mut(&host) else {
            return;
        };
        process.listed.clone_from(hosts);
        let others = hosts.iter().filter(|it| **it != host);
        let others = others.map(|it| keys[*it]).collect();
        process.quorum.set_hosts(others, now);
        let electorate = process.electorate.clone();
        if let Some(electorate) = electorate {
            let groups = groups(&electorate, host, &process.listed, keys);
            process.quorum.set_groups(groups);
        }
    }

    fn adopt(&mut self, host: usize, electorate: &Electorate) {
        let (now, keys) = (self.now, &self.keys);
        let process = self.processes.get_mut(&host).expect("a process");
        let groups = groups(electorate, host, &process.listed, keys);
        if !process.quorum.adopt(electorate, groups, now) {
            return;
        }
        let former = process.electorate.replace(electorate.clone());
        if former.is_some_and(|it| it.formation < electorate.formation) {
            process.may_lack_changes = true;
        }
        if let Some((_, closing)) = &mut process.closing {
            closing.forget_confirmations();
        }
        process.next_beat = now;
    }

    /// Lets `host` learn the epoch of the store, if it can be reached. It writes the claims again that a copy
    /// may lack.
    fn learn_epoch(&mut self, host: usize) {
        if !self.reaches_store(host) {
            return;
        }
        let process = self.processes.get_mut(&host).expect("a process");
        let known = process.epoch.map(|(epoch, _)| epoch);
        if known == Some(self.store.epoch) {
            return;
        }
        process.epoch = Some((self.store.epoch, self.now));
        if known.is_some() {
            let changes = &process.known & &self.ordered;
            self.store.contents.claims.extend(changes);
        }
    }

    /// Reads the record and the claims, if the store can be reached.
    fn read_store(&mut self, host: usize) {
        if !self.reaches_store(host) {
            return;
        }
        self.learn_epoch(host);
        let now = self.now;
        let (epoch, revision) = (self.store.epoch, self.store.revision());
        let contents = self.store.contents.clone();
        let process = self.processes.get_mut(&host).expect("a process");
        match revision {
            Some(revision) => process.recording.observe(revision, now),
            None => process.recording.observe_absence(now),
        }
        let electorate = contents.record.map(|(_, electorate)| electorate);
        if let Some(electorate) = &electorate {
            self.adopt(host, electorate);
        }
        let process = self.processes.get_mut(&host).expect("a process");
        let recorded = electorate.as_ref().map(|it| it.number);
        if recorded == process.quorum.number() {
            process.recorded_in = Some(epoch);
        }
        process.claimed.extend(contents.claims);
        if contents.verified_in >= epoch {
            process.verified_in = epoch;
            let formation = electorate.map_or(0, |it| it.formation);
            process.quorum.record_formation(formation);
            process.may_lack_changes = false;
        }
    }

    fn write_store(&mut self, host: usize, electorate: Electorate) {
        if !self.reaches_store(host) {
            return;
        }
        let process = &self.processes[&host];
        let expected = process.recording.revision();
        let epoch = process.epoch.map(|(epoch, _)| epoch);
        if expected.is_some_and(|it| Some(it.0) != epoch) {
            return self.read_store(host);
        }
        if self.rng.random_bool(0.2) {
            let at = self.now + ms(self.rng.random_range(0..4_000));
            return self.store.late.push((at, expected, electorate));
        }
        let sent = self.now;
        if !self.store.write(expected, electorate.clone()) {
            return self.read_store(host);
        }
        let revision = self.store.revision().expect("a record");
        let process = self.processes.get_mut(&host).expect("a process");
        process.recording.observe(revision, sent);
        process.recorded_in = Some(revision.0);
        if let Some(replaced) = &process.electorate {
            process.quorum.record_formation(replaced.formation);
        }
        self.adopt(host, &electorate);
        let process = self.processes.get_mut(&host).expect("a process");
        process.quorum.record_renewal(sent);
    }

    /// Lets `host` find the orders that it may not know of: the other servers show those that were carried
    /// out. Records that the store lacks no claim, if it does.
    fn verify_orders(&mut self, host: usize) {
        let now = self.now;
        let reaches_store = self.reaches_store(host);
        let process = self.processes.get_mut(&host).expect("a process");
        let held = process.held_since.map_or(ms(0), |since| now - since);
        if held >= SEARCH_TIME && !process.knows_orders() {
            process.known.extend(&self.ordered);
            process.known.extend(&process.claimed);
            process.may_lack_changes = false;
            process.held_since = Some(now);
        }
        let Some((epoch, since)) = process.epoch else {
            return;
        };
        let is_known = held >= PROMOTION_TIMEOUT && process.knows_orders();
        let is_current = reaches_store && epoch == self.store.epoch;
        let is_rewritten = now >= since + CLAIM_REWRITE_TIME;
        if is_known && is_current && is_rewritten && process.recorded_in == Some(epoch) {
            process.verified_in = epoch;
            self.store.contents.verified_in = epoch;
        }
    }

    /// Does what is due about the electorate at `host`.
    fn drive(&mut self, host: usize) {
        let now = self.now;
        let desired = self.desired(host);
        let process = &self.processes[&host];
        let Some(electorate) = process.electorate.clone() else {
            if process.recording.is_known() && self.reaches_store(host) {
                self.write_store(host, Electorate::first(desired, process.number));
            }
            return self.read_store(host);
        };
        let next = match electorate.is_joint() {
            true => electorate.electors.clone(),
            false => desired.clone(),
        };
        let is_steady = process.held_since.is_some_and(|it| now >= it + STEADY_TIME);
        let is_other = electorate.is_joint() || next != electorate.electors;
        let before = electorate.electors.iter().filter(|it| **it < name(host));
        let prospect = Prospect {
            rank: u32::try_from(before.count()).expect("a few"),
            is_change_due: is_steady && is_other,
            unchanged_since: process.recording.unchanged_since(),
            may_be_copied: Some(process.verified_in) < process.epoch.map(|(epoch, _)| epoch),
        };
        let number = process.number;
        match process.quorum.next_step(&prospect, now) {
            Step::Wait => {}
            Step::Renew => self.write_store(host, electorate),
            Step::Change => {
                let next = electorate.followed_by(next, number);
                self.write_store(host, next);
            }
            Step::Replace(evidence) => {
                let process = self.processes.get_mut(&host).expect("a process");
                let is_free = evidence == Evidence::Forgotten || process.recording.withhold(now);
                if !is_free {
                    return;
                }
                let heard = process.quorum.recently_heard(now);
                let heard = (0..14).filter(|it| heard.contains(&self.keys[*it]) || *it == host);
                let next = electorate.replaced_by(heard.map(name).collect(), number);
                self.write_store(host, next);
            }
        }
    }

    fn desired(&self, host: usize) -> BTreeSet<String> {
        let process = &self.processes[&host];
        let is_gone = |other: usize| {
            let age = process.quorum.age(self.keys[other], self.now);
            other != host && age.is_none_or(|age| age >= GONE_TIMEOUT)
        };
        let hosts = process.listed.iter().filter(|it| !is_gone(**it));
        hosts.copied().chain([host]).map(name).collect()
    }

    /// Lets `from` send a heartbeat to `to`, which answers it.
    fn beat(&mut self, from: usize, to: usize) {
        let (now, key) = (self.now, self.keys[from]);
        let sender = &self.processes[&from];
        let (standing, number) = (sender.quorum.standing(), sender.number);
        let (known, revision) = (sender.known.clone(), sender.recording.revision());
        let receiver = self.processes.get_mut(&to).expect("a process");
        if !receiver.listed.contains(&from) {
            return;
        }
        receiver.quorum.record_message(key, now);
        receiver.quorum.record_standing(key, number, standing, now);
        receiver.known.extend(&known);
        let own = receiver.quorum.standing();
        if let Some(revision) = revision.filter(|_| standing.number == own.number) {
            receiver.recording.observe(revision, now);
        }
        let electorate = receiver.electorate.clone();
        if standing.number < own.number {
            let electorate = electorate.expect("it has a number");
            return self.adopt(from, &electorate);
        }
        let extends = own.is_caught_up && !receiver.recording.is_withholding();
        if standing.number != own.number || electorate.is_none() || !extends {
            return;
        }
        let held_since = receiver.held_since.filter(|_| receiver.knows_orders());
        let knows_orders = held_since.is_some_and(|since| now >= since + PROMOTION_TIMEOUT);
        let (told, renewed) = (receiver.known.clone(), receiver.quorum.renewal_age(now));
        let answer = (receiver.number, receiver.recording.revision());
        let key = self.keys[to];
        let sender = self.processes.get_mut(&from).expect("a process");
        if !sender.listed.contains(&to) {
            return;
        }
        sender.known.extend(&told);
        sender.quorum.record_message(key, now);
        sender.quorum.record_standing(key, answer.0, own, now);
        if let Some(age) = renewed {
            sender.quorum.record_renewal(now.saturating_sub(age));
        }
        if let Some(revision) = answer.1 {
            sender.recording.observe(revision, now);
        }
        sender.quorum.record_reply(key, now, Some(own.number));
        sender.may_lack_changes &= !knows_orders;
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        self.parts[one] == self.parts[other]
    }

    /// Lets `host` announce the end of a term, or gather confirmations and order.
    fn change(&mut self, host: usize) {
        let now = self.now;
        let Some((change, closing)) = self.processes[&host].closing.clone() else {
            let process = &self.processes[&host];
            let may = process.quorum.holds_lease(now) && !process.may_lack_changes;
            if may && self.reaches_store(host) && self.rng.random_bool(0.02) {
                self.changes += 1;
                let change = self.changes;
                self.store.contents.claims.insert(change);
                let closing = Closing::announced(now, ms(0)).with_claim(Some(now));
                let process = self.processes.get_mut(&host).expect("a process");
                process.known.insert(change);
                process.closing = Some((change, closing));
            }
            return;
        };
        let mut closing = closing;
        let number = self.processes[&host].quorum.number();
        let others: Vec<usize> = self.processes[&host].listed.iter().copied().collect();
        for other in others {
            let is_lost = self.rng.random_bool(0.3);
            if other == host || !self.is_connected(host, other) || is_lost {
                continue;
            }
            let keys = &self.keys;
            let Some(peer) = self.processes.get_mut(&other) else {
                continue;
            };
            if !peer.listed.contains(&host) {
                continue;
            }
            peer.known.insert(change);
            if peer.quorum.number() != number {
                continue;
            }
            let heard = peer.listed.iter().filter(|it| **it != host);
            let heard = heard.filter_map(|it| Some((*it, peer.quorum.age(keys[*it], now)?)));
            let heard: Vec<(usize, Duration)> = heard.collect();
            let listed = &self.processes[&host].listed;
            let mut named = Vec::new();
            for (third, age) in heard {
                let at = now.saturating_sub(age);
                match listed.contains(&third) {
                    true => named.push((keys[third], at)),
                    false => closing.record_unlisted(at),
                }
            }
            closing.confirm(keys[other], named, now);
        }
        let process = self.processes.get_mut(&host).expect("a process");
        let clearance = process.quorum.order_from(&closing, now);
        let is_ordered = clearance.is_some_and(|it| it.from <= now);
        process.closing = (!is_ordered).then_some((change, closing));
        if is_ordered {
            self.ordered.insert(change);
        }
    }

    /// Lets each host act once.
    fn step(&mut self, seed: u64) {
        self.ever.extend(self.processes.keys());
        let late: Vec<_> = std::mem::take(&mut self.store.late);
        for (at, expected, electorate) in late {
            match at <= self.now {
                true => drop(self.store.write(expected, electorate)),
                false => self.store.late.push((at, expected, electorate)),
            }
        }
        if self.now >= self.store.next_copy {
            self.store.copy();
            self.store.next_copy = self.now + COPY_INTERVAL;
        }
        self.forget_lost_changes();
        let hosts: Vec<usize> = self.processes.keys().copied().collect();
        for host in hosts.iter().copied() {
            let is_unlisted = self.processes[&host].listed.is_empty();
            if self.reaches_store(host) && (is_unlisted || self.rng.random_bool(0.005)) {
                let listed = self.ever.clone();
                self.list(host, &listed);
            }
            if self.rng.random_bool(0.1) {
                self.learn_epoch(host);
            }
            if !self.processes[&host].listed.is_empty() {
                self.act(host, &hosts);
                self.verify_orders(host);
                self.change(host);
            }
        }
        self.check(seed);
        self.now += TICK;
    }

    /// Forgets the changes that neither the store nor any process knows of: only the servers show them.
    fn forget_lost_changes(&mut self) {
        let claims = &self.store.contents.claims;
        let processes = &self.processes;
        let is_known = |change: &usize| {
            let mut processes = processes.values();
            let knows = |it: &Process| it.known.contains(change) || it.claimed.contains(change);
            claims.contains(change) || processes.any(knows)
        };
        self.ordered.retain(is_known);
    }

    /// Lets `host` send heartbeats to all `hosts` if they are due, and do what is due besides.
    fn act(&mut self, host: usize, hosts: &[usize]) {
        let now = self.now;
        let process = self.processes.get_mut(&host).expect("a process");
        let holds = process.quorum.holds_lease(now);
        let since = *process.held_since.get_or_insert(now);
        process.held_since = holds.then_some(since);
        if now < process.next_beat {
            return;
        }
        let interval = match process.quorum.is_caught_up() {
            true => HEARTBEAT_INTERVAL,
            false => CATCH_UP_INTERVAL,
        };
        process.next_beat = now + interval;
        if !holds || process.may_lack_changes {
            self.read_store(host);
        }
        self.drive(host);
        for other in hosts.iter().copied().filter(|it| *it != host) {
            if self.is_connected(host, other) && self.rng.random_bool(0.9) {
                self.beat(host, other);
            }
        }
    }

    fn check(&self, seed: u64) {
        for (host, process) in &self.processes {
            let uses = process.quorum.holds_lease(self.now) && !process.may_lack_changes;
            let is_unknown =
                |it: &&usize| !process.known.contains(it) && !process.claimed.contains(it);
            let missed: Vec<_> = self.ordered.iter().filter(is_unknown).collect();
            assert!(
                !uses || missed.is_empty(),
                "seed {seed}, {:?}: entry-{host} relies on the primary beside changes {missed:?}, in {:?}",
                self.now,
                process.electorate
            );
        }
    }

    /// Injects a fault, or ends one.
    fn disturb(&mut self, lost: &mut BTreeSet<usize>) {
        let running: Vec<usize> = self.processes.keys().copied().collect();
        let any = |rng: &mut ChaCha8Rng| running[rng.random_range(0..running.len())];
        match self.rng.random_range(0..16) {
            0..4 => {
                let parts = self.rng.random_range(1..=3);
                for part in &mut self.parts {
                    *part = self.rng.random_range(0..parts);
                }
            }
            4..7 => self.parts.fill(0),
            7 => {
                let host = any(&mut self.rng);
                self.parts[host] = 9;
            }
            8 => self.parts[14] = 8,
            9..11 => {
                let some = self.rng.random_range(1..=running.len());
                for _ in 0..some {
                    let host = any(&mut self.rng);
                    self.start(host);
                }
            }
            11 => {
                for host in running {
                    self.start(host);
                }
            }
            12..14 => {
                let age = self.rng.random_range(0..COPIES);
                self.store.restore(age);
            }
            14 if running.len() > 1 => {
                let host = any(&mut self.rng);
                self.processes.remove(&host);
                lost.insert(host);
            }
            _ => {
                for _ in 0..self.rng.random_range(1..=3) {
                    let next =
                        (0..14).find(|it| !self.processes.contains_key(it) && !lost.contains(it));
                    if let Some(next) = next {
                        self.start(next);
                    }
                }
            }
        }
    }
}

/// Returns the electors of `electorate` and of the one before, as seen by `host`.
fn groups(
    electorate: &Electorate,
    host: usize,
    listed: &BTreeSet<usize>,
    keys: &[HostKey],
) -> [Group; 2] {
    let key = |wanted: &str| {
        let found = listed.iter().find(|it| name(**it) == wanted)?;
        Some(keys[*found])
    };
    let group = |names| Group::new(names, &name(host), key);
    [group(&electorate.electors), group(&electorate.former)]
}

/// How long hosts may take to hold a lease again after the last fault: a renewal's lifetime and some
/// seconds, and longer if no elector runs any more.
fn recovery_time(world: &World) -> Duration {
    let record = world.store.contents.record.as_ref();
    let has_elector = |(_, it): &(u64, Electorate)| {
        let mut running = world.processes.keys();
        running.any(|host| it.includes(&name(*host)))
    };
    let is_verified = world.store.contents.verified_in >= world.store.epoch;
    match is_verified && record.is_none_or(has_elector) {
        true => RENEWAL_LIFETIME * 2 + ms(10_000),
        false => UNANIMOUS_LIFETIME * 2,
    }
}

/// Plays faults for `length`, and goes on until all hosts that are left hold a lease. Returns whether they
/// do in time.
fn play(seed: u64, length: Duration) -> bool {
    let mut world = World::new(seed);
    let mut lost = BTreeSet::new();
    let mut next_fault = ms(3_000);
    // Some plays have many faults in a moment, and others cuts that outlast a renewal.
    let most = [300, 1_500, 6_000, 30_000][world.rng.random_range(0..4)];
    while world.now < length {
        if world.now >= next_fault {
            world.disturb(&mut lost);
            next_fault += ms(world.rng.random_range(20..most));
        }
        world.step(seed);
    }
    world.parts.fill(0);
    let end = length + recovery_time(&world);
    while world.now < end {
        let now = world.now;
        let mut left = world.processes.values();
        if left.all(|it| it.quorum.holds_lease(now) && !it.may_lack_changes) {
            return true;
        }
        world.step(seed);
    }
    false
}

/// Plays `seeds` plays from `FLAMINGOPOST_SEED` on, or as many as `FLAMINGOPOST_SCHEDULES` says.
fn plays(seeds: u64) -> impl Iterator<Item = u64> {
    let read = |name| std::env::var(name).ok()?.parse().ok();
    let first = read("FLAMINGOPOST_SEED").unwrap_or(0);
    first..first + read("FLAMINGOPOST_SCHEDULES").unwrap_or(seeds)
}

/// Guards against two sets of hosts that decide at once and share nobody: a host relied on a primary whose
/// successor had been ordered by hosts that it did not count, or that did not count it.
#[test]
fn no_host_relies_on_a_primary_beside_an_order_that_it_does_not_know() {
    for seed in plays(12) {
        play(seed, ms(40_000));
    }
}

/// Guards against a service without a primary for good once hosts are lost: those that are left, down to
/// the last one, agree without them.
#[test]
fn the_hosts_that_are_left_hold_a_lease_again() {
    for seed in plays(12) {
        assert!(play(seed, ms(30_000)), "seed {seed}");
    }
}
