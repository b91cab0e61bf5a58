//! How much work there was lately, of each weight or customer.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Time over which work is averaged, in seconds.
const WINDOW: f64 = 2.0;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Stream {
    /// Recent work, in seconds, fading with [`WINDOW`].
    work: f64,
    at: Duration,
}

impl Stream {
    fn faded(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.work * (-passed / WINDOW).exp()
    }
}

/// Work by what it is counted under, as a moving average.
#[derive(Debug, Clone)]
pub struct Flow<K> {
    streams: BTreeMap<K, Stream>,
}

impl<K: Ord> Flow<K> {
    /// Counts work that takes `cost` under `key`.
    pub fn add(&mut self, key: K, cost: Duration, now: Duration) {
        let stream = self
            .streams
            .entry(key)
            .or_insert(Stream { work: 0.0, at: now });
        stream.work = stream.faded(now) + cost.as_secs_f64();
        stream.at = now;
    }

    /// Work a second under `key`, in seconds.
    pub fn rate(&self, key: &K, now: Duration) -> f64 {
        let stream = self.streams.get(key);
        stream.map_or(0.0, |stream| stream.faded(now) / WINDOW)
    }

    /// Work a second under all keys above `key`, in seconds.
    pub fn above(&self, key: K, now: Duration) -> f64 {
        let above = (Bound::Excluded(key), Bound::Unbounded);
        let streams = self.streams.range(above);
        streams.map(|(_, stream)| stream.faded(now) / WINDOW).sum()
    }
}

impl<K> Default for Flow<K> {
    fn default() -> Self {
        Flow {
            streams: BTreeMap::new(),
        }
    }
}
