//! Concurrency limit of one host at one server.

use std::time::Duration;

/// Ratio of latency to minimum latency below which the limit is raised.
const INCREASE_BELOW_SLOWDOWN: f64 = 2.0;
/// Ratio of latency to minimum latency above which the limit is lowered.
const DECREASE_ABOVE_SLOWDOWN: f64 = 3.0;
/// Latency up to which an answer is no sign of congestion. For statements that take microseconds, a
/// scheduling delay alone is many times their minimum latency.
const MIN_CONGESTED_LATENCY: Duration = Duration::from_millis(2);
/// Factor by which the limit is lowered.
const DECREASE: f64 = 0.8;
/// Shortest time between two decreases, so that the first can take effect.
const DECREASE_INTERVAL: Duration = Duration::from_millis(20);

/// An adaptive concurrency limit.
///
/// Several hosts share a server's slots without seeing each other. Each host infers from the
/// latency of its own answers whether the server is congested. It raises the limit slowly while it
/// is not, and lowers it by a factor when it is (AIMD). The limit never falls below the number of
/// slots: a class contains quick and slow statements, so a slow statement can look like congestion,
/// and a host that reduced its limit to one because of it left slots idle.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    limit: f64,
    minimum: f64,
    maximum: f64,
    decreased_at: Duration,
}

impl Limit {
    /// Returns the initial limit for a server that runs `slots` statements at once.
    pub fn new(slots: u16) -> Limit {
        let slots = f64::from(slots.max(1));
        Limit {
            limit: slots,
            minimum: slots,
            maximum: slots * 2.0,
            decreased_at: Duration::ZERO,
        }
    }

    /// Returns how many requests may run at once: from the number of slots to twice as many.
    pub fn slots(&self) -> usize {
        self.limit as usize
    }

    /// Records an answer that took `took`, where `least` is the minimum latency of its class.
    /// `full` says whether the limit was reached; otherwise the answer gives no reason to raise it.
    pub fn record(&mut self, took: Duration, least: Duration, full: bool, now: Duration) {
        let slowdown = took.as_secs_f64() / least.as_secs_f64().max(1e-6);
        if slowdown < INCREASE_BELOW_SLOWDOWN && full {
            self.limit = (self.limit + 0.1 / self.limit).min(self.maximum);
        } else if slowdown > DECREASE_ABOVE_SLOWDOWN && took > MIN_CONGESTED_LATENCY {
            self.decrease(now);
        }
    }

    /// Records a request that broke or timed out, and lowers the limit.
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
