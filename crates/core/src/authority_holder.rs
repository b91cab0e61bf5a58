use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Heartbeat, Promise, Released};
use crate::key::HostKey;
use crate::row::{Row, Service, WriteOutcome};
use crate::{key::ServiceKey, timing};

/// The authority of a controller over its shard, and the row that it keeps.
#[derive(Debug)]
pub struct ShardAuthority {
    me: HostKey,
    incarnation: u64,
    epoch: u32,
    /// The row as it ought to be; the table or the standbys follow.
    row: Row,
    /// The table's row as last confirmed by a read or a write's answer.
    confirmed: Confirmed,
    /// Writes of unknown outcome that may yet take effect, with the standbys they name.
    unsettled: Vec<Sent>,
    writing: Option<Sent>,
    read_sent: Duration,
    standbys: BTreeMap<HostKey, Peer>,
    /// From when leases may be granted and promotions ordered.
    settled: Duration,
    predecessor: Option<(HostKey, u64)>,
    over: bool,
}

#[derive(Debug)]
struct Confirmed {
    revision: u64,
    standbys: BTreeSet<HostKey>,
    /// When the last write that is known to have taken effect was sent.
    written: Duration,
}

#[derive(Debug)]
struct Sent {
    revision: u64,
    over: u64,
    standbys: BTreeSet<HostKey>,
    sent: Duration,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    /// When this incarnation first answered.
    met: Option<Duration>,
    /// Whether it is known that no earlier process on the host has claimed.
    vouched: bool,
    asked: Option<Duration>,
    /// When the last ask that was answered was sent.
    answered: Option<Duration>,
    promised: Duration,
    revision: u64,
}

/// A compare-and-set that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// The row to write.
    pub row: Row,
    /// Revision of the row that it replaces.
    pub replaces: u64,
}

impl ShardAuthority {
    /// The authority of a process whose claim put `row` into the table. The claim was sent at
    /// `sent`; `predecessor` is the process that the replaced row named.
    pub fn new(
        row: Row,
        predecessor: Option<(HostKey, u64)>,
        sent: Duration,
        now: Duration,
    ) -> ShardAuthority {
        // The old controller may have sent its last read just before the claim took effect,
        // which was no later than now. Without a predecessor there is nobody to wait for.
        let settled = match predecessor {
            Some(_) => now + timing::AUTHORITY_DURATION,
            None => now,
        };
        ShardAuthority {
            me: row.controller,
            incarnation: row.incarnation,
            epoch: row.epoch,
            confirmed: Confirmed {
                revision: row.revision,
                standbys: row.standbys.clone(),
                written: sent,
            },
            row,
            unsettled: Vec::new(),
            writing: None,
            read_sent: sent,
            standbys: BTreeMap::new(),
            settled,
            predecessor,
            over: false,
        }
    }

    /// The epoch of this authority.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// The row as it ought to be.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Whether another process is known to have replaced this one.
    pub fn is_replaced(&self) -> bool {
        self.over
    }

    /// Until when the row is known to name this process.
    pub fn valid_until(&self) -> Duration {
        if self.over {
            return Duration::ZERO;
        }
        let by_read = self.read_sent + timing::less_drift(timing::AUTHORITY_DURATION);
        by_read.max(self.until_by_promises())
    }

    /// From when the authority that this one replaced is over.
    pub fn settled_at(&self) -> Duration {
        self.settled
    }

    /// Whether this process may act for the shard at `now`.
    pub fn may_act(&self, now: Duration) -> bool {
        now >= self.settled && now < self.valid_until()
    }

    /// The longest lease that may be granted at `now`: none outlives the authority behind it.
    pub fn max_lease(&self, now: Duration) -> Duration {
        if !self.may_act(now) {
            return Duration::ZERO;
        }
        self.valid_until()
            .saturating_sub(now)
            .min(timing::LEASE_DURATION)
    }

    /// Takes what a read of the table, sent at `sent`, found.
    pub fn on_row_read(&mut self, sent: Duration, row: Option<&Row>) {
        let Some(row) = row else {
            self.over = true;
            return;
        };
        let process = (row.controller, row.incarnation);
        if row.epoch != self.epoch || process != (self.me, self.incarnation) {
            // A read that was overtaken by this process's own claim finds an older epoch.
            self.over |= row.epoch >= self.epoch;
            return;
        }
        self.read_sent = self.read_sent.max(sent);
        // The row still named this process when these had answered, so nobody had claimed.
        for peer in self.standbys.values_mut() {
            peer.vouched |= peer.met.is_some_and(|met| met <= sent);
        }
        self.confirm(row.revision);
    }

