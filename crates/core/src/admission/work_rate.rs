//! How much work there was lately, of each weight or customer.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Time over which work is averaged, in seconds.
const WINDOW_SECONDS: f64 = 2.0;

#[derive(Debug, Clone, Copy, PartialEq)]
struct DecayingSum {
    /// Recent work, in seconds, fading with [`WINDOW_SECONDS`].
    work: f64,
    at: Duration,
}

impl DecayingSum {
    fn decayed(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.work * (-passed / WINDOW_SECONDS).exp()
    }
}

/// Work by what it is counted under, as a moving average.
#[derive(Debug, Clone)]
pub struct WorkRate<K> {
    sums: BTreeMap<K, DecayingSum>,
}

impl<K: Ord> WorkRate<K> {
    /// Counts work that takes `cost` under `key`.
    pub fn add(&mut self, key: K, cost: Duration, now: Duration) {
        let sum = self
            .sums
            .entry(key)
            .or_insert(DecayingSum { work: 0.0, at: now });
        sum.work = sum.decayed(now) + cost.as_secs_f64();
        sum.at = now;
    }

    /// Work a second under `key`, in seconds.
    pub fn rate(&self, key: &K, now: Duration) -> f64 {
        let sum = self.sums.get(key);
        sum.map_or(0.0, |sum| sum.decayed(now) / WINDOW_SECONDS)
    }

    /// Work a second under all keys above `key`, in seconds.
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
