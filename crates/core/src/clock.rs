//! Time as an interface, so that every decision can be run with a clock set by hand.

use std::sync::Mutex;
use std::time::{Duration, SystemTime};

/// What a process reads the time from.
///
/// `now` is the time since an arbitrary fixed moment and must also count while the machine is
/// suspended: a lease judged by a clock that stops in suspension would outlive its term.
pub trait Clock: Send + Sync {
    /// Monotonic time since an arbitrary moment, suspension included.
    fn now(&self) -> Duration;
    /// Wall-clock time, for records that people read; never used for a decision.
    fn wall(&self) -> SystemTime;
}

/// A clock that moves only when told to.
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
    /// Moves the clock forward by `step`.
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
