//! The history of a service's terms in the row of its shard.

use flamingopost_core::history::Survival;
use flamingopost_core::key::ServerKey;
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::row::Service;
use flamingopost_core::term::Term;

fn term(count: u32) -> Term {
    Term { epoch: 1, count }
}

fn at(count: u32, log: u64) -> Position {
    Position {
        term: term(count),
        log,
    }
}

fn server() -> ServerKey {
    Names::default().intern("ledger-1")
}

fn opened(bases: &[Position]) -> Service {
    let mut service = Service::without_primary();
    for (count, base) in (0..).zip(bases) {
        service.open(term(count), server(), *base);
    }
    service
}

/// Guards against a lost write that counts as kept, found by schedule 121192. Order of events: the
/// second term continues without the last write of the first; a server that still has that write is
/// promoted and fails before it writes; then a server of the second term is promoted. Cause: the
/// second term's origin is dropped when the term is abandoned, and with it what the term cut off.
#[test]
fn a_promotion_of_an_abandoned_log_knows_what_was_cut_off() {
    let first = at(0, 0);
    let service = opened(&[first, at(0, 1312), at(0, 1313), at(1, 1784)]);
    assert!(matches!(
        service.history.survival(at(0, 1313)),
        Survival::Lost { .. }
    ));
    assert_eq!(service.history.survival(at(0, 1312)), Survival::Kept);
    assert_eq!(service.history.survival(at(1, 1784)), Survival::Kept);
    assert!(matches!(
        service.history.survival(at(1, 1785)),
        Survival::Lost { .. }
    ));
}

/// Guards against a loss that does not match its record, found by schedules 3728 and 8572. The term
/// between two successive promotions has no writes and is treated as abandoned.
#[test]
fn a_term_without_writes_stays_in_the_history() {
    let service = opened(&[at(0, 0), at(0, 524), at(0, 524)]);
    let lost = Survival::Lost {
        ended_by: term(1),
        start: 524,
    };
    assert_eq!(service.history.survival(at(0, 525)), lost);
}

/// Guards against a lost write that counts as kept, found by schedule 130995. A term that the row
/// does not know is part of the only remaining log. Neither where it began nor which log it
/// continued is known.
#[test]
fn writes_before_an_unrecorded_term_count_as_lost() {
    let mut service = opened(&[at(0, 0), at(0, 1370)]);
    let unknown = at(7, 1056);
    let next = Term { epoch: 2, count: 0 };
    service.open(next, server(), unknown);
    assert!(matches!(
        service.history.survival(at(0, 1040)),
        Survival::Lost { .. }
    ));
    assert_eq!(service.history.survival(unknown), Survival::Kept);
}
