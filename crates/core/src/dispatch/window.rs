//! How many requests a host may have running at a server at once.
//!
//! Hosts share a server's slots and its queue without seeing each other. Each finds its part by what
//! comes back: additive increase, multiplicative decrease (as TCP does), on a full queue and on
//! times that grow.

use std::time::Duration;

use super::server::FIRST_GUESS;

/// Requests that a host has running on a server before it knows what the server bears.
const FIRST: f64 = 2.0;

/// What one answer adds to the window, divided by the window.
const WIDER: f64 = 0.1;

/// Part of a new measurement in the trend, as a divisor: work differs tenfold from one request to
/// the next, and the trend must not.
const LONG_SMOOTHING: u32 = 32;

/// How much of itself the time of an unloaded server is taken to grow in a second, at most: it is
/// the lowest trend of some half minute.
const DRIFT: f64 = 0.02;

/// A server whose requests take this many times as long as when it was not loaded has a queue. It is
/// the bound of a window without end; see [`Window::is_crowded`].
const CROWDED: f64 = 1.25;

/// How much higher the bound of a window of one request is than that of a window without end, as a
/// part of it.
const EASE: f64 = 4.0;

/// What such a queue leaves of the window.
const NARROWER_BY_DELAY: f64 = 0.9;

/// Shortest time between two such steps: the trend must follow.
const DELAY_REST: Duration = Duration::from_millis(100);

/// What a full queue leaves of the window.
const NARROWER: f64 = 0.7;

/// Shortest time between two such steps: the first must show its effect.
const NARROW_REST: Duration = Duration::from_millis(20);

/// How many requests a host may have running at a server at once.
#[derive(Debug)]
pub(super) struct Window {
    size: f64,
    narrowed_at: Duration,
    /// How long requests take there, slowly averaged.
    trend: Duration,
    /// The same when it was not loaded.
    unloaded: Duration,
    unloaded_at: Duration,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            size: FIRST,
            narrowed_at: Duration::ZERO,
            trend: FIRST_GUESS,
            unloaded: FIRST_GUESS,
            unloaded_at: Duration::ZERO,
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
    pub(super) fn took(&mut self, took: Duration, most: u16, now: Duration) {
        self.trend = (self.trend * (LONG_SMOOTHING - 1) + took) / LONG_SMOOTHING;
        let drift = now.saturating_sub(self.unloaded_at).as_secs_f64() * DRIFT;
        self.unloaded_at = now;
        self.unloaded = self.unloaded.mul_f64(1.0 + drift).min(self.trend);
        if self.is_crowded() {
            self.narrow(NARROWER_BY_DELAY, DELAY_REST, now);
        } else {
            let most = f64::from(most).max(FIRST);
            self.size = (self.size + WIDER / self.size).min(most);
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
    fn is_crowded(&self) -> bool {
        let bound = CROWDED * (1.0 + EASE / self.size);
        self.trend > self.unloaded.mul_f64(bound)
    }

    /// The server's queue was full. Without a narrower window the refused requests come back at
    /// once, each refusal costs a round trip, and the server answers hardly anything else.
    pub(super) fn refused(&mut self, now: Duration) {
        self.narrow(NARROWER, NARROW_REST, now);
    }

    /// Leaves `part` of the window, unless it was narrowed within the last `rest`.
    fn narrow(&mut self, part: f64, rest: Duration, now: Duration) {
        if now < self.narrowed_at + rest {
            return;
        }
        self.narrowed_at = now;
        self.size = (self.size * part).max(1.0);
    }
}
