//! A model of many entry hosts that share the limit of one team, on one virtual clock.
//!
//! The deciding code is the product's: accounts, grantors, their order, and the leases of hosts.
//! Messages take time, are lost and are cut off; hosts are killed, paused and started again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::HostKey;
use flamingopost_core::limit::{
    Account, Admission, BORROW_TIMEOUT, Borrower, Grant, Grantor, Lender, Lenders, Limit,
    LoanAnswer, LoanRequest, NoShares, Request, Share, Source, grants_since, passed_over_since,
    silent_fraction,
};
use flamingopost_core::names::Names;
use flamingopost_core::quorum::{Electorate, Group, HEARTBEAT_INTERVAL, Quorum};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ms;

/// Number of electors, one of which grants.
const ELECTORS: usize = 7;

/// Interval between checks for requests that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a heartbeat after which a host counts as silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Interval between reports of a host that holds no share.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// One in this many messages is lost.
const LOST_ONE_IN: u32 = 200;

/// How hosts share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Each host may use an equal part.
    EqualParts,
    /// One host grants all operations, and none are admitted while it is silent.
    GrantorAlone,
    /// One host grants operations and shares, which hosts use while it is silent.
    GrantorWithShares,
    /// The same, and hosts borrow operations of the zone grantors of their zones.
    ZoneGrantors,
}

/// Number of hosts of its own zone that a host asks for operations, one after the other.
const ZONE_CHOICES: usize = 2;

/// A message between two hosts.
#[derive(Debug, Clone)]
enum Message {
    Heartbeat { sent: Duration },
    Ack { sent: Duration },
    Request(Request),
    Grant(Grant),
    LoanRequest(LoanRequest),
    LoanAnswer(LoanAnswer),
    Probe,
    ProbeAnswer,
    NoShares,
}

#[derive(Debug, Clone)]
enum Event {
    Heartbeat {
        host: usize,
        start: u32,
    },
    Check {
        host: usize,
        start: u32,
    },
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Arrival {
        caller: usize,
    },
    Retry {
        caller: usize,
        host: usize,
        start: u32,
        since: Duration,
        source: Source,
    },
    Configure {
        host: usize,
        limit: Limit,
    },
    Fault(Fault),
    Heal(Fault),
}

/// What goes wrong.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The process of a host ends, and a new one starts when the fault ends.
    Kill(usize),
    /// All processes end.
    KillAll,
    /// A host stands still.
    Pause(usize),
    /// A host is cut off from all others.
    CutHost(usize),
    /// A zone is cut off from the others.
    CutZone(usize),
    /// This percentage of the hosts is cut off from the rest; those cut off reach each other.
    CutPart(u64),
    /// Callers ask for this many times as much.
    Rush(f64),
}

struct Host {
    /// Counts the starts of its process.
    start: u32,
    running: bool,
    paused: bool,
    account: Account,
    waiting: u32,
    borrower: Borrower,
    borrowing: u32,
    lender: Lender,
    lenders: Lenders,
    /// Whether its process has asked a grantor.
    has_asked: bool,
    report_at: Duration,
    no_shares: NoShares,
    /// The other host that granted the share.
    issuer: Option<HostKey>,
    grantor: Option<Grantor>,
    quorum: Quorum,
    heartbeats: BTreeMap<HostKey, Duration>,
    /// Whether it holds its lease, and since when that has been so.
    lease: (bool, Duration),
    limit: Limit,
    /// Used where each host has an equal part.
    part: (f64, Duration),
}

impl Host {
    /// Returns when the newest message was sent that the grantor of the share has answered.
    fn contact(&self, now: Duration) -> Option<Duration> {
        match self.issuer {
            Some(issuer) => self.quorum.answered_at(issuer),
            None => Some(now),
        }
    }
}

/// The percentage that [`Fault::CutPart`] cuts off where sides are counted.
pub const CUT_PERCENT: u64 = 35;

/// A caller of the team, which stays at one host while that runs.
struct Caller {
    host: usize,
    rate: f64,
}

/// What came of a run.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    /// When operations were admitted.
    pub admitted: Vec<Duration>,
    /// When operations were decided, and whether they were admitted.
    pub decisions: Vec<(Duration, bool)>,
    /// The same at hosts that [`Fault::CutPart`] cuts off, and at the others.
    pub by_side: [Vec<(Duration, bool)>; 2],
    /// Messages about operations within zones and between them.
    pub messages: [u64; 2],
    /// Operations that one bucket which sees all hosts would have admitted.
    pub allowed: u64,
    /// Time that admitted operations have waited.
    pub waited: Duration,
}

