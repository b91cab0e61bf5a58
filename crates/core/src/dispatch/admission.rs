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

/// Time after servers have stopped counting the connections of a host's former process until the pace
/// of its requests says how fast servers are.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Part of the time left until the goal that a request may wait in an overloaded service. The rest
/// allows for others that take longer than usual.
const WAIT_DIVISOR: u32 = 2;

/// Number of requests that may wait in any case, for each kind of need. It keeps the servers busy until
/// the next one arrives.
const MIN_QUEUE: u32 = 1;

/// Time between the starts of two waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// Not known: no primary, a hold, no open connection, or too few answers lately. A request waits
    /// then, because each of these may end at any moment.
    Unknown,
    /// What servers allow at best. Requests may start [`CAUTION`] times as fast.
    AtBest(Duration),
    /// As measured while requests have waited for long.
    Measured(Duration),
}

/// The same for each kind of need.
#[derive(Debug, Clone, Copy)]
struct Paces {
    leader: Pace,
    position: Pace,
}

/// Waiting requests that go first, for each kind of need.
#[derive(Debug, Clone, Copy, Default)]
struct Ahead {
    leader: u32,
    position: u32,
}

impl Pace {
    fn new(measured: Option<Duration>, at_best: Option<Duration>) -> Pace {
        match (measured, at_best) {
            (Some(pace), _) => Pace::Measured(pace),
            (None, Some(pace)) => Pace::AtBest(pace),
            (None, None) => Pace::Unknown,
        }
    }

    fn interval(self) -> Option<Duration> {
        match self {
            Pace::Unknown => None,
            Pace::AtBest(pace) | Pace::Measured(pace) => Some(pace),
        }
    }

    /// Returns when a request starts at the earliest behind `before` others.
    fn wait(self, before: u32) -> Duration {
        self.interval().unwrap_or_default() * before
    }
}

impl Paces {
    fn of(self, need: Need) -> Pace {
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
    /// Refuses the requests of `waiting`, which is in the order of service, whose deadline has passed or
    /// that would wait too long.
    pub(super) fn refuse_unservable(
        &mut self,
        waiting: &mut Vec<Ticket>,
        newcomer: Option<u64>,
        now: Duration,
    ) -> Vec<Action> {
        let paces = self.paces(now);
        let mut ahead = Ahead::default();
        let mut refused = Vec::new();
        waiting.retain(|ticket| {
            let is_servable = self.is_servable(ticket, now);
            let before = ahead.of(ticket.need);
            let (pace, count) = match is_servable {
                true => (paces.of(ticket.need), *before),
                false => (Pace::Unknown, 0),
            };
            let is_new = newcomer == Some(ticket.id);
            let may_start = self.may_start(ticket, pace, count, now);
            let is_late = is_new && self.would_be_late(ticket, pace, count, now);
            if now >= ticket.deadline || !may_start || is_late {
                refused.push((ticket.clone(), pace.wait(count)));
                return false;
            }
            *before += u32::from(is_servable);
            true
        });
        let (leader, position) = (ahead.leader > 0, ahead.position > 0);
        self.starts.set_waiting(leader, position, now);
        let refuse = |(ticket, wait): (Ticket, Duration)| Action::Refuse {
            ticket: ticket.id,
            reason: match self.unserved(&ticket, now) {
                Unserved::Busy { .. } => Unserved::Busy {
                    retry_after: self.retry_after(wait, paces.of(ticket.need).interval(), now),
                },
                reason => reason,
            },
        };
        refused.into_iter().map(refuse).collect()
    }

    /// Returns whether `ticket` may be answered before its deadline behind `before` others that start
    /// at `pace`.
    fn may_start(&self, ticket: &Ticket, pace: Pace, before: u32, now: Duration) -> bool {
        let wait = pace.wait(before);
        match pace {
            Pace::Unknown => true,
            Pace::AtBest(_) => now + wait / CAUTION < ticket.deadline,
            Pace::Measured(_) => now + wait + self.latency(ticket.need) < ticket.deadline,
        }
    }

    /// Returns whether `ticket`, which has just arrived, would be answered after its goal behind
    /// `before` others, or shortly before.
    ///
    /// Once requests have waited for long, more arrive than servers can handle, and some have to be
    /// refused in any case. They are told at once, and the others are answered within their goal where
    /// that is possible.
    fn would_be_late(&self, ticket: &Ticket, pace: Pace, before: u32, now: Duration) -> bool {
        let Pace::Measured(_) = pace else {
            return false;
        };
        let to_goal = ticket.goal.saturating_sub(now + self.latency(ticket.need));
        before >= MIN_QUEUE && pace.wait(before) > to_goal / WAIT_DIVISOR
    }

    /// Returns how long a request with this need takes once it has started.
    fn latency(&self, need: Need) -> Duration {
        let leader = self.leader.and_then(|key| self.servers.get(&key));
        let server = match need {
            Need::Leader => leader,
            Need::Position { .. } => {
                let serving = self.servers.values();
                let serving = serving.filter(|server| server.state == ServerState::Serving);
                serving.min_by_key(|server| server.average_latency())
            }
        };
        server.map_or(Duration::ZERO, |server| server.average_latency())
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

    /// Reports whether it was measured how fast waiting requests start.
    pub(super) fn knows_pace(&self, now: Duration) -> bool {
        let (leader, position) = self.measured_paces(now);
        leader.is_some() || position.is_some()
    }

    /// Returns the paces measured while requests have waited for long, for each kind of need.
    ///
    /// Guards against refusals of requests that would have been answered in time after a restart of all
    /// hosts: few start while servers still count the connections of the former processes, and many as
    /// soon as they do not.
    fn measured_paces(&self, now: Duration) -> (Option<Duration>, Option<Duration>) {
        match now < self.start.counted_until + SETTLING_TIME {
            true => (None, None),
            false => self.starts.paces(now),
        }
    }

    /// Returns the pace at which waiting requests start.
    fn paces(&self, now: Duration) -> Paces {
        let serving_leader = self.serving_leader(now);
        let leader = serving_leader.and_then(|key| self.servers.get(&key)?.starts_per_second(now));
        let serving = self.servers.values();
        let serving = serving.filter(|server| server.state == ServerState::Serving);
        let position: f64 = serving.filter_map(|it| it.starts_per_second(now)).sum();
        let interval = |rate: f64| Duration::from_secs_f64(1.0 / rate);
        let (measured_leader, measured_position) = self.measured_paces(now);
        let measured_leader = measured_leader.filter(|_| serving_leader.is_some());
        Paces {
            leader: Pace::new(measured_leader, leader.map(interval)),
            position: Pace::new(
                measured_position,
                (position > 0.0).then(|| interval(position)),
            ),
        }
    }
}
