//! How many requests a host may have running at a server at once.
//!
//! Hosts share a server's slots and its queue without seeing each other. Each finds its part by what
//! comes back: additive increase, multiplicative decrease (as TCP does), on a full queue and on
//! times that grow.

use std::time::Duration;

use super::server::INITIAL_LATENCY;

/// Requests that a host has running on a server before it knows what the server bears.
const INITIAL_SIZE: f64 = 2.0;

/// What one answer adds to the window, divided by the window.
const GROWTH: f64 = 0.1;

/// Part of a new measurement in the trend, as a divisor: work differs tenfold from one request to
/// the next, and the trend must not.
const TREND_SMOOTHING_DIVISOR: u32 = 32;

/// How much of itself the time of an unloaded server is taken to grow in a second, at most: it is
/// the lowest trend of some half minute.
const BASELINE_DRIFT_PER_SECOND: f64 = 0.02;

/// A server whose requests take this many times as long as when it was not loaded has a queue. It is
/// the bound of a window without end; see [`Window::is_congested`].
const CONGESTION_RATIO: f64 = 1.25;

/// How much higher the bound of a window of one request is than that of a window without end, as a
/// part of it.
const SMALL_WINDOW_ALLOWANCE: f64 = 4.0;

/// What such a queue leaves of the window.
const CONGESTION_DECREASE: f64 = 0.9;

/// Shortest time between two such steps: the trend must follow.
const CONGESTION_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// What a full queue leaves of the window.
const QUEUE_FULL_DECREASE: f64 = 0.7;

/// Shortest time between two such steps: the first must show its effect.
const QUEUE_FULL_DECREASE_INTERVAL: Duration = Duration::from_millis(20);

/// How many requests a host may have running at a server at once.
#[derive(Debug)]
pub(super) struct Window {
    size: f64,
    decreased_at: Duration,
    /// How long requests take there, slowly averaged.
    trend: Duration,
    /// The same when it was not loaded.
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
    /// How many; at least one.
    pub(super) fn size(&self) -> u16 {
        // It is bounded by a number of connections.
        self.size.max(1.0) as u16
    }

    /// A request was answered after `took`: a little more may run at once, up to `most`, unless
    /// requests take so long that they wait in the server's queue. That one may be long enough to
    /// never overflow, and adds its whole length to each request.
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

    /// Whether requests wait in the server's queue for longer than a window of this size may make
    /// them.
    ///
    /// The narrower the window, the longer: all hosts measure the same queue, and with one bound
    /// for all windows those that measure a little more would narrow down to one request each,
    /// while the queue is what the windows of the others make it. Of two hosts before a crowded
    /// server one then has a third of the requests of the other. With a bound that falls with the
    /// size, windows meet where the bound is what is measured, so they are of like size.
    fn is_congested(&self) -> bool {
        let bound = CONGESTION_RATIO * (1.0 + SMALL_WINDOW_ALLOWANCE / self.size);
        self.trend > self.baseline.mul_f64(bound)
    }

    /// The server's queue was full. Without a narrower window the refused requests come back at
    /// once, each refusal costs a round trip, and the server answers hardly anything else.
    pub(super) fn queue_full(&mut self, now: Duration) {
        self.decrease(QUEUE_FULL_DECREASE, QUEUE_FULL_DECREASE_INTERVAL, now);
    }

    /// Leaves `part` of the window, unless it was narrowed within the last `rest`.
    fn decrease(&mut self, factor: f64, interval: Duration, now: Duration) {
        if now < self.decreased_at + interval {
            return;
        }
        self.decreased_at = now;
        self.size = (self.size * factor).max(1.0);
    }
}
