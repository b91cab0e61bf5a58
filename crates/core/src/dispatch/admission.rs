//! Refusal of requests that cannot start before their deadline, and when their callers come back.

use std::time::Duration;

use super::{Action, Dispatch, Need, ServerState, Ticket, Unserved};

/// How many times as fast as observed the requests ahead may run before a request counts as
/// unservable.
///
/// A refused caller has spent one of its few attempts, while a request that waits may still run. So
/// the estimate has to err on the side of waiting.
const CAUTION: u32 = 2;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Longest such time: what the shortest deadline, 1,200 ms, leaves after a timeout of 800 ms.
const MAX_RETRY: Duration = Duration::from_millis(400);

/// Time between two refused callers where it is not known how fast requests start.
const UNKNOWN_PACE: Duration = Duration::from_millis(10);

/// Fractional part of the golden ratio, in millionths. Its multiples modulo one are spread evenly,
/// however many there are.
const GOLDEN_MILLIONTHS: u64 = 618_034;

/// Mean time between the starts of two waiting requests, for each kind of need.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    leader: Option<Duration>,
    position: Option<Duration>,
}

/// Waiting requests that go first, for each kind of need.
#[derive(Debug, Clone, Copy, Default)]
struct Ahead {
    leader: u32,
    position: u32,
}

impl Pace {
    fn of(self, need: Need) -> Option<Duration> {
        match need {
            Need::Leader => self.leader,
            Need::Position { .. } => self.position,
        }
    }
}

impl Ahead {
    fn of(&mut self, need: Need) -> &mut u32 {
        match need {
            Need::Leader => &mut self.leader,
            Need::Position { .. } => &mut self.position,
        }
    }
}

impl Dispatch {
    /// Refuses the requests of `waiting`, which is in the order of service, whose deadline has
    /// passed or that cannot start before it.
    pub(super) fn refuse_unservable(
        &mut self,
        waiting: &mut Vec<Ticket>,
        now: Duration,
    ) -> Vec<Action> {
        let pace = self.pace(now);
        let mut ahead = Ahead::default();
        let mut refused = Vec::new();
        waiting.retain(|ticket| {
            let is_servable = self.is_servable(ticket, now);
            let before = ahead.of(ticket.need);
            let wait = match is_servable {
                true => pace.of(ticket.need).unwrap_or_default() * *before,
                false => Duration::ZERO,
            };
            if now + wait / CAUTION >= ticket.deadline {
                refused.push((ticket.clone(), wait));
                return false;
            }
            *before += u32::from(is_servable);
            true
        });
        let refuse = |(ticket, wait): (Ticket, Duration)| Action::Refuse {
            ticket: ticket.id,
            reason: match self.unserved(&ticket, now) {
                Unserved::Busy { .. } => Unserved::Busy {
                    retry_after: self.retry_after(wait, pace.of(ticket.need), now),
                },
                reason => reason,
            },
        };
        refused.into_iter().map(refuse).collect()
    }

    /// Returns whether a server may serve `ticket` once it has a free connection.
    ///
    /// It is not known when a ticket can start that no server may serve, and others do not wait for
    /// it.
    fn is_servable(&self, ticket: &Ticket, now: Duration) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|(key, server)| self.may_serve(ticket, *key, server, now))
    }

    /// Returns after which time a refused caller should come back: after all those that were told
    /// before it, or, where that is later than [`MAX_RETRY`], at any time within the bounds.
    fn retry_after(&mut self, wait: Duration, pace: Option<Duration>, now: Duration) -> Duration {
        let at = self.last_retry_at.max(now + MIN_RETRY + wait);
        if at > now + MAX_RETRY {
            return self.spread_retry();
        }
        self.last_retry_at = at + pace.unwrap_or(UNKNOWN_PACE).min(MAX_RETRY);
        at - now
    }

    /// Returns a time between [`MIN_RETRY`] and [`MAX_RETRY`], spread evenly among those that
    /// were returned before.
    fn spread_retry(&mut self) -> Duration {
        self.spread_retries = self.spread_retries.wrapping_add(1);
        let part = u64::from(self.spread_retries) * GOLDEN_MILLIONTHS % 1_000_000;
        let part = u32::try_from(part).unwrap_or_default();
        MIN_RETRY + (MAX_RETRY - MIN_RETRY) * part / 1_000_000
    }

    /// Returns the pace at which waiting requests start, or `None` where it is not known: no
    /// primary, a hold, no open connection, or too few answers lately. A request waits then, because
    /// each of these may end at any moment.
    fn pace(&self, now: Duration) -> Pace {
        let leader = self.leader.filter(|_| !self.is_on_hold(now));
        let leader = leader.and_then(|key| self.servers.get(&key)?.starts_per_second(now));
        let serving = self.servers.values();
        let serving = serving.filter(|server| server.state == ServerState::Serving);
        let position: f64 = serving.filter_map(|it| it.starts_per_second(now)).sum();
        let interval = |rate: f64| Duration::from_secs_f64(1.0 / rate);
        Pace {
            leader: leader.map(interval),
            position: (position > 0.0).then(|| interval(position)),
        }
    }
}
