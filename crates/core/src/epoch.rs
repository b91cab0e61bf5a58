//! Epochs of the platform's store: what can be trusted after the store was restored from a copy.
//!
//! A restored store may lack the last seconds of what it has acknowledged. Its counters go back and
//! are issued again, so a count of one epoch is never compared with a count of another. Lost
//! entries that still matter are written again by those who know them: servers write their own
//! entries, hosts write theirs and the claims that they know. Until that is done, the absence of an
//! entry proves nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::HostKey;
use crate::succession::CLAIM_HOLDER_TIMEOUT;

/// Time from a host learning of a new epoch until the claims that the copy lacks are written again.
/// Hosts learn of an epoch from the answer to the call that waits for the configuration, which
/// takes up to 2 s, and write one row for each change of primary that they know.
pub const CLAIM_REWRITE_TIME: Duration = Duration::from_secs(3);

/// Time after a new epoch during which the list of servers adds nothing to what was known before. A
/// live server has written its entry again within two seconds, and the entry of a dead one has
/// expired after three of the heartbeats that servers write 1.2 s apart.
pub const SERVER_REWRITE_TIME: Duration = Duration::from_secs(4);

/// The number of one period of the store between two restores from a copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

impl std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// How the epoch of an answer of the store relates to those seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochStatus {
    /// The epoch is the newest that the store has reported, or the first.
    Current,
    /// The epoch is newer than `before`: the store was restored from a copy.
    Restored {
        /// The newest epoch that the store had reported.
        before: Epoch,
        /// Whether another host had told of the epoch, so that calls which waited then were cancelled.
        was_told: bool,
    },
    /// The epoch has ended: the answer arrives late and is no longer valid.
    Outdated,
}

/// Tracks the store's epochs on one host.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::time::Duration;
/// use flamingopost_core::epoch::{CLAIM_REWRITE_TIME, Epoch, EpochStatus, EpochTracker};
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::succession::CLAIM_HOLDER_TIMEOUT;
///
/// let at = Duration::from_secs;
/// let others = BTreeSet::from([HostKey::default()]);
/// let mut epochs = EpochTracker::default();
/// assert_eq!(epochs.record_store_epoch(Epoch(4), at(1)), EpochStatus::Current);
/// assert_eq!(epochs.orders_allowed_from(&others), Duration::ZERO);
/// let status = epochs.record_store_epoch(Epoch(5), at(60));
/// assert_eq!(status, EpochStatus::Restored { before: Epoch(4), was_told: false });
/// assert!(!epochs.are_claims_complete(at(60)));
/// assert!(epochs.are_claims_complete(at(60) + CLAIM_REWRITE_TIME));
/// assert_eq!(epochs.orders_allowed_from(&others), at(60) + CLAIM_HOLDER_TIMEOUT);
/// epochs.record_peer_epoch(HostKey::default(), Epoch(5), at(61));
/// let from = epochs.orders_allowed_from(&others);
/// assert_eq!(from, Duration::ZERO, "no host acts on a claim that the copy lacks");
/// ```
#[derive(Debug, Default)]
pub struct EpochTracker {
    /// The newest epoch that the store itself has reported.
    store_epoch: Option<Epoch>,
    /// The newest epoch that the store or any host has reported. Answers of the store are not
    /// compared with it: reports of other hosts are not reliable, and may come from hosts of
    /// another fleet.
    newest: Epoch,
    /// When the store first reported its newest epoch.
    store_epoch_since: Duration,
    /// When the store was restored with the newest epoch, if known.
    restored_at: Option<Duration>,
    /// The newest epoch that each of the other hosts knows.
    peers: BTreeMap<HostKey, Epoch>,
}

impl EpochTracker {
    /// Returns the newest epoch that the store itself has reported.
    pub fn store_epoch(&self) -> Epoch {
        self.store_epoch.unwrap_or_default()
    }

