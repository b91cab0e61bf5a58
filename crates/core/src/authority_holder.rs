use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Heartbeat, Promise, Released};
use crate::key::HostKey;
use crate::row::{Row, Service, WriteOutcome};
use crate::{key::ServiceKey, timing};

/// A controller's authority over its shard, and the row that it maintains.
#[derive(Debug)]
pub struct ShardAuthority {
    own_host: HostKey,
    incarnation: u64,
    epoch: u32,
    /// The intended row. The table, or the standbys during an outage, receive it afterwards.
    row: Row,
    /// The table's row as last confirmed by a read or an acknowledged write.
    confirmed: Confirmed,
    /// Writes of unknown outcome, which may yet take effect, with the standbys that they name.
    unsettled: Vec<SentWrite>,
    /// The write whose answer is awaited.
    writing: Option<SentWrite>,
    /// When the last read or write was sent that showed this process as the controller.
    last_read_sent: Duration,
    /// State of each host that was sent a heartbeat.
    standbys: BTreeMap<HostKey, Peer>,
    /// Time from which leases may be granted and promotions ordered.
    settled_at: Duration,
    predecessor: Option<(HostKey, u64)>,
    /// Whether this process gave up the authority or is known to have lost it.
    replaced: bool,
}

#[derive(Debug)]
struct Confirmed {
    revision: u64,
    standbys: BTreeSet<HostKey>,
    /// When the last write that is known to have succeeded was sent.
    last_write_sent: Duration,
}

#[derive(Debug)]
struct SentWrite {
    revision: u64,
    replaces: u64,
    standbys: BTreeSet<HostKey>,
    sent: Duration,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    /// When this incarnation first answered a heartbeat.
    first_answer: Option<Duration>,
    /// Whether it is known that no earlier process on the host has claimed the shard.
    verified: bool,
    heartbeat_sent: Option<Duration>,
    /// When the last answered heartbeat was sent.
    last_answered: Option<Duration>,
    promised_until: Duration,
    /// The newest revision of this authority's row that the host has.
    revision: u64,
}

/// A compare-and-set of the row that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// The row to write.
    pub row: Row,
    /// Revision of the row that is replaced.
    pub replaces: u64,
}

impl ShardAuthority {
    /// Creates the authority of a process whose claim wrote `row` to the table.
    ///
    /// The claim was sent at `sent`. `predecessor` is the controller process that the replaced row
    /// named.
    pub fn new(
        row: Row,
        predecessor: Option<(HostKey, u64)>,
        sent: Duration,
        now: Duration,
    ) -> ShardAuthority {
        // The old controller may have sent its last read just before the claim took effect,
        // which was no later than `now`. Without a predecessor there is nothing to wait for.
        let settled_at = match predecessor {
            Some(_) => now + timing::AUTHORITY_DURATION,
            None => now,
        };
        ShardAuthority {
            own_host: row.controller,
            incarnation: row.incarnation,
            epoch: row.epoch,
            confirmed: Confirmed {
                revision: row.revision,
                standbys: row.standbys.clone(),
                last_write_sent: sent,
            },
            row,
            unsettled: Vec::new(),
            writing: None,
            last_read_sent: sent,
            standbys: BTreeMap::new(),
            settled_at,
            predecessor,
            replaced: false,
        }
    }

    /// Returns the epoch of this authority.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the intended row.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Reports whether another process is known to have replaced this one.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns the time until which the row is known to name this process.
    pub fn valid_until(&self) -> Duration {
        if self.replaced {
            return Duration::ZERO;
        }
        let by_read = self.last_read_sent + timing::less_drift(timing::AUTHORITY_DURATION);
        by_read.max(self.valid_until_by_promises())
    }

    /// Returns the time from which the authority of the predecessor is over.
    pub fn settled_at(&self) -> Duration {
        self.settled_at
    }

    /// Reports whether this process may act for the shard at `now`.
    pub fn may_act(&self, now: Duration) -> bool {
        now >= self.settled_at && now < self.valid_until()
    }

