use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::HostKey;

/// How long a lease that is over is kept.
const RETENTION: Duration = Duration::from_secs(10 * 60);

/// How often such leases are removed. Doing so at each grant would make the cost of a renewal
/// proportional to the number of holders.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// One process of one entry host.
///
/// A restarted process is another holder, which does not know what the earlier one acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// The entry host.
    pub host: HostKey,
    /// The number that its process drew at its start.
    pub incarnation: u64,
}

/// The leases that one controller has granted, each with the latest time at which it can end.
///
/// A holder counts its lease from when it sent the renewal and subtracts a margin for clock drift.
/// The ledger counts the full duration from the grant, so a lease that it considers over has lapsed
/// for its holder as well.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::lease::{Instance, Ledger};
///
/// let mut ledger = Ledger::default();
/// let holder = Instance { host: HostKey::default(), incarnation: 1 };
/// ledger.grant(holder, Duration::from_secs(2), Duration::from_secs(10));
/// assert_eq!(ledger.longest_remaining(Duration::from_secs(11)), Duration::from_secs(1));
/// assert!(ledger.running(Duration::from_secs(12)).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    /// The time at which each lease ends.
    ends: BTreeMap<Instance, Duration>,
    last_cleanup: Duration,
}

impl Ledger {
    /// Records that `holder` is granted a lease of duration `valid` at `now`.
    pub fn grant(&mut self, holder: Instance, valid: Duration, now: Duration) {
        let until = self.ends.entry(holder).or_default();
        *until = (*until).max(now + valid);
        if now >= self.last_cleanup + CLEANUP_INTERVAL {
            self.last_cleanup = now;
            self.ends.retain(|_, until| *until + RETENTION > now);
        }
    }

    /// Records that `holder` gave up its lease at `now`.
    pub fn end(&mut self, holder: Instance, now: Duration) {
        if let Some(until) = self.ends.get_mut(&holder) {
            *until = now.min(*until);
        }
    }

    /// Returns the leases that may still run at `now`, with the times at which they end.
    pub fn running(&self, now: Duration) -> BTreeMap<Instance, Duration> {
        self.ends
            .iter()
            .filter(|(_, until)| **until > now)
            .map(|(holder, until)| (*holder, *until))
            .collect()
    }

    /// Returns how long the last of the leases may still run.
    pub fn longest_remaining(&self, now: Duration) -> Duration {
        let last = self.ends.values().max().copied().unwrap_or_default();
        last.saturating_sub(now)
    }

    /// Returns when the last lease ended whose holder has no lease at `now`.
    ///
    /// Such a holder cannot be asked what it acknowledged.
    pub fn last_lapse(&self, now: Duration) -> Option<Duration> {
        let over = self.ends.values().filter(|until| **until <= now);
        over.max().copied()
    }
}
