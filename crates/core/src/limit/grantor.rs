//! Grants the operations of one team to the hosts that ask for them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ANSWER_TIMEOUT, Grant, Limit, Request, SHARE_LIFETIME, Share, increase};
use crate::key::HostKey;

/// Time without a message from a host after which it counts as silent. It is shorter than the time
/// after which such a host uses its share, by more than a request may take to arrive.
const SILENCE: Duration = ANSWER_TIMEOUT.saturating_sub(Duration::from_millis(150));

/// How many times the average share hosts are assumed to hold that this process knows nothing of:
/// some hosts serve more of a team's callers than others.
const UNKNOWN_SHARE_FACTOR: f64 = 2.0;

/// Operations, and part of the burst, that a new grantor grants although an earlier one may have
/// emptied the bucket. After a restart of all hosts, callers come back at once.
const START_OPERATIONS: f64 = 10.0;
const START_BURST: f64 = 0.1;

/// Time until a new grantor grants shares, in which all hosts in contact have asked. One that was cut
/// off before granted itself most of the rate.
const SHARE_DELAY: Duration = Duration::from_secs(1);

/// Part of the burst that shares reserve. The rest is for hosts in contact, wherever callers are.
const SHARED_BURST: f64 = 0.35;

/// Shortest time after which a host that was granted too little asks again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a host that was granted too little asks again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Grants the operations of one team.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::limit::{Grantor, Limit, Request, Share};
///
/// let limit = Limit { per_second: 10, burst: 20 };
/// let (start, now) = (Duration::from_secs(1), Duration::from_secs(2));
/// let mut grantor = Grantor::new(limit, 1, start);
/// let request = Request {
///     incarnation: 1,
///     sent: now,
///     wanted: 15,
///     returned: 0,
///     demand: 4.0,
///     share: Share::default(),
///     issuer: 0,
///     used: 0,
/// };
/// let grant = grantor.grant(HostKey::default(), &request, 0.0, now).expect("in order");
/// assert_eq!(grant.granted, 15, "a few at first, and 10 of the second since");
/// assert_eq!(grant.share.rate, 10.0, "nobody else has asked");
/// ```
#[derive(Debug)]
pub struct Grantor {
    limit: Limit,
    tokens: f64,
    refilled_at: Duration,
    /// Since when this process grants without a break. It knows nothing of shares that were granted
    /// before, unless the hosts have told since.
    since: Duration,
    /// Distinguishes this grantor's shares from those of others.
    term: u32,
    /// Sums of the shares that hosts had when they first asked this one, by the term of the grantor
    /// that had granted them.
    inherited: BTreeMap<u32, f64>,
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
    /// The greatest share that the host may hold, while `limit` is in force.
    share: Share,
    /// The limit at the time of the newest request.
    limit: Limit,
    /// Counts of the newest request.
    returned: u32,
    used: u32,
    /// Operations taken off the bucket for the share since the newest request.
    charged: f64,
    /// Whether the burst of the share is among them.
    is_burst_charged: bool,
    /// What the bucket would hold without them, once there are any.
    uncharged: Option<f64>,
}

impl Holder {
    /// Returns the greatest share that the host may hold while `limit` is in force: hosts lower
    /// their shares with the limit.
    fn share(&self, limit: Limit) -> Share {
        self.share.lowered(self.limit, limit)
    }

    /// Reports whether the host may use its share at `now`.
    fn is_silent(&self, now: Duration) -> bool {
        now >= self.heard_at + SILENCE && now < self.heard_at + SHARE_LIFETIME
    }

    /// Reports whether the host may use its share at any later time.
    fn may_hold(&self, now: Duration) -> bool {
        now < self.heard_at + SHARE_LIFETIME
    }

    /// Returns what the host may have used of its share in the time `passed` until `now` that was
    /// not charged before, and records it as charged. `limit` is the one in force.
    fn charge(&mut self, limit: Limit, passed: f64, now: Duration) -> f64 {
        if !self.is_silent(now) {
            return 0.0;
        }
        let share = self.share(limit);
        let mut charge = share.rate * passed;
        if !std::mem::replace(&mut self.is_burst_charged, true) {
            charge += share.burst;
        }
        self.charged += charge;
        charge
    }
}

