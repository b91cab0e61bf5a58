//! Routing and consistency of the requests to one database.

use std::time::Duration;

/// Handling of the requests to one database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service that answers the requests.
    pub service: String,
    /// Consistency of reads.
    pub consistency: Consistency,
    /// Time limit of a statement.
    pub timeout: Duration,
    /// Target time in which an operation should be answered.
    pub goal: Duration,
    /// Priority. Requests with a lower number are served first.
    pub priority: u8,
    /// Whether callers need no API key.
    pub anonymous: bool,
}

/// Consistency of reads: which writes they must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// All previously acknowledged writes.
    Primary,
    /// All writes acknowledged longer ago than this.
    Bounded(Duration),
    /// The session's own writes, and all writes acknowledged longer ago than this.
    Session(Duration),
}

impl Consistency {
    /// Returns the maximum age of the data, or `None` if only current data is acceptable.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            Consistency::Primary => None,
            Consistency::Bounded(age) | Consistency::Session(age) => Some(age),
        }
    }
}
