//! Randomised failovers in whole fleets of hosts, over links that lose, delay and cut messages.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leader::Role;
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::succession::{
    CLAIM_HOLDER_TIMEOUT, FencingToken, NextStep, Opinion, Order, Report, SILENCE_MAX, Succession,
    Trouble, View,
};
use flamingopost_core::term::Term;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of availability zones. The first is cut off, with its server and its hosts.
const ZONES: usize = 3;

/// Number of servers, one in each zone. The first leads at the start.
const SERVERS: usize = 3;

/// Number of hosts that are asked in a large fleet, and the number of hosts up to which all are
/// asked.
const ELECTORS: usize = 7;
const SMALL_FLEET: usize = 9;

const CUT: Duration = ms(1_000);
const END: Duration = ms(14_000);
const STEP: Duration = ms(20);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(term: i64, log: u64) -> Position {
    Position {
        term: Term::from_number(term),
        log,
    }
}

/// A server's log: for each term, the log number of its last write.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Log(Vec<(i64, u64)>);

impl Log {
    fn end(&self) -> Position {
        let (term, log) = self.0.last().copied().unwrap_or_default();
        position(term, log)
    }

    fn write(&mut self, term: i64) {
        let next = self.0.last().map_or(0, |(_, log)| *log) + 1;
        match self.0.last_mut() {
            Some((last, log)) if *last == term => *log = next,
            _ => self.0.push((term, next)),
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Server {
    log: Log,
    /// The newest term that the server knows.
    term: i64,
}

struct Host {
    succession: Succession,
    leader: Option<usize>,
    term: i64,
    /// When the primary became silent, or when the host lost it.
    since: Option<Duration>,
    /// Claims of other hosts, each with the time when this host first saw it.
    claims_seen: BTreeMap<(i64, u64), Duration>,
}

/// An event of the simulation.
enum Event {
    Step(usize),
    Ask(usize, usize, Option<usize>),
    Opinion(usize, usize, Option<usize>, Opinion),
    Report(usize, usize, Report),
    PeerActs(usize),
    Claimed(usize, i64),
    Ordered(usize, Order),
    Order(usize, usize, u64),
    Leads(usize),
    CutEnds,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    /// The actual primary, and the newest term.
    leader: usize,
    term: i64,
    host_keys: Vec<HostKey>,
    server_keys: Vec<ServerKey>,
    /// When the partition ends, and when the store is unavailable.
    cut_ends: Duration,
    outage: (Duration, Duration),
    promotion: Duration,
    claims: BTreeMap<i64, (usize, u64)>,
    token: u64,
    highest_token: u64,
    orders: usize,
}

impl Simulation {
    fn new(seed: u64, count: usize) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut names: Names<HostKey> = Names::default();
        let host_keys = (0..count).map(|i| names.intern(&format!("entry-{i}")));
        let host_keys = host_keys.collect();
        let mut names: Names<ServerKey> = Names::default();
        let server_keys = (0..SERVERS).map(|i| names.intern(&format!("ledger-{i}")));
        let server_keys = server_keys.collect();
        let start = Log(vec![(1, 40)]);
        let server = Server {
            log: start,
            term: 1,
        };
        let outage = ms(rng.random_range(0..3_000));
        let mut simulation = Simulation {
            now: ms(0),
            events: BTreeMap::new(),
            count: 0,
            hosts: (0..count).map(Host::new).collect(),
            servers: vec![server; SERVERS],
            leader: 0,
            term: 1,
            host_keys,
            server_keys,
            cut_ends: CUT + ms(rng.random_range(3_000..8_000)),
            outage: (outage, outage + ms(rng.random_range(0..6_000))),
            promotion: ms(rng.random_range(300..1_000)),
            claims: BTreeMap::new(),
            token: 100,
            highest_token: 0,
            orders: 0,
            rng,
        };
        for host in 0..count {
            let first = ms(simulation.rng.random_range(0..20));
            simulation.at(first, Event::Step(host));
        }
        let settled = simulation.cut_ends + ms(simulation.rng.random_range(20..400));
        simulation.at(settled, Event::CutEnds);
        simulation
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.count += 1;
        self.events.insert((when, self.count), event);
    }

    /// Delivers `event` after the delay of a path between zones, unless the message is lost.
    fn send(&mut self, event: Event) {
        if !self.rng.random_bool(0.05) {
            let delay = ms(self.rng.random_range(1..30));
            self.at(self.now + delay, event);
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let apart = one.is_multiple_of(ZONES) != other.is_multiple_of(ZONES);
        apart && CUT <= self.now && self.now < self.cut_ends
    }

    /// The store and the platform are on the side of the zones that are not cut off.
    fn reaches_platform(&self, host: usize) -> bool {
        !self.is_cut(host, 1)
    }

    fn electors(&self, host: usize) -> BTreeSet<usize> {
        let count = if self.hosts.len() > SMALL_FLEET {
            ELECTORS
        } else {
            self.hosts.len()
        };
        (0..count).filter(|other| *other != host).collect()
    }

    fn view(&mut self, host: usize) -> View {
        let peers = self.electors(host);
        let believed = self.hosts[host].leader;
        let now = self.now;
        let reaches = believed.is_some_and(|server| !self.is_cut(host, server));
        let deposed = reaches && believed != Some(self.leader);
        let it = &mut self.hosts[host];
        if deposed {
            it.leader = None;
            it.since = Some(now);
        } else if reaches {
            it.since = None;
        } else {
            it.since.get_or_insert(now);
        }
        let trouble = match (it.leader, it.since) {
            (None, Some(since)) => Some(Trouble::Absent { since }),
            (Some(_), Some(since)) if now >= since + SILENCE_MAX => Some(Trouble::Silent { since }),
            _ => None,
        };
        View {
            leader: it.leader.map(|server| self.server_keys[server]),
            term: Term::from_number(it.term),
            leader_term: Term::from_number(it.term),
            terms_led: BTreeMap::new(),
            trouble,
            candidates: self.server_keys.iter().copied().collect(),
            leaving: BTreeSet::new(),
            peers: peers.iter().map(|peer| self.host_keys[*peer]).collect(),
            rank: u32::try_from(host).unwrap_or(u32::MAX),
            newest_token: None,
            leases_end: ms(0),
            in_contact: true,
            ordered_before: None,
            announced: None,
            synchronous: false,
            newest_position: position(1, 40),
            required_positions: BTreeMap::new(),
            may_lack_servers: false,
            previous_starts: BTreeMap::new(),
            distrusted: BTreeSet::new(),
        }
    }

    fn step(&mut self, host: usize) {
        self.write(host);
        let view = self.view(host);
        let now = self.now;
        let next = common::step(&mut self.hosts[host].succession, &view, now);
        self.act(host, next);
        if view.leader.is_none() && self.rng.random_bool(0.15) {
            self.act(host, vec![NextStep::AskServers]);
        }
        self.at(now + STEP, Event::Step(host));
    }

    /// A host writes to the server that it takes for the primary, if that server leads. The primary
    /// replicates the writes.
    fn write(&mut self, host: usize) {
        let leads = self.hosts[host].leader == Some(self.leader);
        if !leads || self.is_cut(host, self.leader) || self.rng.random_bool(0.8) {
            return;
        }
        self.hosts[host].term = self.term;
        let (leader, term) = (self.leader, self.term);
        self.servers[leader].log.write(term);
        for other in 0..SERVERS {
            if other != leader && !self.is_cut(other, leader) {
                self.servers[other] = self.servers[leader].clone();
            }
        }
    }

    fn act(&mut self, host: usize, next: Vec<NextStep>) {
        for next in next {
            match next {
                NextStep::AskHosts => {
                    let about = self.hosts[host].leader;
                    for other in self.electors(host) {
                        self.send(Event::Ask(host, other, about));
                    }
                }
                NextStep::AskServers => {
                    for server in 0..SERVERS {
                        if !self.is_cut(host, server) {
                            let report = self.report(server);
                            self.send(Event::Report(host, server, report));
                        }
                    }
                }
                NextStep::Claim | NextStep::RenewClaim { .. } => {
                    let term = self.hosts[host].term;
                    let way = ms(self.rng.random_range(5..240));
                    self.at(self.now + way, Event::Claimed(host, term));
                }
                NextStep::EndTerm { .. } => {}
                NextStep::Promote { server, token } => {
                    let server = self.server_keys.iter().position(|key| *key == server);
                    let server = server.expect("a key of one of the servers");
                    for other in 0..self.hosts.len() {
                        if other != host {
                            self.send(Event::PeerActs(other));
                        }
                    }
                    self.at(self.now + ms(10), Event::Order(host, server, token.0));
                }
            }
        }
    }

    fn report(&self, server: usize) -> Report {
        let leads = self.leader == server;
        let it = &self.servers[server];
        Report {
            role: if leads { Role::Primary } else { Role::Replica },
            term: Term::from_number(it.term),
            received: it.log.end(),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Step(host) => self.step(host),
            Event::Ask(from, to, about) if !self.is_cut(from, to) => {
                let server = about.or(self.hosts[to].leader);
                let reaches = server.is_some_and(|server| !self.is_cut(to, server));
                let opinion = match reaches {
                    true => Opinion::Reaches,
                    false => Opinion::Fails,
                };
                self.send(Event::Opinion(from, to, about, opinion));
            }
            Event::Opinion(host, from, about, opinion) if !self.is_cut(host, from) => {
                if self.hosts[host].leader == about {
                    let from = self.host_keys[from];
                    self.hosts[host].succession.record_opinion(from, opinion);
                }
            }
            Event::Report(host, server, report) if !self.is_cut(host, server) => {
                let key = self.server_keys[server];
                let it = &mut self.hosts[host];
                it.succession.record_report(key, report);
                if report.role == Role::Primary && report.term >= Term::from_number(it.term) {
                    it.leader = Some(server);
                    it.term = it.term.max(self.servers[server].term);
                    it.since = None;
                }
            }
            Event::PeerActs(host) => self.hosts[host].succession.defer_to_peer(now),
            Event::Claimed(host, term) => self.claim(host, term),
            Event::Ordered(host, order) => self.hosts[host].succession.order_finished(order, now),
            Event::Order(host, server, token) => self.order(host, server, token),
            Event::Leads(server) => self.lead(server),
            Event::CutEnds => {
                let leader = self.servers[self.leader].clone();
                self.servers.fill(leader);
            }
            Event::Ask(..) | Event::Opinion(..) | Event::Report(..) => {}
        }
    }

    fn claim(&mut self, host: usize, term: i64) {
        let now = self.now;
        let is_unavailable = self.outage.0 <= now && now < self.outage.1;
        let rank = u32::try_from(host).unwrap_or(u32::MAX);
        if is_unavailable || !self.reaches_platform(host) {
            self.hosts[host].succession.claim_undecided(rank, now);
            return;
        }
        if let Some((by, revision)) = self.claims.get(&term).copied() {
            let it = &mut self.hosts[host];
            let seen = *it.claims_seen.entry((term, revision)).or_insert(now);
            if by != host && now < seen + CLAIM_HOLDER_TIMEOUT {
                it.succession.claim_lost(now);
                return;
            }
        }
        self.token += 1;
        self.claims.insert(term, (host, self.token));
        let next = self.hosts[host]
            .succession
            .claim_won(FencingToken(self.token), now);
        self.act(host, next);
    }

    fn order(&mut self, host: usize, server: usize, token: u64) {
        if !self.reaches_platform(host) {
            self.at(self.now + ms(500), Event::Ordered(host, Order::Unknown));
            return;
        }
        let order = match token < self.highest_token {
            true => Order::Refused,
            false => Order::Accepted,
        };
        if order == Order::Accepted {
            self.highest_token = token;
            self.check(server);
            self.orders += 1;
            self.at(self.now + self.promotion, Event::Leads(server));
        }
        self.at(self.now + ms(10), Event::Ordered(host, order));
    }

    /// Checks that the promotion of `server` does not restore writes that an earlier change has
    /// dropped.
    fn check(&self, server: usize) {
        let truth = &self.servers[self.leader].log.0;
        let dropped = self.servers[server].log.0.iter().find(|(term, end)| {
            let newer = truth.iter().any(|(other, _)| other > term);
            let kept = truth.iter().find(|(other, _)| other == term);
            newer && kept.is_none_or(|(_, kept)| end > kept)
        });
        assert_eq!(
            dropped, None,
            "server {server} would restore dropped writes, {:?}",
            self.now
        );
    }

    /// Carries out an order.
    fn lead(&mut self, server: usize) {
        if server == self.leader {
            return;
        }
        self.term += 1;
        self.leader = server;
        self.servers[server].term = self.term;
        let leader = self.servers[server].clone();
        for other in 0..SERVERS {
            if other != server && !self.is_cut(other, server) {
                self.servers[other] = leader.clone();
            }
        }
    }

    fn run(mut self) -> Simulation {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= END {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self
    }
}

impl Host {
    fn new(number: usize) -> Host {
        let mut succession = Succession::default();
        succession.reserve_token(FencingToken(u64::try_from(number).unwrap_or_default()));
        Host {
            succession,
            leader: Some(0),
            term: 1,
            since: None,
            claims_seen: BTreeMap::new(),
        }
    }
}

/// A zone is cut off with the primary, and its hosts write there until the successor leads. Around
/// the end of the partition, orders of that zone are carried out. In every case, no server is
/// promoted whose log still ends with writes that the change has dropped, and in the end callers
/// can write again.
fn failover_never_restores_dropped_writes(hosts: usize, seeds: u64) {
    let mut changes = 0;
    for seed in 0..seeds {
        let simulation = Simulation::new(seed, hosts).run();
        changes += usize::from(simulation.term > 1);
        let served = simulation
            .hosts
            .iter()
            .filter(|it| it.leader == Some(simulation.leader));
        let served = served.count();
        assert_eq!(served, hosts, "seed {seed}: hosts that know the primary");
        assert!(
            simulation.orders <= 3,
            "seed {seed}: {} orders",
            simulation.orders
        );
    }
    let most = usize::try_from(seeds).unwrap_or_default() * 9 / 10;
    assert!(changes >= most, "{changes} changes of {seeds}");
}

#[test]
fn failover_never_restores_dropped_writes_with_six_hosts() {
    failover_never_restores_dropped_writes(6, 300);
}

#[test]
fn failover_never_restores_dropped_writes_with_sixty_five_hosts() {
    failover_never_restores_dropped_writes(65, 30);
}
