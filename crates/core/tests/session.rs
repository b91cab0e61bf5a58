//! Sessions: what they need of a server, and what they leave on a connection.

use std::time::Duration;

use flamingopost_core::history::History;
use flamingopost_core::position::Position;
use flamingopost_core::refusal::Refusal;
use flamingopost_core::rule::Target;
use flamingopost_core::session::Session;
use flamingopost_core::session::need::Need;
use flamingopost_core::session::state::{
    ConnectionParameters, Effect, Pin, Replay, State, Transaction,
};
use flamingopost_core::term::Term;

const BEGAN: Duration = Duration::from_secs(100);
const FIRST: Term = Term { epoch: 1, count: 0 };
const SECOND: Term = Term { epoch: 1, count: 1 };

fn history() -> History {
    let mut history = History::default();
    history.open(FIRST, 0);
    history
}

fn at(term: Term, log: u64) -> Position {
    Position { term, log }
}

fn need(session: &mut Session, history: &History) -> Result<Need, Refusal> {
    session.need(Target::Replica, None, None, history)
}

/// A clerk books a crate through one entry host, her next request reaches another. She brings the
/// position that the first one reported, and must be answered from data that contain her booking.
#[test]
fn a_position_travels_between_hosts() {
    let history = history();
    let mut first_host = Session::new(BEGAN);
    assert!(first_host.record_write(at(FIRST, 40), &history));
    let reported = first_host.position().unwrap().to_string();
    let mut second_host = Session::new(BEGAN);
    second_host
        .set_position(&reported, BEGAN, &history)
        .unwrap();
    let position = at(FIRST, 40);
    let wanted = Need::Position {
        position,
        max_age: None,
    };
    assert_eq!(need(&mut second_host, &history), Ok(wanted));
}

/// The same clerk's application forgets to bring the position. Whatever a replica shows could lack
/// her booking, so only data proven current since she came will do.
#[test]
fn a_session_without_a_position_needs_data_proven_since_its_start() {
    let history = history();
    let mut session = Session::new(BEGAN);
    let wanted = Need::Since {
        began: BEGAN,
        max_age: None,
    };
    assert_eq!(need(&mut session, &history), Ok(wanted));
}

#[test]
fn one_position_of_the_primary_bounds_all_earlier_writes() {
    let mut session = Session::new(BEGAN);
    let before = BEGAN - Duration::from_millis(1);
    assert!(
        !session.observe_primary(at(FIRST, 50), before),
        "asked too early"
    );
    assert!(session.observe_primary(at(FIRST, 60), BEGAN));
    assert!(
        !session.observe_primary(at(FIRST, 70), BEGAN),
        "nothing new is needed"
    );
    assert_eq!(session.position(), Some(at(FIRST, 60)));
}

#[test]
fn a_caller_that_states_an_age_or_no_writes_may_use_any_replica() {
    let history = history();
    let age = Duration::from_millis(500);
    let mut session = Session::new(BEGAN);
    session.set_max_age("500ms").unwrap();
    let any = Need::Any { max_age: Some(age) };
    assert_eq!(need(&mut session, &history), Ok(any));
    let mut session = Session::new(BEGAN);
    session.set_position("none", BEGAN, &history).unwrap();
    assert_eq!(
        need(&mut session, &history),
        Ok(Need::Any { max_age: None })
    );
    session.record_write(at(FIRST, 3), &history);
    let needed = need(&mut session, &history).unwrap();
    assert_eq!(
        needed.position(),
        Some(at(FIRST, 3)),
        "its own writes still count"
    );
}

/// An operator's age limit is not the caller's word that it has not written: a roaming caller
/// without a position would read past its own write.
#[test]
fn a_rules_age_alone_does_not_waive_earlier_writes() {
    let age = Some(Duration::from_secs(2));
    let mut session = Session::new(BEGAN);
    let needed = session.need(Target::Replica, age, None, &history());
    let wanted = Need::Since {
        began: BEGAN,
        max_age: age,
    };
    assert_eq!(needed, Ok(wanted));
}

#[test]
fn the_strictest_age_counts() {
    let mut session = Session::new(BEGAN);
    session.set_position("none", BEGAN, &history()).unwrap();
    session.set_max_age("2s").unwrap();
    let [one, five] = [1, 5].map(Duration::from_secs);
    let needed = session.need(Target::Replica, Some(five), Some(one), &history());
    assert_eq!(needed.unwrap().max_age(), Some(one));
}

#[test]
fn positions_only_advance_and_an_empty_value_resets_the_session() {
    let history = history();
    let mut session = Session::new(BEGAN);
    session.set_position("1.0/40", BEGAN, &history).unwrap();
    session.set_position("1.0/30", BEGAN, &history).unwrap();
    assert_eq!(session.position(), Some(at(FIRST, 40)));
    let later = BEGAN + Duration::from_secs(1);
    session.set_position("", later, &history).unwrap();
    let wanted = Need::Since {
        began: later,
        max_age: None,
    };
    assert_eq!(need(&mut session, &history), Ok(wanted));
}

