//! Assignment of requests to pooled connections.

mod admission;
mod full_server;
mod load;
mod orders;
mod overload;
mod random;
mod restart;
mod shared_server;
mod teams;

use std::time::Duration;

use flamingopost_core::dispatch::{
    Action, Dispatch, Hold, Need, Server, ServerState, Ticket, Unserved,
};
use flamingopost_core::key::{ServerKey, TeamKey};
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(term: i64, log: u64) -> Position {
    Position {
        term: Term::from_number(term),
        log,
    }
}

fn keys() -> [ServerKey; 3] {
    let mut names: Names<ServerKey> = Names::default();
    ["ledger-1", "ledger-2", "ledger-3"].map(|name| names.intern(name))
}

fn ticket(id: u64, need: Need, arrived: Duration) -> Ticket {
    Ticket {
        id,
        team: TeamKey::default(),
        need,
        priority: 1,
        opens_transaction: false,
        arrived,
        goal: arrived + ms(100),
        deadline: arrived + ms(800),
        avoid: None,
    }
}

fn after(log: u64, at: Duration) -> Need {
    Need::Position {
        position: position(1, log),
        at,
    }
}

/// Returns a dispatcher for a primary and two replicas, the first of them in this host's zone, with
/// one idle connection to each.
fn dispatch(now: Duration) -> (Dispatch, [ServerKey; 3]) {
    let keys = keys();
    let mut dispatch = Dispatch::default();
    for (index, key) in keys.into_iter().enumerate() {
        dispatch.insert(key, Server::new(index == 1, 2, 1, 2, 4));
    }
    dispatch.set_leader(Some(keys[0]));
    assert_eq!(
        dispatch.tick(now).len(),
        3,
        "one connection to each server is opened ahead of need"
    );
    for (index, key) in keys.into_iter().enumerate() {
        dispatch.connection_opened(key, index as u64 + 1, TeamKey::default(), now);
    }
    (dispatch, keys)
}

fn assigned(actions: &[Action]) -> Option<ServerKey> {
    actions.iter().find_map(|action| match action {
        Action::Assign { server, .. } => Some(*server),
        _ => None,
    })
}

/// A lot view accepts data that are a second old. The replica in the host's zone has them. A read
/// at the primary in another zone would take a slot that bids need, and cause traffic between
/// zones.
#[test]
fn a_read_goes_to_the_replica_in_the_same_zone() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    for key in &keys[1..] {
        let server = dispatch.server_mut(*key).unwrap();
        server.record_position(position(1, 50), None, now);
    }
    let actions = dispatch.arrive(ticket(1, after(40, now - ms(900)), now), now);
    assert_eq!(assigned(&actions), Some(keys[1]));
}

/// Guards against stale reads right after a promotion.
///
/// Such a read needs the start of the new term. Servers treat every log as containing it, even one
/// that still lags in the old term, so a buyer could see a lot as open that was sold seconds ago.
/// Only servers that have reported a position in the new term may answer.
#[test]
fn the_start_of_a_term_is_read_only_from_servers_that_reported_it() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let behind = dispatch.server_mut(keys[1]).unwrap();
    behind.record_position(position(1, 105), None, now - ms(900));
    let start = Need::Position {
        position: position(2, 0),
        at: now - ms(2_000),
    };
    let actions = dispatch.arrive(ticket(1, start, now), now);
    assert_eq!(
        assigned(&actions),
        Some(keys[0]),
        "only the primary is known to have reached the new term"
    );
    let there = dispatch.server_mut(keys[1]).unwrap();
    there.record_position(position(2, 0), None, now);
    let actions = dispatch.arrive(ticket(2, start, now), now);
    assert_eq!(assigned(&actions), Some(keys[1]));
}

/// A replica lags by seconds. Each read that it refuses costs a round trip. After the first refusal
/// it is skipped for a while, also by reads that need a slightly older position.
#[test]
fn a_replica_that_refused_for_lag_is_skipped() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    dispatch.replica_lagging(keys[1], now - ms(1_500), now);
    dispatch.replica_lagging(keys[2], now - ms(1_500), now);
    let soon = now + ms(30);
    let actions = dispatch.arrive(ticket(1, after(40, now - ms(1_510)), soon), soon);
    assert_eq!(assigned(&actions), Some(keys[0]));
}

