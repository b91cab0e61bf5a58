//! Recent rate of work by weight or customer.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Time constant of the moving average, in seconds.
const WINDOW_SECONDS: f64 = 2.0;

#[derive(Debug, Clone, Copy, PartialEq)]
struct DecayingSum {
    /// Recent work in seconds, which decays exponentially with [`WINDOW_SECONDS`].
    work: f64,
    at: Duration,
}

impl DecayingSum {
    fn decayed(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.work * (-passed / WINDOW_SECONDS).exp()
    }
}

/// Moving average of work by key.
#[derive(Debug, Clone)]
pub struct WorkRate<K> {
    sums: BTreeMap<K, DecayingSum>,
}

impl<K: Ord> WorkRate<K> {
    /// Adds work that takes `cost` under `key`.
    pub fn add(&mut self, key: K, cost: Duration, now: Duration) {
        let sum = self
            .sums
            .entry(key)
            .or_insert(DecayingSum { work: 0.0, at: now });
        sum.work = sum.decayed(now) + cost.as_secs_f64();
        sum.at = now;
    }

    /// Returns the work per second under `key`, in seconds.
    pub fn rate(&self, key: &K, now: Duration) -> f64 {
        let sum = self.sums.get(key);
        sum.map_or(0.0, |sum| sum.decayed(now) / WINDOW_SECONDS)
    }

    /// Returns the work per second under all keys greater than `key`, in seconds.
    pub fn rate_above(&self, key: K, now: Duration) -> f64 {
        let above = (Bound::Excluded(key), Bound::Unbounded);
        let sums = self.sums.range(above);
        sums.map(|(_, sum)| sum.decayed(now) / WINDOW_SECONDS).sum()
    }
}

impl<K> Default for WorkRate<K> {
    fn default() -> Self {
        WorkRate {
            sums: BTreeMap::new(),
        }
    }
}
