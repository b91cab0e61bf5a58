use std::collections::BTreeSet;
use std::time::Duration;

use super::{Heartbeat, Promise};
use crate::key::HostKey;
use crate::row::{Row, WriteOutcome};
use crate::timing;

/// State of a process that does not control the shard: its promise, what it knows of the row, and
/// whether it may claim the shard.
#[derive(Debug)]
pub struct Standby {
    own_host: HostKey,
    incarnation: u64,
    started: Duration,
    /// Time until which this process has promised not to claim.
    promised_until: Duration,
    last_heartbeat: Duration,
    /// The greatest epoch seen.
    epoch: u32,
    /// The epoch of which this process is a witness.
    witnessed_epoch: u32,
    /// The shard's services as learnt from the table and from heartbeats.
    known_row: Option<Row>,
    /// The result of the last successful read of the table.
    observed: Option<ObservedRow>,
    attempt: Option<Attempt>,
    /// Whether an operator allowed this process to claim at once.
    forced: bool,
}

#[derive(Debug)]
struct ObservedRow {
    row: Option<Row>,
    /// When the row was first read with this content.
    first_seen: Duration,
    /// When it was last read with this content.
    last_seen: Duration,
}

#[derive(Debug)]
struct Attempt {
    row: Row,
    replaces: Option<u64>,
    predecessor: Option<(HostKey, u64)>,
    sent: Duration,
    replaced_epoch: u32,
    witnessed: bool,
    /// Whether the answer was lost, so that only a read of the table shows the outcome.
    answer_lost: bool,
}

/// A claim: replace the row of revision `replaces` by `row`, by compare-and-set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The new row.
    pub row: Row,
    /// Revision that is replaced, or `None` if there is no row.
    pub replaces: Option<u64>,
}

/// What a read of the table or a claim's answer means for this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This process has not become the controller.
    Unchanged,
    /// The claim succeeded. This process controls the shard once the old authority is over.
    Won {
        /// The row that was written.
        row: Row,
        /// The controller process that the replaced row named.
        predecessor: Option<(HostKey, u64)>,
        /// When the claim was first sent.
        sent: Duration,
        /// The epoch that is replaced, or 0 if there was no row.
        replaced_epoch: u32,
        /// Whether this process is a witness of that epoch.
        witnessed: bool,
    },
}

impl Standby {
    /// Creates the standby of a process that started at `started`.
    pub fn new(own_host: HostKey, incarnation: u64, started: Duration) -> Standby {
        Standby {
            own_host,
            incarnation,
            started,
            promised_until: Duration::ZERO,
            last_heartbeat: started,
            epoch: 0,
            witnessed_epoch: 0,
            known_row: None,
            observed: None,
            attempt: None,
            forced: false,
        }
    }

    /// Records that an authority of `epoch` exists. No lower epoch gets a promise from now on.
    pub fn observe_epoch(&mut self, epoch: u32) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Restarts the silence timer at `now`.
    ///
    /// Called when this process has just been replaced, which shows that a controller exists.
    pub fn restart_silence(&mut self, now: Duration) {
        self.last_heartbeat = now;
    }

