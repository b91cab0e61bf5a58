//! EpochTracker of the platform's store: what holds after it has come back from a copy.
//!
//! The store may lose the last seconds of what it has acknowledged. Its counts go back then and are
//! given out again, so nothing that one epoch has counted is compared with what another has. What is
//! lost and still matters is written anew, by those who know it: servers their entries, hosts theirs
//! and the claims that they have heard of. Until that is done, what the store lacks proves nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::HostKey;
use crate::succession::CLAIM_HOLDER_TIMEOUT;

/// How long after a host has heard of a new epoch the claims that the copy lacks are written anew:
/// hosts hear of an epoch with the answer to the call that waits for the configuration, which takes
/// up to 2 s, and write one row for each change of primary that they know of.
pub const CLAIM_REWRITE_TIME: Duration = Duration::from_secs(3);

/// How long after a new epoch the list of servers tells no more than before: a living server has
/// written its entry anew within two seconds, and that of a dead one has lapsed after three of the
/// heartbeats that servers write 1.2 s apart.
pub const SERVER_REWRITE_TIME: Duration = Duration::from_secs(4);

/// What the store has counted between two times that it came back from a copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

impl std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// What an answer of the store says of its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochStatus {
    /// It is the newest that the store has told of, or the first.
    Current,
    /// It is newer than `before`: the store has come back from a copy.
    Restored {
        /// The newest that the store had told of.
        before: Epoch,
    },
    /// It is over: the answer comes late, and holds no longer.
    Outdated,
}

/// What one host knows of the store's epochs.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::time::Duration;
/// use flamingopost_core::epoch::{CLAIM_REWRITE_TIME, Epoch, EpochTracker, EpochStatus};
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::succession::CLAIM_HOLDER_TIMEOUT;
///
/// let at = Duration::from_secs;
/// let others = BTreeSet::from([HostKey::default()]);
/// let mut epochs = EpochTracker::default();
/// assert_eq!(epochs.record_store_epoch(Epoch(4), at(1)), EpochStatus::Current);
/// assert_eq!(epochs.orders_allowed_from(&others), Duration::ZERO);
/// assert_eq!(epochs.record_store_epoch(Epoch(5), at(60)), EpochStatus::Restored { before: Epoch(4) });
/// assert!(!epochs.are_claims_complete(at(60)));
/// assert!(epochs.are_claims_complete(at(60) + CLAIM_REWRITE_TIME));
/// assert_eq!(epochs.orders_allowed_from(&others), at(60) + CLAIM_HOLDER_TIMEOUT);
/// epochs.record_peer_epoch(HostKey::default(), Epoch(5), at(61));
/// assert_eq!(epochs.orders_allowed_from(&others), Duration::ZERO, "nobody acts on what the copy lacks");
/// ```
#[derive(Debug, Default)]
pub struct EpochTracker {
    /// The newest by the store's own word.
    store_epoch: Option<Epoch>,
    /// The newest by anybody's word. What the store says is not judged by it: hosts are told all
    /// sorts of things, by strangers as well.
    newest: Epoch,
    /// When the store has first told of the newest.
    store_epoch_since: Duration,
    /// When the store came back with it, as far as is known.
    restored_at: Option<Duration>,
    /// The newest that each of the other hosts has heard of.
    peers: BTreeMap<HostKey, Epoch>,
}

impl EpochTracker {
    /// The newest epoch by the store's own word.
    pub fn store_epoch(&self) -> Epoch {
        self.store_epoch.unwrap_or_default()
    }

    /// The newest epoch by anybody's word: what was won in an earlier one may be lost.
    pub fn newest_epoch(&self) -> Epoch {
        self.newest
    }

    /// The store has answered in `epoch`.
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
        self.newest = self.newest.max(epoch);
        let Some(before) = before else {
            return EpochStatus::Current;
        };
        self.restored_at = Some(now);
        EpochStatus::Restored { before }
    }

    /// `host` has heard of `epoch`. Returns whether that is news: what the store is asked now is
    /// answered in a newer epoch than what it was asked before.
    pub fn record_peer_epoch(&mut self, host: HostKey, epoch: Epoch, now: Duration) -> bool {
        self.peers.insert(host, epoch);
        if epoch <= self.newest {
            return false;
        }
        self.newest = epoch;
        // One that the store has told nothing yet learns of the first epoch in this way.
        if self.store_epoch.is_some() {
            self.restored_at = Some(now);
        }
        self.store_epoch.is_some()
    }

    /// `epoch` was new at `at`, by the word of another host: one that has just started cannot tell
    /// whether the first epoch that it hears of is.
    pub fn record_restore(&mut self, epoch: Epoch, at: Duration) {
        if self.store_epoch == Some(epoch) && self.restored_at.is_none() {
            self.restored_at = Some(at);
        }
    }

    /// When the store came back with the newest epoch; nothing if it has not, as far as is known.
    pub fn restored_at(&self) -> Option<Duration> {
        self.restored_at
    }

    /// Whether [`EpochTracker::orders_allowed_from`] can be later than `now`.
    pub fn may_delay_orders(&self, now: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| now < at + CLAIM_HOLDER_TIMEOUT)
    }

    /// From when on this host may order a change of primary.
    ///
    /// Guards against two hosts that change one primary: the first has won a claim that the copy
    /// lacks, and another wins it anew. A host that hears of the epoch drops such a claim, so once
    /// all of `others` have said that they have, nobody acts on one any more; one that says nothing
    /// is given the time in which the holder of a claim acts.
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

    /// Whether a claim that the store does not have was never made, as far as it matters.
    ///
    /// Guards against a host that is cut off together with a primary that was replaced: it asks the
    /// store, whose copy lacks the claim, and would go on relying on that primary. A host that has
    /// just started takes the first epoch that it hears of for a new one: it hears of no other host
    /// that could tell.
    pub fn are_claims_complete(&self, now: Duration) -> bool {
        self.store_epoch.is_some() && now >= self.store_epoch_since + CLAIM_REWRITE_TIME
    }

    /// Whether what the store tells may be that of the copy: it takes back nothing that was known before.
    pub fn may_list_be_stale(&self, now: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| now < at + SERVER_REWRITE_TIME)
    }
}