    /// Takes the answer to the write of `revision`.
    pub fn on_write_outcome(&mut self, revision: u64, written: WriteOutcome) {
        let ours = |writing: &Sent| writing.revision == revision;
        let Some(writing) = self.writing.take_if(|writing| ours(writing)) else {
            return;
        };
        match written {
            WriteOutcome::Done => {
                self.read_sent = self.read_sent.max(writing.sent);
                self.unsettled.push(writing);
                self.confirm(revision);
            }
            // Somebody else's row, or an earlier write of this process that was thought lost:
            // the next read tells.
            WriteOutcome::NotDone => {}
            WriteOutcome::Unknown => self.unsettle(writing),
        }
    }

    /// Takes a standby's answer, at `now`, to an ask that was sent at `sent`.
    pub fn on_promise(&mut self, host: HostKey, sent: Duration, promise: Promise, now: Duration) {
        if promise.epoch > self.epoch {
            // Its epoch comes from a row that it has read, so this process has been replaced; or
            // it is claiming, and the table will tell. Either way its promise is not given.
            return;
        }
        let peer = self.standbys.entry(host).or_default();
        if peer.met.is_none() || peer.incarnation != promise.incarnation {
            // A restarted standby does not know whether it claimed before, and its promise would
            // revive an authority that its earlier process has replaced. That process cannot have
            // claimed while its own promise was running.
            peer.vouched &= sent < peer.promised;
            peer.incarnation = promise.incarnation;
            peer.met = Some(now);
        }
        peer.answered = peer.answered.max(Some(sent));
        peer.revision = promise.revision;
        if promise.given {
            let until = sent + timing::less_drift(promise.valid);
            peer.promised = peer.promised.max(until);
        }
    }

    /// Takes the answer of the replaced controller at `host`: its leases are waited for instead
    /// of its authority.
    pub fn on_released(&mut self, host: HostKey, released: &Released, now: Duration) {
        if let Some(row) = &released.row {
            self.learn(row);
        }
        if self.predecessor == Some((host, released.incarnation)) {
            self.settled = self.settled.min(now + released.leases);
        }
    }

    /// Takes in what another process knows of services.
    pub fn learn(&mut self, row: &Row) {
        let before = self.row.services.clone();
        self.row.merge(row);
        if before != self.row.services {
            self.row.revision += 1;
        }
    }

    /// Sets the state of a service and returns the revision that has to be committed for it.
    pub fn set_service(&mut self, key: ServiceKey, service: Service) -> u64 {
        self.row.services.insert(key, service);
        self.row.revision += 1;
        self.row.revision
    }

    /// The revision that a successor is sure to know of: it is in the table, or every standby
    /// that could claim has it.
    pub fn committed_revision(&self) -> u64 {
        self.confirmed.revision.max(self.kept_by_standbys())
    }

    /// The write to send at `now`, if one is due and none is under way.
    pub fn next_write(&mut self, now: Duration) -> Option<RowWrite> {
        if self.over || self.writing.is_some() {
            return None;
        }
        if now >= self.confirmed.written + self.touch_after() {
            self.touch();
        }
        if self.row.revision <= self.confirmed.revision {
            return None;
        }
        let writing = Sent {
            revision: self.row.revision,
            over: self.confirmed.revision,
            standbys: self.row.standbys.clone(),
            sent: now,
        };
        self.writing = Some(writing);
        Some(RowWrite {
            row: self.row.clone(),
            replaces: self.confirmed.revision,
        })
    }

