//! Rate limit of a rule on one entry host.

use std::time::Duration;

/// Size of a burst, as the time in seconds that the rate needs for it.
const BURST_SECONDS: f64 = 0.1;

/// Longest retry time that is given to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// A token bucket that admits a number of requests per second, with a short burst.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::rate::Rate;
///
/// let mut rate = Rate::new(10, Duration::ZERO);
/// assert_eq!(rate.take(Duration::ZERO), Ok(()));
/// assert_eq!(rate.take(Duration::ZERO), Err(Duration::from_millis(100)));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Rate {
    per_second: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Rate {
    /// Returns a bucket that admits `per_second` requests per second and is full at `now`.
    pub fn new(per_second: u32, now: Duration) -> Rate {
        let mut rate = Rate {
            per_second: f64::from(per_second),
            tokens: 0.0,
            refilled_at: now,
        };
        rate.tokens = rate.burst();
        rate
    }

    /// Admits one request.
    ///
    /// # Errors
    /// Returns the time after which the next request is admitted. It is at most an hour, because a
    /// rule may allow no requests at all.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst());
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.per_second;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
        Err(wait.min(MAX_RETRY_AFTER))
    }

    fn burst(&self) -> f64 {
        if self.per_second == 0.0 {
            return 0.0;
        }
        (self.per_second * BURST_SECONDS).max(1.0)
    }
}
