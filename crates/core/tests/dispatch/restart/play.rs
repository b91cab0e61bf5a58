//! The hosts, the server and the callers of a play.

use std::collections::{BTreeMap, VecDeque};

use flamingopost_core::dispatch::{Action, Dispatch, Failure, Need, Server, Ticket, Unserved};
use flamingopost_core::key::{ServerKey, TeamKey};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{keys, ms};
use super::{DEAD, Deployment, END, LIST_READ, LOSS, Outcome, Way};

/// A connection that a host has or opens, as the server sees it.
#[derive(Debug, Clone, Copy)]
enum Work {
    Connect {
        host: usize,
        process: u32,
    },
    Request {
        host: usize,
        process: u32,
        connection: u64,
        request: u64,
    },
}

/// One caller's request.
#[derive(Debug, Clone, Copy)]
struct Request {
    asked: u64,
    attempts: u8,
}

struct Host {
    dispatch: Dispatch,
    process: u32,
    starts: u64,
    runs: bool,
    is_listed: bool,
    living: usize,
}

pub struct Play {
    of: Deployment,
    way: Way,
    rng: ChaCha8Rng,
    server: ServerKey,
    hosts: Vec<Host>,
    queue: VecDeque<Work>,
    running: Vec<(u64, Work)>,
    /// Events that arrive at a host or a caller at a time.
    coming: BTreeMap<u64, Vec<Coming>>,
    requests: BTreeMap<u64, Request>,
    dead: usize,
    now: u64,
    next_id: u64,
    outcome: Outcome,
}

#[derive(Debug, Clone, Copy)]
enum Coming {
    Attempt(u64),
    Opened {
        host: usize,
        process: u32,
    },
    Refused {
        host: usize,
        process: u32,
    },
    Answered {
        host: usize,
        process: u32,
        connection: u64,
        request: u64,
    },
}

impl Play {
    pub fn new(of: Deployment, way: Way, seed: u64) -> Play {
        let server = keys()[0];
        let hosts = (0..of.hosts)
            .map(|_| Host {
                dispatch: Dispatch::default(),
                process: 0,
                starts: 0,
                runs: false,
                is_listed: false,
                living: 0,
            })
            .collect();
        Play {
            of,
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            server,
            hosts,
            queue: VecDeque::new(),
            running: Vec::new(),
            coming: BTreeMap::new(),
            requests: BTreeMap::new(),
            dead: 0,
            now: 0,
            next_id: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        for now in 0..END {
            self.now = now;
            if now == LOSS {
                self.lose_power();
            }
            if now == LOSS + DEAD {
                self.dead = 0;
            }
            self.start_hosts();
            self.ask();
            for coming in self.coming.remove(&now).unwrap_or_default() {
                self.deliver(coming);
            }
            self.finish();
            self.start_work();
            if now % 50 == 0 {
                for host in 0..self.hosts.len() {
                    if self.hosts[host].runs {
                        let actions = self.hosts[host].dispatch.tick(ms(now));
                        self.apply(host, actions);
                    }
                }
            }
            let living: usize = self.hosts.iter().map(|host| host.living).sum();
            let outcome = &mut self.outcome;
            outcome.most_living = outcome.most_living.max(living);
            outcome.most_counted = outcome.most_counted.max(living + self.dead);
        }
        self.outcome
    }

    fn lose_power(&mut self) {
        self.dead = self.hosts.iter().map(|host| host.living).sum();
        self.queue.clear();
        self.running.clear();
        for host in &mut self.hosts {
            host.runs = false;
            host.living = 0;
            host.is_listed = false;
            host.starts = LOSS + self.rng.random_range(1_100..1_600);
        }
        // Callers see their connections break, and ask again.
        let open: Vec<u64> = self.requests.keys().copied().collect();
        for request in open {
            self.attempt_failed(request, 50);
        }
    }

    fn start_hosts(&mut self) {
        for index in 0..self.hosts.len() {
            let now = ms(self.now);
            let listed = self.way.listed(&self.of, index);
            let unlisted = self.way.unlisted(&self.of);
            let slots = self.of.slots as u16;
            let seed = self.rng.random();
            let host = &mut self.hosts[index];
            if !host.runs && self.now >= host.starts {
                host.runs = true;
                host.process += 1;
                host.dispatch = Dispatch::default();
                host.dispatch.set_start(seed, now);
                let mut server = Server::new(false, slots, 0, 1, 1);
                server.set_allotment(unlisted);
                host.dispatch.insert(self.server, server);
                host.dispatch.set_leader(Some(self.server));
            }
            if host.runs && !host.is_listed && self.now >= host.starts + LIST_READ {
                host.is_listed = true;
                let server = host.dispatch.server_mut(self.server).expect("it is listed");
                server.set_allotment(listed);
            }
        }
    }

    /// Callers ask, also while no host runs.
    fn ask(&mut self) {
        // The load is counted once all hosts have been up for a while.
        if self.now < 1_000 || !self.rng.random_bool(self.of.rate / 1_000.0) {
            return;
        }
        self.next_id += 1;
        let request = Request {
            asked: self.now,
            attempts: 0,
        };
        self.requests.insert(self.next_id, request);
        self.outcome.asked += 1;
        if self.now >= LOSS {
            let tenth = (self.now - LOSS) / 100;
            self.outcome.by_tenth.entry(tenth).or_default().0 += 1;
        }
        self.attempt(self.next_id);
    }

    /// Returns the host that serves an attempt of a caller at host `entry`, or `None` if the
    /// session cannot begin yet.
    fn serving_host(&mut self, entry: usize) -> Option<usize> {
        let entered = &self.hosts[entry];
        if !entered.runs {
            return None;
        }
        let first = self.rng.random_range(0..self.of.serving);
        let reachable = (0..self.of.serving)
            .map(|place| (first + place) % self.of.serving)
            .find(|home| self.hosts[*home].runs);
        match (self.way, entered.is_listed, reachable) {
            (_, true, _) if entry < self.of.serving => Some(entry),
            (_, true, Some(home)) => Some(home),
            (Way::Former, _, _) => Some(entry),
            (Way::Present, _, _) => None,
        }
    }

    fn attempt(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id).copied() else {
            return;
        };
        let deadline = request.asked + self.of.deadline;
        if self.now >= deadline {
            self.requests.remove(&id);
            self.outcome.lost += 1;
            return;
        }
        let entry = self.rng.random_range(0..self.of.hosts);
        let Some(host) = self.serving_host(entry) else {
            // No host accepts the caller, or it waits for the serving host.
            self.come(50, Coming::Attempt(id));
            return;
        };
        let ticket = Ticket {
            id,
            team: TeamKey::default(),
            need: Need::Leader,
            priority: 1,
            opens_transaction: false,
            arrived: ms(self.now),
            goal: ms(request.asked + self.of.goal),
            deadline: ms(deadline.min(self.now + 800)),
            avoid: None,
        };
        let actions = self.hosts[host].dispatch.arrive(ticket, ms(self.now));
        self.apply(host, actions);
    }

