//! What one host may use of a team's limit.

use std::time::Duration;

use super::average::Average;
use super::retry::RetryTimes;
use super::{ANSWER_TIMEOUT, Grant, Limit, OPERATION_LIFETIME, Request, SHARE_LIFETIME, Share};

mod loan;

pub use loan::Loan;

/// Interval between requests while callers ask for operations, by which shares follow the demand.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest interval between requests ahead of need.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which an unanswered request is repeated. Several round trips between zones.
const REPEAT_AFTER: Duration = Duration::from_millis(60);

/// Time after an answer before the next request, if callers wait.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Time constant of the moving average of the demand by which operations are requested ahead.
const DEMAND_SMOOTHING: Duration = Duration::from_millis(1_000);

/// Time constant of the moving average of the demand by which shares are granted. It is longer than
/// the pauses of a team's few callers at one host.
const USUAL_DEMAND_SMOOTHING: Duration = Duration::from_secs(5);

/// Demand, in operations per second, below which a host gives up its share.
const NO_DEMAND: f64 = 0.05;

/// Time for which operations are requested ahead.
const PREFETCH: Duration = Duration::from_millis(400);

/// Time after a limit was lowered for which a grantor may still grant shares of the former one:
/// hosts apply a configuration within a second, and a delayed answer takes less than another.
const LOWERING_TIME: Duration = Duration::from_secs(5);

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
/// use flamingopost_core::limit::{Account, Admission, Grant, Share};
///
/// let now = Duration::from_secs(1);
/// let mut account = Account::new(7, now);
/// account.record_arrival(now);
/// assert!(matches!(account.admit(None, now), Admission::Wait { .. }));
/// let request = account.request(1, now);
/// let grant = Grant {
///     sent: request.sent,
///     granted: 2,
///     share: Share { rate: 1.0, burst: 1.0 },
///     issuer: 1,
///     retry_after: Duration::ZERO,
/// };
/// account.record_grant(&grant, now);
/// assert_eq!(account.admit(None, now), Admission::Admitted);
/// ```
#[derive(Debug)]
pub struct Account {
    incarnation: u64,
    /// The limit in force, once it is known.
    limit: Option<Limit>,
    /// The greatest share to accept after the limit was lowered, and until when.
    lowered: Option<(Share, Duration)>,
    /// Operations granted and not yet used, with the end of their lifetime.
    granted: Vec<(u32, Duration)>,
    /// Number of operations that have expired so far.
    expired: u32,
    /// What this host may admit while the grantor is silent.
    share: Share,
    /// The term of the grantor that granted the share.
    issuer: u32,
    /// Operations that the share admits at once.
    share_tokens: f64,
    share_refilled_at: Duration,
    /// Number of operations admitted from shares so far.
    share_used: u32,
    /// When the newest request that was answered was sent.
    answered_at: Option<Duration>,
    /// When the newest request was sent.
    sent_at: Option<Duration>,
    /// When the first request was sent that has not been answered, nor any after it.
    unanswered_since: Option<Duration>,
    /// Until when the grantor has nothing to grant.
    exhausted_until: Duration,
    /// Times at which callers that were refused may expect an operation.
    retry_times: RetryTimes,
    /// Moving averages of the operations per second that callers ask for: over a short and a long
    /// time.
    demand: Average,
    usual_demand: Average,
}

impl Account {
    /// Creates the account of a process that is identified by `incarnation`.
    pub fn new(incarnation: u64, now: Duration) -> Account {
        Account {
            incarnation,
            limit: None,
            lowered: None,
            granted: Vec::new(),
            expired: 0,
            share: Share::default(),
            issuer: 0,
            share_tokens: 0.0,
            share_refilled_at: now,
            share_used: 0,
            answered_at: None,
            sent_at: None,
            unanswered_since: None,
            exhausted_until: Duration::ZERO,
            retry_times: RetryTimes::default(),
            demand: Average::new(DEMAND_SMOOTHING, now),
            usual_demand: Average::new(USUAL_DEMAND_SMOOTHING, now),
        }
    }

