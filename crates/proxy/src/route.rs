//! How the requests to one database are treated.

use std::time::Duration;

/// How the requests to one database are treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service that answers them.
    pub service: String,
    /// What reads have to see.
    pub consistency: Consistency,
    /// How long one statement may take.
    pub timeout: Duration,
    /// Within which time an operation should be answered.
    pub goal: Duration,
    /// Requests with a lower number go first.
    pub priority: u8,
}

/// What reads have to see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Everything acknowledged before.
    Primary,
    /// Everything acknowledged longer ago than this.
    Bounded(Duration),
    /// The session's own writes, and everything acknowledged longer ago than this.
    Session(Duration),
}

impl Consistency {
    /// How old data may be; `None` when only current data will do.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            Consistency::Primary => None,
            Consistency::Bounded(age) | Consistency::Session(age) => Some(age),
        }
    }
}
