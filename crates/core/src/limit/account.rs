//! What one host may use of a team's limit.

use std::time::Duration;

use super::{ANSWER_TIMEOUT, Grant, OPERATION_LIFETIME, Request, SHARE_LIFETIME};

/// Interval between requests while callers ask for operations.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an unanswered request is repeated. Several round trips between zones.
const REPEAT_AFTER: Duration = Duration::from_millis(60);

/// Time after an answer before the next request, if callers wait.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Time constant of the moving average of the demand.
const DEMAND_SMOOTHING: Duration = Duration::from_millis(1_000);

/// Demand, in operations per second, below which a host gives up its share.
const NO_DEMAND: f64 = 0.05;

/// Time for which operations are requested ahead.
const PREFETCH: Duration = Duration::from_millis(400);

/// Shortest time after which a caller that was refused may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a caller that was refused may come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Whether an operation may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// It has to wait for an answer of the grantor, until this time at the longest.
    Wait {
        /// Time at which to ask again if no answer has arrived.
        until: Duration,
    },
    /// It must not run.
    Refused {
        /// Time after which the next operation will be within the limit.
        retry_after: Duration,
    },
}

/// What this host may use of the limit of one team.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::limit::{Account, Admission, Grant};
///
/// let now = Duration::from_secs(1);
/// let mut account = Account::new(7, now);
/// account.record_arrival(now);
/// assert!(matches!(account.admit(now), Admission::Wait { .. }));
/// let request = account.request(1, now).expect("a caller waits");
/// let grant = Grant {
///     sent: request.sent,
///     granted: 2,
///     share: 1.0,
///     retry_after: Duration::ZERO,
/// };
/// account.record_grant(&grant, now);
/// assert_eq!(account.admit(now), Admission::Admitted);
/// ```
#[derive(Debug)]
pub struct Account {
    incarnation: u64,
    /// Operations granted and not yet used, with the end of their lifetime.
    granted: Vec<(u32, Duration)>,
    /// Operations that have expired since the last request.
    expired: u32,
    /// Operations per second that this host may admit while the grantor is silent.
    share: f64,
    /// Operations that the share admits at once.
    share_tokens: f64,
    share_refilled_at: Duration,
    /// When the newest request that was answered was sent.
    answered_at: Option<Duration>,
    /// When the newest request was sent.
    sent_at: Option<Duration>,
    /// When the first request was sent that has not been answered, nor any after it.
    unanswered_since: Option<Duration>,
    /// Until when the grantor has nothing to grant.
    exhausted_until: Duration,
    /// Moving average of the operations per second that callers ask for.
    demand: f64,
    demand_at: Duration,
}

impl Account {
    /// Creates the account of a process that is identified by `incarnation`.
    pub fn new(incarnation: u64, now: Duration) -> Account {
        Account {
            incarnation,
            granted: Vec::new(),
            expired: 0,
            share: 0.0,
            share_tokens: 0.0,
            share_refilled_at: now,
            answered_at: None,
            sent_at: None,
            unanswered_since: None,
            exhausted_until: Duration::ZERO,
            demand: 0.0,
            demand_at: now,
        }
    }

