//! The clock as a trait, so that every decision can be tested with a manual clock.

use std::sync::Mutex;
use std::time::{Duration, SystemTime};

/// The clock of a process.
///
/// `now` is the time since an arbitrary fixed moment. It must also advance while the machine is
/// suspended: a lease measured by a clock that stops during suspension would be used after its end.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time since an arbitrary moment, including suspension.
    fn now(&self) -> Duration;
    /// Returns the wall-clock time. It is only for records that people read, never for decisions.
    fn wall(&self) -> SystemTime;
}

/// A clock that advances only by [`Manual::advance`].
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::clock::{Clock, Manual};
///
/// let clock = Manual::default();
/// clock.advance(Duration::from_millis(5));
/// assert_eq!(clock.now(), Duration::from_millis(5));
/// ```
#[derive(Debug, Default)]
pub struct Manual {
    now: Mutex<Duration>,
}

impl Manual {
    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        let mut now = self
            .now
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *now += step;
    }
}

impl Clock for Manual {
    fn now(&self) -> Duration {
        *self
            .now
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
