//! Several hosts that share one overloaded server.

use std::collections::VecDeque;
use std::time::Duration;

use flamingopost_core::dispatch::{Action, Dispatch, Need, Server};
use flamingopost_core::key::{ServerKey, TeamKey};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{keys, ms, ticket};

/// Number of requests that the server runs at once.
const SLOTS: usize = 2;

/// Mean service time of a request, in milliseconds.
const WORK: f64 = 9.0;

/// Number of connections that a host may have.
const MOST: u16 = 6;

/// Duration of three phases, in milliseconds: low load, in which hosts learn the baseline latency;
/// overload, in which the windows converge; and overload in which the answers are counted.
const CALM: u64 = 4_000;
const SETTLING: u64 = 8_000;
const COUNTED: u64 = 10_000;

/// Guards against an uneven split of an overloaded primary between two hosts of a zone.
///
/// Each host shrinks its window while latency is high, no matter whose requests cause it. With one
/// bound for all windows, a host that measures slightly more shrinks to one request, and the other
/// host's work keeps the latency high. Callers of the first host were refused at their deadline
/// although it had idle connections, while callers of the second were answered as usual.
#[test]
fn hosts_share_a_congested_server_evenly() {
    for hosts in [2, 5] {
        for seed in 0..4 {
            let served = Simulation::new(hosts, seed).run();
            let least = served.iter().min().copied().unwrap_or_default();
            let most = served.iter().max().copied().unwrap_or_default();
            assert!(
                least * 2 >= most,
                "{hosts} hosts, seed {seed}: served {served:?}"
            );
        }
    }
}

/// Simulation of the hosts and of the server that they share.
struct Simulation {
    rng: ChaCha8Rng,
    server: ServerKey,
    hosts: Vec<Host>,
    running: Vec<(Duration, Job)>,
    queue: VecDeque<Job>,
    id: u64,
    now: Duration,
}

struct Host {
    dispatch: Dispatch,
    served: u64,
    opening: u64,
}

/// A request that was sent to the server.
#[derive(Debug, Clone, Copy)]
struct Job {
    host: usize,
    connection: u64,
    sent: Duration,
}

impl Simulation {
    fn new(hosts: usize, seed: u64) -> Simulation {
        let server = keys()[0];
        let host = |_| {
            let mut dispatch = Dispatch::default();
            dispatch.insert(server, Server::new(true, SLOTS as u16, 3, MOST, MOST));
            dispatch.set_leader(Some(server));
            Host {
                dispatch,
                served: 0,
                opening: 0,
            }
        };
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            server,
            hosts: (0..hosts).map(host).collect(),
            running: Vec::new(),
            queue: VecDeque::new(),
            id: 0,
            now: ms(1_000),
        }
    }

    /// Returns the number of requests answered for each host in the counted phase.
    fn run(mut self) -> Vec<u64> {
        let start = self.now;
        for tick in 0..CALM + SETTLING + COUNTED {
            if tick == CALM + SETTLING {
                self.hosts.iter_mut().for_each(|host| host.served = 0);
            }
            self.now = start + ms(tick);
            self.finish_requests();
            // 30% of the server's capacity, then 150% of it.
            let load = if tick < CALM { 0.3 } else { 1.5 };
            for host in 0..self.hosts.len() {
                self.step(host, load);
            }
            self.start_requests();
        }
        self.hosts.iter().map(|host| host.served).collect()
    }

    /// Completes pending connects, adds new requests and advances the time of one host.
    fn step(&mut self, host: usize, load: f64) {
        let (server, now) = (self.server, self.now);
        for _ in 0..std::mem::take(&mut self.hosts[host].opening) {
            self.id += 1;
            let actions = self.hosts[host].dispatch.connection_opened(
                server,
                self.id,
                TeamKey::default(),
                now,
            );
            self.apply(host, actions);
        }
        let all = SLOTS as f64 / WORK * load;
        if self.rng.random_bool(all / self.hosts.len() as f64) {
            self.id += 1;
            let ticket = ticket(self.id, Need::Leader, now);
            let actions = self.hosts[host].dispatch.arrive(ticket, now);
            self.apply(host, actions);
        }
        let actions = self.hosts[host].dispatch.tick(now);
        self.apply(host, actions);
    }

    /// Answers the requests that the server has completed.
    fn finish_requests(&mut self) {
        let now = self.now;
        let done: Vec<Job> = self
            .running
            .extract_if(.., |(until, _)| *until <= now)
            .map(|(_, job)| job)
            .collect();
        for job in done {
            let host = &mut self.hosts[job.host];
            host.served += 1;
            if let Some(server) = host.dispatch.server_mut(self.server) {
                server.record_latency(now - job.sent, now);
            }
            let actions = host.dispatch.connection_returned(
                self.server,
                job.connection,
                TeamKey::default(),
                now,
            );
            self.apply(job.host, actions);
        }
    }

    /// Starts queued requests on free slots, in order of arrival.
    fn start_requests(&mut self) {
        while self.running.len() < SLOTS
            && let Some(job) = self.queue.pop_front()
        {
            let work = -WORK * (1.0 - self.rng.random::<f64>()).ln();
            let until = self.now + Duration::from_secs_f64(work / 1_000.0);
            self.running.push((until, job));
        }
    }

    fn apply(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign { connection, .. } => self.queue.push_back(Job {
                    host,
                    connection,
                    sent: self.now,
                }),
                Action::Open { .. } => self.hosts[host].opening += 1,
                Action::Close { .. } | Action::Refuse { .. } => {}
            }
        }
    }
}