/// One run.
pub struct Model {
    way: Way,
    rng: ChaCha8Rng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    hosts: Vec<Host>,
    keys: Vec<HostKey>,
    zones: usize,
    callers: Vec<Caller>,
    rush: f64,
    cut_hosts: BTreeSet<usize>,
    cut_zones: BTreeSet<usize>,
    /// A number for each host, below 100: less than the percentage that is cut off is cut off.
    sides: Vec<u64>,
    cut_part: u64,
    /// Hosts of each zone in the order in which they are asked.
    choices: Vec<Vec<usize>>,
    /// The limits that operators have set, and when the last host had them.
    pub limits: Vec<(Duration, Limit)>,
    /// Tokens of one bucket that sees all hosts.
    ideal: (f64, Duration),
    tally: Tally,
}

impl Model {
    /// Creates `hosts` hosts in `zones` zones whose callers ask for `demand` operations per second
    /// together.
    pub fn new(
        seed: u64,
        way: Way,
        hosts: usize,
        zones: usize,
        limit: Limit,
        demand: f64,
    ) -> Model {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut names: Names<HostKey> = Names::default();
        let keys = (0..hosts).map(|host| names.intern(&host.to_string()));
        let keys: Vec<HostKey> = keys.collect();
        let count = rng.random_range(1..=hosts * 2);
        let weights: Vec<f64> = (0..count).map(|_| rng.random_range(0.1..1.0)).collect();
        let all: f64 = weights.iter().sum();
        let callers = weights.iter().map(|weight| Caller {
            host: rng.random_range(0..hosts),
            rate: demand * weight / all,
        });
        let mut model = Model {
            way,
            callers: callers.collect(),
            rng,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            next: 0,
            hosts: Vec::new(),
            keys,
            zones,
            rush: 1.0,
            cut_hosts: BTreeSet::new(),
            cut_zones: BTreeSet::new(),
            sides: Vec::new(),
            cut_part: 0,
            choices: Vec::new(),
            limits: vec![(Duration::ZERO, limit)],
            ideal: (0.0, Duration::ZERO),
            tally: Tally::default(),
        };
        // Of its own, so that the schedules of a seed stay the same.
        let mut order = ChaCha8Rng::seed_from_u64(!seed);
        model.sides = (0..hosts).map(|_| order.random_range(0..100)).collect();
        for zone in 0..zones {
            let mut choices: Vec<(u64, usize)> = (zone..hosts)
                .step_by(zones)
                .map(|host| (order.random(), host))
                .collect();
            choices.sort_unstable();
            let choices = choices.into_iter().map(|(_, host)| host);
            model.choices.push(choices.collect());
        }
        for host in 0..hosts {
            let started = model.process(host, 0, limit);
            model.hosts.push(started);
            model.start_timers(host);
        }
        for caller in 0..model.callers.len() {
            let start = ms(3_000);
            model.next_arrival(caller, start);
        }
        model
    }

    /// Returns the host that the hosts of `zone` ask first.
    pub fn zone_grantor(&self, zone: usize) -> usize {
        self.choices[zone][0]
    }

    /// Adds a fault from `at` for `lasts`.
    pub fn add_fault(&mut self, at: Duration, lasts: Duration, fault: Fault) {
        self.at(at, Event::Fault(fault));
        self.at(at + lasts, Event::Heal(fault));
    }

    /// Changes the limit at `at`; each host learns of it within a second.
    pub fn change_limit(&mut self, at: Duration, limit: Limit) {
        for host in 0..self.hosts.len() {
            let delay = ms(self.rng.random_range(5..1_000));
            self.at(at + delay, Event::Configure { host, limit });
        }
        self.limits.push((at + ms(1_000), limit));
    }

