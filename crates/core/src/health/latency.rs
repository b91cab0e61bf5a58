//! The typical time of a server's recent answers.

use std::time::Duration;

/// Part of an observation in the average.
const SMOOTHING: f64 = 0.1;
/// Observations further off than this many times the average count as this many.
const CLIP_RATIO: f64 = 8.0;

/// A moving average that forgets its confidence with time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LatencyAverage {
    average: f64,
    count: u32,
}

impl LatencyAverage {
    /// Takes note of one answer. One stray answer is clipped, so that it takes many slow ones to
    /// make a slow server.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.count == 0 {
            self.average = took;
        }
        let clipped = took.min(self.average * CLIP_RATIO);
        self.average += SMOOTHING * (clipped - self.average);
        self.count = self.count.saturating_add(1);
    }

    /// Half of the answers seen so far no longer count towards [`LatencyAverage::count`].
    pub fn decay(&mut self) {
        self.count -= self.count / 2;
    }

    /// Recent answers.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Their typical time.
    pub fn average(&self) -> Option<Duration> {
        (self.count > 0).then(|| Duration::from_secs_f64(self.average))
    }
}
