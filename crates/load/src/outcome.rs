//! What became of an attempt, as its caller can know it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio_postgres::Error;
use tokio_postgres::error::SqlState;

/// SQLSTATE with which a session is told that a write of its own was lost.
pub const POSITION_LOST: &str = "PF008";

/// What became of an attempt or of a whole operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was answered.
    Done,
    /// The database refused the statement itself; a write had no effect.
    Failed,
    /// The answer says that it did not run, or it was never sent.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An outcome other than done, with what the caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What the caller knows.
    pub outcome: Outcome,
    /// SQLSTATE, or a word for what went wrong without one.
    pub state: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Whether the connection is of no more use.
    pub fatal: bool,
}

impl Refusal {
    /// A refusal without an answer from the server.
    pub fn unanswered(outcome: Outcome, state: &str) -> Refusal {
        Refusal {
            outcome,
            state: state.to_owned(),
            retry_after: None,
            fatal: true,
        }
    }

    /// Reads an error that a statement which was sent ended with.
    pub fn of_statement(error: &Error) -> Refusal {
        let Some(answer) = error.as_db_error() else {
            return Refusal::unanswered(Outcome::Unknown, "broken");
        };
        let detail = answer.detail().unwrap_or_default();
        Refusal {
            outcome: outcome(answer.code(), detail),
            state: answer.code().code().to_owned(),
            retry_after: retry_after(detail),
            fatal: matches!(answer.severity(), "FATAL" | "PANIC"),
        }
    }

    /// Reads an error of a connection attempt: nothing was sent.
    pub fn of_connect(error: &Error) -> Refusal {
        let mut refusal = Refusal::of_statement(error);
        refusal.outcome = Outcome::NotRun;
        refusal.fatal = true;
        if error.as_db_error().is_none() {
            refusal.state = "connect".to_owned();
        }
        refusal
    }
}

/// The DETAIL field decides where it says `ran=`; else the SQLSTATE's class does.
fn outcome(code: &SqlState, detail: &str) -> Outcome {
    match word(detail, "ran=") {
        Some("no") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        Some("yes") => Outcome::Done,
        _ => of_state(code.code()),
    }
}

fn of_state(state: &str) -> Outcome {
    match state {
        _ if state.starts_with("PF0") => Outcome::NotRun,
        _ if state.starts_with("PF1") => Outcome::Unknown,
        _ if state.starts_with("PF2") => Outcome::Done,
        // Connection exceptions and shutdowns may come after the statement took effect.
        _ if state.starts_with("08") || state.starts_with("57P") => Outcome::Unknown,
        "57014" => Outcome::Unknown,
        // A server that is no primary any more refuses a write before it runs.
        "25006" | "53300" => Outcome::NotRun,
        _ => Outcome::Failed,
    }
}

fn retry_after(detail: &str) -> Option<Duration> {
    let millis = word(detail, "retry_after_ms=")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn word<'a>(detail: &'a str, prefix: &str) -> Option<&'a str> {
    detail
        .split_whitespace()
        .find_map(|word| word.strip_prefix(prefix))
}