    /// A caller makes three attempts in all, the next one after the time that it was told.
    fn attempt_failed(&mut self, id: u64, after: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        if request.attempts >= 3 {
            self.requests.remove(&id);
            self.outcome.lost += 1;
            return;
        }
        self.come(after, Coming::Attempt(id));
    }

    fn come(&mut self, after: u64, coming: Coming) {
        let at = self.now + after.max(1);
        self.coming.entry(at).or_default().push(coming);
    }

    fn deliver(&mut self, coming: Coming) {
        let now = ms(self.now);
        let team = TeamKey::default();
        match coming {
            Coming::Attempt(id) => self.attempt(id),
            Coming::Opened { host, process } if self.hosts[host].process == process => {
                if !self.hosts[host].runs {
                    return;
                }
                self.next_id += 1;
                let id = self.next_id;
                let to = &mut self.hosts[host].dispatch;
                let actions = to.connection_opened(self.server, id, team, now);
                self.apply(host, actions);
            }
            Coming::Refused { host, process } if self.hosts[host].process == process => {
                let to = &mut self.hosts[host].dispatch;
                let actions = to.connect_failed(self.server, team, Failure::Full, now);
                self.apply(host, actions);
            }
            Coming::Answered {
                host,
                process,
                connection,
                request,
            } if self.hosts[host].process == process && self.hosts[host].runs => {
                if let Some(request) = self.requests.remove(&request) {
                    let in_time = self.now <= request.asked + self.of.goal;
                    self.outcome.in_time += u64::from(in_time);
                    self.outcome.late += u64::from(!in_time);
                    if request.asked >= LOSS && in_time {
                        let tenth = (request.asked - LOSS) / 100;
                        self.outcome.by_tenth.entry(tenth).or_default().1 += 1;
                    }
                }
                let to = &mut self.hosts[host].dispatch;
                let actions = to.connection_returned(self.server, connection, team, now);
                self.apply(host, actions);
            }
            Coming::Opened { .. } | Coming::Refused { .. } | Coming::Answered { .. } => {}
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        let done: Vec<Work> = self
            .running
            .extract_if(.., |(until, _)| *until <= now)
            .map(|(_, work)| work)
            .collect();
        for work in done {
            match work {
                Work::Connect { host, process } => {
                    self.come(self.of.round_trip, Coming::Opened { host, process });
                }
                Work::Request {
                    host,
                    process,
                    connection,
                    request,
                } => {
                    let answered = Coming::Answered {
                        host,
                        process,
                        connection,
                        request,
                    };
                    self.come(self.of.round_trip, answered);
                }
            }
        }
    }

    fn start_work(&mut self) {
        while self.running.len() < self.of.slots
            && let Some(work) = self.queue.pop_front()
        {
            let takes = match work {
                Work::Connect { .. } => self.of.connect,
                Work::Request { .. } => {
                    (-self.of.work * (1.0 - self.rng.random::<f64>()).ln()).ceil() as u64
                }
            };
            self.running.push((self.now + takes, work));
        }
    }

    fn apply(&mut self, host: usize, actions: Vec<Action>) {
        let process = self.hosts[host].process;
        for action in actions {
            match action {
                Action::Assign {
                    ticket, connection, ..
                } => self.queue.push_back(Work::Request {
                    host,
                    process,
                    connection,
                    request: ticket,
                }),
                Action::Open { .. } => {
                    let living: usize = self.hosts.iter().map(|host| host.living).sum();
                    if living + self.dead >= self.of.connections {
                        self.outcome.connects_refused += 1;
                        self.come(self.of.round_trip, Coming::Refused { host, process });
                    } else {
                        self.hosts[host].living += 1;
                        self.queue.push_back(Work::Connect { host, process });
                    }
                }
                Action::Close { .. } => self.hosts[host].living -= 1,
                Action::Refuse { ticket, reason } => {
                    let after = match reason {
                        Unserved::Busy { retry_after } => retry_after,
                        Unserved::NoPrimary | Unserved::Lagging => ms(50),
                    };
                    self.attempt_failed(ticket, after.as_millis() as u64);
                }
            }
        }
    }
}
