//! The congestion window and the queue under overload.

use std::time::Duration;

use flamingopost_core::dispatch::{Action, Dispatch, Need};
use flamingopost_core::key::{ServerKey, TeamKey};

use super::{assigned, dispatch, ms, ticket};

/// A server refuses requests because its queue is full. If they were sent again at once, they would
/// keep the queue full and nothing else would get through. The window shrinks, and grows with
/// answers.
#[test]
fn a_full_queue_shrinks_the_window() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    dispatch.connection_opened(leader, 10, TeamKey::default(), now);
    dispatch.queue_full(leader, now);
    assert!(assigned(&dispatch.arrive(ticket(1, Need::Leader, now), now)).is_some());
    assert_eq!(
        assigned(&dispatch.arrive(ticket(2, Need::Leader, now), now)),
        None
    );
    let server = dispatch.server_mut(leader).unwrap();
    (0..200).for_each(|_| server.record_latency(ms(15), now));
    assert!(assigned(&dispatch.tick(now + ms(50))).is_some());
}

/// Guards against a storm of connections to an overloaded primary.
///
/// Replicas lagged for six seconds, and the primary's queue filled up. Hosts with a small window
/// opened connections for requests that waited for the window. Each connect took a slot for 27 ms,
/// and the connection was closed soon after. The primary did little else for the rest of the day,
/// and one request in eight of its service was refused.
#[test]
fn a_full_window_opens_no_connections() {
    let now = ms(1_000);
    let (mut dispatch, keys) = dispatch(now);
    dispatch.arrive(ticket(1, Need::Leader, now), now);
    dispatch.queue_full(keys[0], now);
    for id in 2..6 {
        let actions = dispatch.arrive(ticket(id, Need::Leader, now), now);
        assert_eq!(actions, [], "the window is full, not the connection limit");
    }
    let actions = dispatch.connection_returned(keys[0], 1, TeamKey::default(), now);
    assert_eq!(assigned(&actions), Some(keys[0]), "the next one runs");
}

/// Guards against a long queue at the server that never overflows.
///
/// Both replicas of a service lagged for half a minute, and its primary got a sixth more work than
/// its slots can handle. Its queue never overflowed, so hosts did not send less: every request
/// waited there for most of its goal, and three in five were answered late. Hosts shrink their
/// windows when latency is several times the baseline, and the queue stays at the hosts.
#[test]
fn growing_latency_shrinks_the_window() {
    let (mut dispatch, keys) = dispatch(ms(0));
    let mut now = ms(0);
    let mut answer = |dispatch: &mut Dispatch, took: u64, count: u64| {
        for _ in 0..count {
            now += ms(10);
            let server = dispatch.server_mut(keys[0]).expect("the server is known");
            server.record_latency(ms(took), now);
        }
        window(dispatch, keys[0], now)
    };
    let uncongested = answer(&mut dispatch, 20, 400);
    assert_eq!(
        uncongested, 4,
        "as many as the host may have connections to the server"
    );
    let congested = answer(&mut dispatch, 200, 400);
    assert_eq!(congested, 1);
    let uncongested = answer(&mut dispatch, 20, 400);
    assert_eq!(uncongested, 4, "the window grows again");
}

/// Returns how many requests run at `server` at once when the host has enough connections.
fn window(dispatch: &mut Dispatch, server: ServerKey, now: Duration) -> usize {
    for connection in 100..103 {
        dispatch.connection_opened(server, connection, TeamKey::default(), now);
    }
    let mut running = Vec::new();
    for id in 1_000..1_004 {
        for action in dispatch.arrive(ticket(id, Need::Leader, now), now) {
            if let Action::Assign { connection, .. } = action {
                running.push(connection);
            }
        }
    }
    let count = running.len();
    for id in 1_000..1_004 {
        dispatch.cancel(id);
    }
    for connection in running {
        dispatch.connection_returned(server, connection, TeamKey::default(), now);
    }
    for connection in 100..103 {
        dispatch.idle_connection_closed(server, connection);
    }
    count
}

/// A caller leaves its transaction idle. The connection takes no slot meanwhile, so another request
/// may run.
#[test]
fn a_connection_idle_in_a_transaction_takes_no_slot() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    dispatch.queue_full(leader, now);
    assert!(assigned(&dispatch.arrive(ticket(1, Need::Leader, now), now)).is_some());
    dispatch.connection_opened(leader, 10, TeamKey::default(), now);
    assert_eq!(
        assigned(&dispatch.arrive(ticket(2, Need::Leader, now), now)),
        None
    );
    assert_eq!(
        assigned(&dispatch.set_idle_in_transaction(leader, true, now)),
        Some(leader)
    );
}

/// Guards against overload that makes most requests late.
///
/// A primary got a sixth more work than it can handle. Served oldest first, each bid waited until
/// just before its goal and was answered just after it: half of them were late, although the
/// primary could have answered four in five in time. Served newest first, it does.
#[test]
fn overload_makes_only_a_few_requests_late() {
    let now = ms(1_000);
    let (mut dispatch, keys) = dispatch(now);
    let (mut running, mut in_time, mut asked) = (Vec::new(), 0, 0);
    for tick in 0..2_000 {
        let now = now + ms(tick);
        // One connection, a service time of 10 ms, one request every 8 ms, a goal of 100 ms.
        let mut actions = Vec::new();
        if tick % 8 == 0 {
            asked += 1;
            actions.extend(dispatch.arrive(ticket(tick, Need::Leader, now), now));
        }
        if let Some((connection, until)) = running.pop() {
            match now >= until {
                true => actions.extend(dispatch.connection_returned(
                    keys[0],
                    connection,
                    TeamKey::default(),
                    now,
                )),
                false => running.push((connection, until)),
            }
        }
        for action in actions {
            if let Action::Assign {
                ticket, connection, ..
            } = action
            {
                running.push((connection, now + ms(10)));
                let arrived = ms(1_000) + ms(ticket);
                in_time += u32::from(now + ms(10) <= arrived + ms(100));
            }
        }
    }
    assert!(in_time * 100 > asked * 70, "{in_time} of {asked} in time");
}
