//! A host's lease that rests on the platform's store.

use std::time::Duration;

use super::LEASE_DURATION;

/// Time after a request that the store has answered until it is asked again. Heartbeats are 250 ms
/// apart, so the next request is sent after 500 ms. One that is lost is noticed 250 ms later, and
/// repeated in time for the answer to arrive before the lease ends.
pub const STORE_RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// The lease that a host obtains from the platform's store, for one service, while it is out of
/// contact with most other hosts: a host that replaces a primary claims that in the store first.
///
/// The lease covers one service. With a single lease for all services, hosts on the smaller side of
/// a partition refused everything that needed a primary while one service was failed over on the
/// other side: half of all statements for six seconds.
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
    /// Records that the store answered a request sent at `sent` and that no host has claimed to
    /// replace the primary.
    pub fn renew(&mut self, sent: Duration) {
        self.renewed_at = self.renewed_at.max(Some(sent));
    }

    /// Reports whether this host may rely on the primary at `now`.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.renewed_at
            .is_some_and(|sent| now < sent + LEASE_DURATION)
    }
}
