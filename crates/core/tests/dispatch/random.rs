//! Randomised runs of the dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::dispatch::{Action, Dispatch, Failure, Need, Server, Ticket};
use flamingopost_core::key::{ServerKey, TeamKey};
use flamingopost_core::names::Names;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{after, keys, ms, position, ticket};

/// Random callers, servers and failures. In every run, a connection serves one request at a time,
/// the host stays within its connection limit, no request is lost or answered twice, and requests
/// that need the primary run nowhere else.
#[test]
fn randomised_runs_keep_every_connection_to_one_request() {
    for seed in 0..400 {
        Run::new(seed, 0).play();
    }
}

/// The same with callers of three teams, each of which is served only on connections of its team.
#[test]
fn randomised_runs_keep_every_connection_to_one_team() {
    for seed in 400..800 {
        Run::new(seed, 3).play();
    }
}

struct Run {
    seed: u64,
    rng: ChaCha8Rng,
    dispatch: Dispatch,
    keys: [ServerKey; 3],
    now: Duration,
    teams: Vec<TeamKey>,
    opening: Vec<(ServerKey, TeamKey)>,
    /// Open connections, with the server, the team and the ticket that each serves.
    connections: BTreeMap<u64, (ServerKey, TeamKey, Option<u64>)>,
    waiting: BTreeMap<u64, (Need, TeamKey)>,
    done: BTreeSet<u64>,
    next_id: u64,
}

impl Run {
    fn new(seed: u64, teams: usize) -> Run {
        let keys = keys();
        let mut names: Names<TeamKey> = Names::default();
        let teams = (0..teams).map(|number| names.intern(&number.to_string()));
        let teams: Vec<TeamKey> = teams.collect();
        let mut dispatch = Dispatch::default();
        dispatch.set_has_teams(!teams.is_empty());
        for (index, key) in keys.into_iter().enumerate() {
            dispatch.insert(key, Server::new(index == 0, 2, 1, 2, 4));
        }
        Run {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatch,
            keys,
            teams,
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
        let team = match self.teams.len() {
            0 => TeamKey::default(),
            count => self.teams[self.rng.random_range(0..count)],
        };
        self.waiting.insert(id, (need, team));
        let ticket = Ticket {
            team,
            ..ticket(id, need, self.now)
        };
        self.dispatch.arrive(ticket, self.now)
    }

    fn answer_connect(&mut self) -> Vec<Action> {
        let Some((key, team)) = self.opening.pop() else {
            return Vec::new();
        };
        match self.rng.random_range(0..4) {
            0 => self
                .dispatch
                .connect_failed(key, team, Failure::Full, self.now),
            1 => self
                .dispatch
                .connect_failed(key, team, Failure::Unreachable, self.now),
            _ => {
                let connection = self.id();
                self.connections.insert(connection, (key, team, None));
                self.dispatch
                    .connection_opened(key, connection, team, self.now)
            }
        }
    }

    fn finish(&mut self) -> Vec<Action> {
        let busy = self
            .connections
            .iter()
            .find(|(_, (_, _, ticket))| ticket.is_some());
        let Some((connection, (key, team, _))) = busy.map(|(id, of)| (*id, *of)) else {
            return Vec::new();
        };
        if self.rng.random_bool(0.2) {
            self.connections.remove(&connection);
            return self.dispatch.connection_lost(key, team, self.now);
        }
        self.connections.insert(connection, (key, team, None));
        self.dispatch
            .connection_returned(key, connection, team, self.now)
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign {
                    ticket,
                    server,
                    connection,
                    ..
                } => {
                    let (need, team) = self
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
                        (server, team, None),
                        "seed {}: one request per connection, of the same team",
                        self.seed
                    );
                    of.2 = Some(ticket);
                }
                Action::Open { server, team } => self.opening.push((server, team)),
                Action::Close { connection, .. } => {
                    let closed = self.connections.remove(&connection);
                    let idle = closed.is_some_and(|(_, _, ticket)| ticket.is_none());
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
                .filter(|(of, _, _)| *of == key)
                .count();
            let opening = self.opening.iter().filter(|(of, _)| *of == key).count();
            assert!(
                open + opening <= 4,
                "seed {}: over the connection limit",
                self.seed
            );
        }
    }
}