    /// Returns the longest lease that may be granted at `now`.
    ///
    /// No lease outlives the authority under which it is granted.
    pub fn max_lease(&self, now: Duration) -> Duration {
        if !self.may_act(now) {
            return Duration::ZERO;
        }
        self.valid_until()
            .saturating_sub(now)
            .min(timing::LEASE_DURATION)
    }

    /// Handles the result of a table read that was sent at `sent`.
    pub fn on_row_read(&mut self, sent: Duration, row: Option<&Row>) {
        let Some(row) = row else {
            self.replaced = true;
            return;
        };
        let process = (row.controller, row.incarnation);
        if row.epoch != self.epoch || process != (self.own_host, self.incarnation) {
            // A read that was overtaken by this process's own claim returns an older epoch.
            self.replaced |= row.epoch >= self.epoch;
            return;
        }
        self.last_read_sent = self.last_read_sent.max(sent);
        // The row still named this process after these standbys had answered, so none of them
        // had claimed.
        for peer in self.standbys.values_mut() {
            peer.verified |= peer.first_answer.is_some_and(|answered| answered <= sent);
        }
        self.confirm_revision(row.revision);
    }

    /// Handles the outcome of the write of `revision`.
    pub fn on_write_outcome(&mut self, revision: u64, written: WriteOutcome) {
        let ours = |writing: &SentWrite| writing.revision == revision;
        let Some(writing) = self.writing.take_if(|writing| ours(writing)) else {
            return;
        };
        match written {
            WriteOutcome::Done => {
                self.last_read_sent = self.last_read_sent.max(writing.sent);
                self.unsettled.push(writing);
                self.confirm_revision(revision);
            }
            // The table holds another process's row, or an earlier write of this process whose
            // answer was lost. The next read distinguishes the two.
            WriteOutcome::NotDone => {}
            WriteOutcome::Unknown => self.mark_unsettled(writing),
        }
    }

    /// Handles a standby's answer, received at `now`, to a heartbeat that was sent at `sent`.
    pub fn on_promise(&mut self, host: HostKey, sent: Duration, promise: Promise, now: Duration) {
        if promise.epoch > self.epoch {
            // The standby has read a row of a later epoch, so this process has been replaced; or
            // the standby is claiming, and the next read shows the outcome. Neither is a promise.
            return;
        }
        let peer = self.standbys.entry(host).or_default();
        if peer.first_answer.is_none() || peer.incarnation != promise.incarnation {
            // A restarted standby does not know whether it claimed before, and its promise could
            // revive an authority that its earlier process has replaced. The earlier process
            // cannot have claimed while its own promise was running.
            peer.verified &= sent < peer.promised_until;
            peer.incarnation = promise.incarnation;
            peer.first_answer = Some(now);
        }
        peer.last_answered = peer.last_answered.max(Some(sent));
        peer.revision = promise.revision;
        if promise.given {
            let until = sent + timing::less_drift(promise.valid);
            peer.promised_until = peer.promised_until.max(until);
        }
    }

    /// Handles a release answer from `host`.
    ///
    /// If it comes from the replaced controller, this authority waits for that controller's leases
    /// instead of its whole authority.
    pub fn on_released(&mut self, host: HostKey, released: &Released, now: Duration) {
        if let Some(row) = &released.row {
            self.learn(row);
        }
        if self.predecessor == Some((host, released.incarnation)) {
            self.settled_at = self.settled_at.min(now + released.leases);
        }
    }

    /// Merges the service states that another process knows.
    pub fn learn(&mut self, row: &Row) {
        let before = self.row.services.clone();
        self.row.merge(row);
        if before != self.row.services {
            self.row.revision += 1;
        }
    }

    /// Sets the state of a service and returns the revision that must be committed for it.
    pub fn set_service(&mut self, key: ServiceKey, service: Service) -> u64 {
        self.row.services.insert(key, service);
        self.row.revision += 1;
        self.row.revision
    }

    /// Returns the newest revision that every possible successor knows.
    ///
    /// It is in the table, or every standby that could claim has it.
    pub fn committed_revision(&self) -> u64 {
        self.confirmed
            .revision
            .max(self.revision_kept_by_standbys())
    }

