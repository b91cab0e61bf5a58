use std::collections::BTreeSet;
use std::time::Duration;

use super::{Heartbeat, Promise};
use crate::key::HostKey;
use crate::row::{Row, WriteOutcome};
use crate::timing;

/// What a process that does not control a shard keeps: its promise, what it knows of the row, and
/// whether it may claim.
#[derive(Debug)]
pub struct Standby {
    own_host: HostKey,
    incarnation: u64,
    started: Duration,
    /// Until when this process has promised not to claim.
    promised_until: Duration,
    last_heartbeat: Duration,
    epoch: u32,
    /// The epoch whose controller has told this process all that it decided.
    witnessed_epoch: u32,
    /// Everything learnt of the shard's services, from the table and from asks.
    known_row: Option<Row>,
    observed: Option<ObservedRow>,
    attempt: Option<Attempt>,
    forced: bool,
}

#[derive(Debug)]
struct ObservedRow {
    row: Option<Row>,
    /// When the row was first found as it is.
    first_seen: Duration,
    /// When it was last found so.
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
    /// The answer was lost: only the table can tell how it ended.
    answer_lost: bool,
}

/// What a claim asks for: replace the row of revision `over` by `row`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The new row.
    pub row: Row,
    /// Revision that it replaces; `None` where there is no row.
    pub replaces: Option<u64>,
}

/// What the table or a claim's answer showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// Nothing changed for this process.
    Unchanged,
    /// This process has set the row; it controls the shard once the old authority is over.
    Won {
        /// The row.
        row: Row,
        /// The process that the replaced row named.
        predecessor: Option<(HostKey, u64)>,
        /// When the claim was first sent.
        sent: Duration,
        /// The epoch that is replaced; 0 where there was no row.
        replaced_epoch: u32,
        /// Whether this process knows all that was decided under that epoch.
        witnessed: bool,
    },
}

impl Standby {
    /// A standby whose process started at `started`.
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

    /// Notes that an authority of `epoch` exists: nothing is promised below it from now on.
    pub fn observe_epoch(&mut self, epoch: u32) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Counts silence from `now`: this process has just been replaced, so somebody is there.
    pub fn restart_silence(&mut self, now: Duration) {
        self.last_heartbeat = now;
    }

    /// Answers a controller. A promise forbids this process to claim until it has lapsed.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Duration) -> Promise {
        // A claim that may yet take effect: a promise now would let the old controller go on
        // after this process has replaced it.
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
            self.promised_until = self.promised_until.max(now + timing::PROMISE);
        }
        Promise {
            incarnation: self.incarnation,
            given: heartbeat.wants_promise,
            valid: timing::PROMISE,
            epoch: self.epoch,
            revision: self.known_revision(heartbeat.epoch),
        }
    }

    /// Takes what a read of the table, sent by this process, found.
    pub fn on_row_read(&mut self, row: Option<&Row>, now: Duration) -> ClaimOutcome {
        self.observe_row(row, now);
        let Some(attempt) = &self.attempt else {
            return ClaimOutcome::Unchanged;
        };
        if row == Some(&attempt.row) {
            return self.win_claim();
        }
        // The row that the attempt was to replace is gone, so it can no longer take effect.
        if row.map(|row| row.revision) != attempt.replaces {
            self.attempt = None;
        }
        ClaimOutcome::Unchanged
    }

    /// Takes the answer to a claim.
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

    /// Lets this process claim without waiting for [`timing::ORPHAN`]. An operator says so after
    /// making sure that the controller and all standbys of the row are gone.
    pub fn force(&mut self) {
        self.forced = true;
    }

    /// The claim to make at `now`, if one is due. It is repeated as it was while its outcome is
    /// unknown: the table takes it once at most.
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

    /// What this process knows of the shard; a claimer asks for it.
    pub fn known_row(&self) -> Option<&Row> {
        self.known_row.as_ref()
    }

    /// Takes in what another process knows of the shard.
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

    /// How often this process reads the row.
    pub fn read_interval(&self) -> Duration {
        let table = self.observed.as_ref().and_then(|seen| seen.row.as_ref());
        match table {
            Some(row) if !row.standbys.contains(&self.own_host) => timing::READ_ASIDE,
            _ => timing::READ,
        }
    }

    /// The epoch whose controller has told this process all that it decided; 0 for none.
    pub fn witnessed_epoch(&self) -> u32 {
        self.witnessed_epoch
    }

    /// The greatest epoch seen.
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
        // Claiming blocks promises until the table has answered. A table that has just gone away
        // would not answer, and the controller would stop for want of this promise. A promise is
        // kept although the wait after the claim covers it as well, as long as PROMISE is not
        // longer than AUTHORITY: safety does not hang on how the two are set.
        if now > seen.last_seen + self.read_interval() * 2 || now < self.promised_until {
            return false;
        }
        match &seen.row {
            // Nobody has ever had authority; hosts start together, so the table decides.
            None => true,
            Some(row) => self.may_replace(row, seen.first_seen, now),
        }
    }

    fn may_replace(&self, row: &Row, since: Duration, now: Duration) -> bool {
        // An earlier process on this host may have promised just before it ended, and this one
        // would not know of it.
        let forgotten = now < self.started + timing::PROMISE;
        if self.forced {
            return !forgotten;
        }
        if row.standbys.is_empty() {
            let own = row.controller == self.own_host;
            return own || now >= since + timing::ORPHAN_ALONE;
        }
        match rank(&row.standbys, self.own_host) {
            Some(rank) => {
                let silence = timing::SILENCE + timing::STAGGER * rank;
                !forgotten && now >= self.last_heartbeat.max(since) + silence
            }
            // Only a write of the controller changes the row, and it goes on by promises no
            // longer than this after its last one. Drift is on the waiting side.
            None => now >= since + timing::ORPHAN,
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