/// A queue has once grown past the goal. Served by age alone, every later request would be late for
/// as long as the load lasts. Requests that can still meet their goal go first.
#[test]
fn requests_that_can_meet_their_goal_go_first() {
    let start = ms(5_000);
    let (mut dispatch, keys) = dispatch(start);
    let actions = dispatch.arrive(ticket(1, Need::Leader, start), start);
    assert_eq!(assigned(&actions), Some(keys[0]));
    let more = dispatch.arrive(ticket(2, Need::Leader, start), start);
    assert_eq!(assigned(&more), None);
    let later = start + ms(150);
    dispatch.arrive(ticket(3, Need::Leader, later), later);
    let actions = dispatch.connection_returned(keys[0], 1, TeamKey::default(), later);
    let first = actions.iter().find_map(|action| match action {
        Action::Assign { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(first, Some(3));
}

/// A clerk's settlement waits for a primary, and none is promoted. At its deadline it is refused
/// with the reason, and has not run.
#[test]
fn a_request_that_cannot_be_served_is_refused_at_its_deadline() {
    let now = ms(5_000);
    let (mut dispatch, _) = dispatch(now);
    dispatch.set_leader(None);
    assert_eq!(dispatch.arrive(ticket(1, Need::Leader, now), now), []);
    let refused = Action::Refuse {
        ticket: 1,
        reason: Unserved::NoPrimary,
    };
    assert!(dispatch.tick(now + ms(800)).contains(&refused));
}

/// A primary is being replaced. Writes that it still acknowledges may be missing at its successor,
/// so writes wait until the successor is the primary, or go on when the hold expires.
#[test]
fn writes_wait_while_their_primary_is_replaced() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    dispatch.hold(Hold {
        from: now,
        until: now + ms(300),
    });
    assert_eq!(dispatch.arrive(ticket(1, Need::Leader, now), now), []);
    dispatch.set_leader(Some(keys[1]));
    assert_eq!(assigned(&dispatch.tick(now + ms(10))), Some(keys[1]));
}

/// Guards against writes that are lost in a promotion.
///
/// A host that has just started holds writes until it has checked the first primary that it learns
/// of. Meanwhile another host announces that it replaces this primary. The end of the check also
/// ended the second hold, and writes that the old primary then acknowledged were missing at its
/// successor.
#[test]
fn the_end_of_one_hold_does_not_end_another() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let hold = |millis| Hold {
        from: now,
        until: now + ms(millis),
    };
    let (check, change) = (hold(350), hold(1_600));
    dispatch.hold(check);
    dispatch.hold(change);
    assert_eq!(dispatch.arrive(ticket(1, Need::Leader, now), now), []);
    dispatch.release(check);
    assert_eq!(assigned(&dispatch.tick(now + ms(10))), None);
    dispatch.release(change);
    assert_eq!(assigned(&dispatch.tick(now + ms(20))), Some(keys[0]));
}

/// A host learns of an unexpected newer primary and has not yet checked whether it has the log.
///
/// Reads with bounded staleness need the start of its term, which servers treat as part of every
/// log. They wait for the check, unless a replica has reported the position that they need.
#[test]
fn bounded_staleness_reads_do_not_use_an_unchecked_primary() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let hold = Hold {
        from: now,
        until: now + ms(350),
    };
    dispatch.hold_with_reads(hold);
    let start = Need::Position {
        position: position(2, 0),
        at: now,
    };
    assert_eq!(assigned(&dispatch.arrive(ticket(1, start, now), now)), None);
    let old = after(40, now - ms(400));
    let replica = dispatch.server_mut(keys[1]).unwrap();
    replica.record_position(position(1, 40), None, now);
    assert_eq!(
        assigned(&dispatch.arrive(ticket(2, old, now), now)),
        Some(keys[1])
    );
    dispatch.release(hold);
    assert_eq!(assigned(&dispatch.tick(now + ms(10))), Some(keys[0]));
}

