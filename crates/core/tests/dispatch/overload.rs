//! Hosts that share servers which have become slow, under more work than these can handle.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flamingopost_core::dispatch::{Action, Dispatch, Need, Server};
use flamingopost_core::key::{ServerKey, TeamKey};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{after, keys, ms, position, ticket};

const HOSTS: usize = 8;

/// Number of requests that each of three servers runs at once.
const SLOTS: usize = 3;

/// Number of connections that a host may have to a server.
const MOST: u16 = 4;

/// Service times of a request in milliseconds, before and after servers become slow.
const FAST: u64 = 20;
const SLOW: u64 = 60;

/// Time that a connect takes at a server.
const HANDSHAKE: u64 = 27;

/// Duration of the phases, in milliseconds: low load, and slow servers.
const CALM: u64 = 4_000;
const OVERLOADED: u64 = 6_000;

/// Part of the capacity that has to be used for requests that are answered in time.
const MIN_SERVED: f64 = 0.9;

/// Longest median time until a request is refused.
const MAX_REFUSAL: Duration = Duration::from_millis(50);

/// Guards against requests that all wait until their deadline and are refused then: at 60 ms a
/// statement a host gets fewer answers of a server in a second than its estimate needed.
#[test]
fn an_overloaded_service_refuses_early_and_serves_what_it_can() {
    for load in [1.5, 2.0, 4.0] {
        for pressing in [1.0, 8.0] {
            for seed in 0..2 {
                let outcome = Simulation::new(seed).run(load, pressing);
                let served = outcome.served as f64 / outcome.capacity();
                let median = outcome.median_refusal();
                let case = format!("load {load}, one host x {pressing}, seed {seed}");
                assert!(served >= MIN_SERVED, "{case}: served {served:.2}");
                assert!(median <= MAX_REFUSAL, "{case}: refused after {median:?}");
            }
        }
    }
}

/// Guards against refusals of requests that servers could have answered in time.
#[test]
fn a_service_below_its_capacity_refuses_nothing() {
    assert_serves_all(1.0);
}

/// Guards against the same where one host gets eight times as many requests as each of the others: its
/// windows have to leave it more than an equal part of the servers.
#[test]
fn a_host_that_presses_below_the_capacity_is_refused_nothing() {
    assert_serves_all(8.0);
}

fn assert_serves_all(pressing: f64) {
    for seed in 0..4 {
        let outcome = Simulation::new(seed).run(0.7, pressing);
        let refused = outcome.refusals.len();
        assert_eq!((refused, outcome.late), (0, 0), "seed {seed}");
    }
}

/// What became of the requests that arrived while servers were slow.
#[derive(Debug, Default)]
struct Outcome {
    served: u64,
    late: u64,
    /// How long each refused request had waited.
    refusals: Vec<Duration>,
    /// Requests that were refused within [`MAX_REFUSAL`] in the first 3 s.
    early: u64,
}

impl Outcome {
    fn capacity(&self) -> f64 {
        (SLOTS * 3) as f64 * OVERLOADED as f64 / SLOW as f64
    }

    fn median_refusal(&self) -> Duration {
        let mut refusals = self.refusals.clone();
        refusals.sort_unstable();
        refusals
            .get(refusals.len() / 2)
            .copied()
            .unwrap_or_default()
    }
}

/// Work of a server: a request, or a connect.
#[derive(Debug, Clone, Copy)]
struct Job {
    host: usize,
    /// The request and its connection.
    request: Option<(u64, u64)>,
    sent: Duration,
}

#[derive(Debug, Default)]
struct Slots {
    running: Vec<(Duration, Job)>,
    queue: VecDeque<Job>,
}

