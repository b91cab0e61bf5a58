//! Refusals: why a request is not answered, and whether it ran.

use std::time::Duration;

use crate::position::Position;
use crate::term::Term;

/// Whether a request ran on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// It did not run and never will: it can be sent again safely.
    No,
    /// It may have run, or may still be running.
    Unknown,
    /// It ran, and its effect is permanent.
    Yes,
}

/// The severity of a refusal, as PostgreSQL defines it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The statement fails, and the connection stays open.
    Error,
    /// The connection ends.
    Fatal,
}

impl Severity {
    /// Returns the text of the `S` and `V` fields of an ErrorResponse.
    pub fn text(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Doubt {
    /// the connection to the backend server broke before its answer came
    ConnectionLost,
    /// the write lease ended before the answer came
    LeaseEnded,
    /// the deadline passed while the backend server was at work
    DeadlinePassed,
    /// the commit was not confirmed
    CommitUnconfirmed,
    /// no replica confirmed the write in time
    ReplicaUnconfirmed,
}

/// Every refusal that callers can receive.
///
/// A refusal is sent as soon as it is decided. If a retry can help, it says when.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::refusal::{Ran, Refusal};
///
/// let refusal = Refusal::Overloaded { retry_after: Duration::from_millis(40) };
/// assert_eq!(refusal.ran(), Ran::No);
/// assert_eq!(refusal.sqlstate(), "PF002");
/// assert_eq!(refusal.detail(), "ran=no retry_after_ms=40");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Refusal {
    /// not run: it would take about {needed:?} and its deadline leaves {left:?}
    DeadlineTooShort {
        /// Expected time until its answer, including its wait.
        needed: Duration,
        /// Time left until its deadline.
        left: Duration,
        /// When the queue should have drained.
        retry_after: Duration,
    },
    /// not run: the service is overloaded and heavier classes go first
    Overloaded {
        /// When the queue should have drained.
        retry_after: Duration,
    },
    /// not run: rule `{rule}` lets no more requests through for now
    RateLimited {
        /// The rule.
        rule: String,
        /// Time until it admits the next request.
        retry_after: Duration,
    },
    /// not run: rule `{rule}` refuses it: {reason}
    RuleRefuses {
        /// The rule.
        rule: String,
        /// The operator's reason.
        reason: String,
    },
    /// not run: the service has no primary at the moment
    NoPrimary {
        /// Time until a primary is expected.
        retry_after: Duration,
    },
    /// not run: no server that can be reached has data young enough
    DataTooOld {
        /// Age of the newest data on a reachable server; absent if no age is proven.
        age: Option<Duration>,
        /// Greatest age that the request accepts; absent if it needs data that were current at the
        /// start of its session.
        limit: Option<Duration>,
        /// When to ask again.
        retry_after: Duration,
    },
    /// not run: no server that can be reached has the session's position {position}
    PositionNotReached {
        /// The session's position.
        position: Position,
        /// When to ask again.
        retry_after: Duration,
    },
    /// not run: the session's write at {position} was lost when term {ended_by} began at {start}
    PositionLost {
        /// The position that was lost.
        position: Position,
        /// The term that began without it.
        ended_by: Term,
        /// Where that term began.
        start: u64,
    },
    /// not run: no server of the service can be reached
    NoServer {
        /// When to ask again.
        retry_after: Duration,
    },
    /// not run: the entry host is stopping
    HostStopping,
    /// not run: the transaction's connection to the backend server was lost
    TransactionLost,
    /// not run: a request with key `{key}` is still running
    KeyBusy {
        /// The key.
        key: String,
        /// When to ask again.
        retry_after: Duration,
    },
    /// not run: key `{key}` belongs to another request
    KeyMismatch {
        /// The key.
        key: String,
    },
    /// not run: `{value}` is no value for {parameter}
    BadParameter {
        /// The session parameter.
        parameter: &'static str,
        /// What the caller gave.
        value: String,
    },
    /// not run: a message of {size} bytes passes the limit of {limit}
    MessageTooLarge {
        /// The size of the message.
        size: usize,
        /// The limit.
        limit: usize,
    },
    /// password authentication failed
    UnknownCaller,
    /// service `{service}` does not exist
    UnknownService {
        /// What the caller asked for.
        service: String,
    },
    /// the caller may not use service `{service}`
    ServiceForbidden {
        /// What the caller asked for.
        service: String,
    },
    /// too many connections from callers
    TooManyCallers {
        /// When to connect again.
        retry_after: Duration,
    },
    /// outcome unknown: {doubt}
    OutcomeUnknown {
        /// Why.
        doubt: Doubt,
    },
    /// already run: the request with key `{key}` ran before as `{tag}`; its rows are not kept
    AlreadyRan {
        /// The key.
        key: String,
        /// Command tag of the run.
        tag: String,
    },
}

impl Refusal {
    /// Returns the SQLSTATE: `PF0..` if the request never ran, `PF1..` if it may have run, `PF2..`
    /// if it ran. Refusals that end a connection at its start use PostgreSQL's own codes, which
    /// clients know.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Refusal::DeadlineTooShort { .. } => "PF001",
            Refusal::Overloaded { .. } => "PF002",
            Refusal::RateLimited { .. } => "PF003",
            Refusal::RuleRefuses { .. } => "PF004",
            Refusal::NoPrimary { .. } => "PF005",
            Refusal::DataTooOld { .. } => "PF006",
            Refusal::PositionNotReached { .. } => "PF007",
            Refusal::PositionLost { .. } => "PF008",
            Refusal::NoServer { .. } => "PF009",
            Refusal::HostStopping => "57P01",
            Refusal::TransactionLost => "PF010",
            Refusal::KeyBusy { .. } => "PF011",
            Refusal::KeyMismatch { .. } => "PF012",
            Refusal::BadParameter { .. } => "22023",
            Refusal::MessageTooLarge { .. } => "54000",
            Refusal::UnknownCaller => "28P01",
            Refusal::UnknownService { .. } => "3D000",
            Refusal::ServiceForbidden { .. } => "42501",
            Refusal::TooManyCallers { .. } => "53300",
            Refusal::OutcomeUnknown { .. } => "PF101",
            Refusal::AlreadyRan { .. } => "PF201",
        }
    }

    /// Returns whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            Refusal::OutcomeUnknown { .. } => Ran::Unknown,
            Refusal::AlreadyRan { .. } => Ran::Yes,
            _ => Ran::No,
        }
    }

    /// Returns whether the refusal ends the connection.
    pub fn severity(&self) -> Severity {
        match self {
            Refusal::HostStopping
            | Refusal::MessageTooLarge { .. }
            | Refusal::UnknownCaller
            | Refusal::UnknownService { .. }
            | Refusal::ServiceForbidden { .. }
            | Refusal::TooManyCallers { .. } => Severity::Fatal,
            _ => Severity::Error,
        }
    }

    /// Returns the time after which to retry, if a retry can help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::DeadlineTooShort { retry_after, .. }
            | Refusal::Overloaded { retry_after }
            | Refusal::RateLimited { retry_after, .. }
            | Refusal::NoPrimary { retry_after }
            | Refusal::DataTooOld { retry_after, .. }
            | Refusal::PositionNotReached { retry_after, .. }
            | Refusal::NoServer { retry_after }
            | Refusal::KeyBusy { retry_after, .. }
            | Refusal::TooManyCallers { retry_after } => Some(*retry_after),
            Refusal::HostStopping | Refusal::TransactionLost => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// Returns the DETAIL field for programs: `ran=no|unknown|yes`, then `retry_after_ms=N` if a
    /// retry can help.
    pub fn detail(&self) -> String {
        let ran = match self.ran() {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        };
        match self.retry_after() {
            Some(wait) => format!("ran={ran} retry_after_ms={}", millis_up(wait)),
            None => format!("ran={ran}"),
        }
    }

    /// Returns the HINT field for people.
    pub fn hint(&self) -> String {
        match self {
            Refusal::PositionLost { .. } => {
                "The write is gone; the session goes on without it. Check and repeat it.".to_owned()
            }
            Refusal::HostStopping => "Connect again: another entry host answers.".to_owned(),
            Refusal::TransactionLost => "Run the transaction again from its start.".to_owned(),
            Refusal::KeyMismatch { .. } => "Give each request a key of its own.".to_owned(),
            Refusal::BadParameter { .. } => "See the page on session parameters.".to_owned(),
            Refusal::MessageTooLarge { .. } => "Send less at once, or use COPY.".to_owned(),
            Refusal::UnknownCaller => "Check user name and password.".to_owned(),
            Refusal::UnknownService { .. } | Refusal::ServiceForbidden { .. } => {
                "The database name is the name of a service that the caller may use.".to_owned()
            }
            Refusal::OutcomeUnknown { .. } => {
                "Repeat it only with its key, or after a look at the data.".to_owned()
            }
            Refusal::AlreadyRan { .. } => "Do not repeat it; read the data it wrote.".to_owned(),
            Refusal::RuleRefuses { .. } => "Asking again does not help.".to_owned(),
            other => match other.retry_after() {
                Some(wait) => format!("Come back in {} ms.", millis_up(wait)),
                None => String::new(),
            },
        }
    }
}

/// Returns `wait` in milliseconds, rounded up so that no caller retries too early.
fn millis_up(wait: Duration) -> u128 {
    wait.as_micros().div_ceil(1000)
}