    /// Returns the newest epoch that the store or any host has reported. A claim won in an earlier
    /// epoch may be lost.
    pub fn newest_epoch(&self) -> Epoch {
        self.newest
    }

    /// Records that the store has answered in `epoch`.
    pub fn record_store_epoch(&mut self, epoch: Epoch, now: Duration) -> EpochStatus {
        let before = self.store_epoch;
        if before.is_some_and(|before| epoch < before) {
            return EpochStatus::Outdated;
        }
        if before == Some(epoch) {
            return EpochStatus::Current;
        }
        self.store_epoch = Some(epoch);
        self.store_epoch_since = now;
        let was_told = self.newest == epoch;
        self.newest = self.newest.max(epoch);
        let Some(before) = before else {
            return EpochStatus::Current;
        };
        self.restored_at = Some(now);
        EpochStatus::Restored { before, was_told }
    }

    /// Records that `host` knows `epoch`. Returns whether the epoch is new to this host, so that
    /// the store would now answer a request in a newer epoch than before.
    pub fn record_peer_epoch(&mut self, host: HostKey, epoch: Epoch, now: Duration) -> bool {
        self.peers.insert(host, epoch);
        if epoch <= self.newest {
            return false;
        }
        self.newest = epoch;
        // A host that has had no answer of the store yet learns of its first epoch this way.
        if self.store_epoch.is_some() {
            self.restored_at = Some(now);
        }
        self.store_epoch.is_some()
    }

    /// Records that, according to another host, the store was restored with `epoch` at `at`. A host
    /// that has just started cannot tell whether the first epoch that it sees is new.
    pub fn record_restore(&mut self, epoch: Epoch, at: Duration) {
        if self.store_epoch == Some(epoch) && self.restored_at.is_none() {
            self.restored_at = Some(at);
        }
    }

    /// Returns when the store was restored with the newest epoch, or `None` if no restore is known.
    pub fn restored_at(&self) -> Option<Duration> {
        self.restored_at
    }

    /// Reports whether [`EpochTracker::orders_allowed_from`] can be later than `now`.
    pub fn may_delay_orders(&self, now: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| now < at + CLAIM_HOLDER_TIMEOUT)
    }

    /// Returns the time from which this host may order a change of primary.
    ///
    /// Guards against two hosts that replace the same primary: one has won a claim that the copy
    /// lacks, and another wins it again. A host that learns of the epoch drops such a claim. So
    /// once all of `others` have reported the epoch, no host acts on one any more; a host that does
    /// not report is given the time within which the holder of a claim acts.
    pub fn orders_allowed_from(&self, others: &BTreeSet<HostKey>) -> Duration {
        let Some(restored) = self.restored_at else {
            return Duration::ZERO;
        };
        let knows = |host: &HostKey| self.peers.get(host).is_some_and(|it| *it >= self.newest);
        match others.iter().all(knows) {
            true => Duration::ZERO,
            false => restored + CLAIM_HOLDER_TIMEOUT,
        }
    }

    /// Reports whether a claim that the store lacks can be taken as never made.
    ///
    /// Guards against a host that is cut off together with a replaced primary: it asks the store,
    /// whose copy lacks the claim, and would keep relying on that primary. A host that has just
    /// started treats the first epoch that it sees as new, because it may reach no other host that
    /// knows better.
    pub fn are_claims_complete(&self, now: Duration) -> bool {
        self.store_epoch.is_some() && now >= self.store_epoch_since + CLAIM_REWRITE_TIME
    }

    /// Reports whether the store's epoch may have begun a moment ago, as far as its own answers
    /// tell: servers may not have written their entries again.
    pub fn is_epoch_recent(&self, now: Duration) -> bool {
        self.store_epoch.is_none() || now < self.store_epoch_since + SERVER_REWRITE_TIME
    }

    /// Reports whether the store may still return the contents of the copy. Such an answer
    /// overrides nothing that was known before.
    pub fn may_store_be_stale(&self, now: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| now < at + SERVER_REWRITE_TIME)
    }
}