/// Simulation of the hosts and of the servers that they share.
struct Simulation {
    rng: ChaCha8Rng,
    keys: Vec<ServerKey>,
    hosts: Vec<Dispatch>,
    servers: Vec<Slots>,
    /// When each request arrived, while it is not answered.
    arrivals: BTreeMap<u64, Duration>,
    id: u64,
    now: Duration,
    work: u64,
    outcome: Outcome,
    /// Requests that arrived earlier do not count.
    counted_from: Duration,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let keys = keys();
        let host = |_| {
            let mut dispatch = Dispatch::default();
            for key in &keys {
                let mut server = Server::new(true, SLOTS as u16, 2, MOST, MOST);
                server.record_position(position(1, 5), None, ms(0));
                dispatch.insert(*key, server);
            }
            dispatch.set_leader(Some(keys[0]));
            dispatch
        };
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..HOSTS).map(host).collect(),
            servers: keys.iter().map(|_| Slots::default()).collect(),
            keys: keys.to_vec(),
            arrivals: BTreeMap::new(),
            id: 0,
            now: ms(1_000),
            work: FAST,
            outcome: Outcome::default(),
            counted_from: Duration::MAX,
        }
    }

    /// Plays low load, and then `load` times the capacity of slow servers. One host gets `pressing`
    /// times as many requests as each of the others.
    fn run(mut self, load: f64, pressing: f64) -> Outcome {
        let start = self.now;
        let all = (SLOTS * 3) as f64;
        for tick in 0..CALM + OVERLOADED {
            self.now = start + ms(tick);
            if tick == CALM {
                self.work = SLOW;
                self.counted_from = self.now;
            }
            let rate = match tick < CALM {
                true => 0.3 * all / FAST as f64,
                false => load * all / SLOW as f64,
            };
            self.finish();
            for host in 0..HOSTS {
                let weight = if host == 0 { pressing } else { 1.0 };
                let share = rate * weight / (pressing + (HOSTS - 1) as f64);
                if self.rng.random_bool(share.min(1.0)) {
                    self.arrive(host);
                }
                let actions = self.hosts[host].tick(self.now);
                self.apply(host, actions);
            }
            self.begin();
        }
        self.outcome
    }

    /// Adds a request: one in four needs the primary.
    fn arrive(&mut self, host: usize) {
        self.id += 1;
        let need = match self.rng.random_bool(0.25) {
            true => Need::Leader,
            false => after(1, ms(0)),
        };
        let mut ticket = ticket(self.id, need, self.now);
        ticket.goal = self.now + ms(400);
        self.arrivals.insert(self.id, self.now);
        let actions = self.hosts[host].arrive(ticket, self.now);
        self.apply(host, actions);
    }

    /// Answers what servers have completed.
    fn finish(&mut self) {
        let now = self.now;
        for index in 0..self.servers.len() {
            let running = &mut self.servers[index].running;
            let done: Vec<Job> = running
                .extract_if(.., |(until, _)| *until <= now)
                .map(|(_, job)| job)
                .collect();
            for job in done {
                let key = self.keys[index];
                let host = &mut self.hosts[job.host];
                let team = TeamKey::default();
                let actions = match job.request {
                    None => {
                        self.id += 1;
                        host.connection_opened(key, self.id, team, now)
                    }
                    Some((request, connection)) => {
                        if let Some(server) = host.server_mut(key) {
                            server.record_latency(now - job.sent, now);
                        }
                        self.count_answer(request);
                        self.hosts[job.host].connection_returned(key, connection, team, now)
                    }
                };
                self.apply(job.host, actions);
            }
        }
    }

    fn count_answer(&mut self, request: u64) {
        let arrived = self.arrivals.remove(&request).unwrap_or_default();
        if arrived >= self.counted_from {
            match self.now <= arrived + ms(800) {
                true => self.outcome.served += 1,
                false => self.outcome.late += 1,
            }
        }
    }

    /// Starts queued work on free slots, in order of arrival.
    fn begin(&mut self) {
        for server in &mut self.servers {
            while server.running.len() < SLOTS
                && let Some(job) = server.queue.pop_front()
            {
                let time = match job.request {
                    None => HANDSHAKE,
                    Some(_) => self.work * self.rng.random_range(70..=130) / 100,
                };
                server.running.push((self.now + ms(time), job));
            }
        }
    }

    fn apply(&mut self, host: usize, actions: Vec<Action>) {
        let now = self.now;
        for action in actions {
            let (server, request) = match action {
                Action::Assign {
                    ticket,
                    server,
                    connection,
                    ..
                } => (server, Some((ticket, connection))),
                Action::Open { server, .. } => (server, None),
                Action::Refuse { ticket, .. } => {
                    let arrived = self.arrivals.remove(&ticket).unwrap_or_default();
                    if arrived >= self.counted_from {
                        self.outcome.refusals.push(now - arrived);
                        let is_early = now - arrived < MAX_REFUSAL;
                        let since = arrived - self.counted_from;
                        self.outcome.early += u64::from(is_early && since < ms(3_000));
                    }
                    continue;
                }
                Action::Close { .. } => continue,
            };
            let index = self.keys.iter().position(|key| *key == server);
            let job = Job {
                host,
                request,
                sent: now,
            };
            self.servers[index.expect("a server")].queue.push_back(job);
        }
    }
}

/// Guards against refusals after a restart of all hosts: few requests start while servers count the
/// connections of the former processes, and all others were refused at once.
#[test]
fn a_host_that_has_just_started_refuses_nothing_by_its_pace() {
    let mut simulation = Simulation::new(0);
    let start = simulation.now + ms(CALM);
    simulation
        .hosts
        .iter_mut()
        .for_each(|host| host.set_start(1, start));
    let outcome = simulation.run(4.0, 1.0);
    assert_eq!(outcome.early, 0);
}
