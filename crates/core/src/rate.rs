//! How often requests pass a rule on one entry host.

use std::time::Duration;

/// Part of a second whose requests may come at once.
const BURST_SECONDS: f64 = 0.1;

/// Longest time that a caller is told to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// A token bucket: so many requests a second, with a short burst.
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
    /// A bucket that lets `per_second` requests through, full at `now`.
    pub fn new(per_second: u32, now: Duration) -> Rate {
        let mut rate = Rate {
            per_second: f64::from(per_second),
            tokens: 0.0,
            refilled_at: now,
        };
        rate.tokens = rate.burst();
        rate
    }

    /// Lets one request through.
    ///
    /// # Errors
    /// The time after which the next one passes, an hour at most: a rule may allow none.
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