    /// Plays until `end`.
    pub fn play(mut self, end: Duration) -> Tally {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.tally
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn process(&mut self, host: usize, start: u32, limit: Limit) -> Host {
        let mut quorum = Quorum::default();
        let electors = ELECTORS.min(self.keys.len());
        let others = (0..electors).filter(|other| *other != host);
        quorum.set_hosts(others.map(|it| self.keys[it]).collect(), self.now);
        if start == 0 {
            quorum.record_formation(0);
        }
        let name = |host: usize| format!("entry-{host}");
        let electorate = Electorate::first((0..electors).map(name).collect(), 1);
        let key = |wanted: &str| (0..electors).find(|it| name(*it) == wanted);
        let key = |wanted: &str| Some(self.keys[key(wanted)?]);
        let group = Group::new(&electorate.electors, &name(host), key);
        quorum.adopt(&electorate, [group.clone(), group], self.now);
        let incarnation = self.rng.random();
        let mut account = Account::new(incarnation, self.now);
        account.set_limit(limit, self.now);
        Host {
            start,
            running: true,
            paused: false,
            account,
            waiting: 0,
            borrower: Borrower::new(incarnation, self.now),
            borrowing: 0,
            lender: Lender::default(),
            lenders: Lenders::default(),
            has_asked: false,
            report_at: self.now,
            no_shares: NoShares::default(),
            issuer: None,
            grantor: None,
            quorum,
            heartbeats: BTreeMap::new(),
            lease: (false, self.now),
            limit,
            part: (0.0, self.now),
        }
    }

    fn start_timers(&mut self, host: usize) {
        let start = self.hosts[host].start;
        let offset = ms(self.rng.random_range(0..50));
        let at = self.now + offset;
        self.at(at, Event::Heartbeat { host, start });
        self.at(at, Event::Check { host, start });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Heartbeat { host, start } => self.heartbeat(host, start),
            Event::Check { host, start } => self.check(host, start),
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Arrival { caller } => self.arrive(caller),
            Event::Retry {
                caller,
                host,
                start,
                since,
                source,
            } => self.retry(caller, host, start, since, source),
            Event::Configure { host, limit } => self.configure(host, limit),
            Event::Fault(fault) => self.set_fault(fault, true),
            Event::Heal(fault) => self.set_fault(fault, false),
        }
    }

    fn configure(&mut self, host: usize, limit: Limit) {
        self.hosts[host].limit = limit;
        self.hosts[host].account.set_limit(limit, self.now);
        if let Some(grantor) = &mut self.hosts[host].grantor {
            grantor.set_limit(limit);
        }
    }

    fn set_fault(&mut self, fault: Fault, begins: bool) {
        match (fault, begins) {
            (Fault::Kill(host), true) => self.hosts[host].running = false,
            (Fault::Kill(host), false) => self.restart(host),
            (Fault::KillAll, true) => self.hosts.iter_mut().for_each(|it| it.running = false),
            (Fault::KillAll, false) => (0..self.hosts.len()).for_each(|host| self.restart(host)),
            (Fault::Pause(host), begins) => self.hosts[host].paused = begins,
            (Fault::CutHost(host), true) => drop(self.cut_hosts.insert(host)),
            (Fault::CutHost(host), false) => drop(self.cut_hosts.remove(&host)),
            (Fault::CutZone(zone), true) => drop(self.cut_zones.insert(zone)),
            (Fault::CutZone(zone), false) => drop(self.cut_zones.remove(&zone)),
            (Fault::CutPart(percent), true) => self.cut_part = percent,
            (Fault::CutPart(_), false) => self.cut_part = 0,
            (Fault::Rush(times), true) => self.rush = times,
            (Fault::Rush(_), false) => self.rush = 1.0,
        }
    }

    fn restart(&mut self, host: usize) {
        let (start, limit) = (self.hosts[host].start + 1, self.hosts[host].limit);
        self.hosts[host] = self.process(host, start, limit);
        self.start_timers(host);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (a, b) = (from % self.zones, to % self.zones);
        let zones = a != b && (self.cut_zones.contains(&a) || self.cut_zones.contains(&b));
        let parts = self.is_in_part(from) != self.is_in_part(to);
        zones || parts || self.cut_hosts.contains(&from) || self.cut_hosts.contains(&to)
    }

