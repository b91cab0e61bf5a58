//! Moving average of the latency of one server.

use std::time::Duration;

/// Weight of a new observation in the average.
const SMOOTHING: f64 = 0.1;
/// Multiple of the average to which greater observations are clipped.
const CLIP_RATIO: f64 = 8.0;

/// A moving average with a count of recent observations that decays with time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LatencyAverage {
    average: f64,
    count: u32,
}

impl LatencyAverage {
    /// Records the latency of one answer. Outliers are clipped, so that only many slow answers make
    /// a slow server.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.count == 0 {
            self.average = took;
        }
        let clipped = took.min(self.average * CLIP_RATIO);
        self.average += SMOOTHING * (clipped - self.average);
        self.count = self.count.saturating_add(1);
    }

    /// Halves the number of answers that count towards [`LatencyAverage::count`].
    pub fn decay(&mut self) {
        self.count -= self.count / 2;
    }

    /// Returns the number of recent answers.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the average latency, if there are recent answers.
    pub fn average(&self) -> Option<Duration> {
        (self.count > 0).then(|| Duration::from_secs_f64(self.average))
    }
}
