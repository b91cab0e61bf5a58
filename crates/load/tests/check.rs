//! Each check passes a history that holds and catches one in which its guard is broken.

mod common;

use common::{Change, history, loss, operation};
use flamingopost_load::check::{self, Check};
use flamingopost_load::class::Kind;
use flamingopost_load::history::{Final, History, Seen};
use flamingopost_load::outcome::Outcome;

/// Only `check` finds something, and it finds `count` violations.
#[track_caller]
fn only(history: &History, check: Check, count: usize) {
    let report = check::all(history);
    let found: Vec<(Check, usize)> = report
        .counts
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .collect();
    assert_eq!(found, [(check, count)]);
}

#[track_caller]
fn nothing(history: &History) {
    assert_eq!(check::all(history).violations, []);
}

fn own(sequence: i64, start: i64, saw: i64) -> flamingopost_load::history::Operation {
    let mut read = operation(1, sequence, Kind::Own, start, start + 1).saw(Seen {
        own: Some(saw),
        ..Seen::default()
    });
    read.sees = Some("Write".to_owned());
    read
}

/// A member bids and reloads the page through another entry host, which asks a replica that lags.
/// The page shows the older bid. Cause: the position did not travel with the session.
#[test]
fn a_reading_without_the_sessions_own_write() {
    let first = operation(1, 1, Kind::Write, 0, 1);
    let second = operation(1, 2, Kind::Write, 2, 3);
    let keys = [("r-1-1", 1), ("r-1-2", 1)];
    nothing(&history(
        vec![first.clone(), second.clone(), own(3, 4, 2)],
        &keys,
    ));
    only(
        &history(vec![first, second, own(3, 4, 1)], &keys),
        Check::ReadYourWrites,
        1,
    );
}

/// A bid is acknowledged, its primary dies before any replica has it, and the session is told of
/// the loss. A reading after that may lack the bid; one before it may not.
#[test]
fn a_session_that_was_told_of_its_loss() {
    let bid = operation(1, 1, Kind::Write, 0, 1).at("1.0/11");
    let told = operation(1, 2, Kind::Read, 2, 3).refused(Outcome::NotRun, "PF008");
    let mut with_report = history(vec![bid.clone(), told, own(3, 4, 0)], &[]);
    with_report.push(loss("1.1", 10, "1.0/11"));
    nothing(&with_report);
    let mut untold = history(vec![bid, own(3, 4, 0)], &[]);
    untold.push(loss("1.1", 10, "1.0/11"));
    only(&untold, Check::ReadYourWrites, 1);
}

/// A connection breaks after the bid took effect; the client submits it again through another
/// entry host and the buyer is charged twice. Cause: the key was not stored with the effect.
#[test]
fn a_key_that_took_effect_twice() {
    let bid = operation(1, 1, Kind::Write, 0, 1);
    nothing(&history(vec![bid.clone()], &[("r-1-1", 1)]));
    only(&history(vec![bid], &[("r-1-1", 2)]), Check::AtMostOnce, 1);
}

/// Two buyers look at lots at once and each is shown the other's. Cause: an answer that came late
/// was given to the next request on its connection.
#[test]
fn an_answer_to_somebody_else() {
    let view = operation(1, 1, Kind::Read, 0, 1);
    nothing(&history(vec![view.clone()], &[]));
    let mut swapped = view.clone();
    swapped.attempts[0].seen.token = Some("r-2-7.0".to_owned());
    only(&history(vec![swapped], &[]), Check::WholeAnswers, 1);
    let mut cut = view;
    cut.attempts[0].seen.token = None;
    only(&history(vec![cut], &[]), Check::WholeAnswers, 1);
}

/// An answer carries its token but lacks the column that was asked for, so a page shows no price.
#[test]
fn an_answer_that_is_not_whole() {
    let mut pair = operation(1, 1, Kind::Pair, 0, 1);
    pair.attempts[0].seen.first = Some(1);
    only(&history(vec![pair], &[]), Check::WholeAnswers, 1);
}

/// A clerk settles a sale: payment and title release belong together. A reader sees the payment
/// without the release. Cause: the two statements ran on different connections.
#[test]
fn a_reader_that_sees_half_a_transaction() {
    let read = |first, second| {
        operation(1, 1, Kind::Pair, 0, 1).saw(Seen {
            first: Some(first),
            second: Some(second),
            ..Seen::default()
        })
    };
    nothing(&history(vec![read(0, 0)], &[]));
    nothing(&history(vec![read(1, 1)], &[]));
    only(
        &history(vec![read(1, 0)], &[]),
        Check::NoMixedTransactions,
        1,
    );
}

