//! Authority over a shard: which process may act for it, and which may claim it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::authority::{
    ClaimOutcome, Heartbeat, Promise, Released, ShardAuthority, Standby,
};
use flamingopost_core::key::HostKey;
use flamingopost_core::names::Names;
use flamingopost_core::row::{Row, WriteOutcome};
use flamingopost_core::timing;

const LATENCY: Duration = Duration::from_millis(10);

struct Hosts {
    controller: HostKey,
    first: HostKey,
    second: HostKey,
    other: HostKey,
}

fn hosts() -> Hosts {
    let mut names = Names::default();
    Hosts {
        controller: names.intern("dumdum-1"),
        first: names.intern("saltlake-1"),
        second: names.intern("garia-1"),
        other: names.intern("garia-2"),
    }
}

fn row(controller: HostKey, standbys: &[HostKey]) -> Row {
    Row {
        epoch: 1,
        revision: 1,
        controller,
        incarnation: 7,
        standbys: standbys.iter().copied().collect::<BTreeSet<_>>(),
        services: BTreeMap::new(),
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn promise(incarnation: u64) -> Promise {
    Promise {
        incarnation,
        given: true,
        valid: timing::PROMISE_DURATION,
        epoch: 1,
        revision: 1,
    }
}

/// A controller whose two standbys both answered before its last read, which was sent at 10 s.
fn controller(hosts: &Hosts) -> (ShardAuthority, Row) {
    let row = row(hosts.controller, &[hosts.first, hosts.second]);
    let mut holder = ShardAuthority::new(row.clone(), None, secs(9), secs(9));
    for host in [hosts.first, hosts.second] {
        holder.on_promise(host, secs(9), promise(1), secs(9) + LATENCY);
    }
    holder.on_row_read(secs(10), Some(&row));
    (holder, row)
}

fn heartbeat(wants_promise: bool) -> Heartbeat {
    Heartbeat {
        epoch: 1,
        wants_promise,
        revision: 1,
        row: None,
    }
}

fn claimed(standby: &mut Standby, now: Duration) -> Option<Row> {
    let claim = standby.claim(now)?;
    match standby.on_claim_outcome(WriteOutcome::Done) {
        ClaimOutcome::Won { row, .. } => Some(row),
        ClaimOutcome::Unchanged => panic!("the table took {claim:?}"),
    }
}

/// Guards against two controllers that grant leases at once. The answer to a read of the row takes
/// two seconds, and the old controller counts its authority from the arrival of the answer. The
/// successor waits from its own write, which may have directly followed the read.
#[test]
fn authority_is_counted_from_when_the_read_was_sent() {
    let hosts = hosts();
    let (mut holder, row) = controller(&hosts);
    holder.on_row_read(secs(12), Some(&row));
    assert!(holder.may_act(secs(14)));
    assert!(!holder.may_act(secs(12) + timing::AUTHORITY_DURATION));
}

/// Guards against a lease that outlives the authority under which it was granted, and that the
/// successor does not know of. Cause: a lease of full length granted late in an authority.
#[test]
fn no_lease_outlives_the_authority() {
    let hosts = hosts();
    let (holder, _) = controller(&hosts);
    for millis in (0..5_000).step_by(50) {
        let now = secs(10) + Duration::from_millis(millis);
        let lease = holder.max_lease(now);
        assert!(lease.is_zero() || now + lease <= secs(10) + timing::AUTHORITY_DURATION);
    }
}

/// Guards against writes that stop during an outage of the table service although all hosts and
/// servers work.
#[test]
fn promises_of_all_standbys_extend_the_authority_in_an_outage() {
    let hosts = hosts();
    let (mut holder, _) = controller(&hosts);
    for second in 11..100 {
        for host in [hosts.first, hosts.second] {
            holder.on_promise(host, secs(second), promise(1), secs(second) + LATENCY);
        }
        assert!(holder.may_act(secs(second + 1)), "at {second} s");
    }
}

/// Guards against two controllers after an outage: a standby that was cut off from the controller
/// reaches the table and claims, while the controller relies on the other standby's promise. Cause:
/// the promises of some standbys are treated as those of all.
#[test]
fn one_missing_promise_ends_the_authority() {
    let hosts = hosts();
    let (mut holder, _) = controller(&hosts);
    holder.on_promise(hosts.first, secs(12), promise(1), secs(12) + LATENCY);
    assert!(!holder.may_act(secs(13)));
}

/// Guards against a write that is acknowledged in a replaced term, found by schedule 1947. Order of
/// events: a standby claims and promotes, the table goes down, the standby restarts and loses its
/// memory, the partition between it and the old controller ends, and it promises. Cause: a promise
/// by a process that does not know what the process before it did.
#[test]
fn a_restarted_standby_does_not_revive_an_authority() {
    let hosts = hosts();
    let (mut holder, row) = controller(&hosts);
    for host in [hosts.first, hosts.second] {
        holder.on_promise(host, secs(40), promise(2), secs(40) + LATENCY);
    }
    assert!(!holder.may_act(secs(41)));

    holder.on_row_read(secs(42), Some(&row));
    for host in [hosts.first, hosts.second] {
        holder.on_promise(host, secs(44), promise(2), secs(44) + LATENCY);
    }
    assert!(
        holder.may_act(secs(45)),
        "the row still named this controller after both standbys had answered"
    );
}

/// Guards against writes that stop in an outage because a standby's host restarts, which happens
/// every day. The earlier process could not claim while its promise was running, and the new
/// process receives a heartbeat within that time.
#[test]
fn a_standby_may_restart_in_an_outage() {
    let hosts = hosts();
    let (mut holder, _) = controller(&hosts);
    for (second, incarnation) in [(12, 1), (13, 2), (14, 2)] {
        for host in [hosts.first, hosts.second] {
            holder.on_promise(
                host,
                secs(second),
                promise(incarnation),
                secs(second) + LATENCY,
            );
        }
    }
    assert!(holder.may_act(secs(15)));
}

/// Guards against an old controller that relies on promises of standbys that a write of its own has
/// replaced in the table. Cause: a write whose answer was lost is treated as one that failed.
#[test]
fn standbys_named_by_a_lost_write_have_to_promise_too() {
    let hosts = hosts();
    let (mut holder, _) = controller(&hosts);
    let now = secs(10) + timing::STANDBY_TIMEOUT;
    holder.on_row_read(
        now,
        Some(&row(hosts.controller, &[hosts.first, hosts.second])),
    );
    for host in [hosts.first, hosts.other] {
        holder.on_promise(host, now, promise(1), now + LATENCY);
    }
    holder.choose_standbys(&[hosts.other], now + LATENCY);
    let write = holder
        .next_write(now + LATENCY)
        .expect("a standby was replaced");
    assert!(write.row.standbys.contains(&hosts.other));
    holder.on_write_outcome(write.row.revision, WriteOutcome::Unknown);

    let later = now + secs(2);
    for host in [hosts.first, hosts.second] {
        holder.on_promise(host, later, promise(1), later + LATENCY);
    }
    assert!(!holder.may_act(now + secs(3)));
}

/// Guards against two controllers: a standby claims although it has just promised not to.
#[test]
fn a_standby_keeps_its_promise() {
    let hosts = hosts();
    let row = row(hosts.controller, &[hosts.first, hosts.second]);
    let mut standby = Standby::new(hosts.first, 3, secs(0));
    standby.on_row_read(Some(&row), secs(10));
    let given = standby.on_heartbeat(&heartbeat(true), secs(10));
    assert!(given.given);
    for millis in (0..2_500).step_by(100) {
        let now = secs(10) + Duration::from_millis(millis);
        standby.on_row_read(Some(&row), now);
        assert_eq!(standby.claim(now), None);
    }
    let row = claimed(&mut standby, secs(10) + timing::PROMISE_DURATION)
        .expect("the controller is silent");
    assert_eq!((row.epoch, row.controller), (2, hosts.first));
    assert!(!row.standbys.contains(&hosts.first));
}

/// Guards against two controllers: a standby restarts, does not remember its promise, and claims.
#[test]
fn a_restarted_standby_waits_until_earlier_promises_have_lapsed() {
    let hosts = hosts();
    let row = row(hosts.controller, &[hosts.first]);
    let mut standby = Standby::new(hosts.first, 4, secs(20));
    let early = secs(20) + timing::CONTROLLER_TIMEOUT + LATENCY;
    standby.on_row_read(Some(&row), secs(20));
    standby.on_row_read(Some(&row), early);
    assert_eq!(standby.claim(early), None);
    let late = secs(20) + timing::PROMISE_DURATION;
    standby.on_row_read(Some(&row), late);
    assert!(standby.claim(late).is_some());
}

/// Guards against an old controller that relies on a promise given while a claim is in progress.
#[test]
fn a_standby_with_a_pending_claim_gives_no_promise() {
    let hosts = hosts();
    let row = row(hosts.controller, &[hosts.first]);
    let mut standby = Standby::new(hosts.first, 3, secs(0));
    standby.on_row_read(Some(&row), secs(10));
    standby.on_row_read(Some(&row), secs(12));
    let claim = standby.claim(secs(12)).expect("the controller is silent");
    assert_eq!(
        standby.on_claim_outcome(WriteOutcome::Unknown),
        ClaimOutcome::Unchanged
    );
    assert!(!standby.on_heartbeat(&heartbeat(true), secs(13)).given);

    // The answer was lost, and the claim had taken effect.
    let seat = standby.on_row_read(Some(&claim.row), secs(14));
    assert!(matches!(seat, ClaimOutcome::Won { .. }));
}

/// Guards against a host that is not a named standby taking over from a healthy controller.
#[test]
fn an_unnamed_host_claims_only_after_the_orphan_timeout() {
    let hosts = hosts();
    let row = row(hosts.controller, &[hosts.first]);
    let mut other = Standby::new(hosts.other, 3, secs(0));
    other.on_row_read(Some(&row), secs(10));
    let last = secs(10) + timing::ORPHAN_TIMEOUT;
    other.on_row_read(Some(&row), last - LATENCY);
    assert_eq!(other.claim(last - LATENCY), None);
    other.on_row_read(Some(&row), last);
    assert!(other.claim(last).is_some());
}

/// Guards against a controller that relies on promises for longer than an unnamed host waits.
#[test]
fn a_controller_stops_before_an_unnamed_host_claims() {
    let hosts = hosts();
    let (mut holder, _) = controller(&hosts);
    let last = secs(9) + timing::ORPHAN_TIMEOUT;
    for host in [hosts.first, hosts.second] {
        holder.on_promise(host, secs(11), promise(1), secs(11) + LATENCY);
        holder.on_promise(host, last - secs(1), promise(1), last - secs(1) + LATENCY);
    }
    assert!(!holder.may_act(last - LATENCY));
}

/// Guards against writes that stop for seconds at each planned restart of a controller. The old
/// controller reports the leases that it granted, and the successor waits only for those. An answer
/// from a later process on the same host does not count.
#[test]
fn a_successor_waits_only_for_the_leases_of_a_released_authority() {
    let hosts = hosts();
    let row = row(hosts.first, &[hosts.second]);
    let predecessor = Some((hosts.controller, 7));
    let released = |incarnation| Released {
        incarnation,
        leases: Duration::from_millis(300),
        witnessed_epoch: 1,
        row: None,
    };
    let mut holder = ShardAuthority::new(row, predecessor, secs(20), secs(20));
    assert_eq!(holder.settled_at(), secs(20) + timing::AUTHORITY_DURATION);
    holder.on_released(hosts.controller, &released(8), secs(20));
    assert_eq!(holder.settled_at(), secs(20) + timing::AUTHORITY_DURATION);
    holder.on_released(hosts.controller, &released(7), secs(20));
    assert_eq!(holder.settled_at(), secs(20) + Duration::from_millis(300));
}
