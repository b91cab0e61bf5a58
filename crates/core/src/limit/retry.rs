//! When callers that were refused may expect an operation.

use std::time::Duration;

/// Shortest time after which a caller that was refused may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a caller that was refused may come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// How far ahead times are reserved for callers. Later callers are all told this time: most of
/// those that were told earlier ones will have given up by then.
const MAX_RESERVED: Duration = Duration::from_secs(5);

/// Reserves times for refused callers, one after the other.
///
/// Guards against callers that all come back when the next operation is due and are refused again.
#[derive(Debug, Default)]
pub(super) struct RetryTimes {
    /// The earliest time that has not been reserved.
    free_at: Duration,
}

impl RetryTimes {
    /// Returns the time after which a caller that is refused at `now` may expect an operation, if
    /// the next one is due after `wait` and `rate` per second follow.
    pub(super) fn reserve(&mut self, wait: Duration, rate: f64, now: Duration) -> Duration {
        let at = self.free_at.max(now + wait);
        let interval = Duration::try_from_secs_f64(rate.recip()).unwrap_or_default();
        if at <= now + wait + MAX_RESERVED {
            self.free_at = at + interval;
        }
        let at = at.min(now + wait + MAX_RESERVED);
        (at - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Forgets the reserved times, since operations are available earlier.
    pub(super) fn clear(&mut self) {
        self.free_at = Duration::ZERO;
    }
}
