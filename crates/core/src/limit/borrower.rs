//! The operations that a host borrows from other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use super::average::Average;
use super::retry::RetryTimes;
use super::{Admission, LoanAnswer, LoanRequest, OPERATION_LIFETIME, SILENCE_TIMEOUT, Source};
use crate::key::HostKey;

/// Time constant of the moving average of the demand.
const DEMAND_SMOOTHING: Duration = Duration::from_secs(1);

/// Time for which operations are borrowed ahead. Hosts of a zone are near, so it is short: what is
/// borrowed and not used is missing elsewhere.
const BORROW_AHEAD: Duration = Duration::from_millis(200);

/// Shortest interval between requests ahead of need.
const BORROW_INTERVAL: Duration = Duration::from_millis(100);

/// Time after an answer before the next request, if callers wait.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time in addition to the one that a lender has told after which it no longer counts as asking
/// the grantor.
const WAIT_MARGIN: Duration = Duration::from_millis(60);

/// Time for which a host is not asked again that has nothing to lend.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(1);

/// What this host borrows of the limit of one team.
#[derive(Debug)]
pub struct Borrower {
    incarnation: u64,
    /// Operations lent and not yet used, with the end of their lifetime and the host that lent
    /// them.
    lots: Vec<Lot>,
    /// Operations that have expired unused so far, by the host that lent them.
    returned: BTreeMap<HostKey, u32>,
    /// Hosts that have nothing to lend, and until when they are not asked.
    unavailable: BTreeMap<Source, Duration>,
    newest: Option<Sent>,
    /// Until when the lender has nothing to lend.
    exhausted_until: Duration,
    retry_times: RetryTimes,
    /// The part of the demand that the lender can admit.
    part: f64,
    /// Arrivals since the newest request that was answered.
    arrived: u32,
    demand: Average,
}

#[derive(Debug)]
struct Lot {
    operations: u32,
    until: Duration,
    lender: HostKey,
}

/// The newest request.
#[derive(Debug)]
struct Sent {
    lender: HostKey,
    at: Duration,
    arrived: u32,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Unanswered,
    /// The lender has asked the grantor and answers again, until this time.
    Pending(Duration),
    Answered,
}

impl Borrower {
    /// Creates the borrower of a process that is identified by `incarnation`.
    pub fn new(incarnation: u64, now: Duration) -> Borrower {
        Borrower {
            incarnation,
            lots: Vec::new(),
            returned: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            newest: None,
            exhausted_until: Duration::ZERO,
            retry_times: RetryTimes::default(),
            part: 1.0,
            arrived: 0,
            demand: Average::new(DEMAND_SMOOTHING, now),
        }
    }

    /// Removes what was borrowed, when the team is no longer limited. The counts go on, since lenders
    /// compare them with earlier ones of this process.
    pub fn clear(&mut self, now: Duration) {
        *self = Borrower {
            returned: std::mem::take(&mut self.returned),
            ..Borrower::new(self.incarnation, now)
        };
    }

    /// Reports whether it has counted anything that a lender may know of.
    pub fn has_counts(&self) -> bool {
        !self.returned.is_empty()
    }

    /// Counts an operation that a caller asks for, whether it is admitted or not.
    pub fn record_arrival(&mut self, now: Duration) {
        self.demand.record(1, now);
        self.arrived = self.arrived.saturating_add(1);
    }

    /// Reports whether `source` is known to have nothing for this team.
    pub fn is_unavailable(&self, source: Source, now: Duration) -> bool {
        let until = self.unavailable.get(&source);
        until.is_some_and(|until| now < *until)
    }

    /// Records that `source` has nothing for this team.
    pub fn record_unavailable(&mut self, source: Source, now: Duration) {
        self.unavailable.insert(source, now + UNAVAILABLE_TIME);
    }

    /// Decides whether an operation may run at `now` that is to be borrowed from `lender`, and
    /// counts it if so.
    pub fn admit(&mut self, lender: HostKey, now: Duration) -> Admission {
        self.expire(now);
        if let Some(lot) = self.lots.first_mut() {
            lot.operations -= 1;
            if lot.operations == 0 {
                self.lots.remove(0);
            }
            return Admission::Admitted;
        }
        let newest = self.newest.as_ref().filter(|it| it.lender == lender);
        if newest.is_some() && now < self.exhausted_until {
            let rate = self.demand.at(now) * self.part;
            let wait = self.exhausted_until - now;
            let retry_after = self.retry_times.reserve(wait, rate, now);
            return Admission::Refused { retry_after };
        }
        let until = match newest.map(|it| (it.state, it.at)) {
            Some((State::Unanswered, at)) => at + SILENCE_TIMEOUT,
            Some((State::Pending(until), _)) => until,
            Some((State::Answered, _)) | None => now + SILENCE_TIMEOUT,
        };
        if until <= now {
            self.record_unavailable(Source::Lender(lender), now);
        }
        Admission::Wait { until }
    }

