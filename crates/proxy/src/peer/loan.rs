//! Operations that hosts lend to each other, as sent between them.

use std::time::Duration;

use flamingopost_core::limit::{LoanAnswer, LoanRequest};
use serde::{Deserialize, Serialize};

use super::micros;
use super::team::{THOUSAND, thousandths};

/// A request to borrow operations of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLoanRequest {
    /// Name of the team.
    pub team: String,
    needed: u32,
    ahead: u32,
    arrived: u32,
    returned: u32,
}

impl TeamLoanRequest {
    /// Creates the message of `request` for the team called `team`.
    pub fn new(team: String, request: &LoanRequest) -> TeamLoanRequest {
        TeamLoanRequest {
            team,
            needed: request.needed,
            ahead: request.ahead,
            arrived: request.arrived,
            returned: request.returned,
        }
    }

    /// Returns the request of the process `incarnation`, which sent it at `sent`.
    pub fn request(&self, incarnation: u64, sent: u64) -> LoanRequest {
        LoanRequest {
            incarnation,
            sent: Duration::from_nanos(sent),
            needed: self.needed,
            ahead: self.ahead,
            arrived: self.arrived,
            returned: self.returned,
        }
    }
}

/// The answer to a request to borrow operations of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLoan {
    /// Name of the team.
    pub team: String,
    outcome: Outcome,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Outcome {
    Lent {
        operations: u32,
        /// In microseconds, rounded down: an operation must not be used for longer.
        lifetime: u32,
        /// In microseconds.
        retry_after: u32,
        /// In thousandths.
        part: u32,
    },
    Wait {
        /// In microseconds.
        time: u32,
    },
    Unavailable,
}

impl TeamLoan {
    /// Creates the message of `answer` for the team called `team`.
    pub fn new(team: String, answer: &LoanAnswer) -> TeamLoan {
        let outcome = match *answer {
            LoanAnswer::Lent {
                operations,
                lifetime,
                retry_after,
                part,
                ..
            } => Outcome::Lent {
                operations,
                lifetime: short_micros(lifetime),
                retry_after: short_micros(retry_after),
                part: thousandths(part),
            },
            LoanAnswer::Wait { time, .. } => Outcome::Wait {
                time: short_micros(time),
            },
            LoanAnswer::Unavailable { .. } => Outcome::Unavailable,
        };
        TeamLoan { team, outcome }
    }

    /// Returns the answer to the request that was sent at `sent`.
    pub fn answer(&self, sent: u64) -> LoanAnswer {
        let sent = Duration::from_nanos(sent);
        match self.outcome {
            Outcome::Lent {
                operations,
                lifetime,
                retry_after,
                part,
            } => LoanAnswer::Lent {
                sent,
                operations,
                lifetime: Duration::from_micros(u64::from(lifetime)),
                retry_after: Duration::from_micros(u64::from(retry_after)),
                part: f64::from(part) / THOUSAND,
            },
            Outcome::Wait { time } => LoanAnswer::Wait {
                sent,
                time: Duration::from_micros(u64::from(time)),
            },
            Outcome::Unavailable => LoanAnswer::Unavailable { sent },
        }
    }
}

/// Converts a time to microseconds, at most about an hour.
fn short_micros(time: Duration) -> u32 {
    u32::try_from(micros(time)).unwrap_or(u32::MAX)
}
