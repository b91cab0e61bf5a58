//! Measures how long a promotion takes from the answers of the promoted server.

use std::time::Duration;

/// Two answers between which a server became the primary give a usable measurement when they are at
/// most this far apart. It spans a few status requests and is short compared with the 300 ms of the
/// fastest promotions.
const MAX_UNCERTAINTY: Duration = Duration::from_millis(100);

/// Time from an order until its server leads.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::succession::PromotionTimer;
///
/// let at = Duration::from_millis;
/// let mut timer = PromotionTimer::start(at(1_000));
/// timer.record_replica(at(1_280));
/// assert_eq!(timer.min_duration(at(1_310)), Some(at(280)), "no less than that");
/// ```
#[derive(Debug, Clone, Copy)]
pub struct PromotionTimer {
    ordered_at: Duration,
    /// The last moment at which the server is known to have been a replica.
    replica_at: Duration,
}

impl PromotionTimer {
    /// Starts the measurement of an order given at `at`.
    pub fn start(at: Duration) -> PromotionTimer {
        PromotionTimer {
            ordered_at: at,
            replica_at: at,
        }
    }

    /// Records that the server answered a request sent at `asked` and was still a replica.
    pub fn record_replica(&mut self, asked: Duration) {
        self.replica_at = self.replica_at.max(asked);
    }

    /// Returns a lower bound of the promotion's duration when its server is seen to lead at `now`,
    /// or `None` if the last answer is too old for a useful bound.
    ///
    /// Guards against a bound that is far too low and persists as the minimum: a successor that was
    /// too busy to answer may have led for most of the time since its last answer. From then on,
    /// leaving primaries would be given up too early by that amount.
    pub fn min_duration(&self, now: Duration) -> Option<Duration> {
        let precise = now <= self.replica_at + MAX_UNCERTAINTY;
        precise.then(|| self.replica_at.saturating_sub(self.ordered_at))
    }
}