/// An entry host dies in the middle of a settlement, and its half stays in one table. Cause: the
/// connection went back to the pool with the transaction open, and the next one committed it.
#[test]
fn a_transaction_that_left_one_half() {
    let whole = operation(1, 1, Kind::Transaction, 0, 1);
    let half = operation(2, 1, Kind::Transaction, 0, 1).refused(Outcome::Unknown, "broken");
    let mut history = history(vec![whole, half], &[("r-1-1", 1)]);
    let second = |key: &str| Final {
        list: 1,
        key: key.to_owned(),
        count: 1,
    };
    history.finals.get_or_insert_default().push(second("r-1-1"));
    nothing(&history);
    history.finals.get_or_insert_default().push(second("r-2-1"));
    only(&history, Check::NoMixedTransactions, 1);
}

/// A clerk is told that the booking did not run and books again; the crates are shipped twice.
/// Cause: the entry host had sent the statement before it gave up on it.
#[test]
fn a_refusal_that_was_not_true() {
    let refused = operation(1, 1, Kind::Write, 0, 1).refused(Outcome::NotRun, "PF001");
    nothing(&history(vec![refused.clone()], &[]));
    only(
        &history(vec![refused], &[("r-1-1", 1)]),
        Check::TrueNotRun,
        1,
    );
}

/// A booking whose outcome is unknown may be there or not: both are true.
#[test]
fn an_unknown_outcome_claims_nothing() {
    let unknown = operation(1, 1, Kind::Write, 0, 1).refused(Outcome::Unknown, "PF101");
    nothing(&history(vec![unknown.clone()], &[]));
    nothing(&history(vec![unknown], &[("r-1-1", 1)]));
}

/// A bid is acknowledged by a primary that has just been replaced, and nobody hears of it again.
/// Cause: the lease was not looked at after the answer had come.
#[test]
fn an_acknowledged_write_that_is_gone() {
    let bid = operation(1, 1, Kind::Write, 0, 1).at("1.0/11");
    only(&history(vec![bid], &[]), Check::NoLostWrites, 1);
}

/// The same loss with a report that covers it is counted, but breaks no promise. A report about
/// other positions explains nothing.
#[test]
fn a_loss_that_was_reported() {
    let bid = operation(1, 1, Kind::Write, 0, 1).at("1.0/11");
    let mut reported = history(vec![bid.clone()], &[]);
    reported.push(loss("1.1", 10, "1.0/11"));
    nothing(&reported);
    assert_eq!(check::all(&reported).reported_losses, 1);
    for other in [
        loss("1.1", 11, "1.0/12"),
        loss("1.0", 10, "1.0/11"),
        loss("1.1", 9, "1.0/10"),
    ] {
        let mut unrelated = history(vec![bid.clone()], &[]);
        unrelated.push(other);
        only(&unrelated, Check::NoLostWrites, 1);
    }
}

/// A zone is cut off with a host that acknowledged writes until its lease lapsed. The controller
/// cannot ask it and reports everything past the new term's start, but nothing before.
#[test]
fn a_loss_of_unknown_extent() {
    let bid = operation(1, 1, Kind::Write, 0, 1).at("1.0/11");
    let mut reported = history(vec![bid.clone()], &[]);
    reported.push(loss("1.1", 10, "unknown"));
    nothing(&reported);
    let mut before = history(vec![bid], &[]);
    before.push(loss("1.1", 11, "unknown"));
    only(&before, Check::NoLostWrites, 1);
}

/// A clerk sells the last crate, and a colleague at the primary still sees it a moment later.
/// Cause: the reading went to a server that was primary no more.
#[test]
fn a_register_read_that_is_stale() {
    let write = operation(1, 1, Kind::RegisterWrite, 0, 1).register(7);
    let read = |value| operation(2, 1, Kind::RegisterRead, 2, 3).register(value);
    nothing(&history(vec![write.clone(), read(7)], &[]));
    only(&history(vec![write, read(0)], &[]), Check::Linearizable, 1);
}

/// A write whose outcome is unknown may take effect later, but must not come and go.
#[test]
fn a_register_that_flickers() {
    let write = operation(1, 1, Kind::RegisterWrite, 0, 1)
        .register(7)
        .refused(Outcome::Unknown, "PF101");
    let read = |sequence, start, value| {
        operation(2, sequence, Kind::RegisterRead, start, start + 1).register(value)
    };
    let late = vec![write.clone(), read(1, 2, 0), read(2, 4, 7)];
    nothing(&history(late, &[]));
    let flicker = vec![write, read(1, 2, 7), read(2, 4, 0)];
    only(&history(flicker, &[]), Check::Linearizable, 1);
}

/// Without a final reading three checks cannot run; the report says so rather than pass them.
#[test]
fn checks_that_cannot_run_say_so() {
    let mut history = history(vec![operation(1, 1, Kind::Write, 0, 1)], &[]);
    history.finals = None;
    let report = check::all(&history);
    let skipped: Vec<Check> = report.skipped.keys().copied().collect();
    assert_eq!(
        skipped,
        [Check::AtMostOnce, Check::TrueNotRun, Check::NoLostWrites]
    );
    assert!(!report.counts.contains_key(&Check::AtMostOnce));
}
