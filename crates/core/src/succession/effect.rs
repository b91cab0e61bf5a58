//! How long a promotion takes, by what its server answers meanwhile.

use std::time::Duration;

/// A promotion's time is taken from two answers of its server at most so far apart: a few of the
/// questions that it is asked, and little beside the 300 ms of the shortest promotions.
const PRECISE: Duration = Duration::from_millis(100);

/// One order, until its server leads.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::succession::Effect;
///
/// let at = Duration::from_millis;
/// let mut effect = Effect::ordered(at(1_000));
/// effect.follows(at(1_280));
/// assert_eq!(effect.took(at(1_310)), Some(at(280)), "no less than that");
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Effect {
    ordered: Duration,
    /// The last moment at which the server is known not to have led.
    followed: Duration,
}

impl Effect {
    /// The order went out at `at`.
    pub fn ordered(at: Duration) -> Effect {
        Effect {
            ordered: at,
            followed: at,
        }
    }

    /// The server answered what was asked at `asked`, and did not lead.
    pub fn follows(&mut self, asked: Duration) {
        self.followed = self.followed.max(asked);
    }

    /// How long the promotion took at the least, if its server is seen to lead at `now`.
    ///
    /// Guards against a bound that is far too low and, as the least one, stays: a successor that was
    /// too busy to answer may have led for most of the time since it was last heard, and primaries
    /// that leave would be given up by as much too early from then on.
    pub fn took(&self, now: Duration) -> Option<Duration> {
        let precise = now <= self.followed + PRECISE;
        precise.then(|| self.followed.saturating_sub(self.ordered))
    }
}
