//! Tests of the use of a leaving primary until its successor leads.

use std::time::Duration;

use flamingopost_core::position::Position;
use flamingopost_core::quorum::{Handover, Verdict};
use flamingopost_core::term::Term;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(log: u64) -> Position {
    let term = Term::from_number(3);
    Position { term, log }
}

/// Guards against a read that misses what the successor has acknowledged since it last followed.
#[test]
fn a_read_rests_on_an_answer_that_was_requested_after_it_arrived() {
    let mut handover = Handover::default();
    handover.record_follower(ms(100), position(5));
    assert_eq!(handover.read(ms(101)), Verdict::Unknown);
    handover.record_lead();
    assert_eq!(handover.read(ms(101)), Verdict::Late);
    assert_eq!(handover.read(ms(100)), Verdict::Counts(ms(100)));
}

/// Guards against an acknowledged write that the successor lacks, or that came after it had begun to
/// lead.
#[test]
fn a_commit_rests_on_its_receipt_by_the_successor() {
    let mut handover = Handover::default();
    let commit = |handover: &Handover| handover.commit(Some(position(6)), ms(100));
    handover.record_follower(ms(101), position(5));
    assert_eq!(commit(&handover), Verdict::Unknown);
    handover.record_follower(ms(110), position(6));
    assert_eq!(commit(&handover), Verdict::Counts(ms(110)));
    handover.record_lead();
    assert_eq!(commit(&handover), Verdict::Counts(ms(110)));
}

/// Guards against writes that all wait for a successor which receives nothing.
#[test]
fn a_commit_does_not_wait_long_for_a_successor_that_receives_nothing() {
    let mut handover = Handover::default();
    let commit = |handover: &Handover| handover.commit(Some(position(6)), ms(100));
    handover.record_follower(ms(99), position(5));
    assert_eq!(commit(&handover), Verdict::Unknown, "asked before");
    handover.record_follower(ms(159), position(5));
    assert_eq!(commit(&handover), Verdict::Unknown);
    handover.record_follower(ms(160), position(5));
    assert_eq!(commit(&handover), Verdict::Counts(ms(160)));
}

/// Guards against an acknowledged write that the successor lacks because it began to lead before the write
/// reached it: it followed as the write was answered, and led by the time at which that was overdue.
#[test]
fn a_commit_is_not_overdue_before_the_successor_followed_for_long_enough() {
    let mut handover = Handover::default();
    let commit = |handover: &Handover| handover.commit(Some(position(7)), ms(151));
    handover.record_follower(ms(152), position(6));
    assert_eq!(commit(&handover), Verdict::Unknown);
    handover.record_lead();
    assert_eq!(commit(&handover), Verdict::Late);
}

/// Guards against a primary that is used although nobody can tell whether its successor leads.
#[test]
fn nothing_counts_once_the_successor_can_no_longer_be_asked() {
    let mut handover = Handover::default();
    handover.record_lead();
    assert!(handover.is_over());
    assert_eq!(handover.read(ms(1)), Verdict::Late);
    assert_eq!(handover.commit(None, ms(1)), Verdict::Late);
}
