//! Grants the operations of one team to the hosts that ask for them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ANSWER_TIMEOUT, Grant, Limit, Request, SHARE_LIFETIME};
use crate::key::HostKey;

/// Time without a request from a host after which it counts as silent. It is shorter than the time
/// after which such a host uses its share, by more than a request may take to arrive.
const SILENCE: Duration = ANSWER_TIMEOUT.saturating_sub(Duration::from_millis(150));

/// How many times the average share hosts are assumed to hold that this process knows nothing of:
/// some hosts serve more of a team's callers than others.
const UNKNOWN_SHARE_FACTOR: f64 = 2.0;

/// Shortest time after which a host that was granted too little asks again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a host that was granted too little asks again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Grants the operations of one team.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::limit::{Grantor, Limit, Request};
///
/// let limit = Limit { per_second: 10, burst: 20 };
/// let (start, now) = (Duration::from_secs(1), Duration::from_secs(2));
/// let mut grantor = Grantor::new(limit, start);
/// let request = Request {
///     incarnation: 1,
///     sent: now,
///     wanted: 15,
///     returned: 0,
///     demand: 4.0,
///     share: 0.0,
/// };
/// let grant = grantor.grant(HostKey::default(), &request, 0.0, now).expect("in order");
/// assert_eq!(grant.granted, 10, "the bucket was empty a second ago");
/// assert_eq!(grant.share, 4.0);
/// ```
#[derive(Debug)]
pub struct Grantor {
    limit: Limit,
    tokens: f64,
    refilled_at: Duration,
    /// Since when this process grants without a break. It knows nothing of shares that were granted
    /// before, unless the hosts have told since.
    since: Duration,
    hosts: BTreeMap<HostKey, Holder>,
}

/// A host that has asked for operations.
#[derive(Debug)]
struct Holder {
    incarnation: u64,
    /// Send time of the newest request, by the clock of the asking host.
    sent: Duration,
    heard_at: Duration,
    demand: f64,
    /// The greatest share that the host may hold.
    share: f64,
}

impl Holder {
    /// Reports whether the host may use its share at `now`.
    fn is_silent(&self, now: Duration) -> bool {
        now >= self.heard_at + SILENCE && now < self.heard_at + SHARE_LIFETIME
    }

    /// Reports whether the host may use its share at any later time.
    fn may_hold(&self, now: Duration) -> bool {
        now < self.heard_at + SHARE_LIFETIME
    }
}

impl Grantor {
    /// Creates the grantor of a team, which has granted since `since` and nothing so far. Whoever
    /// granted before may have emptied the bucket.
    pub fn new(limit: Limit, since: Duration) -> Grantor {
        Grantor {
            limit,
            tokens: 0.0,
            refilled_at: since,
            since,
            hosts: BTreeMap::new(),
        }
    }

    /// Returns since when this process grants.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        self.tokens = self.tokens.min(f64::from(limit.burst));
    }

    /// Answers a request of `host`. `silent` is the fraction of all hosts that this process hears
    /// nothing of. Returns `None` if the request is older than one that was answered.
    pub fn grant(
        &mut self,
        host: HostKey,
        request: &Request,
        silent: f64,
        now: Duration,
    ) -> Option<Grant> {
        let known = self.hosts.get(&host);
        let restarted = known.is_none_or(|it| it.incarnation != request.incarnation);
        if !restarted && known.is_some_and(|it| it.sent >= request.sent) {
            return None;
        }
        // Before the host counts as heard: it may have used its share until now.
        self.refill(silent, now);
        let burst = f64::from(self.limit.burst);
        if !restarted {
            self.tokens = (self.tokens + f64::from(request.returned)).min(burst);
        }
        let wanted = f64::from(request.wanted);
        let granted = wanted.min(self.tokens.max(0.0).floor());
        self.tokens -= granted;
        let share = self.share(host, request, now);
        self.hosts.insert(
            host,
            Holder {
                incarnation: request.incarnation,
                sent: request.sent,
                heard_at: now,
                demand: request.demand,
                share: share.max(request.share),
            },
        );
        self.hosts
            .retain(|_, it| it.may_hold(now) && (it.share > 0.0 || it.demand > 0.0));
        Some(Grant {
            sent: request.sent,
            // The cast is exact: at most `wanted`, which is a `u32`.
            granted: granted as u32,
            share,
            retry_after: match granted < wanted {
                true => self.retry_after(),
                false => Duration::ZERO,
            },
        })
    }

    /// Adds what the rate allows since the last time, less what silent hosts may have used.
    fn refill(&mut self, silent: f64, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let rate = f64::from(self.limit.per_second);
        let used = self.hosts.values().filter(|it| it.is_silent(now));
        let used: f64 = used.map(|it| it.share).sum();
        let unknown = match now < self.since + SHARE_LIFETIME {
            true => rate * (silent * UNKNOWN_SHARE_FACTOR).min(1.0),
            false => 0.0,
        };
        let refill = rate - used.max(unknown);
        let burst = f64::from(self.limit.burst.max(1));
        self.tokens = (self.tokens + passed * refill.max(0.0)).min(burst);
    }

    /// Returns the share of `host`: its part of the demand, and no more than the shares of other
    /// hosts leave.
    fn share(&self, host: HostKey, request: &Request, now: Duration) -> f64 {
        let others = self
            .hosts
            .iter()
            .filter(|(other, it)| **other != host && it.may_hold(now));
        let (mut demand, mut held) = (request.demand, 0.0);
        for (_, other) in others {
            demand += other.demand;
            held += other.share;
        }
        let rate = f64::from(self.limit.per_second);
        let part = match demand > rate {
            true => request.demand * rate / demand,
            false => request.demand,
        };
        part.min((rate - held).max(0.0))
    }

    /// Returns the time until the bucket holds another operation.
    fn retry_after(&self) -> Duration {
        let rate = f64::from(self.limit.per_second);
        let wait = (1.0 - self.tokens.min(1.0)) / rate;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