    /// Returns the write to send at `now`, if one is due and none is in progress.
    pub fn next_write(&mut self, now: Duration) -> Option<RowWrite> {
        if self.replaced || self.writing.is_some() {
            return None;
        }
        if now >= self.confirmed.last_write_sent + self.touch_interval() {
            self.touch();
        }
        if self.row.revision <= self.confirmed.revision {
            return None;
        }
        let writing = SentWrite {
            revision: self.row.revision,
            replaces: self.confirmed.revision,
            standbys: self.row.standbys.clone(),
            sent: now,
        };
        self.writing = Some(writing);
        Some(RowWrite {
            row: self.row.clone(),
            replaces: self.confirmed.revision,
        })
    }

    /// Reports whether no write has an unknown outcome, so that the next needs no backoff.
    pub fn may_write_at_once(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// Returns the heartbeats to send at `now`.
    ///
    /// They request promises while reads of the table are overdue.
    pub fn heartbeats(
        &mut self,
        candidates: &[HostKey],
        now: Duration,
    ) -> Vec<(HostKey, Heartbeat)> {
        if self.replaced {
            return Vec::new();
        }
        let (wants_promise, keep_copies) =
            (self.needs_promises(now), self.needs_standby_copies(now));
        let mut hosts = self.possible_standbys();
        let silent = |host: &HostKey| !self.answered_within(*host, timing::STANDBY_TIMEOUT, now);
        if self.row.standbys.len() < timing::STANDBY_COUNT || self.row.standbys.iter().any(silent) {
            hosts.extend(candidates.iter().filter(|host| **host != self.own_host));
        }
        let mut heartbeats = Vec::new();
        for host in hosts {
            let peer = self.standbys.entry(host).or_default();
            let behind = peer.revision < self.row.revision;
            let pause = match keep_copies && behind {
                true => timing::RESEND_INTERVAL,
                false => timing::HEARTBEAT_INTERVAL,
            };
            if peer.heartbeat_sent.is_some_and(|sent| now < sent + pause) {
                continue;
            }
            peer.heartbeat_sent = Some(now);
            let heartbeat = Heartbeat {
                epoch: self.epoch,
                wants_promise,
                revision: self.row.revision,
                row: behind.then(|| self.row.clone()),
            };
            heartbeats.push((host, heartbeat));
        }
        heartbeats
    }

    /// Chooses standbys where some are missing or silent. `candidates` are ordered best first.
    ///
    /// Only hosts that answer are chosen: a host that receives no heartbeats would claim at once.
    pub fn choose_standbys(&mut self, candidates: &[HostKey], now: Duration) {
        // While the table is unavailable, each further standby is one more that must promise.
        if self.replaced || !self.unsettled.is_empty() || self.needs_promises(now) {
            return;
        }
        let silent = |host: &&HostKey| !self.answered_within(**host, timing::STANDBY_TIMEOUT, now);
        let (lost, mut named): (Vec<HostKey>, BTreeSet<HostKey>) = (
            self.row.standbys.iter().filter(silent).copied().collect(),
            self.row
                .standbys
                .iter()
                .filter(|host| !silent(host))
                .copied()
                .collect(),
        );
        let fresh = |host: &&HostKey| self.answered_within(**host, timing::CONTROLLER_TIMEOUT, now);
        let others = candidates.iter().filter(|host| **host != self.own_host);
        // Silent standbys are kept rather than dropped without a replacement: with no standby
        // named, promises could not extend the authority.
        for host in others.filter(fresh).chain(&lost) {
            if named.len() < timing::STANDBY_COUNT {
                named.insert(*host);
            }
        }
        if named != self.row.standbys {
            self.row.standbys = named;
            self.row.revision += 1;
        }
    }

    /// Gives up the authority permanently and returns what the successor has to wait for.
    ///
    /// `leases` is how long the granted leases may still run.
    pub fn release(&mut self, leases: Duration, now: Duration) -> Released {
        self.replaced = true;
        Released {
            incarnation: self.incarnation,
            leases: leases.max(self.settled_at.saturating_sub(now)),
            witnessed_epoch: self.epoch,
            row: Some(self.row.clone()),
        }
    }

    /// Returns the hosts that may be witnesses: the predecessor and every possible standby.
    pub fn possible_witnesses(&self) -> BTreeSet<HostKey> {
        let mut hosts = self.possible_standbys();
        hosts.extend(self.predecessor.map(|(host, _)| host));
        hosts.remove(&self.own_host);
        hosts
    }

    fn verified_peer(&self, host: HostKey) -> Option<&Peer> {
        self.standbys.get(&host).filter(|peer| peer.verified)
    }

    fn answered_within(&self, host: HostKey, within: Duration, now: Duration) -> bool {
        let peer = self.standbys.get(&host);
        let answered = peer.and_then(|peer| peer.last_answered);
        answered.is_some_and(|answered| now < answered + within)
    }

    /// Returns the time until which every possible standby has promised not to claim.
    fn valid_until_by_promises(&self) -> Duration {
        // With no standby named there is no promise to rely on.
        if self.confirmed.standbys.is_empty() {
            return Duration::ZERO;
        }
        let promised = |host: &HostKey| self.verified_peer(*host).map(|peer| peer.promised_until);
        let least = self.possible_standbys().iter().map(promised).min();
        let least = least.flatten().unwrap_or_default();
        let orphaned = self.confirmed.last_write_sent + timing::less_drift(timing::ORPHAN_TIMEOUT);
        least.min(orphaned)
    }

    fn revision_kept_by_standbys(&self) -> u64 {
        if self.confirmed.standbys.is_empty() {
            return 0;
        }
        let kept = |host: &HostKey| self.verified_peer(*host).map_or(0, |peer| peer.revision);
        self.possible_standbys().iter().map(kept).min().unwrap_or(0)
    }

    /// Returns every host that the table may name as a standby.
    ///
    /// A write whose answer was lost may have taken effect, or may yet, and the standbys that it
    /// names could then claim.
    fn possible_standbys(&self) -> BTreeSet<HostKey> {
        let mut named = self.confirmed.standbys.clone();
        for unsettled in &self.unsettled {
            named.extend(unsettled.standbys.iter().copied());
        }
        if let Some(writing) = &self.writing {
            named.extend(writing.standbys.iter().copied());
        }
        named
    }

    fn mark_unsettled(&mut self, lost: SentWrite) {
        let same =
            |write: &SentWrite| (write.revision, write.replaces) == (lost.revision, lost.replaces);
        // The first send time is kept: it is a lower bound for when the row can have changed.
        if !self.unsettled.iter().any(same) {
            self.unsettled.push(lost);
        }
    }

    fn confirm_revision(&mut self, revision: u64) {
        if revision < self.confirmed.revision {
            return;
        }
        let sent = self.unsettled.iter().chain(&self.writing);
        if let Some(sent) = sent.into_iter().find(|write| write.revision == revision) {
            self.confirmed.standbys = sent.standbys.clone();
            self.confirmed.last_write_sent = sent.sent;
        }
        self.confirmed.revision = revision;
        // A write that replaces an earlier revision can no longer take effect.
        self.unsettled.retain(|write| write.replaces >= revision);
    }

    /// Reports whether reads of the table are overdue, so that promises are needed.
    fn needs_promises(&self, now: Duration) -> bool {
        now >= self.last_read_sent + timing::ROW_READ_OVERDUE
    }

    /// Reports whether writes or reads of the table are overdue, so that standbys have to keep the
    /// row instead.
    fn needs_standby_copies(&self, now: Duration) -> bool {
        let writing = self.writing.as_ref();
        let slow = writing.is_some_and(|writing| now >= writing.sent + timing::ROW_WRITE_OVERDUE);
        slow || !self.unsettled.is_empty() || self.needs_promises(now)
    }

    fn touch_interval(&self) -> Duration {
        match self.confirmed.standbys.is_empty() {
            true => timing::ROW_REFRESH_INTERVAL_NO_STANDBY,
            false => timing::ROW_REFRESH_INTERVAL,
        }
    }

    /// Increments the revision of an unchanged row, so that a write of it is due.
    fn touch(&mut self) {
        if self.row.revision == self.confirmed.revision {
            self.row.revision += 1;
        }
    }
}