    /// Returns the share of this host, in operations per second.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the time since the last request that was answered.
    pub fn answer_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.answered_at?))
    }

    /// Counts an operation that a caller asks for, whether it is admitted or not.
    pub fn record_arrival(&mut self, now: Duration) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_SMOOTHING.as_secs_f64();
    }

    fn decay_demand(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand *= (-passed / DEMAND_SMOOTHING.as_secs_f64()).exp();
        self.demand_at = now;
    }

    /// Decides whether an operation may run at `now`, and counts it if so.
    pub fn admit(&mut self, now: Duration) -> Admission {
        self.expire(now);
        if let Some((count, _)) = self.granted.first_mut() {
            *count -= 1;
            if *count == 0 {
                self.granted.remove(0);
            }
            return Admission::Admitted;
        }
        let until = self.unanswered_since.unwrap_or(now) + ANSWER_TIMEOUT;
        if now < until {
            return match now < self.exhausted_until {
                true => refuse(self.exhausted_until - now),
                false => Admission::Wait { until },
            };
        }
        self.admit_from_share(now)
    }

    /// Decides whether an operation may run while the grantor is silent.
    fn admit_from_share(&mut self, now: Duration) -> Admission {
        let valid = self.answered_at.is_some_and(|at| now < at + SHARE_LIFETIME);
        if !valid || self.share <= 0.0 {
            return refuse(ANSWER_TIMEOUT);
        }
        let passed = now.saturating_sub(self.share_refilled_at).as_secs_f64();
        let most = (self.share * OPERATION_LIFETIME.as_secs_f64()).max(1.0);
        self.share_tokens = (self.share_tokens + passed * self.share).min(most);
        self.share_refilled_at = now;
        if self.share_tokens >= 1.0 {
            self.share_tokens -= 1.0;
            return Admission::Admitted;
        }
        let wait = (1.0 - self.share_tokens) / self.share;
        refuse(Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER))
    }

    /// Returns the request to send to the grantor now, if one is due, while `waiting` operations
    /// wait for the answer.
    pub fn request(&mut self, waiting: u32, now: Duration) -> Option<Request> {
        self.expire(now);
        self.decay_demand(now);
        let is_used = waiting > 0 || self.demand > NO_DEMAND || self.share > 0.0;
        if !is_used || now < self.next_request_at(waiting) {
            return None;
        }
        let held: u32 = self.granted.iter().map(|(count, _)| count).sum();
        // The cast cannot overflow: the demand is bounded by what one host receives.
        let ahead = (self.demand * PREFETCH.as_secs_f64()).round() as u32;
        self.sent_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        Some(Request {
            incarnation: self.incarnation,
            sent: now,
            wanted: (ahead + waiting).saturating_sub(held),
            returned: std::mem::take(&mut self.expired),
            demand: if self.demand > NO_DEMAND {
                self.demand
            } else {
                0.0
            },
            share: self.share,
        })
    }

    /// Returns when the next request is due.
    fn next_request_at(&self, waiting: u32) -> Duration {
        let Some(sent_at) = self.sent_at else {
            return Duration::ZERO;
        };
        let is_answered = self.answered_at == Some(sent_at);
        match (is_answered, waiting > 0) {
            (false, true) => sent_at + REPEAT_AFTER,
            (true, true) => self.exhausted_until.max(sent_at + MIN_REQUEST_INTERVAL),
            (_, false) => sent_at + REQUEST_INTERVAL,
        }
    }

    /// Applies the answer to the newest request. Answers to earlier ones are ignored, because the
    /// grantor assumes so.
    pub fn record_grant(&mut self, grant: &Grant, now: Duration) {
        if self.sent_at != Some(grant.sent) || self.answered_at == Some(grant.sent) {
            return;
        }
        self.answered_at = Some(grant.sent);
        self.unanswered_since = None;
        if grant.granted > 0 {
            let until = grant.sent + OPERATION_LIFETIME;
            self.granted.push((grant.granted, until));
        }
        self.exhausted_until = match grant.retry_after.is_zero() {
            true => Duration::ZERO,
            false => now + grant.retry_after,
        };
        self.share = grant.share;
        self.share_tokens = 0.0;
        self.share_refilled_at = grant.sent + ANSWER_TIMEOUT;
    }

    /// Drops operations that were granted too long ago.
    fn expire(&mut self, now: Duration) {
        let expired = self.granted.extract_if(.., |(_, until)| *until <= now);
        self.expired += expired.map(|(count, _)| count).sum::<u32>();
    }
}

fn refuse(retry_after: Duration) -> Admission {
    Admission::Refused {
        retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
