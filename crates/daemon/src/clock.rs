//! The clock of the daemons.

use std::time::{Duration, SystemTime};

use flamingopost_core::clock::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Time since the machine booted.
///
/// Reads `CLOCK_BOOTTIME`, which advances while the machine is suspended. [`std::time::Instant`]
/// does not on Linux: after a resume, a host that used it would consider its leases valid and
/// acknowledge writes of a primary that was replaced in the meantime.
///
/// ```
/// use flamingopost_core::clock::Clock;
/// use flamingopost_daemon::clock::Boot;
///
/// let start = Boot.now();
/// assert!(Boot.now() >= start);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanos)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
