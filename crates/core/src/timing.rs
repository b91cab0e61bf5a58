//! Times that leadership rests on. `docs/design/LEADERSHIP.md` adds them up.

use std::time::Duration;

/// How long a write lease runs from the moment its renewal was sent.
pub const LEASE: Duration = Duration::from_millis(2_500);

/// How often an entry host renews its leases.
pub const RENEWAL: Duration = Duration::from_millis(500);

/// Clocks of two machines gain or lose less than one part in this many against each other.
const DRIFT: u32 = 64;

/// `span` as its holder may count it, shortened so that a clock that runs slow does not make it
/// outlast the same span counted in full by the process that gave it.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::timing;
///
/// assert_eq!(timing::less_drift(Duration::from_secs(64)), Duration::from_secs(63));
/// ```
pub fn less_drift(span: Duration) -> Duration {
    span - span / DRIFT
}