/// Three hosts have twelve of a server's sixteen connections. A fourth host has one connection and
/// a queue of a hundred. Once it reports that, the others keep to their fair share.
#[test]
fn a_host_keeps_to_its_fair_share_when_another_lacks_connections() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    for connection in 10..13 {
        dispatch.connection_opened(leader, connection, TeamKey::default(), now);
    }
    assert_eq!(dispatch.servers()[&leader].connections(), 4);
    dispatch
        .server_mut(leader)
        .unwrap()
        .limit_to_fair_share(now);
    let closed = dispatch.tick(now);
    let closed = closed
        .iter()
        .filter(|action| matches!(action, Action::Close { .. }));
    assert_eq!(closed.count(), 2);
    assert_eq!(dispatch.servers()[&leader].connections(), 2);
}

/// Guards against a host without connections that does not report it.
///
/// After a loss of power all hosts connect at once, and one host finds the server at its limit four
/// times. It counted the connects that were still under way towards its fair share, asked no other
/// host for connections, and served nothing for a second.
#[test]
fn connections_being_opened_do_not_count_towards_the_fair_share() {
    let now = ms(5_000);
    let leader = keys()[0];
    let mut dispatch = Dispatch::default();
    dispatch.insert(leader, Server::new(true, 2, 1, 2, 4));
    dispatch.set_leader(Some(leader));
    for id in 1..=2 {
        dispatch.arrive(ticket(id, Need::Leader, now), now);
    }
    assert_eq!(dispatch.servers()[&leader].connections(), 2);
    assert!(dispatch.servers()[&leader].is_below_fair_share());
}

/// Clerks open transactions and leave them idle until they use every connection. Single bids then
/// waited for seconds while the server's slots were idle. One connection is reserved for them.
#[test]
fn transactions_leave_a_connection_for_single_statements() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    for connection in 10..13 {
        dispatch.connection_opened(leader, connection, TeamKey::default(), now);
    }
    for id in 1..=4 {
        let mut transaction = ticket(id, Need::Leader, now);
        transaction.opens_transaction = true;
        let actions = dispatch.arrive(transaction, now);
        assert_eq!(assigned(&actions).is_some(), id < 4, "transaction {id}");
        dispatch.set_idle_in_transaction(leader, true, now);
    }
    let actions = dispatch.arrive(ticket(5, Need::Leader, now), now);
    assert_eq!(assigned(&actions), Some(leader));
    dispatch.transaction_ended(leader);
    assert_eq!(
        assigned(&dispatch.connection_returned(leader, 10, TeamKey::default(), now)),
        Some(leader)
    );
}

/// A leaving server gets no reads, and its idle connections are closed. As the primary it takes
/// writes until another server is the primary, because no other server can.
#[test]
fn a_leaving_primary_takes_only_writes() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    for key in [keys[0], keys[1]] {
        let mut leaving = Server::new(true, 2, 1, 2, 4);
        leaving.state = ServerState::Leaving;
        dispatch.insert(key, leaving);
    }
    let read = dispatch.arrive(ticket(1, after(1, ms(0)), now), now);
    assert_eq!(assigned(&read), Some(keys[2]));
    let write = dispatch.arrive(ticket(2, Need::Leader, now), now);
    assert_eq!(assigned(&write), Some(keys[0]));
}

/// Guards against statements at a primary that has been leaving for longer than it serves. The time
/// counts from the first report.
#[test]
fn a_primary_that_has_been_leaving_for_long_takes_nothing() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    for until in [ms(7_000), ms(8_000)] {
        let mut leaving = Server::new(true, 2, 1, 2, 4);
        leaving.leave(until);
        dispatch.insert(keys[0], leaving);
    }
    let last = dispatch.arrive(ticket(1, Need::Leader, ms(6_999)), ms(6_999));
    assert_eq!(assigned(&last), Some(keys[0]));
    let late = dispatch.arrive(ticket(2, Need::Leader, ms(7_000)), ms(7_000));
    assert_eq!(assigned(&late), None);
    dispatch.set_leader(Some(keys[1]));
    assert_eq!(assigned(&dispatch.tick(ms(7_001))), Some(keys[1]));
}
