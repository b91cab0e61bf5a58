//! Hedged requests: when a second copy of a slow read is sent to another server.

use std::collections::VecDeque;
use std::time::Duration;

use crate::retry::budget::Budget;

/// Fraction of answers that should arrive before a copy is sent.
const QUANTILE: f64 = 0.95;
/// Number of recent answers that the estimate uses.
const WINDOW_ANSWERS: usize = 128;
/// Number of answers between two updates of the estimate.
const UPDATE_INTERVAL_ANSWERS: u32 = 16;
/// Number of answers before the estimate is used.
const MIN_ANSWERS: u32 = 50;
/// Shortest wait before a copy is sent.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The wait before a copy of a read is sent, learnt from the answers of its class.
///
/// It is the 95th percentile of the recent answers. An estimate that was tracked in small steps
/// stayed high for hundreds of requests after one slow answer at the start.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::hedge::Hedge;
/// use flamingopost_core::retry::budget::Budget;
///
/// let mut hedge = Hedge::default();
/// for _ in 0..200 {
///     hedge.record(Duration::from_millis(4));
/// }
/// let wait = hedge.wait(Duration::from_millis(2)).unwrap();
/// assert!(wait >= Duration::from_millis(2));
/// assert!(hedge.may_send(&mut Budget::hedges()));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hedge {
    window: VecDeque<Duration>,
    estimate: Duration,
    seen: u32,
}

impl Hedge {
    /// Records the latency of a first copy.
    pub fn record(&mut self, took: Duration) {
        self.seen = self.seen.saturating_add(1);
        self.window.push_back(took);
        if self.window.len() > WINDOW_ANSWERS {
            self.window.pop_front();
        }
        if self.seen == MIN_ANSWERS || self.seen.is_multiple_of(UPDATE_INTERVAL_ANSWERS) {
            self.update_estimate();
        }
    }

    /// Returns the wait before a copy is sent: the longer of the rule's and the learnt one. Returns
    /// `None` until enough answers were recorded.
    pub fn wait(&self, rule: Duration) -> Option<Duration> {
        (self.seen >= MIN_ANSWERS).then(|| self.estimate.max(rule).max(MIN_WAIT))
    }

    /// Returns whether the copy may be sent now. If so, it takes a token from `budget`.
    #[must_use]
    pub fn may_send(&self, budget: &mut Budget) -> bool {
        self.seen >= MIN_ANSWERS && budget.take()
    }

    fn update_estimate(&mut self) {
        let mut sorted: Vec<Duration> = self.window.iter().copied().collect();
        sorted.sort_unstable();
        let place = (sorted.len() as f64 * QUANTILE) as usize;
        self.estimate = sorted[place.min(sorted.len() - 1)];
    }
}