    /// Whether no write has failed since the table last answered, so the next need not wait.
    pub fn may_write_at_once(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// The asks to send at `now`: heartbeats, and promises where the table is silent.
    pub fn heartbeats(
        &mut self,
        candidates: &[HostKey],
        now: Duration,
    ) -> Vec<(HostKey, Heartbeat)> {
        if self.over {
            return Vec::new();
        }
        let (promise, keep) = (self.needs_promises(now), self.needs_keeping(now));
        let mut hosts = self.named();
        let silent = |host: &HostKey| !self.heard(*host, timing::STANDBY_TIMEOUT, now);
        if self.row.standbys.len() < timing::STANDBY_COUNT || self.row.standbys.iter().any(silent) {
            hosts.extend(candidates.iter().filter(|host| **host != self.me));
        }
        let mut asks = Vec::new();
        for host in hosts {
            let peer = self.standbys.entry(host).or_default();
            let behind = peer.revision < self.row.revision;
            let pause = match keep && behind {
                true => timing::RESEND_INTERVAL,
                false => timing::HEARTBEAT_INTERVAL,
            };
            if peer.asked.is_some_and(|asked| now < asked + pause) {
                continue;
            }
            peer.asked = Some(now);
            let ask = Heartbeat {
                epoch: self.epoch,
                wants_promise: promise,
                revision: self.row.revision,
                row: behind.then(|| self.row.clone()),
            };
            asks.push((host, ask));
        }
        asks
    }

    /// Names standbys among `candidates`, best first, where some are missing or silent. Only
    /// hosts that answer are named: one that cannot hear this process would claim at once.
    pub fn choose_standbys(&mut self, candidates: &[HostKey], now: Duration) {
        // While the table is silent, each new name would only add to those who must promise.
        if self.over || !self.unsettled.is_empty() || self.needs_promises(now) {
            return;
        }
        let silent = |host: &&HostKey| !self.heard(**host, timing::STANDBY_TIMEOUT, now);
        let (lost, mut named): (Vec<HostKey>, BTreeSet<HostKey>) = (
            self.row.standbys.iter().filter(silent).copied().collect(),
            self.row
                .standbys
                .iter()
                .filter(|host| !silent(host))
                .copied()
                .collect(),
        );
        let fresh = |host: &&HostKey| self.heard(**host, timing::CONTROLLER_TIMEOUT, now);
        let others = candidates.iter().filter(|host| **host != self.me);
        // Never fewer than before: naming none would end the authority by promises.
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

    /// Gives up, for good, and tells the successor what it has to wait for. `leases` is how long
    /// the leases that were granted may still run.
    pub fn release(&mut self, leases: Duration, now: Duration) -> Released {
        self.over = true;
        Released {
            incarnation: self.incarnation,
            leases: leases.max(self.settled.saturating_sub(now)),
            witnessed_epoch: self.epoch,
            row: Some(self.row.clone()),
        }
    }

    /// Hosts from which a successor may want to hear: the predecessor and all who were named.
    pub fn possible_witnesses(&self) -> BTreeSet<HostKey> {
        let mut hosts = self.named();
        hosts.extend(self.predecessor.map(|(host, _)| host));
        hosts.remove(&self.me);
        hosts
    }

    fn vouched(&self, host: HostKey) -> Option<&Peer> {
        self.standbys.get(&host).filter(|peer| peer.vouched)
    }

    fn heard(&self, host: HostKey, within: Duration, now: Duration) -> bool {
        let peer = self.standbys.get(&host);
        let answered = peer.and_then(|peer| peer.answered);
        answered.is_some_and(|answered| now < answered + within)
    }

    fn until_by_promises(&self) -> Duration {
        // Without a standby to ask, nobody has promised anything.
        if self.confirmed.standbys.is_empty() {
            return Duration::ZERO;
        }
        let promised = |host: &HostKey| self.vouched(*host).map(|peer| peer.promised);
        let least = self.named().iter().map(promised).min();
        let least = least.flatten().unwrap_or_default();
        let orphaned = self.confirmed.written + timing::less_drift(timing::ORPHAN_TIMEOUT);
        least.min(orphaned)
    }

    fn kept_by_standbys(&self) -> u64 {
        if self.confirmed.standbys.is_empty() {
            return 0;
        }
        let kept = |host: &HostKey| self.vouched(*host).map_or(0, |peer| peer.revision);
        self.named().iter().map(kept).min().unwrap_or(0)
    }

    /// Everybody who may be named in the table: a write whose answer was lost may have taken
    /// effect, or may yet, and the standbys it names could then claim.
    fn named(&self) -> BTreeSet<HostKey> {
        let mut named = self.confirmed.standbys.clone();
        for unsettled in &self.unsettled {
            named.extend(unsettled.standbys.iter().copied());
        }
        if let Some(writing) = &self.writing {
            named.extend(writing.standbys.iter().copied());
        }
        named
    }

    fn unsettle(&mut self, lost: Sent) {
        let same = |write: &Sent| (write.revision, write.over) == (lost.revision, lost.over);
        // The first sending counts: it bounds from below when the row can have changed.
        if !self.unsettled.iter().any(same) {
            self.unsettled.push(lost);
        }
    }

    fn confirm(&mut self, revision: u64) {
        if revision < self.confirmed.revision {
            return;
        }
        let sent = self.unsettled.iter().chain(&self.writing);
        if let Some(sent) = sent.into_iter().find(|write| write.revision == revision) {
            self.confirmed.standbys = sent.standbys.clone();
            self.confirmed.written = sent.sent;
        }
        self.confirmed.revision = revision;
        // A write over an earlier revision can no longer take effect.
        self.unsettled.retain(|write| write.over >= revision);
    }

    fn needs_promises(&self, now: Duration) -> bool {
        now >= self.read_sent + timing::ROW_READ_OVERDUE
    }

    fn needs_keeping(&self, now: Duration) -> bool {
        let writing = self.writing.as_ref();
        let slow = writing.is_some_and(|writing| now >= writing.sent + timing::ROW_WRITE_OVERDUE);
        slow || !self.unsettled.is_empty() || self.needs_promises(now)
    }

    fn touch_after(&self) -> Duration {
        match self.confirmed.standbys.is_empty() {
            true => timing::ROW_REFRESH_INTERVAL_NO_STANDBY,
            false => timing::ROW_REFRESH_INTERVAL,
        }
    }

    fn touch(&mut self) {
        if self.row.revision == self.confirmed.revision {
            self.row.revision += 1;
        }
    }
}