    /// Removes what the account holds, when its team is no longer limited. The counts go on, since
    /// grantors compare them with earlier ones of this process.
    pub fn clear(&mut self, now: Duration) {
        *self = Account {
            expired: self.expired,
            share_used: self.share_used,
            ..Account::new(self.incarnation, now)
        };
    }

    /// Reports whether it has counted anything that a grantor may know of.
    pub fn has_counts(&self) -> bool {
        self.expired > 0 || self.share_used > 0
    }

    /// Sets the limit in force. The share falls with it: the grantor may not be heard, and the shares
    /// of all hosts together would exceed the lower limit.
    ///
    /// The grantor may apply a lower limit later than this host, so no greater share than the
    /// lowered one is accepted for a few seconds.
    pub fn set_limit(&mut self, limit: Limit, now: Duration) {
        let former = self.limit.replace(limit).unwrap_or(limit);
        self.share = self.share.lowered(former, limit);
        if limit.per_second < former.per_second || limit.burst < former.burst {
            self.lowered = Some((self.share, now + LOWERING_TIME));
        }
        self.share_tokens = self.share_tokens.min(self.share.burst.max(1.0));
    }

    /// Returns the share of this host.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the time since the last request that was answered.
    pub fn answer_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.answered_at?))
    }

    /// Counts an operation that a caller asks for, whether it is admitted or not.
    pub fn record_arrival(&mut self, now: Duration) {
        self.record_arrivals(1, now);
    }

    /// Counts operations that callers of this host or of a borrower ask for.
    pub fn record_arrivals(&mut self, count: u32, now: Duration) {
        self.demand.record(count, now);
        self.usual_demand.record(count, now);
    }

    /// Counts operations that were lent and have expired unused.
    pub fn record_returned(&mut self, count: u32) {
        self.expired = self.expired.wrapping_add(count);
    }

    /// Returns the part of the demand that the share can admit.
    pub fn admitted_part(&self, now: Duration) -> f64 {
        let demand = self.usual_demand.at(now).max(NO_DEMAND);
        (self.share.rate / demand).min(1.0)
    }

    /// Decides whether an operation may run at `now`, and counts it if so. `contact` is when the
    /// newest message was sent, of whatever kind, that the grantor of the share has answered.
    pub fn admit(&mut self, contact: Option<Duration>, now: Duration) -> Admission {
        self.expire(now);
        if let Some((count, _)) = self.granted.first_mut() {
            *count -= 1;
            if *count == 0 {
                self.granted.remove(0);
            }
            return Admission::Admitted;
        }
        let until = self.share_used_from(contact, now);
        if now < until {
            return match now < self.exhausted_until {
                true => self.refuse(self.exhausted_until - now, now),
                false => Admission::Wait { until },
            };
        }
        self.admit_from_share(now)
    }

    /// Returns from when on the share is used unless an answer arrives.
    fn share_used_from(&self, contact: Option<Duration>, now: Duration) -> Duration {
        let contact = contact.max(self.answered_at);
        let asked_at = self.unanswered_since.unwrap_or(now);
        contact.map_or(asked_at, |contact| contact.min(asked_at)) + ANSWER_TIMEOUT
    }

    fn has_share(&self, now: Duration) -> bool {
        let is_valid = self.answered_at.is_some_and(|at| now < at + SHARE_LIFETIME);
        is_valid && self.share.rate > 0.0
    }

    /// Decides whether an operation may run while the grantor is silent.
    fn admit_from_share(&mut self, now: Duration) -> Admission {
        if !self.has_share(now) {
            return self.refuse(ANSWER_TIMEOUT, now);
        }
        match self.take_from_share(now) {
            Ok(()) => Admission::Admitted,
            Err(wait) => self.refuse(wait, now),
        }
    }

    /// Takes an operation from the share, or returns the time until there is one.
    fn take_from_share(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.share_refilled_at).as_secs_f64();
        let most = self.share.burst.max(1.0);
        self.share_tokens = (self.share_tokens + passed * self.share.rate).min(most);
        self.share_refilled_at = now;
        if self.share_tokens >= 1.0 {
            self.share_tokens -= 1.0;
            self.share_used = self.share_used.wrapping_add(1);
            return Ok(());
        }
        let wait = (1.0 - self.share_tokens) / self.share.rate;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(SHARE_LIFETIME))
    }

    fn refuse(&mut self, wait: Duration, now: Duration) -> Admission {
        let retry_after = self.retry_times.reserve(wait, self.share.rate, now);
        Admission::Refused { retry_after }
    }

    /// Returns whether a request to the grantor is due at `now`, or within `early`, while `waiting`
    /// operations wait for the answer.
    pub fn is_request_due(&self, waiting: u32, early: Duration, now: Duration) -> bool {
        let usual = self.usual_demand.at(now);
        let is_used = waiting > 0 || usual > NO_DEMAND || self.share.rate > 0.0;
        is_used && now + early >= self.next_request_at(waiting, now)
    }

    /// Returns the request to send to the grantor now, while `waiting` operations wait for the
    /// answer.
    pub fn request(&mut self, waiting: u32, now: Duration) -> Request {
        self.expire(now);
        let wanted = self
            .ahead(now)
            .saturating_add(waiting)
            .saturating_sub(self.held());
        let usual = self.usual_demand.at(now);
        self.sent_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        Request {
            incarnation: self.incarnation,
            sent: now,
            wanted,
            returned: self.expired,
            demand: match usual > NO_DEMAND {
                true => usual,
                false => 0.0,
            },
            share: self.share,
            issuer: self.issuer,
            used: self.share_used,
        }
    }

    /// Returns the number of operations to hold ahead of need.
    fn ahead(&self, now: Duration) -> u32 {
        // The cast cannot overflow: the demand is bounded by what the hosts of a zone receive.
        (self.demand.at(now) * PREFETCH.as_secs_f64()) as u32
    }

    /// Returns the number of operations that were granted and not yet used.
    fn held(&self) -> u32 {
        self.granted.iter().map(|(count, _)| count).sum()
    }

    /// Returns when the next request is due.
    fn next_request_at(&self, waiting: u32, now: Duration) -> Duration {
        let Some(sent_at) = self.sent_at else {
            return Duration::ZERO;
        };
        let is_answered = self.answered_at == Some(sent_at);
        match (is_answered, waiting > 0) {
            (false, _) => sent_at + REPEAT_AFTER,
            (true, true) => self.exhausted_until.max(sent_at + MIN_REQUEST_INTERVAL),
            (true, false) if self.ahead(now) > self.held() => sent_at + PREFETCH_INTERVAL,
            (true, false) => sent_at + REQUEST_INTERVAL,
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
        if self.exhausted_until.is_zero() {
            self.retry_times.clear();
        }
        self.share = self.accepted(grant.share, now);
        self.issuer = grant.issuer;
        self.share_tokens = self.share.burst;
        self.share_refilled_at = grant.sent + ANSWER_TIMEOUT;
    }

    /// Returns what this host may use of a share that a grantor has granted, which may know a
    /// former limit only.
    fn accepted(&self, mut share: Share, now: Duration) -> Share {
        if let Some(limit) = self.limit {
            share.rate = share.rate.min(f64::from(limit.per_second));
            share.burst = share.burst.min(f64::from(limit.burst));
        }
        match self.lowered {
            Some((most, until)) if now < until => Share {
                rate: share.rate.min(most.rate),
                burst: share.burst.min(most.burst),
            },
            _ => share,
        }
    }

    /// Drops operations that were granted too long ago.
    fn expire(&mut self, now: Duration) {
        let expired = self.granted.extract_if(.., |(_, until)| *until <= now);
        let expired: u32 = expired.map(|(count, _)| count).sum();
        self.expired = self.expired.wrapping_add(expired);
    }
}
