//! Refusal of requests that cannot start before their deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::dispatch::{Action, Dispatch, Hold, Need, Server, Ticket, Unserved};
use flamingopost_core::key::{ServerKey, TeamKey};

use super::{after, keys, ms, position, ticket};

/// Returns a dispatcher whose primary has one connection in use and answers in `latency`.
fn busy(latency: u64, now: Duration) -> (Dispatch, ServerKey) {
    busy_with(ticket(1, Need::Leader, now), latency, now)
}

/// Returns the same with `first` on the connection.
fn busy_with(first: Ticket, latency: u64, now: Duration) -> (Dispatch, ServerKey) {
    let server = keys()[0];
    let mut dispatch = Dispatch::default();
    dispatch.insert(server, Server::new(true, 2, 1, 1, 1));
    dispatch.set_leader(Some(server));
    dispatch.arrive(first, now);
    dispatch.connection_opened(server, 10, TeamKey::default(), now);
    for _ in 0..100 {
        let server = dispatch.server_mut(server).expect("it is listed");
        server.record_latency(ms(latency), now);
    }
    (dispatch, server)
}

/// Returns the refused requests with the times after which their callers come back.
fn refused(actions: &[Action]) -> BTreeMap<u64, Duration> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse {
            ticket,
            reason: Unserved::Busy { retry_after },
        } => Some((*ticket, *retry_after)),
        _ => None,
    });
    refused.collect()
}

/// Returns the number of requests refused for any reason.
fn refusals(actions: &[Action]) -> usize {
    let refused = actions.iter();
    refused
        .filter(|action| matches!(action, Action::Refuse { .. }))
        .count()
}

/// Guards against requests that wait until their deadline in vain: with 100 ms for each request and
/// 800 ms to wait, the queue of one connection holds 16 at most even if the server is twice as fast.
#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let now = ms(5_000);
    let (mut dispatch, _) = busy(100, now);
    for id in 2..18 {
        let actions = dispatch.arrive(ticket(id, Need::Leader, now), now);
        assert_eq!(refused(&actions), BTreeMap::new(), "request {id}");
    }
    let actions = dispatch.arrive(ticket(18, Need::Leader, now), now);
    assert_eq!(refused(&actions).len(), 1);
    assert_eq!(dispatch.waiting(), 16);
}

/// Guards against refused callers that all come back at the same moment, and against a time after
/// which nothing is left of their deadline.
#[test]
fn refused_callers_come_back_one_after_the_other() {
    let now = ms(5_000);
    let (mut dispatch, _) = busy(10, now);
    for id in 2..12 {
        dispatch.arrive(ticket(id, Need::Leader, now), now);
    }
    let told = refused(&dispatch.tick(now + ms(800)));
    let mut times: Vec<Duration> = told.values().copied().collect();
    assert_eq!(times.len(), 10);
    times.sort();
    times.dedup();
    assert_eq!(times.len(), 10, "{told:?}");
    assert!(times[0] >= ms(50) && times[9] <= ms(400), "{told:?}");
}

/// Guards against refusals by the estimate of a server that was slow and is fast again.
#[test]
fn an_answer_faster_than_the_average_counts_at_once() {
    let now = ms(5_000);
    let (mut dispatch, server) = busy(400, now);
    let answered = dispatch.server_mut(server).expect("it is listed");
    answered.record_latency(ms(10), now);
    for id in 2..22 {
        let actions = dispatch.arrive(ticket(id, Need::Leader, now), now);
        assert_eq!(refused(&actions), BTreeMap::new(), "request {id}");
    }
}

/// Guards against refusals while the primary is being replaced, or before a connection is open: it is
/// not known when either ends, and all of the queue may run right after it.
#[test]
fn requests_wait_while_the_pace_is_unknown() {
    let now = ms(5_000);
    let (mut dispatch, server) = busy(400, now);
    dispatch.hold(Hold {
        from: now,
        until: now + ms(1_600),
    });
    for id in 2..50 {
        let actions = dispatch.arrive(ticket(id, Need::Leader, now), now);
        assert_eq!(actions, [], "request {id}");
    }
    dispatch.set_leader(Some(server));
    dispatch.connection_lost(server, TeamKey::default(), now);
    assert_eq!(dispatch.waiting(), 48);
}

/// Guards against an early refusal of all that waits after the process was frozen: requests are
/// refused by their deadlines, and what is left of the queue runs.
#[test]
fn requests_with_time_left_run_after_a_freeze() {
    let now = ms(5_000);
    let (mut dispatch, server) = busy(20, now);
    for id in 2..6 {
        dispatch.arrive(ticket(id, Need::Leader, now), now);
    }
    let later = now + ms(700);
    let actions = dispatch.connection_returned(server, 10, TeamKey::default(), later);
    assert_eq!(refused(&actions), BTreeMap::new());
    let later = now + ms(900);
    assert_eq!(refused(&dispatch.tick(later)).len(), 3);
}

