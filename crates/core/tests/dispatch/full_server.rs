//! Connects to a server that is at its connection limit, and after a start.

use std::collections::BTreeMap;

use flamingopost_core::dispatch::{
    Action, Allotment, Dispatch, Failure, Need, Server, Serving, Ticket,
};
use flamingopost_core::key::TeamKey;
use flamingopost_core::names::Names;

use super::{keys, ms, ticket};

/// Times at which a host without connections attempts to connect to a server that stays full until
/// `room`, in milliseconds.
fn attempts_at_full_server(seed: u64, room: u64, end: u64) -> Vec<u64> {
    attempts_refused(Failure::Full, seed, room, end)
}

/// The same for a server that refuses connects with `failure`.
fn attempts_refused(failure: Failure, seed: u64, room: u64, end: u64) -> Vec<u64> {
    let server = keys()[0];
    let mut dispatch = Dispatch::default();
    dispatch.set_start(seed, ms(1_000));
    dispatch.insert(server, Server::new(true, 4, 1, 2, 2));
    let mut attempts = Vec::new();
    for now in (1_000..end).step_by(50) {
        for action in dispatch.tick(ms(now)) {
            let Action::Open { team, .. } = action else {
                continue;
            };
            attempts.push(now);
            if now >= room {
                dispatch.connection_opened(server, now, team, ms(now));
            } else {
                dispatch.connect_failed(server, team, failure, ms(now));
            }
        }
    }
    attempts
}

/// Guards against a host that misses the end of the dead connections, or that goes on at the same
/// pace at a server whose connections living hosts use.
#[test]
fn a_server_that_stays_full_is_tried_less_often() {
    for seed in 0..20 {
        let attempts = attempts_at_full_server(seed, 14_000, 14_000);
        let early = attempts.iter().filter(|at| **at < 4_000).count();
        let late = attempts.iter().filter(|at| **at >= 4_500).count();
        assert!(early >= 6, "{early} attempts in the first 3 s, seed {seed}");
        assert!(late <= 19, "{late} attempts in 9.5 s, seed {seed}");
        let attempts = attempts_at_full_server(seed, 3_000, 6_000);
        let served = attempts.iter().find(|at| **at >= 3_000);
        assert!(served.is_some_and(|at| *at <= 3_450), "{served:?}");
    }
}

/// Guards against hosts that all come back to a full server at the same moment.
#[test]
fn attempts_of_hosts_at_a_full_server_are_spread() {
    let mut by_time: BTreeMap<u64, u32> = BTreeMap::new();
    for seed in 0..100 {
        for at in attempts_at_full_server(seed, 14_000, 4_000) {
            *by_time.entry(at).or_default() += 1;
        }
    }
    let most = by_time.range(2_000..).map(|(_, count)| *count).max();
    assert!(most <= Some(40), "{most:?} of 100 hosts within 50 ms");
}

/// A host that was frozen finds its pause over, and tries once, not once for each pause that passed.
#[test]
fn a_frozen_host_tries_a_full_server_once() {
    let server = keys()[0];
    let mut dispatch = Dispatch::default();
    dispatch.set_start(1, ms(1_000));
    dispatch.insert(server, Server::new(true, 4, 1, 2, 2));
    dispatch.tick(ms(1_000));
    dispatch.connect_failed(server, TeamKey::default(), Failure::Full, ms(1_010));
    assert_eq!(dispatch.tick(ms(9_000)).len(), 1);
    assert_eq!(dispatch.tick(ms(9_050)), []);
}

