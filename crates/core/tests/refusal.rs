//! Refusals and the page that documents them.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_core::position::Position;
use flamingopost_core::refusal::{Doubt, Ran, Refusal, Severity};
use flamingopost_core::term::Term;

const PAGE: &str = include_str!("../../../docs/SQLSTATES.md");
const SOON: Duration = Duration::from_millis(20);

fn text() -> String {
    "x".to_owned()
}

/// Returns one refusal of each variant. A new variant makes `name` fail to compile.
fn all() -> Vec<Refusal> {
    let retry_after = SOON;
    let position = Position::default();
    vec![
        Refusal::DeadlineTooShort {
            needed: SOON,
            left: SOON,
            retry_after,
        },
        Refusal::Overloaded { retry_after },
        Refusal::RateLimited {
            rule: text(),
            retry_after,
        },
        Refusal::RuleRefuses {
            rule: text(),
            reason: text(),
        },
        Refusal::NoPrimary { retry_after },
        Refusal::DataTooOld {
            age: None,
            limit: None,
            retry_after,
        },
        Refusal::PositionNotReached {
            position,
            retry_after,
        },
        Refusal::PositionLost {
            position,
            ended_by: Term::default(),
            start: 0,
        },
        Refusal::NoServer { retry_after },
        Refusal::HostStopping,
        Refusal::TransactionLost,
        Refusal::KeyBusy {
            key: text(),
            retry_after,
        },
        Refusal::KeyMismatch { key: text() },
        Refusal::BadParameter {
            parameter: "flamingopost.position",
            value: text(),
        },
        Refusal::MessageTooLarge { size: 2, limit: 1 },
        Refusal::UnknownCaller,
        Refusal::UnknownService { service: text() },
        Refusal::ServiceForbidden { service: text() },
        Refusal::TooManyCallers { retry_after },
        Refusal::OutcomeUnknown {
            doubt: Doubt::ConnectionLost,
        },
        Refusal::AlreadyRan {
            key: text(),
            tag: text(),
        },
    ]
}

fn name(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::DeadlineTooShort { .. } => "DeadlineTooShort",
        Refusal::Overloaded { .. } => "Overloaded",
        Refusal::RateLimited { .. } => "RateLimited",
        Refusal::RuleRefuses { .. } => "RuleRefuses",
        Refusal::NoPrimary { .. } => "NoPrimary",
        Refusal::DataTooOld { .. } => "DataTooOld",
        Refusal::PositionNotReached { .. } => "PositionNotReached",
        Refusal::PositionLost { .. } => "PositionLost",
        Refusal::NoServer { .. } => "NoServer",
        Refusal::HostStopping => "HostStopping",
        Refusal::TransactionLost => "TransactionLost",
        Refusal::KeyBusy { .. } => "KeyBusy",
        Refusal::KeyMismatch { .. } => "KeyMismatch",
        Refusal::BadParameter { .. } => "BadParameter",
        Refusal::MessageTooLarge { .. } => "MessageTooLarge",
        Refusal::UnknownCaller => "UnknownCaller",
        Refusal::UnknownService { .. } => "UnknownService",
        Refusal::ServiceForbidden { .. } => "ServiceForbidden",
        Refusal::TooManyCallers { .. } => "TooManyCallers",
        Refusal::OutcomeUnknown { .. } => "OutcomeUnknown",
        Refusal::AlreadyRan { .. } => "AlreadyRan",
    }
}

/// Returns the expected row of a refusal in the page, without its last column.
fn row(refusal: &Refusal) -> String {
    let severity = match refusal.severity() {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let ran = match refusal.ran() {
        Ran::No => "no",
        Ran::Unknown => "unknown",
        Ran::Yes => "yes",
    };
    let back = if refusal.retry_after().is_some() {
        "yes"
    } else {
        "no"
    };
    let (state, name) = (refusal.sqlstate(), name(refusal));
    format!("| `{state}` | {severity} | {ran} | {back} | {name} | ")
}

#[test]
fn the_page_lists_every_refusal_and_no_other() {
    let written: BTreeSet<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `") && line.matches('|').count() == 7)
        .collect();
    for refusal in all() {
        let row = row(&refusal);
        assert!(
            written.iter().any(|line| line.starts_with(&row)),
            "docs/SQLSTATES.md lacks `{row}`"
        );
    }
    assert_eq!(written.len(), all().len());
}

#[test]
fn every_refusal_has_a_unique_sqlstate() {
    let states: BTreeSet<&str> = all().iter().map(Refusal::sqlstate).collect();
    assert_eq!(states.len(), all().len());
    let names: BTreeSet<&str> = all().iter().map(name).collect();
    assert_eq!(names.len(), all().len());
}

/// A caller's program decides by the first characters whether it may repeat a request. With a wrong
/// class it could place a bid twice.
#[test]
fn the_sqlstate_shows_whether_the_request_ran() {
    for refusal in all() {
        let state = refusal.sqlstate();
        let expected = match &state[..state.len().min(3)] {
            "PF1" => Ran::Unknown,
            "PF2" => Ran::Yes,
            _ => Ran::No,
        };
        assert_eq!(refusal.ran(), expected, "{state}");
        assert_eq!(state.len(), 5);
    }
}

#[test]
fn detail_and_hint_state_when_to_retry() {
    for refusal in all() {
        let waits = refusal.retry_after().is_some();
        assert_eq!(refusal.detail().contains("retry_after_ms="), waits);
        assert!(!refusal.hint().is_empty(), "{refusal}");
    }
    let refusal = Refusal::Overloaded {
        retry_after: Duration::from_micros(1_500),
    };
    assert_eq!(refusal.detail(), "ran=no retry_after_ms=2");
    assert_eq!(refusal.hint(), "Come back in 2 ms.");
}
