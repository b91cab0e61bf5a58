//! Tests of the observed extent of a service's log, and of servers that have lost theirs.

use std::time::Duration;

use flamingopost_core::extent::LogExtent;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn term(number: i64) -> Term {
    Term::from_number(number)
}

fn position(number: i64, log: u64) -> Position {
    Position {
        term: term(number),
        log,
    }
}

/// A primary restarts without its log, in the term that it led. On the first connection it reports
/// the start of that term, while a replica had reported an entry of it.
#[test]
fn a_primary_with_less_than_an_earlier_position_has_lost_its_log() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    assert!(extent.lacks(position(3, 0), ms(200)));
    assert!(extent.lacks(position(3, 39), ms(200)));
    assert!(!extent.lacks(position(3, 40), ms(200)));
    assert!(!extent.lacks(position(4, 0), ms(200)), "a newer term leads");
}

/// Answers arrive out of order. A request sent before the log had reached a position may be
/// answered with less: a primary was taken for an empty one whenever two callers wrote at the same
/// time.
#[test]
fn a_request_sent_before_a_position_was_seen_proves_nothing() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    assert!(!extent.lacks(position(3, 39), ms(99)));
}

/// An empty log reports the start of the newest term, which compares greater than each entry of
/// older terms. Right after a change of primary, an empty server would count as the one with the
/// longest log.
#[test]
fn the_start_of_a_term_does_not_extend_the_log() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    extent.record_position(position(4, 0), ms(110));
    assert_eq!(extent.furthest(), position(3, 40));
}

/// The list reports that the primary has restarted. It had been promoted just before, in a term
/// that this host did not know. Its empty log reported the start of that term and was taken for the
/// log of a server that had been promoted since.
#[test]
fn a_restarted_server_has_to_prove_its_log() {
    let mut extent = LogExtent::default();
    assert!(extent.proves(position(3, 0)), "nothing was written");
    extent.record_position(position(2, 40), ms(100));
    assert!(!extent.proves(position(3, 0)));
    assert!(!extent.proves(position(2, 39)));
    assert!(extent.proves(position(2, 40)));
    assert!(
        !extent.proves(position(4, 0)),
        "of a term that began before"
    );
}

/// A host keeps probing an empty primary while it also gets answers of a replica. A replica's
/// answer came between a request and its answer, so the empty primary was trusted for a moment and
/// accepted the waiting writes.
#[test]
fn a_distrusted_server_gets_no_allowance_for_requests_in_flight() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    assert!(!extent.lacks(position(3, 39), ms(90)));
    assert!(!extent.proves(position(3, 39)));
}

/// A primary restarts without its log. A read is sent there, and while it is in transit another
/// server reports one more write. That the primary lacked nearly all of the log was known long
/// before.
#[test]
fn a_log_that_has_just_grown_does_not_hide_a_loss() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 111), ms(1_000));
    extent.record_position(position(3, 113), ms(2_040));
    assert!(extent.lacks(position(3, 0), ms(2_030)));
    assert!(!extent.lacks(position(3, 111), ms(2_030)), "asked before");
    for log in 0..500 {
        extent.record_position(position(3, 114 + log), ms(3_000 + log * 10));
    }
    assert!(extent.lacks(position(3, 0), ms(7_000)));
    assert!(!extent.lacks(position(3, 600), ms(7_000)));
}

/// All hosts have restarted, and the only remaining server reports an empty log. The hosts know
/// from a record alone that something was written. The server proves nothing, and no host knows a
/// position that its log lacks.
#[test]
fn an_empty_log_proves_nothing_where_a_write_is_recorded() {
    let mut extent = LogExtent::default();
    assert!(extent.proves(position(4, 0)));
    extent.record_written();
    assert!(extent.is_written() && !extent.has_position());
    assert!(!extent.proves(position(4, 0)));
    assert!(!extent.lacks(position(4, 0), ms(100)));
    assert!(extent.proves(position(4, 1)));
}

/// A primary lost its log before anything was written in its term, and a host that did not know
/// wrote to it. The second write there was taken for the furthest position of the log, and the
/// server was trusted with the 211 entries of the previous term gone.
#[test]
fn a_newer_term_with_a_smaller_number_does_not_prove_the_log() {
    let mut extent = LogExtent::default();
    extent.record_position(position(2, 211), ms(100));
    extent.record_position(position(3, 2), ms(200));
    assert!(!extent.proves(position(3, 2)));
    assert!(!extent.proves(position(3, 211)), "number 211 is of term 2");
    assert!(extent.proves(position(3, 212)));
    extent.record_position(position(4, 3), ms(300));
    assert!(!extent.proves(position(4, 4)));
    assert!(extent.proves(position(4, 212)));
}

/// The same, where the host first hears of the new writes and then of the server with the old log.
#[test]
fn an_older_term_with_a_larger_number_is_not_ignored() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 2), ms(100));
    assert!(extent.proves(position(3, 2)));
    extent.record_position(position(2, 211), ms(200));
    assert_eq!(extent.furthest(), position(3, 2));
    assert!(!extent.proves(position(3, 3)));
    assert!(extent.proves(position(3, 212)));
}

/// A server is ordered to lead with fewer entries than another one has, whose last entries are
/// rolled back. It must not be taken for one that has lost its log.
#[test]
fn a_term_that_is_known_to_begin_with_fewer_entries_proves_its_log() {
    let mut extent = LogExtent::default();
    extent.record_position(position(2, 211), ms(100));
    assert!(extent.contradicts(position(3, 209), None));
    assert!(!extent.contradicts(position(3, 209), Some(208)));
    assert!(extent.proves_since(position(3, 209), Some(208)));
    assert!(!extent.proves_since(position(3, 208), Some(208)));
    extent.record_position(position(3, 209), ms(200));
    assert!(extent.proves_since(position(3, 209), Some(208)));
    assert!(
        extent.proves_since(position(4, 210), Some(209)),
        "the order after term 3"
    );
}
