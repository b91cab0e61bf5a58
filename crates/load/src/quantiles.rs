//! Quantiles of a set of times.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Greatest time that is told apart, in µs; longer ones count as this long.
const GREATEST: u64 = 120_000_000;
/// Decimal digits kept.
const DIGITS: u8 = 3;

/// Times in µs.
#[derive(Debug, Clone)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, GREATEST, DIGITS);
        Times(histogram.expect("the bounds are constants that hdrhistogram accepts"))
    }
}

/// Quantiles of times, in ms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of times.
    pub count: u64,
    /// Half are no longer.
    pub p50_ms: f64,
    /// 90% are no longer.
    pub p90_ms: f64,
    /// 99% are no longer.
    pub p99_ms: f64,
    /// 99.9% are no longer.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Times {
    /// Adds a time of `micros` µs.
    pub fn add(&mut self, micros: i64) {
        self.0.saturating_record(micros.max(1) as u64);
    }

    /// Adds all of `other`.
    pub fn merge(&mut self, other: &Times) {
        let added = self.0.add(&other.0);
        added.expect("both have the same bounds");
    }

    /// The quantiles.
    ///
    /// ```
    /// use flamingopost_load::quantiles::Times;
    ///
    /// let mut times = Times::default();
    /// for micros in 1..=1000 {
    ///     times.add(micros);
    /// }
    /// assert_eq!(times.quantiles().p50_ms, 0.5);
    /// ```
    pub fn quantiles(&self) -> Quantiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / 1e3;
        if self.0.is_empty() {
            return Quantiles::default();
        }
        Quantiles {
            count: self.0.len(),
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: self.0.max() as f64 / 1e3,
        }
    }
}