    /// Reports whether more operations are to be borrowed, while `waiting` wait.
    pub fn needs(&self, waiting: u32, now: Duration) -> bool {
        waiting > 0 || self.ahead(now) > self.held()
    }

    /// Returns whether a request to `lender` is due at `now`, while `waiting` operations wait for
    /// the answer.
    pub fn is_request_due(&self, lender: HostKey, waiting: u32, now: Duration) -> bool {
        if !self.needs(waiting, now) {
            return false;
        }
        let newest = self.newest.as_ref().filter(|it| it.lender == lender);
        let Some(newest) = newest else {
            return true;
        };
        match newest.state {
            // It is repeated to the next host only: a lost datagram is rare.
            State::Unanswered => now >= newest.at + SILENCE_TIMEOUT,
            State::Pending(until) => now >= until,
            State::Answered => {
                let interval = match waiting > 0 {
                    true => MIN_REQUEST_INTERVAL,
                    false => BORROW_INTERVAL,
                };
                now >= self.exhausted_until.max(newest.at + interval)
            }
        }
    }

    /// Returns the request to send to `lender` now, while `waiting` operations wait for the answer.
    pub fn request(&mut self, lender: HostKey, waiting: u32, now: Duration) -> LoanRequest {
        self.expire(now);
        // Answers are matched by the time.
        let last = self.newest.as_ref().map(|it| it.at);
        if self.newest.as_ref().is_none_or(|it| it.lender != lender) {
            self.exhausted_until = Duration::ZERO;
        }
        let sent = last.map_or(now, |last| now.max(last + Duration::from_nanos(1)));
        self.newest = Some(Sent {
            lender,
            at: sent,
            arrived: self.arrived,
            state: State::Unanswered,
        });
        LoanRequest {
            incarnation: self.incarnation,
            sent,
            needed: waiting,
            ahead: self.ahead(now).saturating_sub(self.held()),
            arrived: self.arrived,
            returned: self.returned.get(&lender).copied().unwrap_or_default(),
        }
    }

    /// Applies an answer of `lender`. Answers to earlier requests and repeated ones are ignored.
    pub fn record_answer(&mut self, lender: HostKey, answer: &LoanAnswer, now: Duration) {
        let newest = self.newest.as_mut();
        let newest = newest.filter(|it| it.lender == lender && it.at == answer.sent());
        let Some(newest) = newest.filter(|it| it.state != State::Answered) else {
            return;
        };
        match *answer {
            LoanAnswer::Wait { time, .. } => {
                newest.state = State::Pending(now + time + WAIT_MARGIN);
                return;
            }
            LoanAnswer::Unavailable { .. } => {
                newest.state = State::Answered;
                self.record_unavailable(Source::Lender(lender), now);
                return;
            }
            LoanAnswer::Lent {
                sent,
                operations,
                lifetime,
                retry_after,
                part,
            } => {
                newest.state = State::Answered;
                self.arrived -= newest.arrived;
                if operations > 0 {
                    let until = sent + lifetime.min(OPERATION_LIFETIME);
                    self.lots.push(Lot {
                        operations,
                        until,
                        lender,
                    });
                }
                self.part = part;
                self.exhausted_until = match retry_after.is_zero() {
                    true => Duration::ZERO,
                    false => now + retry_after,
                };
            }
        }
        if self.exhausted_until.is_zero() {
            self.retry_times.clear();
        }
    }

    /// Returns the number of operations to hold ahead of need.
    fn ahead(&self, now: Duration) -> u32 {
        // The cast cannot overflow: the demand is bounded by what one host receives.
        (self.demand.at(now) * BORROW_AHEAD.as_secs_f64()) as u32
    }

    /// Returns the number of operations that were lent and not yet used.
    fn held(&self) -> u32 {
        self.lots.iter().map(|it| it.operations).sum()
    }

    /// Drops operations whose lifetime has ended.
    fn expire(&mut self, now: Duration) {
        for lot in self.lots.extract_if(.., |it| it.until <= now) {
            let returned = self.returned.entry(lot.lender).or_default();
            *returned = returned.wrapping_add(lot.operations);
        }
        self.unavailable.retain(|_, until| now < *until);
    }
}