/// Guards against refusals by the length of a queue that is blocked: transactions above their limit
/// do not run before a single statement, and whether they can start in time is not known.
#[test]
fn blocked_transactions_do_not_count_as_ahead() {
    let now = ms(5_000);
    let mut open = ticket(1, Need::Leader, now);
    open.opens_transaction = true;
    let (mut dispatch, _) = busy_with(open, 100, now);
    for id in 2..42 {
        let mut transaction = ticket(id, Need::Leader, now);
        transaction.opens_transaction = true;
        transaction.priority = 0;
        let actions = dispatch.arrive(transaction, now);
        assert_eq!(refusals(&actions), 0, "transaction {id}");
    }
    let actions = dispatch.arrive(ticket(42, Need::Leader, now), now);
    assert_eq!(refusals(&actions), 0);
    let actions = dispatch.tick(now + ms(800));
    assert_eq!(refusals(&actions), refused(&actions).len(), "{actions:?}");
    assert_eq!(refused(&actions).len(), 41, "refused as busy");
}

/// Guards against refusals of reads by the number of those that wait for a later position.
#[test]
fn reads_of_an_unreached_position_do_not_count_as_ahead() {
    let now = ms(5_000);
    let (mut dispatch, server) = busy(100, now);
    dispatch.set_leader(None);
    let replica = dispatch.server_mut(server).expect("it is listed");
    replica.record_position(position(1, 40), None, now);
    for id in 2..42 {
        let unreached = Need::Position {
            position: position(2, 0),
            at: now,
        };
        let actions = dispatch.arrive(ticket(id, unreached, now), now);
        assert_eq!(refusals(&actions), 0, "read {id}");
    }
    let read = ticket(42, after(40, now), now);
    assert_eq!(refusals(&dispatch.arrive(read, now)), 0);
}

/// Asserts that at most 3 of 100 refused callers come back within the same 5 ms, which is twice an
/// even spread over 350 ms, rounded up, and that all come back between 50 and 400 ms.
fn assert_spread(told: &BTreeMap<u64, Duration>) {
    assert_eq!(told.len(), 100);
    let mut by_time: BTreeMap<u128, u32> = BTreeMap::new();
    for time in told.values() {
        assert!((ms(50)..=ms(400)).contains(time), "{told:?}");
        *by_time.entry(time.as_millis() / 5).or_default() += 1;
    }
    assert!(by_time.values().all(|count| *count <= 3), "{by_time:?}");
}

/// Guards against many refused callers that are told the same time, the longest one, because the
/// requests ahead of them take longer than that.
#[test]
fn callers_refused_behind_a_long_queue_come_back_at_different_times() {
    let now = ms(5_000);
    for latency in [20, 100, 350, 400] {
        let (mut dispatch, _) = busy(latency, now);
        let mut told = BTreeMap::new();
        for id in 2.. {
            let actions = dispatch.arrive(ticket(id, Need::Leader, now), now);
            told.extend(refused(&actions));
            if told.len() == 100 {
                break;
            }
        }
        assert_spread(&told);
    }
}

/// Guards against the same where it is not known how fast requests start.
#[test]
fn callers_refused_at_an_unknown_pace_come_back_at_different_times() {
    let now = ms(5_000);
    let server = keys()[0];
    let mut dispatch = Dispatch::default();
    dispatch.insert(server, Server::new(true, 2, 1, 1, 1));
    dispatch.set_leader(Some(server));
    for id in 1..=100 {
        dispatch.arrive(ticket(id, Need::Leader, now), now);
    }
    assert_spread(&refused(&dispatch.tick(now + ms(800))));
}

/// Guards against the refusal of a queue that could run: the server hung for a second, gave the few
/// answers that it owed, and is as fast as before.
#[test]
fn a_pause_of_the_server_refuses_no_request() {
    let now = ms(5_000);
    let (mut dispatch, server) = busy(10, now);
    let later = now + ms(1_010);
    for _ in 0..4 {
        let answered = dispatch.server_mut(server).expect("it is listed");
        answered.record_latency(ms(1_000), later);
    }
    for id in 2..52 {
        let actions = dispatch.arrive(ticket(id, Need::Leader, later), later);
        assert_eq!(refused(&actions), BTreeMap::new(), "request {id}");
    }
}

/// Guards against refusals by the latency of a server that has not answered for a while, and by that
/// assumed of one that has not answered yet.
#[test]
fn requests_wait_where_a_server_has_not_answered_lately() {
    let now = ms(5_000);
    let (mut slow, _) = busy(400, now);
    let mut unmeasured = Dispatch::default();
    let server = keys()[0];
    unmeasured.insert(server, Server::new(true, 2, 1, 1, 1));
    unmeasured.set_leader(Some(server));
    unmeasured.arrive(ticket(1, Need::Leader, now), now);
    unmeasured.connection_opened(server, 10, TeamKey::default(), now);
    let later = now + ms(1_000);
    for dispatch in [&mut slow, &mut unmeasured] {
        for id in 2..202 {
            let actions = dispatch.arrive(ticket(id, Need::Leader, later), later);
            assert_eq!(refused(&actions), BTreeMap::new(), "request {id}");
        }
    }
}
