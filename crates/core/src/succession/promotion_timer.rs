//! How long a promotion takes, by what its server answers meanwhile.

use std::time::Duration;

/// A promotion's time is taken from two answers of its server at most so far apart: a few of the
/// questions that it is asked, and little beside the 300 ms of the shortest promotions.
const MAX_UNCERTAINTY: Duration = Duration::from_millis(100);

/// One order, until its server leads.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::succession::PromotionTimer;
///
/// let at = Duration::from_millis;
/// let mut effect = PromotionTimer::start(at(1_000));
/// effect.record_replica(at(1_280));
/// assert_eq!(effect.min_duration(at(1_310)), Some(at(280)), "no less than that");
/// ```
#[derive(Debug, Clone, Copy)]
pub struct PromotionTimer {
    ordered_at: Duration,
    /// The last moment at which the server is known not to have led.
    replica_at: Duration,
}

impl PromotionTimer {
    /// The order went out at `at`.
    pub fn start(at: Duration) -> PromotionTimer {
        PromotionTimer {
            ordered_at: at,
            replica_at: at,
        }
    }

    /// The server answered what was asked at `asked`, and did not lead.
    pub fn record_replica(&mut self, asked: Duration) {
        self.replica_at = self.replica_at.max(asked);
    }

    /// How long the promotion took at the least, if its server is seen to lead at `now`.
    ///
    /// Guards against a bound that is far too low and, as the least one, stays: a successor that was
    /// too busy to answer may have led for most of the time since it was last heard, and primaries
    /// that leave would be given up by as much too early from then on.
    pub fn min_duration(&self, now: Duration) -> Option<Duration> {
        let precise = now <= self.replica_at + MAX_UNCERTAINTY;
        precise.then(|| self.replica_at.saturating_sub(self.ordered_at))
    }
}
