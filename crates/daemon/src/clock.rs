//! The clock that daemons run by.

use std::time::{Duration, SystemTime};

use flamingopost_core::clock::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Time since the machine booted.
///
/// `CLOCK_BOOTTIME` goes on counting while the machine is suspended, which
/// [`std::time::Instant`] does not on Linux: a host that wakes up would judge by `Instant` that
/// its leases still run and acknowledge writes of a primary that was replaced meanwhile.
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
