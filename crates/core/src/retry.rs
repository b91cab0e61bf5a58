//! Decides whether a failed request is retried.

pub mod budget;

use std::time::Duration;

use crate::refusal::Ran;
use budget::Budget;

/// Base of the backoff before a retry when all servers are in the same state.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// Longest backoff before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// How an attempt failed, by what may help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// This server could not take the request: it refused, was unreachable, or is no longer the
    /// primary. Another server may take it.
    ThisServer,
    /// No server can take the request now. It may succeed later.
    AllServers,
    /// The request itself is wrong: every attempt fails in the same way.
    Permanent,
}

/// One attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Number of attempts made so far, including this one.
    pub count: u8,
    /// How it failed.
    pub failure: Failure,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether the request is idempotent, so that it may run more than once.
    pub repeatable: bool,
    /// Number of retries that the rule allows.
    pub retries: u8,
    /// Time by which the request has to be answered.
    pub deadline: Duration,
    /// Expected latency of one more attempt.
    pub expected: Duration,
    /// Random bits for the jitter of the backoff.
    pub random_bits: u64,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this backoff.
    Retry(Duration),
    /// Report the failure to the caller now.
    GiveUp,
}

/// Returns what to do after a failed attempt. A retry takes a token from `budget`.
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

/// Returns the backoff before the next attempt.
///
/// Another server is tried at once. If all servers are in the same state, the backoff doubles with
/// each attempt and is jittered over its upper half, so that hosts do not retry in step.
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
