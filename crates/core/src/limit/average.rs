//! Moving averages of arrivals.

use std::time::Duration;

/// Moving average of arrivals per second.
#[derive(Debug)]
pub(super) struct Average {
    smoothing: Duration,
    value: f64,
    at: Duration,
}

impl Average {
    /// Creates the average with the time constant `smoothing`, of no arrivals.
    pub(super) fn new(smoothing: Duration, now: Duration) -> Average {
        Average {
            smoothing,
            value: 0.0,
            at: now,
        }
    }

    /// Counts `count` arrivals.
    pub(super) fn record(&mut self, count: u32, now: Duration) {
        self.value = self.at(now) + f64::from(count) / self.smoothing.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the average at `now`, in arrivals per second.
    pub(super) fn at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-passed / self.smoothing.as_secs_f64()).exp()
    }
}
