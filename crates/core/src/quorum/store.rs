//! A host's lease by the word of the platform's store.

use std::time::Duration;

use super::LEASE_DURATION;

/// The lease that a host has by the platform's store, for one service, where it is out of touch
/// with most others: whoever replaces a primary claims that in the store first.
///
/// For one service at a time: with a lease for all or none, hosts on the smaller side of a split
/// refused what needed any primary while a single one was replaced on the other side, half of all
/// statements for six seconds.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::quorum::{LEASE_DURATION, StoreLease};
///
/// let at = Duration::from_millis(100);
/// let mut lease = StoreLease::default();
/// assert!(!lease.holds_lease(at));
/// lease.renew(at);
/// assert!(lease.holds_lease(at));
/// assert!(!lease.holds_lease(at + LEASE_DURATION));
/// ```
#[derive(Debug, Default)]
pub struct StoreLease {
    renewed_at: Option<Duration>,
}

impl StoreLease {
    /// The store has answered what was sent at `sent`: nobody has claimed to replace the primary.
    pub fn renew(&mut self, sent: Duration) {
        self.renewed_at = self.renewed_at.max(Some(sent));
    }

    /// Whether this host may rely on the primary at `now`.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.renewed_at
            .is_some_and(|sent| now < sent + LEASE_DURATION)
    }
}
