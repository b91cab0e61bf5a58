//! Write leases of an entry host.

use std::time::Duration;

use flamingopost_core::key::{ServerKey, ServiceKey};
use flamingopost_core::lease::{Acknowledge, Adopted, Granted, Leader, LeaseHolder};
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use flamingopost_core::view::{Service, Shard, State, Version};

const SHARD: u16 = 3;
const LEASE: Duration = Duration::from_millis(2_500);
const FIRST_TERM: Term = Term { epoch: 1, count: 0 };
const SECOND_TERM: Term = Term { epoch: 1, count: 1 };

struct Fixture {
    service: ServiceKey,
    old_primary: ServerKey,
    new_primary: ServerKey,
}

fn fixture() -> Fixture {
    let mut services = Names::default();
    let mut servers = Names::default();
    Fixture {
        service: services.intern("auction-ledger"),
        old_primary: servers.intern("a"),
        new_primary: servers.intern("b"),
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn view(change: u64, service: ServiceKey, state: State) -> Shard {
    let mut shard = Shard {
        version: Version { epoch: 1, change },
        ..Shard::default()
    };
    shard.services.insert(service, Service::new(state));
    shard
}

fn opened(fixture: &Fixture) -> Shard {
    let state = State::Open {
        term: FIRST_TERM,
        primary: fixture.old_primary,
    };
    view(1, fixture.service, state)
}

fn closed(fixture: &Fixture) -> Shard {
    view(2, fixture.service, State::Closed { term: FIRST_TERM })
}

fn reopened(fixture: &Fixture) -> Shard {
    let state = State::Open {
        term: SECOND_TERM,
        primary: fixture.new_primary,
    };
    view(3, fixture.service, state)
}

fn leased(fixture: &Fixture) -> LeaseHolder {
    let mut holder = LeaseHolder::new(1);
    let ticket = holder.renewal_sent(SHARD, at(1_000));
    let view = opened(fixture);
    holder.on_granted(ticket, view.version, LEASE, Some(view), at(1_010));
    holder
}

fn write(term: Term, log: u64) -> Position {
    Position { term, log }
}

/// Guards against an acknowledged write that is lost. The entry host is paused between the backend
/// server's answer and its own, its lease lapses, and a replica without the write is promoted.
/// Cause: the lease is checked only before the statement is sent.
#[test]
fn an_answer_after_the_lease_is_not_acknowledged() {
    let fixture = fixture();
    let mut holder = leased(&fixture);
    let open = Leader::Open {
        term: FIRST_TERM,
        primary: fixture.old_primary,
    };
    assert_eq!(holder.leader(fixture.service, at(3_000)), open);

    let resumed = at(60_000);
    let answer = holder.acknowledge(fixture.service, FIRST_TERM, write(FIRST_TERM, 7), resumed);
    assert_eq!(answer, Acknowledge::Unknown);
    assert_eq!(holder.acknowledged(fixture.service), None);
}

/// Guards against a lease that runs longer than the controller waits for it, because the answer to
/// the renewal took two seconds. Cause: a lease that is counted from the arrival of the answer.
#[test]
fn a_lease_is_counted_from_when_its_renewal_was_sent() {
    let fixture = fixture();
    let mut holder = LeaseHolder::new(1);
    let ticket = holder.renewal_sent(SHARD, at(1_000));
    let view = opened(&fixture);
    let late = at(3_000);
    holder.on_granted(ticket, view.version, LEASE, Some(view), late);
    assert!(holder.time_left(SHARD, late) < at(500));
    let answer = holder.acknowledge(fixture.service, FIRST_TERM, write(FIRST_TERM, 7), at(3_500));
    assert_eq!(answer, Acknowledge::Unknown);
}

/// Guards against a lease for a view that is not the current one: a revocation overtakes the grant.
/// No write of the closed term may be acknowledged afterwards.
#[test]
fn a_grant_overtaken_by_a_revocation_gives_no_lease() {
    let fixture = fixture();
    let mut holder = leased(&fixture);
    let ticket = holder.renewal_sent(SHARD, at(1_500));
    holder.close(SHARD, closed(&fixture));
    let version = opened(&fixture).version;
    let granted = holder.on_granted(ticket, version, LEASE, Some(opened(&fixture)), at(1_600));
    assert_eq!(granted, Granted::NoLease);
    let over = Leader::Closed { term: FIRST_TERM };
    assert_eq!(holder.leader(fixture.service, at(1_600)), over);
}

/// Guards against the promotion of a replica that lacks an acknowledged write although another
/// replica has it. Cause: an answer to a revocation that omits the acknowledged positions.
#[test]
fn a_revocation_returns_the_acknowledged_positions() {
    let fixture = fixture();
    let mut holder = leased(&fixture);
    for log in [5, 9, 7] {
        let answer = holder.acknowledge(
            fixture.service,
            FIRST_TERM,
            write(FIRST_TERM, log),
            at(1_100),
        );
        assert_eq!(answer, Acknowledge::Done);
    }
    let acknowledged = holder.close(SHARD, closed(&fixture));
    assert_eq!(
        acknowledged.get(&fixture.service),
        Some(&write(FIRST_TERM, 9))
    );
    let late = holder.acknowledge(
        fixture.service,
        FIRST_TERM,
        write(FIRST_TERM, 10),
        at(1_200),
    );
    assert_eq!(late, Acknowledge::Unknown);
}

/// Guards against writes that wait for the next renewal after a promotion although the host has
/// received the new view. Cause: a lease that is dropped with the view that it was granted for.
#[test]
fn a_pushed_view_is_used_under_the_running_lease() {
    let fixture = fixture();
    let mut holder = leased(&fixture);
    holder.close(SHARD, closed(&fixture));
    assert_eq!(holder.adopt(SHARD, reopened(&fixture)), Adopted::Newer);
    assert_eq!(holder.adopt(SHARD, closed(&fixture)), Adopted::Kept);
    let done = holder.acknowledge(
        fixture.service,
        SECOND_TERM,
        write(SECOND_TERM, 11),
        at(2_000),
    );
    assert_eq!(done, Acknowledge::Done);
}

/// Guards against a write to the old primary that is acknowledged as one of the new term. Cause:
/// the term of the backend server's position is ignored.
#[test]
fn a_position_of_another_term_is_not_acknowledged() {
    let fixture = fixture();
    let mut holder = leased(&fixture);
    holder.adopt(SHARD, reopened(&fixture));
    let answer = holder.acknowledge(
        fixture.service,
        SECOND_TERM,
        write(FIRST_TERM, 12),
        at(1_100),
    );
    assert_eq!(answer, Acknowledge::Unknown);
}

/// A grant for a view that the host never received gives no lease and no leader.
#[test]
fn a_grant_without_its_view_gives_no_lease() {
    let fixture = fixture();
    let mut holder = LeaseHolder::new(1);
    let ticket = holder.renewal_sent(SHARD, at(0));
    let version = opened(&fixture).version;
    assert_eq!(
        holder.on_granted(ticket, version, LEASE, None, at(1)),
        Granted::NoLease
    );
    assert_eq!(holder.leader(fixture.service, at(1)), Leader::Unknown);
}

/// Guards against a write that is acknowledged by a replaced primary. A stopping host gives up its
/// lease, so the promotion does not wait for it. Then a request that was still running there ends,
/// or an earlier grant arrives.
#[test]
fn a_lease_that_was_given_up_stays_over() {
    let fixture = fixture();
    let mut holder = leased(&fixture);
    let earlier = holder.renewal_sent(SHARD, at(1_100));
    holder.give_up(SHARD);
    let write = write(FIRST_TERM, 7);
    let answer = holder.acknowledge(fixture.service, FIRST_TERM, write, at(1_150));
    assert_eq!(answer, Acknowledge::Unknown);
    let granted = holder.on_granted(earlier, opened(&fixture).version, LEASE, None, at(1_200));
    assert_eq!(granted, Granted::NoLease);
    let answer = holder.acknowledge(fixture.service, FIRST_TERM, write, at(1_250));
    assert_eq!(answer, Acknowledge::Unknown);
}