impl Grantor {
    /// Creates the grantor of a team, which has granted since `since` and nothing so far. Whoever
    /// granted before may have emptied the bucket.
    ///
    /// `term` distinguishes it from all other grantors of the team, and is not 0.
    pub fn new(limit: Limit, term: u32, since: Duration) -> Grantor {
        let burst = f64::from(limit.burst);
        Grantor {
            limit,
            tokens: (START_OPERATIONS + burst * START_BURST).min(burst),
            refilled_at: since,
            since,
            term,
            inherited: BTreeMap::new(),
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

    /// Records a message of `host` that is no request. The host does not use its share from now on,
    /// if the message is answered. `silent` returns the fraction of all hosts that this process hears
    /// nothing of.
    pub fn record_contact(&mut self, host: HostKey, silent: impl Fn() -> f64, now: Duration) {
        if self.hosts.get(&host).is_some_and(|it| it.is_silent(now)) {
            // Before the host counts as heard: it may have used its share until now.
            self.refill(silent(), now);
        }
        if let Some(holder) = self.hosts.get_mut(&host) {
            holder.heard_at = now;
        }
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
        let known = known.filter(|it| it.incarnation == request.incarnation);
        if known.is_some_and(|it| it.sent >= request.sent) {
            return None;
        }
        // Before the host counts as heard: it may have used its share until now.
        self.refill(silent, now);
        self.settle(host, request, now);
        let (demand, held) = self.others(host, now);
        let rate = f64::from(self.limit.per_second);
        let burst = f64::from(self.limit.burst) * SHARED_BURST;
        let wanted = f64::from(request.wanted);
        let granted = wanted.min((self.tokens - held.burst).max(0.0).floor());
        self.add_tokens(-granted);
        // Shares of earlier grantors that silent hosts hold and those of this one add up, and the
        // next grantor knows of some of them only.
        let free = Share {
            rate: (rate - held.rate - self.unknown_shares(silent, now)).max(0.0),
            burst: (burst.min(self.tokens) - held.burst).max(0.0),
        };
        let share = match now < self.since + SHARE_DELAY {
            true => Share::default(),
            false => self.share(request.demand, demand, free),
        };
        let may_hold = Share {
            rate: share.rate.max(request.share.rate),
            burst: share.burst.max(request.share.burst),
        };
        self.hosts.insert(
            host,
            Holder {
                incarnation: request.incarnation,
                sent: request.sent,
                heard_at: now,
                demand: request.demand,
                share: may_hold,
                limit: self.limit,
                returned: request.returned,
                used: request.used,
                charged: 0.0,
                is_burst_charged: false,
                uncharged: None,
            },
        );
        self.hosts
            .retain(|_, it| it.may_hold(now) && (it.share.rate > 0.0 || it.demand > 0.0));
        Some(Grant {
            sent: request.sent,
            // The cast is exact: at most `wanted`, which is a `u32`.
            granted: granted as u32,
            share,
            issuer: self.term,
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
        let limit = self.limit;
        let charges = self.hosts.iter_mut();
        let charges: Vec<(HostKey, f64)> = charges
            .map(|(host, it)| (*host, it.charge(limit, passed, now)))
            .collect();
        let charged: f64 = charges.iter().map(|(_, charge)| charge).sum();
        let charged = charged.max(self.unknown_shares(silent, now) * passed);
        let burst = f64::from(self.limit.burst.max(1));
        for (host, own) in charges {
            let Some(holder) = self.hosts.get_mut(&host) else {
                continue;
            };
            if holder.uncharged.is_some() || own > 0.0 {
                let level = holder.uncharged.unwrap_or(self.tokens);
                let level = level + passed * rate - (charged - own);
                holder.uncharged = Some(level.min(burst));
            }
        }
        let most = self.most_tokens(None, now);
        self.tokens = (self.tokens + passed * rate - charged).min(most);
    }

    /// Adds operations to the bucket, or takes them off, other than by time.
    fn add_tokens(&mut self, count: f64) {
        self.tokens += count;
        let silent = self.hosts.values_mut();
        for level in silent.filter_map(|it| it.uncharged.as_mut()) {
            *level += count;
        }
    }

    /// Puts back what was taken off for the share of `host` and not used, and operations that have
    /// expired. What a former process of the host has used is not known, so nothing is put back, nor if
    /// a count went backwards.
    ///
    /// The bucket holds no more than if all that was used had been used just now: a host that used
    /// little of its share for long and then all of it got back the former, although a bucket that
    /// is full takes nothing more.
    fn settle(&mut self, host: HostKey, request: &Request, now: Duration) {
        let Some(holder) = self.hosts.get(&host) else {
            if request.share.rate > 0.0 {
                *self.inherited.entry(request.issuer).or_default() += request.share.rate;
            }
            return;
        };
        if holder.incarnation != request.incarnation {
            return;
        }
        let returned = increase(request.returned, holder.returned);
        let used = increase(request.used, holder.used);
        let (Some(returned), Some(used)) = (returned, used) else {
            return;
        };
        let (returned, used) = (f64::from(returned), f64::from(used));
        let unused = holder.charged + returned - used;
        let most = self.most_tokens(Some(host), now);
        let most = holder
            .uncharged
            .map_or(most, |level| most.min(level + returned - used));
        let settled = match unused > 0.0 {
            true => (self.tokens + unused).min(most).max(self.tokens),
            false => self.tokens + unused,
        };
        self.add_tokens(settled - self.tokens);
    }

    /// Returns how many operations the bucket holds at most: the burst, less those parts of it that
    /// silent hosts other than `settled` may still use. They were taken off the bucket once, and
    /// would be refilled otherwise.
    fn most_tokens(&self, settled: Option<HostKey>, now: Duration) -> f64 {
        let holders = self.hosts.iter();
        let silent = holders.filter(|(host, it)| {
            Some(**host) != settled && it.is_burst_charged && it.may_hold(now)
        });
        let held: f64 = silent.map(|(_, it)| it.share(self.limit).burst).sum();
        f64::from(self.limit.burst.max(1)) - held
    }

    /// Returns the sum of the shares that hosts may use which have not asked this process yet and
    /// are silent.
    ///
    /// All shares of an earlier grantor together were within the rate, so the shares of the hosts
    /// that ask tell what the others can hold. If they are of several grantors, they tell nothing. If
    /// there are none, as after a restart of all hosts, a multiple of the average share is assumed.
    fn unknown_shares(&self, silent: f64, now: Duration) -> f64 {
        if now >= self.since + SHARE_LIFETIME {
            return 0.0;
        }
        let rate = f64::from(self.limit.per_second);
        if silent <= 0.0 {
            return 0.0;
        }
        let mut told = self.inherited.values();
        match (told.next(), told.next()) {
            (None, _) => (rate * silent * UNKNOWN_SHARE_FACTOR).min(rate),
            (Some(told), None) => (rate - told).max(0.0),
            (Some(_), Some(_)) => rate,
        }
    }

    /// Returns the demand at the other hosts than `host`, and what their shares may add up to.
    fn others(&self, host: HostKey, now: Duration) -> (f64, Share) {
        let others = self.hosts.iter();
        let others = others.filter(|(other, it)| **other != host && it.may_hold(now));
        let (mut demand, mut held) = (0.0, Share::default());
        for (_, other) in others {
            demand += other.demand;
            let share = other.share(self.limit);
            held.rate += share.rate;
            // That of a silent host is no longer in the bucket.
            if !other.is_burst_charged {
                held.burst += share.burst;
            }
        }
        (demand, held)
    }

    /// Returns the share of a host with `demand`: in proportion to the whole demand, and no more
    /// than is `free`.
    fn share(&self, demand: f64, others: f64, free: Share) -> Share {
        if demand <= 0.0 {
            return Share::default();
        }
        let part = demand / (demand + others);
        let rate = f64::from(self.limit.per_second);
        let burst = f64::from(self.limit.burst) * SHARED_BURST;
        Share {
            rate: (rate * part).min(free.rate),
            burst: (burst * part).min(free.burst),
        }
    }

    /// Returns the time until the bucket holds another operation.
    fn retry_after(&self) -> Duration {
        let rate = f64::from(self.limit.per_second);
        let wait = (1.0 - self.tokens.min(1.0)) / rate;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
