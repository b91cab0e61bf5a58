//! When a second copy of a slow read is sent to another server.

use std::time::Duration;

use crate::retry::budget::Budget;

/// Share of answers that should come before a copy is sent.
const QUANTILE: f64 = 0.95;
/// How far the estimate moves with one observation, as a part of itself.
const PACE: f64 = 0.05;
/// Answers before the estimate is acted on.
const ENOUGH: u32 = 50;
/// No copy is sent earlier than this.
const EARLIEST: Duration = Duration::from_millis(1);

/// The wait before a copy of a read is sent, learnt from the answers of its class.
///
/// The 95th percentile is tracked by steps: up by 95 parts when an answer is later than the
/// estimate, down by 5 when it is earlier, so the two balance where 5% are later.
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
/// assert!(hedge.send(&mut Budget::hedges()));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Hedge {
    estimate: f64,
    seen: u32,
}

impl Hedge {
    /// A first copy was answered after `took`.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.seen = self.seen.saturating_add(1);
        if self.seen == 1 {
            self.estimate = took;
        }
        let step = PACE * self.estimate.max(1e-6);
        self.estimate += if took > self.estimate {
            step * QUANTILE
        } else {
            -step * (1.0 - QUANTILE)
        };
    }

    /// After which wait a copy should be sent: the rule's, or the learnt one where that is
    /// longer; nothing before enough was learnt.
    pub fn wait(&self, rule: Duration) -> Option<Duration> {
        let learnt = Duration::from_secs_f64(self.estimate.max(0.0));
        (self.seen >= ENOUGH).then(|| learnt.max(rule).max(EARLIEST))
    }

    /// Whether the copy may be sent now; it is paid for from `budget`.
    #[must_use]
    pub fn send(&self, budget: &mut Budget) -> bool {
        self.seen >= ENOUGH && budget.take()
    }
}
