//! Randomised runs of the dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::dispatch::{Action, Dispatch, Failure, Need, Server};
use flamingopost_core::key::ServerKey;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{after, keys, ms, position, ticket};

/// Random callers, servers and failures. In every run, a connection serves one request at a time,
/// the host stays within its connection limit, no request is lost or answered twice, and requests
/// that need the primary run nowhere else.
#[test]
fn randomised_runs_keep_every_connection_to_one_request() {
    for seed in 0..400 {
        Run::new(seed).play();
    }
}

struct Run {
    seed: u64,
    rng: ChaCha8Rng,
    dispatch: Dispatch,
    keys: [ServerKey; 3],
    now: Duration,
    opening: Vec<ServerKey>,
    /// Open connections, with the server and the ticket that each serves.
    connections: BTreeMap<u64, (ServerKey, Option<u64>)>,
    waiting: BTreeMap<u64, Need>,
    done: BTreeSet<u64>,
    next_id: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let keys = keys();
        let mut dispatch = Dispatch::default();
        for (index, key) in keys.into_iter().enumerate() {
            dispatch.insert(key, Server::new(index == 0, 2, 1, 2, 4));
        }
        Run {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatch,
            keys,
            now: ms(1_000),
            opening: Vec::new(),
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
            done: BTreeSet::new(),
            next_id: 0,
        }
    }

    fn play(&mut self) {
        for _ in 0..600 {
            self.now += ms(self.rng.random_range(0..25));
            let actions = self.step();
            self.apply(actions);
        }
        // Every request that still waits is refused at its deadline.
        self.now += ms(2_000);
        let actions = self.dispatch.tick(self.now);
        self.apply(actions);
        assert!(
            self.waiting.is_empty(),
            "seed {}: {:?}",
            self.seed,
            self.waiting
        );
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn step(&mut self) -> Vec<Action> {
        let key = self.keys[self.rng.random_range(0..3)];
        match self.rng.random_range(0..12) {
            0..=3 => self.arrive(),
            4 | 5 => self.answer_connect(),
            6 | 7 => self.finish(),
            8 => {
                let leader = self.rng.random_bool(0.8).then_some(key);
                self.dispatch.set_leader(leader);
                self.dispatch.tick(self.now)
            }
            9 => {
                let server = self.dispatch.server_mut(key).unwrap();
                server.record_position(position(1, self.rng.random_range(0..60)), None, self.now);
                Vec::new()
            }
            10 => {
                self.dispatch.queue_full(key, self.now);
                self.dispatch
                    .server_mut(key)
                    .unwrap()
                    .limit_to_fair_share(self.now);
                Vec::new()
            }
            _ => self.dispatch.tick(self.now),
        }
    }

    fn arrive(&mut self) -> Vec<Action> {
        let id = self.id();
        let need = match self.rng.random_bool(0.5) {
            true => Need::Leader,
            false => after(self.rng.random_range(1..60), self.now - ms(500)),
        };
        self.waiting.insert(id, need);
        self.dispatch.arrive(ticket(id, need, self.now), self.now)
    }

    fn answer_connect(&mut self) -> Vec<Action> {
        let Some(key) = self.opening.pop() else {
            return Vec::new();
        };
        match self.rng.random_range(0..4) {
            0 => self.dispatch.connect_failed(key, Failure::Full, self.now),
            1 => self
                .dispatch
                .connect_failed(key, Failure::Unreachable, self.now),
            _ => {
                let connection = self.id();
                self.connections.insert(connection, (key, None));
                self.dispatch.connection_opened(key, connection, self.now)
            }
        }
    }

    fn finish(&mut self) -> Vec<Action> {
        let busy = self
            .connections
            .iter()
            .find(|(_, (_, ticket))| ticket.is_some());
        let Some((connection, (key, _))) = busy.map(|(id, of)| (*id, *of)) else {
            return Vec::new();
        };
        if self.rng.random_bool(0.2) {
            self.connections.remove(&connection);
            return self.dispatch.connection_lost(key, self.now);
        }
        self.connections.insert(connection, (key, None));
        self.dispatch.connection_returned(key, connection, self.now)
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign {
                    ticket,
                    server,
                    connection,
                } => {
                    let need = self
                        .waiting
                        .remove(&ticket)
                        .expect("assigned to a waiting request");
                    assert!(self.done.insert(ticket), "seed {}: served twice", self.seed);
                    if need == Need::Leader {
                        assert_eq!(self.dispatch.leader(), Some(server), "seed {}", self.seed);
                    }
                    let of = self
                        .connections
                        .get_mut(&connection)
                        .expect("the connection is open");
                    assert_eq!(
                        *of,
                        (server, None),
                        "seed {}: one request per connection",
                        self.seed
                    );
                    of.1 = Some(ticket);
                }
                Action::Open { server } => self.opening.push(server),
                Action::Close { connection, .. } => {
                    let closed = self.connections.remove(&connection);
                    let idle = closed.is_some_and(|(_, ticket)| ticket.is_none());
                    assert!(idle, "seed {}: only idle connections are closed", self.seed);
                }
                Action::Refuse { ticket, .. } => {
                    assert!(self.waiting.remove(&ticket).is_some(), "seed {}", self.seed);
                }
            }
        }
        for key in self.keys {
            let open = self
                .connections
                .values()
                .filter(|(of, _)| *of == key)
                .count();
            let opening = self.opening.iter().filter(|of| **of == key).count();
            assert!(
                open + opening <= 4,
                "seed {}: over the connection limit",
                self.seed
            );
        }
    }
}