    fn is_in_part(&self, host: usize) -> bool {
        self.sides[host] < self.cut_part
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            return self.receive(from, to, message);
        }
        if !matches!(
            message,
            Message::Heartbeat { .. } | Message::Ack { .. } | Message::NoShares
        ) {
            let between = from % self.zones != to % self.zones;
            self.tally.messages[usize::from(between)] += 1;
        }
        if self.is_cut(from, to) || self.rng.random_range(0..LOST_ONE_IN) == 0 {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(400..6_000));
        self.at(self.now + delay, Event::Deliver { from, to, message });
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if !self.hosts[to].running {
            return;
        }
        if self.hosts[to].paused {
            // The kernel keeps it until the process goes on.
            let event = Event::Deliver { from, to, message };
            return self.at(self.now + ms(20), event);
        }
        self.receive(from, to, message);
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let (now, sender) = (self.now, self.keys[from]);
        let host = &mut self.hosts[to];
        host.quorum.record_message(sender, now);
        match message {
            Message::Heartbeat { sent } => {
                host.heartbeats.insert(sender, now);
                self.record_contact(to, sender);
                self.send(to, from, Message::Ack { sent });
            }
            Message::Ack { sent } => host.quorum.record_reply(sender, sent, None),
            Message::Request(request) => {
                if let Some(grant) = self.grant(to, sender, &request) {
                    self.send(to, from, Message::Grant(grant));
                }
            }
            Message::Grant(mut grant) => {
                if self.way == Way::GrantorAlone {
                    grant.share = Share::default();
                }
                host.issuer = (from != to).then_some(sender);
                host.account.record_grant(&grant, now);
                self.wake(to);
                self.answer_loans(to);
            }
            Message::LoanRequest(request) => {
                let contact = host.contact(now);
                let (lender, account) = (&mut host.lender, &mut host.account);
                let answer = lender.lend(account, (sender, &request), contact, now);
                if let Some(answer) = answer {
                    self.send(to, from, Message::LoanAnswer(answer));
                    self.request(to);
                }
            }
            Message::LoanAnswer(answer) => {
                host.lenders.record_answer(sender);
                host.borrower.record_answer(sender, &answer, now);
                self.wake(to);
            }
            Message::Probe => self.send(to, from, Message::ProbeAnswer),
            Message::ProbeAnswer => host.lenders.record_answer(sender),
            Message::NoShares => host.no_shares.record(sender, now),
        }
    }

    /// Lets the operations that wait at `host` ask again.
    fn wake(&mut self, host: usize) {
        let waiting = self
            .events
            .iter()
            .filter(|(_, event)| matches!(event, Event::Retry { host: of, .. } if *of == host));
        let keys: Vec<(Duration, u64)> = waiting.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(event) = self.events.remove(&key) {
                self.at(self.now, event);
            }
        }
    }

    fn heartbeat(&mut self, host: usize, start: u32) {
        let now = self.now;
        if !self.hosts[host].running || self.hosts[host].start != start {
            return;
        }
        self.at(now + HEARTBEAT_INTERVAL, Event::Heartbeat { host, start });
        if self.hosts[host].paused {
            return;
        }
        // The store is there all the time.
        self.hosts[host].quorum.record_renewal(now);
        let holds = self.hosts[host].quorum.holds_lease(now);
        if self.hosts[host].lease.0 != holds {
            self.hosts[host].lease = (holds, now);
        }
        let it = &mut self.hosts[host];
        let reports = self.way == Way::ZoneGrantors && !it.has_asked && now >= it.report_at;
        if reports {
            it.report_at = now + REPORT_INTERVAL;
        }
        for elector in (0..ELECTORS.min(self.hosts.len())).filter(|it| *it != host) {
            self.send(host, elector, Message::Heartbeat { sent: now });
            if reports {
                self.send(host, elector, Message::NoShares);
            }
        }
    }

    fn check(&mut self, host: usize, start: u32) {
        if !self.hosts[host].running || self.hosts[host].start != start {
            return;
        }
        self.at(self.now + CHECK_INTERVAL, Event::Check { host, start });
        if !self.hosts[host].paused {
            self.request(host);
            self.answer_loans(host);
            self.borrow(host);
        }
    }

    /// Answers the loans that had to wait and can be decided now.
    fn answer_loans(&mut self, host: usize) {
        let now = self.now;
        let it = &mut self.hosts[host];
        let contact = it.contact(now);
        let answers = it.lender.answers(&mut it.account, contact, now);
        for (borrower, answer) in answers {
            let to = self.index(borrower);
            self.send(host, to, Message::LoanAnswer(answer));
        }
    }

    fn index(&self, key: HostKey) -> usize {
        let found = self.keys.iter().position(|it| *it == key);
        found.expect("a host of the model")
    }

    /// Returns where `host` obtains operations, in order.
    fn sources(&self, host: usize) -> Vec<Source> {
        let zone = host % self.zones;
        let own = self.choices[zone].iter().take(ZONE_CHOICES);
        let others = (1..self.zones).map(|it| (zone + it) % self.zones);
        let others = others.filter_map(|zone| self.choices[zone].first());
        let hosts = own.chain(others);
        hosts
            .map(|it| match *it == host {
                true => Source::Own,
                false => Source::Lender(self.keys[*it]),
            })
            .collect()
    }

    /// Chooses where `host` obtains operations now.
    fn source(&mut self, host: usize) -> Source {
        if self.way != Way::ZoneGrantors {
            return Source::Own;
        }
        let now = self.now;
        let sources = self.sources(host);
        let it = &mut self.hosts[host];
        if sources.contains(&Source::Own) && it.account.is_unavailable(it.contact(now), now) {
            it.borrower.record_unavailable(Source::Own, now);
        }
        let mut probes = Vec::new();
        let source = it.lenders.choose(sources, &it.borrower, &mut probes, now);
        for probe in probes {
            let to = self.index(probe);
            self.send(host, to, Message::Probe);
        }
        source
    }

    /// Asks the lender for operations if that is due.
    fn borrow(&mut self, host: usize) {
        let now = self.now;
        let Source::Lender(lender) = self.source(host) else {
            return;
        };
        let it = &mut self.hosts[host];
        if it.borrower.is_request_due(lender, it.borrowing, now) {
            let request = it.borrower.request(lender, it.borrowing, now);
            it.lenders.record_request(lender, now);
            let to = self.index(lender);
            self.send(host, to, Message::LoanRequest(request));
        }
    }

    fn request(&mut self, host: usize) {
        let now = self.now;
        let waiting = self.hosts[host].waiting + self.hosts[host].lender.waiting();
        let account = &mut self.hosts[host].account;
        if !account.is_request_due(waiting, Duration::ZERO, now) {
            return;
        }
        let request = account.request(waiting, now);
        let electors = 0..ELECTORS.min(self.hosts.len());
        let grantor = electors.into_iter().find(|elector| {
            *elector == host || passed_over_since(self.age(host, *elector), now).is_none()
        });
        if let Some(grantor) = grantor {
            self.hosts[host].has_asked = true;
            self.send(host, grantor, Message::Request(request));
        }
    }

    /// Returns the time since `host` last heard of `elector`.
    fn age(&self, host: usize, elector: usize) -> Duration {
        let age = self.hosts[host].quorum.age(self.keys[elector], self.now);
        age.unwrap_or(Duration::MAX)
    }

    fn grant(&mut self, host: usize, sender: HostKey, request: &Request) -> Option<Grant> {
        let now = self.now;
        let (holds, since) = self.hosts[host].lease;
        if !holds || !self.hosts[host].quorum.holds_lease(now) {
            return None;
        }
        let ages: Vec<Duration> = (0..host).map(|before| self.age(host, before)).collect();
        let since = grants_since(since, ages, now)?;
        let silent = self.silent_hosts(host, since);
        let term = self.rng.random_range(1..=u32::MAX);
        let host = &mut self.hosts[host];
        if host.grantor.as_ref().is_none_or(|it| it.since() < since) {
            host.grantor = Some(Grantor::new(host.limit, term, since));
        }
        host.grantor.as_mut()?.grant(sender, request, silent, now)
    }

    /// Returns the fraction of all hosts that `host`, the grantor since `since`, hears nothing of.
    fn silent_hosts(&self, host: usize, since: Duration) -> f64 {
        let is_silent = |other: usize| {
            let it = &self.hosts[host];
            let heard = it.heartbeats.get(&self.keys[other]);
            let heard = heard.is_some_and(|at| self.now < *at + SILENT_AFTER);
            other != host && !heard && !it.no_shares.holds_none(self.keys[other], since)
        };
        let count = (0..self.hosts.len()).filter(|it| is_silent(*it)).count();
        if self.way != Way::ZoneGrantors {
            return silent_fraction((count, self.hosts.len()), (0, 0));
        }
        let first: Vec<usize> = self
            .choices
            .iter()
            .filter_map(|it| it.first().copied())
            .collect();
        let silent_first = first.iter().filter(|it| is_silent(**it)).count();
        silent_fraction((count, self.hosts.len()), (silent_first, first.len()))
    }

    fn record_contact(&mut self, host: usize, sender: HostKey) {
        let now = self.now;
        let Some(since) = self.hosts[host].grantor.as_ref().map(Grantor::since) else {
            return;
        };
        let silent = self.silent_hosts(host, since);
        if let Some(grantor) = &mut self.hosts[host].grantor {
            grantor.record_contact(sender, || silent, now);
            grantor.record_contact(self.keys[host], || silent, now);
        }
    }

    fn next_arrival(&mut self, caller: usize, after: Duration) {
        let rate = (self.callers[caller].rate * self.rush).max(1e-3);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let at = after + Duration::from_secs_f64(gap);
        self.at(at, Event::Arrival { caller });
    }

    fn arrive(&mut self, caller: usize) {
        let now = self.now;
        self.next_arrival(caller, now);
        if !self.hosts[self.callers[caller].host].running {
            // The balancer leads the caller to another host.
            let running = (0..self.hosts.len()).filter(|it| self.hosts[*it].running);
            let running: Vec<usize> = running.collect();
            if running.is_empty() {
                return;
            }
            self.callers[caller].host = running[self.rng.random_range(0..running.len())];
        }
        let host = self.callers[caller].host;
        if self.hosts[host].paused {
            return;
        }
        self.count_ideal();
        let start = self.hosts[host].start;
        match self.source(host) {
            Source::Own => self.hosts[host].account.record_arrival(now),
            Source::Lender(_) => self.hosts[host].borrower.record_arrival(now),
        }
        self.decide(caller, host, start, now);
    }

    fn retry(&mut self, caller: usize, host: usize, start: u32, since: Duration, source: Source) {
        if !self.hosts[host].running || self.hosts[host].start != start {
            return;
        }
        if self.hosts[host].paused {
            let event = Event::Retry {
                caller,
                host,
                start,
                since,
                source,
            };
            return self.at(self.now + ms(20), event);
        }
        match source {
            Source::Own => self.hosts[host].waiting -= 1,
            Source::Lender(_) => self.hosts[host].borrowing -= 1,
        }
        self.decide(caller, host, start, since);
    }

    fn decide(&mut self, caller: usize, host: usize, start: u32, since: Duration) {
        let now = self.now;
        let source = match now < since + BORROW_TIMEOUT {
            true => self.source(host),
            false => Source::Own,
        };
        let admission = match self.way {
            Way::EqualParts => self.admit_part(host),
            Way::GrantorAlone | Way::GrantorWithShares | Way::ZoneGrantors => {
                let host = &mut self.hosts[host];
                let contact = host.contact(now);
                match source {
                    Source::Own => host.account.admit(contact, now),
                    Source::Lender(lender) => host.borrower.admit(lender, now),
                }
            }
        };
        let side = usize::from(self.sides[host] >= CUT_PERCENT);
        match admission {
            Admission::Admitted => {
                self.tally.admitted.push(now);
                self.tally.decisions.push((now, true));
                self.tally.by_side[side].push((now, true));
                self.tally.waited += now - since;
            }
            Admission::Refused { .. } => {
                self.tally.decisions.push((now, false));
                self.tally.by_side[side].push((now, false));
            }
            Admission::Wait { until } => {
                match source {
                    Source::Own => self.hosts[host].waiting += 1,
                    Source::Lender(_) => self.hosts[host].borrowing += 1,
                }
                let event = Event::Retry {
                    caller,
                    host,
                    start,
                    since,
                    source,
                };
                self.at(until.max(now) + ms(1), event);
                match source {
                    Source::Own => self.request(host),
                    Source::Lender(_) => self.borrow(host),
                }
            }
        }
    }

    /// Admits from an equal part of the rate and the burst.
    fn admit_part(&mut self, host: usize) -> Admission {
        let (now, hosts) = (self.now, self.hosts.len() as f64);
        let host = &mut self.hosts[host];
        let (tokens, at) = host.part;
        let rate = f64::from(host.limit.per_second) / hosts;
        let burst = (f64::from(host.limit.burst) / hosts).max(1.0);
        let tokens = (tokens + (now - at).as_secs_f64() * rate).min(burst);
        let admitted = tokens >= 1.0;
        host.part = (if admitted { tokens - 1.0 } else { tokens }, now);
        match admitted {
            true => Admission::Admitted,
            false => Admission::Refused {
                retry_after: ms(50),
            },
        }
    }

    /// Counts the arrival against one bucket that sees all hosts.
    fn count_ideal(&mut self) {
        let (tokens, at) = self.ideal;
        let mut in_force = self.limits.iter().filter(|(since, _)| *since <= self.now);
        let limit = in_force
            .next_back()
            .map_or(self.limits[0].1, |(_, limit)| *limit);
        let passed = (self.now - at).as_secs_f64();
        let tokens = tokens + passed * f64::from(limit.per_second);
        let tokens = tokens.min(f64::from(limit.burst));
        let allowed = tokens >= 1.0;
        self.tally.allowed += u64::from(allowed);
        self.ideal = (if allowed { tokens - 1.0 } else { tokens }, self.now);
    }
}