    /// Handles a controller's heartbeat and returns the answer.
    ///
    /// A promise forbids this process to claim until the promise has lapsed.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Duration) -> Promise {
        // A claim in progress may yet take effect. A promise now would let the old controller
        // continue after this process has replaced it.
        if heartbeat.epoch < self.epoch || self.attempt.is_some() {
            return self.refusal();
        }
        self.epoch = heartbeat.epoch;
        self.last_heartbeat = now;
        if let Some(row) = &heartbeat.row {
            self.learn(row);
        }
        if self.known_revision(heartbeat.epoch) >= heartbeat.revision {
            self.witnessed_epoch = heartbeat.epoch;
        }
        if heartbeat.wants_promise {
            self.promised_until = self.promised_until.max(now + timing::PROMISE_DURATION);
        }
        Promise {
            incarnation: self.incarnation,
            given: heartbeat.wants_promise,
            valid: timing::PROMISE_DURATION,
            epoch: self.epoch,
            revision: self.known_revision(heartbeat.epoch),
        }
    }

    /// Handles the result of a table read by this process.
    pub fn on_row_read(&mut self, row: Option<&Row>, now: Duration) -> ClaimOutcome {
        self.observe_row(row, now);
        let Some(attempt) = &self.attempt else {
            return ClaimOutcome::Unchanged;
        };
        if row == Some(&attempt.row) {
            return self.win_claim();
        }
        // The row that the attempt would replace is gone, so the attempt can no longer succeed.
        if row.map(|row| row.revision) != attempt.replaces {
            self.attempt = None;
        }
        ClaimOutcome::Unchanged
    }

    /// Handles the outcome of a claim.
    pub fn on_claim_outcome(&mut self, written: WriteOutcome) -> ClaimOutcome {
        match (written, &mut self.attempt) {
            (WriteOutcome::Done, Some(_)) => self.win_claim(),
            (WriteOutcome::NotDone, Some(attempt)) if !attempt.answer_lost => {
                self.attempt = None;
                self.observed = None;
                ClaimOutcome::Unchanged
            }
            (_, Some(attempt)) => {
                attempt.answer_lost = true;
                ClaimOutcome::Unchanged
            }
            (_, None) => ClaimOutcome::Unchanged,
        }
    }

    /// Allows this process to claim without waiting for [`timing::ORPHAN_TIMEOUT`].
    ///
    /// For operators, who must first make sure that the controller and all standbys that the row
    /// names are gone.
    pub fn force(&mut self) {
        self.forced = true;
    }

    /// Returns the claim to send at `now`, if one is due.
    ///
    /// The same claim is repeated while its outcome is unknown, which is idempotent: the table
    /// accepts it at most once.
    pub fn claim(&mut self, now: Duration) -> Option<Claim> {
        if self.attempt.is_none() && self.may_claim(now) {
            self.attempt = Some(self.new_attempt(now));
        }
        let attempt = self.attempt.as_ref()?;
        Some(Claim {
            row: attempt.row.clone(),
            replaces: attempt.replaces,
        })
    }

    /// Returns the row as this process knows it. A claiming process asks for it.
    pub fn known_row(&self) -> Option<&Row> {
        self.known_row.as_ref()
    }

    /// Merges a row that was read from the table or received from another process.
    pub fn learn(&mut self, row: &Row) {
        self.epoch = self.epoch.max(row.epoch);
        match &mut self.known_row {
            None => self.known_row = Some(row.clone()),
            Some(known) if (row.epoch, row.revision) > (known.epoch, known.revision) => {
                let mut newer = row.clone();
                newer.merge(known);
                *known = newer;
            }
            Some(known) => known.merge(row),
        }
    }

    /// Returns the interval at which this process reads the row.
    pub fn read_interval(&self) -> Duration {
        let table = self.observed.as_ref().and_then(|seen| seen.row.as_ref());
        match table {
            Some(row) if !row.standbys.contains(&self.own_host) => timing::ROW_READ_INTERVAL_OTHERS,
            _ => timing::ROW_READ_INTERVAL,
        }
    }

    /// Returns the epoch of which this process is a witness, or 0 if there is none.
    pub fn witnessed_epoch(&self) -> u32 {
        self.witnessed_epoch
    }

    /// Returns the greatest epoch seen.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    fn is_witness(&self, row: &Row) -> bool {
        self.witnessed_epoch == row.epoch && row.standbys.contains(&self.own_host)
    }

    fn observe_row(&mut self, row: Option<&Row>, now: Duration) {
        if let Some(row) = row {
            self.learn(row);
        }
        match &mut self.observed {
            Some(seen) if seen.row.as_ref() == row => seen.last_seen = now,
            _ => {
                self.observed = Some(ObservedRow {
                    row: row.cloned(),
                    first_seen: now,
                    last_seen: now,
                });
            }
        }
    }

    fn may_claim(&self, now: Duration) -> bool {
        let Some(seen) = &self.observed else {
            return false;
        };
        // A claim blocks promises until the table has answered. If the table has just become
        // unavailable, it does not answer, and the controller has to stop without this promise.
        // A promise is kept even though the wait after the claim covers it as well while PROMISE
        // is not longer than AUTHORITY, so that safety does not depend on these two values.
        if now > seen.last_seen + self.read_interval() * 2 || now < self.promised_until {
            return false;
        }
        match &seen.row {
            // There has never been a controller. Hosts start together, and the table's
            // compare-and-set decides between them.
            None => true,
            Some(row) => self.may_replace(row, seen.first_seen, now),
        }
    }

    fn may_replace(&self, row: &Row, since: Duration, now: Duration) -> bool {
        // An earlier process on this host may have given a promise just before it ended, and this
        // process does not know of it.
        let may_have_promised = now < self.started + timing::PROMISE_DURATION;
        if self.forced {
            return !may_have_promised;
        }
        if row.standbys.is_empty() {
            let own = row.controller == self.own_host;
            return own || now >= since + timing::ORPHAN_TIMEOUT_NO_STANDBY;
        }
        match rank(&row.standbys, self.own_host) {
            Some(rank) => {
                let silence = timing::CONTROLLER_TIMEOUT + timing::STANDBY_STAGGER * rank;
                !may_have_promised && now >= self.last_heartbeat.max(since) + silence
            }
            // Only the controller's writes change the row, and after its last write it relies on
            // promises for at most this long. Its own limit is shortened by the clock drift.
            None => now >= since + timing::ORPHAN_TIMEOUT,
        }
    }

    fn new_attempt(&self, now: Duration) -> Attempt {
        let table = self.observed.as_ref().and_then(|seen| seen.row.as_ref());
        let revision = self.known_row.as_ref().map_or(0, |known| known.revision);
        let mut row = Row {
            epoch: self.epoch + 1,
            revision: table.map_or(0, |row| row.revision).max(revision) + 1,
            controller: self.own_host,
            incarnation: self.incarnation,
            standbys: table.map(|row| row.standbys.clone()).unwrap_or_default(),
            services: table.map(|row| row.services.clone()).unwrap_or_default(),
        };
        row.standbys.remove(&self.own_host);
        if let Some(known) = &self.known_row {
            row.merge(known);
        }
        Attempt {
            row,
            replaces: table.map(|row| row.revision),
            predecessor: table.map(|row| (row.controller, row.incarnation)),
            sent: now,
            replaced_epoch: table.map_or(0, |row| row.epoch),
            witnessed: table.is_none_or(|row| self.is_witness(row)),
            answer_lost: false,
        }
    }

    fn win_claim(&mut self) -> ClaimOutcome {
        match self.attempt.take() {
            Some(attempt) => ClaimOutcome::Won {
                row: attempt.row,
                predecessor: attempt.predecessor,
                sent: attempt.sent,
                replaced_epoch: attempt.replaced_epoch,
                witnessed: attempt.witnessed,
            },
            None => ClaimOutcome::Unchanged,
        }
    }

    fn known_revision(&self, epoch: u32) -> u64 {
        match &self.known_row {
            Some(known) if known.epoch == epoch => known.revision,
            _ => 0,
        }
    }

    fn refusal(&self) -> Promise {
        Promise {
            incarnation: self.incarnation,
            given: false,
            valid: Duration::ZERO,
            epoch: self.epoch,
            revision: 0,
        }
    }
}

fn rank(standbys: &BTreeSet<HostKey>, host: HostKey) -> Option<u32> {
    let index = standbys.iter().position(|standby| *standby == host)?;
    u32::try_from(index).ok()
}
