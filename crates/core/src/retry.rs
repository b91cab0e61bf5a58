//! Whether a request that failed is tried again.

pub mod budget;

use std::time::Duration;

use crate::refusal::Ran;
use budget::Budget;

/// First wait before a request is tried again on a server that may be better by then.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// Longest such wait.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// How an attempt failed, sorted by what can help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// This server could not take it: refused, unreachable, or no longer primary.
    ThisServer,
    /// No server can take it just now.
    AllServers,
    /// It is wrong in itself: every attempt fails the same way.
    Permanent,
}

/// One attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Attempts made so far, this one included.
    pub count: u8,
    /// How it failed.
    pub failure: Failure,
    /// Whether it ran.
    pub ran: Ran,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Retries that the rule allows.
    pub retries: u8,
    /// When the request has to be answered.
    pub deadline: Duration,
    /// What one more attempt should take.
    pub expected: Duration,
    /// Random bits, for the wait.
    pub random_bits: u64,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this wait.
    Retry(Duration),
    /// Tell the caller, now.
    GiveUp,
}

/// Decides about one failed attempt; a retry is paid for from `budget`.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::refusal::Ran;
/// use flamingopost_core::retry::{self, Attempt, Failure, RetryDecision};
/// use flamingopost_core::retry::budget::Budget;
///
/// let attempt = Attempt {
///     count: 1,
///     failure: Failure::ThisServer,
///     ran: Ran::Unknown,
///     repeatable: false,
///     retries: 3,
///     deadline: Duration::from_secs(1),
///     expected: Duration::from_millis(5),
///     random_bits: 0,
/// };
/// let mut budget = Budget::retries();
/// assert_eq!(retry::decide(&attempt, &mut budget, Duration::ZERO), RetryDecision::GiveUp);
/// let unsent = Attempt { ran: Ran::No, ..attempt };
/// assert_eq!(
///     retry::decide(&unsent, &mut budget, Duration::ZERO),
///     RetryDecision::Retry(Duration::ZERO)
/// );
/// ```
pub fn decide(attempt: &Attempt, budget: &mut Budget, now: Duration) -> RetryDecision {
    let safe = match attempt.ran {
        Ran::No => true,
        Ran::Unknown => attempt.repeatable,
        Ran::Yes => false,
    };
    let allowed = attempt.count <= attempt.retries && attempt.failure != Failure::Permanent;
    if !safe || !allowed {
        return RetryDecision::GiveUp;
    }
    let wait = backoff(attempt);
    if now + wait + attempt.expected > attempt.deadline || !budget.take() {
        return RetryDecision::GiveUp;
    }
    RetryDecision::Retry(wait)
}

/// Another server is tried at once. Where all are in the same state, the wait doubles and is
/// spread over its upper half, so that hosts do not come back in step.
fn backoff(attempt: &Attempt) -> Duration {
    match attempt.failure {
        Failure::ThisServer if attempt.count == 1 => Duration::ZERO,
        _ => {
            let doubled = MIN_BACKOFF * 2u32.pow(u32::from(attempt.count.min(8)));
            let half = doubled.min(MAX_BACKOFF) / 2;
            half + half.mul_f64((attempt.random_bits % 1024) as f64 / 1024.0)
        }
    }
}
