//! Congestion window: how many requests a host may have running at a server at once.
//!
//! Hosts share a server's slots and its queue without seeing each other. Each host finds its share
//! from the server's answers, by additive increase and multiplicative decrease (AIMD, as in TCP).
//! The window decreases when the server's queue is full and when latency grows.

use std::time::Duration;

use super::server::INITIAL_LATENCY;

/// Initial size of the window, in requests, before the capacity of the server is known.
const INITIAL_SIZE: f64 = 2.0;

/// Growth of the window for each answer, divided by the size of the window.
const GROWTH: f64 = 0.1;

/// Divisor of the weight of a new measurement in the trend. It is large because latency differs
/// tenfold from one request to the next, and the trend must not.
const TREND_SMOOTHING_DIVISOR: u32 = 32;

/// Greatest growth of the baseline in a second, as a fraction of itself. With it, the baseline is
/// the lowest trend of about a quarter of a minute.
const BASELINE_DRIFT_PER_SECOND: f64 = 0.05;

/// Ratio of trend to baseline above which a server counts as congested, for an infinitely large
/// window; see [`Window::is_congested`].
const CONGESTION_RATIO: f64 = 1.25;

/// How much higher the bound is for a window of one request than for an infinitely large one, as a
/// multiple of [`CONGESTION_RATIO`].
const SMALL_WINDOW_ALLOWANCE: f64 = 4.0;

/// Factor by which the window shrinks when the server is congested.
const CONGESTION_DECREASE: f64 = 0.9;

/// Shortest time between two decreases for congestion, so that the trend can follow the first.
const CONGESTION_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Factor by which the window shrinks when the server's queue is full.
const QUEUE_FULL_DECREASE: f64 = 0.7;

/// Shortest time between two decreases for a full queue, so that the first can take effect.
const QUEUE_FULL_DECREASE_INTERVAL: Duration = Duration::from_millis(20);

/// Limits the requests that a host has running at a server at once.
#[derive(Debug)]
pub(super) struct Window {
    size: f64,
    decreased_at: Duration,
    /// Slow moving average of the latency at the server.
    trend: Duration,
    /// Estimate of the latency while the server was not loaded.
    baseline: Duration,
    baseline_at: Duration,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            size: INITIAL_SIZE,
            decreased_at: Duration::ZERO,
            trend: INITIAL_LATENCY,
            baseline: INITIAL_LATENCY,
            baseline_at: Duration::ZERO,
        }
    }
}

impl Window {
    /// Returns the size of the window in requests, at least one.
    pub(super) fn size(&self) -> u16 {
        // The cast cannot overflow: the size is bounded by a number of connections.
        self.size.max(1.0) as u16
    }

    /// Records the latency of one answer and adjusts the window.
    ///
    /// The window grows up to `max_size`, unless the latency shows that requests wait in the
    /// server's queue. That queue may be long enough to never overflow, and it delays each request
    /// by its whole length.
    pub(super) fn record_latency(&mut self, took: Duration, max_size: u16, now: Duration) {
        self.trend = (self.trend * (TREND_SMOOTHING_DIVISOR - 1) + took) / TREND_SMOOTHING_DIVISOR;
        let drift = now.saturating_sub(self.baseline_at).as_secs_f64() * BASELINE_DRIFT_PER_SECOND;
        self.baseline_at = now;
        self.baseline = self.baseline.mul_f64(1.0 + drift).min(self.trend);
        if self.is_congested() {
            self.decrease(CONGESTION_DECREASE, CONGESTION_DECREASE_INTERVAL, now);
        } else {
            let max_size = f64::from(max_size).max(INITIAL_SIZE);
            self.size = (self.size + GROWTH / self.size).min(max_size);
        }
    }

    /// Returns whether requests wait in the server's queue for longer than a window of this size
    /// allows.
    ///
    /// A smaller window allows a longer queue. All hosts measure the same queue. With one bound for
    /// all windows, hosts that measure slightly more would shrink to one request each, while the
    /// windows of the other hosts keep the queue as it is: of two hosts at a congested server, one
    /// got a third of the requests of the other. With a bound that falls as the window grows, all
    /// windows converge to the size whose bound equals the measured latency.
    fn is_congested(&self) -> bool {
        let bound = CONGESTION_RATIO * (1.0 + SMALL_WINDOW_ALLOWANCE / self.size);
        self.trend > self.baseline.mul_f64(bound)
    }

    /// Shrinks the window after the server refused a request because its queue was full.
    ///
    /// With an unchanged window, refused requests would come back at once. Each refusal costs a
    /// round trip, and the server would answer hardly anything else.
    pub(super) fn queue_full(&mut self, now: Duration) {
        self.decrease(QUEUE_FULL_DECREASE, QUEUE_FULL_DECREASE_INTERVAL, now);
    }

    /// Multiplies the window by `factor`, unless it was decreased less than `interval` ago.
    fn decrease(&mut self, factor: f64, interval: Duration, now: Duration) {
        if now < self.decreased_at + interval {
            return;
        }
        self.decreased_at = now;
        self.size = (self.size * factor).max(1.0);
    }
}
