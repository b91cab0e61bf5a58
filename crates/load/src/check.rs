//! Checks of a history: what must always hold, as callers could see it.

mod answer;
mod linear;
mod lost;
mod mixed;
mod not_run;
mod once;
mod own;
mod report;
mod surviving;

use std::fmt;

use serde::Serialize;

use crate::history::History;

pub use report::{Check, Report};

/// A violation that a check found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The check.
    pub check: Check,
    /// Keys of the operations concerned.
    pub keys: Vec<String>,
    /// What is wrong with them.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} ({})",
            self.check,
            self.detail,
            self.keys.join(", ")
        )
    }
}

/// Runs every check on `history`.
///
/// ```
/// use flamingopost_load::check;
/// use flamingopost_load::history::History;
///
/// let report = check::all(&History::default());
/// assert!(report.violations.is_empty());
/// ```
pub fn all(history: &History) -> Report {
    let mut report = Report::default();
    report.examine(history);
    report.ran(Check::ReadYourWrites, own::check(history));
    report.ran(Check::WholeAnswers, answer::check(history));
    report.ran(Check::NoMixedTransactions, mixed::check(history));
    match &history.finals {
        Some(finals) => {
            report.ran(Check::AtMostOnce, once::check(history, finals));
            report.ran(Check::TrueNotRun, not_run::check(history, finals));
            report.lost(lost::check(history, finals));
        }
        None => {
            for check in [Check::AtMostOnce, Check::TrueNotRun, Check::NoLostWrites] {
                report.skip(check, "the final tables were not read");
            }
        }
    }
    report.linear(linear::check(history));
    report
}
