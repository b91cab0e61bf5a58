//! Which host grants the operations of a team.
//!
//! All hosts know the same order of candidates for each team. The first one grants, until it has
//! been silent for [`HANDOVER_TIMEOUT`]; then the next one takes its place.

use std::time::Duration;

use super::HANDOVER_TIMEOUT;

/// Returns since when a candidate has been passed over that was last heard `age` ago, or `None` if
/// it is not passed over.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::limit::{HANDOVER_TIMEOUT, passed_over_since};
///
/// let now = Duration::from_secs(60);
/// assert_eq!(passed_over_since(Duration::from_millis(250), now), None);
/// assert_eq!(passed_over_since(HANDOVER_TIMEOUT, now), Some(now));
/// ```
pub fn passed_over_since(age: Duration, now: Duration) -> Option<Duration> {
    let over = age.checked_sub(HANDOVER_TIMEOUT)?;
    Some(now.saturating_sub(over))
}

/// Returns since when a host grants without a break that holds its lease since `lease_since`, where
/// the candidates before it were last heard `ages` ago. Returns `None` if it does not grant.
///
/// A host without a lease is cut off from most others and must not call this: another host has taken
/// its place on the other side.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::limit::grants_since;
///
/// let (lease_since, now) = (Duration::from_secs(10), Duration::from_secs(60));
/// assert_eq!(grants_since(lease_since, [], now), Some(lease_since));
/// let heard = Duration::from_secs(1);
/// assert_eq!(grants_since(lease_since, [heard], now), None, "another host grants");
/// ```
pub fn grants_since(
    lease_since: Duration,
    ages: impl IntoIterator<Item = Duration>,
    now: Duration,
) -> Option<Duration> {
    let mut since = lease_since;
    for age in ages {
        since = since.max(passed_over_since(age, now)?);
    }
    Some(since)
}
