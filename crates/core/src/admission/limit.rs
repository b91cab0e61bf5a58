//! How many requests one host lets run on a server at once.

use std::time::Duration;

/// Slowdown against the least time up to which more is tried.
const INCREASE_BELOW_SLOWDOWN: f64 = 2.0;
/// Slowdown against the least time from which less is tried.
const DECREASE_ABOVE_SLOWDOWN: f64 = 3.0;
/// An answer as quick as this is no sign of a crowd: for statements of some microseconds, being
/// scheduled late is already many times their least time.
const MIN_CONGESTED_LATENCY: Duration = Duration::from_millis(2);
/// What is left of the limit after a step down.
const DECREASE: f64 = 0.8;
/// Shortest time between two steps down: the first must show its effect.
const DECREASE_INTERVAL: Duration = Duration::from_millis(20);

/// An adaptive limit. Several hosts share a server's slots without seeing each other; each reads
/// from the time of its own answers whether the server is crowded, adds a little while it is not
/// and takes off a part when it is (AIMD). Never below the slots: a class holds quick and slow
/// statements, so that a slow one can look like a crowd, and a host that went down to one for it
/// left slots idle.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    limit: f64,
    minimum: f64,
    maximum: f64,
    decreased_at: Duration,
}

impl Limit {
    /// The limit before a server that runs `slots` statements at once.
    pub fn new(slots: u16) -> Limit {
        let slots = f64::from(slots.max(1));
        Limit {
            limit: slots,
            minimum: slots,
            maximum: slots * 2.0,
            decreased_at: Duration::ZERO,
        }
    }

    /// How many may run at once; from the server's slots to twice as many.
    pub fn slots(&self) -> usize {
        self.limit as usize
    }

    /// An answer came after `took`, where `least` is the least that it can take. `full` tells
    /// whether the limit was used up: otherwise it says nothing about a higher one.
    pub fn record(&mut self, took: Duration, least: Duration, full: bool, now: Duration) {
        let slowdown = took.as_secs_f64() / least.as_secs_f64().max(1e-6);
        if slowdown < INCREASE_BELOW_SLOWDOWN && full {
            self.limit = (self.limit + 0.1 / self.limit).min(self.maximum);
        } else if slowdown > DECREASE_ABOVE_SLOWDOWN && took > MIN_CONGESTED_LATENCY {
            self.decrease(now);
        }
    }

    /// A request broke or timed out.
    pub fn failed(&mut self, now: Duration) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Duration) {
        if now < self.decreased_at + DECREASE_INTERVAL {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit * DECREASE).max(self.minimum);
    }
}