/// Guards against a restarted host that takes more than its part while dead connections count, and
/// against one that never uses more than that.
#[test]
fn a_host_keeps_to_the_connections_left_free_for_three_seconds() {
    let allotment = Allotment::new(56, 8, Serving::Chosen);
    assert!(allotment.restart < allotment.most);
    assert!(8 * (allotment.most + allotment.restart) <= 56);
    let server = keys()[0];
    let team = TeamKey::default();
    let mut dispatch = Dispatch::default();
    dispatch.set_start(1, ms(1_000));
    let mut listed = Server::new(true, 4, 0, 1, 1);
    listed.set_allotment(allotment);
    dispatch.insert(server, listed);
    dispatch.set_leader(Some(server));
    for _ in 0..200 {
        let server = dispatch.server_mut(server).expect("it is listed");
        server.record_latency(ms(10), ms(1_000));
    }
    for (first, now, connections) in [(0, 1_100, allotment.restart), (100, 4_100, allotment.most)] {
        for id in first..first + 10 {
            let ticket = super::ticket(id, Need::Leader, ms(now));
            for action in dispatch.arrive(ticket, ms(now)) {
                if let Action::Open { .. } = action {
                    dispatch.connection_opened(server, 1_000 + now + id, team, ms(now));
                }
            }
        }
        assert_eq!(dispatch.servers()[&server].connections(), connections);
    }
}

/// Guards against a pause that grows as if living hosts used the connections of a server whose
/// request queue is full.
#[test]
fn a_busy_server_is_tried_as_often_as_at_first() {
    for seed in 0..20 {
        let attempts = attempts_refused(Failure::Busy, seed, 14_000, 14_000);
        let late = attempts.iter().filter(|at| **at >= 4_500).count();
        // Pauses of 375 ms at most, found by ticks of 50 ms.
        assert!(late >= 22, "{late} attempts in 9.5 s, seed {seed}");
    }
}

/// Guards against a team that waits for seconds at a full server, although closing an idle
/// connection of another team makes room for its own.
#[test]
fn an_eviction_at_a_full_server_waits_for_a_short_pause_only() {
    let server = keys()[0];
    let mut names: Names<TeamKey> = Names::default();
    let [first, second] = ["canning", "basirhat"].map(|name| names.intern(name));
    for seed in 0..20 {
        let mut dispatch = Dispatch::default();
        dispatch.set_start(seed, ms(0));
        dispatch.insert(server, Server::new(true, 4, 4, 4, 4));
        dispatch.set_has_teams(true);
        dispatch.set_leader(Some(server));
        for id in 0..2 {
            let ticket = Ticket {
                team: first,
                ..ticket(id, Need::Leader, ms(1_000))
            };
            dispatch.arrive(ticket, ms(1_000));
        }
        for connection in 10..12 {
            dispatch.connection_opened(server, connection, first, ms(1_000));
        }
        dispatch.connection_returned(server, 10, first, ms(1_010));
        dispatch.connect_failed(server, first, Failure::Full, ms(1_010));
        dispatch.connect_failed(server, first, Failure::Full, ms(4_100));
        let waits = Ticket {
            team: second,
            ..ticket(5, Need::Leader, ms(4_100))
        };
        assert_eq!(dispatch.arrive(waits, ms(4_100)), []);
        let close = Action::Close {
            server,
            connection: 10,
        };
        let actions = dispatch.arrive(
            Ticket {
                team: second,
                ..ticket(6, Need::Leader, ms(4_475))
            },
            ms(4_475),
        );
        assert!(actions.contains(&close), "{actions:?}, seed {seed}");
    }
}

/// Guards against a host that takes a server for full since its last refusal, minutes ago, although
/// it has not tried since: the server has just lost power, and dead connections fill it.
#[test]
fn a_refusal_after_a_gap_is_the_first() {
    let server = keys()[0];
    for seed in 0..20 {
        let mut dispatch = Dispatch::default();
        dispatch.set_start(seed, ms(0));
        dispatch.insert(server, Server::new(true, 4, 1, 2, 2));
        dispatch.tick(ms(1_000));
        dispatch.connect_failed(server, TeamKey::default(), Failure::Full, ms(1_000));
        dispatch.tick(ms(60_000));
        dispatch.connect_failed(server, TeamKey::default(), Failure::Full, ms(60_000));
        assert_eq!(dispatch.tick(ms(60_375)).len(), 1, "seed {seed}");
    }
}
