//! How far a service's log was seen to reach, and which server cannot lead for that.

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

/// A primary starts again without its log, in the term that it led. On the first connection to it,
/// it shows the start of that term, while a replica had shown an entry of it.
#[test]
fn a_primary_with_less_than_an_earlier_position_has_lost_its_log() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    assert!(extent.lacks(position(3, 0), ms(200)));
    assert!(extent.lacks(position(3, 39), ms(200)));
    assert!(!extent.lacks(position(3, 40), ms(200)));
    assert!(!extent.lacks(position(4, 0), ms(200)), "a newer term leads");
}

/// Answers overtake each other. What was asked before the log had got that far was answered in
/// good faith: a primary was taken for an empty one whenever two callers wrote at once.
#[test]
fn a_request_sent_before_a_position_was_seen_proves_nothing() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    assert!(!extent.lacks(position(3, 39), ms(99)));
}

/// An empty log shows the start of the newest term. It is past each entry of older terms, so right
/// after a change of primary an empty server would count as the one with most.
#[test]
fn the_start_of_a_term_does_not_extend_the_log() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    extent.record_position(position(4, 0), ms(110));
    assert_eq!(extent.furthest(), position(3, 40));
}

/// The list says that the primary has started again. It had been promoted just before, in a term
/// that this host had not heard of; its empty log showed the start of that one, and was taken for the
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

/// A host looks at an empty primary again and again while it hears from a replica. The replica's
/// word came between a question and its answer; the empty one was believed for a moment, and took
/// the bids that had waited.
#[test]
fn a_distrusted_server_gets_no_allowance_for_requests_in_flight() {
    let mut extent = LogExtent::default();
    extent.record_position(position(3, 40), ms(100));
    assert!(!extent.lacks(position(3, 39), ms(90)));
    assert!(!extent.proves(position(3, 39)));
}

/// A primary starts again without its log. A read is sent there, and while it is on its way another
/// server shows a write more. That the primary lacked nearly all of the log was known long before.
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

/// All hosts have started anew, and the only server that is left shows an empty log. That something was
/// written they know by a record alone: the server proves nothing, and its log lacks nothing either that
/// anybody could name.
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