#[test]
fn invalid_parameter_values_are_refused() {
    let mut session = Session::new(BEGAN);
    for value in ["17", "1.0", "1.0/x", "None", "1.0/-1"] {
        let refusal = session.set_position(value, BEGAN, &history()).unwrap_err();
        assert_eq!(refusal.sqlstate(), "22023", "{value}");
    }
    for value in ["-1", "fast", "5 days", "99999999999999999999", "1.5s"] {
        assert!(session.set_max_age(value).is_err(), "{value}");
    }
    for value in ["500", "500ms", "2s", "1min", "1h", " 3 s "] {
        assert!(session.set_max_age(value).is_ok(), "{value}");
    }
}

/// A member's bid is acknowledged at 150; the primary dies and the replica that is promoted had
/// only 100. The member's next statement is told so, once, instead of a lot view without the bid.
#[test]
fn a_lost_write_is_reported_once() {
    let mut history = history();
    let mut session = Session::new(BEGAN);
    session.record_write(at(FIRST, 150), &history);
    history.open(SECOND, 100);
    let lost = Refusal::PositionLost {
        position: at(FIRST, 150),
        ended_by: SECOND,
        start: 100,
    };
    assert_eq!(session.check_lost_write(&history), Err(lost));
    let needed = need(&mut session, &history).unwrap();
    assert_eq!(needed.position(), Some(at(SECOND, 100)));
}

/// The promotion comes between the session's next write and its answer: the new write's position
/// is higher and would hide the lost one.
#[test]
fn a_later_write_does_not_hide_a_loss() {
    let mut history = history();
    let mut session = Session::new(BEGAN);
    session.record_write(at(FIRST, 150), &history);
    history.open(SECOND, 100);
    session.record_write(at(SECOND, 130), &history);
    assert!(matches!(
        session.check_lost_write(&history),
        Err(Refusal::PositionLost { start: 100, .. })
    ));
    assert_eq!(session.check_lost_write(&history), Ok(()));
    assert_eq!(session.position(), Some(at(SECOND, 130)));
}

fn set(name: &str, value: &str) -> Effect {
    Effect::Set {
        name: name.to_owned(),
        text: format!("SET {name} = {value}"),
    }
}

fn reset(name: &str) -> Replay {
    Replay::Reset {
        name: name.to_owned(),
    }
}

/// One caller sets its search path; the connection goes back to the pool and on to another
/// caller, whose statements must not run under it.
#[test]
fn settings_of_one_session_do_not_reach_another() {
    let mut one = State::default();
    one.apply(set("search_path", "yard"));
    let left = one.connection_parameters();
    let other = State::default();
    assert_eq!(other.replay(&left), [reset("search_path")]);
    assert_eq!(one.replay(&left), []);
    assert_eq!(one.replay(&ConnectionParameters::default()).len(), 1);
}

#[test]
fn a_rollback_restores_settings() {
    let mut state = State::default();
    state.apply(set("timezone", "utc"));
    state.set_transaction(Transaction::Open);
    state.apply(set("timezone", "eat"));
    state.apply(set("role", "clerk"));
    state.apply(Effect::Rollback);
    state.set_transaction(Transaction::Idle);
    assert_eq!(state.parameter("timezone"), Some("SET timezone = utc"));
    assert_eq!(state.parameter("role"), None);
}

#[test]
fn a_commit_keeps_settings() {
    let mut state = State::default();
    state.set_transaction(Transaction::Open);
    state.apply(set("timezone", "eat"));
    state.apply(Effect::Commit);
    state.set_transaction(Transaction::Idle);
    assert_eq!(state.parameter("timezone"), Some("SET timezone = eat"));
    assert!(!state.is_bound());
}

/// A `SET` after a savepoint may be taken back by a rollback to it, which is not followed. The
/// session must stay where the truth is.
#[test]
fn a_setting_after_a_savepoint_pins_the_session() {
    let mut state = State::default();
    state.set_transaction(Transaction::Open);
    state.apply(Effect::Savepoint);
    state.apply(set("timezone", "eat"));
    state.apply(Effect::Commit);
    state.set_transaction(Transaction::Idle);
    assert!(state.is_bound());
    assert_eq!(state.pins().collect::<Vec<_>>(), [Pin::Untracked]);
}

#[test]
fn state_that_cannot_be_replayed_pins_until_discard_all() {
    let mut state = State::default();
    state.apply(Effect::Pin(Pin::Listen));
    state.apply(Effect::Pin(Pin::TemporaryTable));
    state.apply(Effect::Unpin(Pin::Listen));
    assert!(state.is_bound());
    state.apply(Effect::DiscardAll);
    assert!(!state.is_bound());
}
