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
    me: HostKey,
    incarnation: u64,
    started: Duration,
    /// Until when this process has promised not to claim.
    promised: Duration,
    heard: Duration,
    epoch: u32,
    /// The epoch whose controller has told this process all that it decided.
    witness: u32,
    /// Everything learnt of the shard's services, from the table and from asks.
    known: Option<Row>,
    table: Option<Seen>,
    attempt: Option<Attempt>,
    forced: bool,
}

#[derive(Debug)]
struct Seen {
    row: Option<Row>,
    /// When the row was first found as it is.
    since: Duration,
    /// When it was last found so.
    last: Duration,
}

#[derive(Debug)]
struct Attempt {
    row: Row,
    over: Option<u64>,
    predecessor: Option<(HostKey, u64)>,
    sent: Duration,
    replaced: u32,
    witnessed: bool,
    /// The answer was lost: only the table can tell how it ended.
    lost: bool,
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
    pub fn new(me: HostKey, incarnation: u64, started: Duration) -> Standby {
        Standby {
            me,
            incarnation,
            started,
            promised: Duration::ZERO,
            heard: started,
            epoch: 0,
            witness: 0,
            known: None,
            table: None,
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
        self.heard = now;
    }

    /// Answers a controller. A promise forbids this process to claim until it has lapsed.
    pub fn on_heartbeat(&mut self, ask: &Heartbeat, now: Duration) -> Promise {
        // A claim that may yet take effect: a promise now would let the old controller go on
        // after this process has replaced it.
        if ask.epoch < self.epoch || self.attempt.is_some() {
            return self.refusal();
        }
        self.epoch = ask.epoch;
        self.heard = now;
        if let Some(row) = &ask.row {
            self.learn(row);
        }
        if self.revision(ask.epoch) >= ask.revision {
            self.witness = ask.epoch;
        }
        if ask.wants_promise {
            self.promised = self.promised.max(now + timing::PROMISE_DURATION);
        }
        Promise {
            incarnation: self.incarnation,
            given: ask.wants_promise,
            valid: timing::PROMISE_DURATION,
            epoch: self.epoch,
            revision: self.revision(ask.epoch),
        }
    }

    /// Takes what a read of the table, sent by this process, found.
    pub fn on_row_read(&mut self, row: Option<&Row>, now: Duration) -> ClaimOutcome {
        self.see(row, now);
        let Some(attempt) = &self.attempt else {
            return ClaimOutcome::Unchanged;
        };
        if row == Some(&attempt.row) {
            return self.taken();
        }
        // The row that the attempt was to replace is gone, so it can no longer take effect.
        if row.map(|row| row.revision) != attempt.over {
            self.attempt = None;
        }
        ClaimOutcome::Unchanged
    }

    /// Takes the answer to a claim.
    pub fn on_claim_outcome(&mut self, written: WriteOutcome) -> ClaimOutcome {
        match (written, &mut self.attempt) {
            (WriteOutcome::Done, Some(_)) => self.taken(),
            (WriteOutcome::NotDone, Some(attempt)) if !attempt.lost => {
                self.attempt = None;
                self.table = None;
                ClaimOutcome::Unchanged
            }
            (_, Some(attempt)) => {
                attempt.lost = true;
                ClaimOutcome::Unchanged
            }
            (_, None) => ClaimOutcome::Unchanged,
        }
    }

    /// Lets this process claim without waiting for [`timing::ORPHAN_TIMEOUT`]. An operator says so after
    /// making sure that the controller and all standbys of the row are gone.
    pub fn force(&mut self) {
        self.forced = true;
    }

    /// The claim to make at `now`, if one is due. It is repeated as it was while its outcome is
    /// unknown: the table takes it once at most.
    pub fn claim(&mut self, now: Duration) -> Option<Claim> {
        if self.attempt.is_none() && self.may_claim(now) {
            self.attempt = Some(self.attempt(now));
        }
        let attempt = self.attempt.as_ref()?;
        Some(Claim {
            row: attempt.row.clone(),
            replaces: attempt.over,
        })
    }

    /// What this process knows of the shard; a claimer asks for it.
    pub fn known_row(&self) -> Option<&Row> {
        self.known.as_ref()
    }

    /// Takes in what another process knows of the shard.
    pub fn learn(&mut self, row: &Row) {
        self.epoch = self.epoch.max(row.epoch);
        match &mut self.known {
            None => self.known = Some(row.clone()),
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
        let table = self.table.as_ref().and_then(|seen| seen.row.as_ref());
        match table {
            Some(row) if !row.standbys.contains(&self.me) => timing::ROW_READ_INTERVAL_OTHERS,
            _ => timing::ROW_READ_INTERVAL,
        }
    }

    /// The epoch whose controller has told this process all that it decided; 0 for none.
    pub fn witnessed_epoch(&self) -> u32 {
        self.witness
    }

    /// The greatest epoch seen.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    fn is_witness(&self, row: &Row) -> bool {
        self.witness == row.epoch && row.standbys.contains(&self.me)
    }

    fn see(&mut self, row: Option<&Row>, now: Duration) {
        if let Some(row) = row {
            self.learn(row);
        }
        match &mut self.table {
            Some(seen) if seen.row.as_ref() == row => seen.last = now,
            _ => {
                self.table = Some(Seen {
                    row: row.cloned(),
                    since: now,
                    last: now,
                });
            }
        }
    }

    fn may_claim(&self, now: Duration) -> bool {
        let Some(seen) = &self.table else {
            return false;
        };
        // Claiming blocks promises until the table has answered. A table that has just gone away
        // would not answer, and the controller would stop for want of this promise. A promise is
        // kept although the wait after the claim covers it as well, as long as PROMISE is not
        // longer than AUTHORITY: safety does not hang on how the two are set.
        if now > seen.last + self.read_interval() * 2 || now < self.promised {
            return false;
        }
        match &seen.row {
            // Nobody has ever had authority; hosts start together, so the table decides.
            None => true,
            Some(row) => self.may_replace(row, seen.since, now),
        }
    }

    fn may_replace(&self, row: &Row, since: Duration, now: Duration) -> bool {
        // An earlier process on this host may have promised just before it ended, and this one
        // would not know of it.
        let forgotten = now < self.started + timing::PROMISE_DURATION;
        if self.forced {
            return !forgotten;
        }
        if row.standbys.is_empty() {
            let own = row.controller == self.me;
            return own || now >= since + timing::ORPHAN_TIMEOUT_NO_STANDBY;
        }
        match rank(&row.standbys, self.me) {
            Some(rank) => {
                let silence = timing::CONTROLLER_TIMEOUT + timing::STANDBY_STAGGER * rank;
                !forgotten && now >= self.heard.max(since) + silence
            }
            // Only a write of the controller changes the row, and it goes on by promises no
            // longer than this after its last one. Drift is on the waiting side.
            None => now >= since + timing::ORPHAN_TIMEOUT,
        }
    }

    fn attempt(&self, now: Duration) -> Attempt {
        let table = self.table.as_ref().and_then(|seen| seen.row.as_ref());
        let revision = self.known.as_ref().map_or(0, |known| known.revision);
        let mut row = Row {
            epoch: self.epoch + 1,
            revision: table.map_or(0, |row| row.revision).max(revision) + 1,
            controller: self.me,
            incarnation: self.incarnation,
            standbys: table.map(|row| row.standbys.clone()).unwrap_or_default(),
            services: table.map(|row| row.services.clone()).unwrap_or_default(),
        };
        row.standbys.remove(&self.me);
        if let Some(known) = &self.known {
            row.merge(known);
        }
        Attempt {
            row,
            over: table.map(|row| row.revision),
            predecessor: table.map(|row| (row.controller, row.incarnation)),
            sent: now,
            replaced: table.map_or(0, |row| row.epoch),
            witnessed: table.is_none_or(|row| self.is_witness(row)),
            lost: false,
        }
    }

    fn taken(&mut self) -> ClaimOutcome {
        match self.attempt.take() {
            Some(attempt) => ClaimOutcome::Won {
                row: attempt.row,
                predecessor: attempt.predecessor,
                sent: attempt.sent,
                replaced_epoch: attempt.replaced,
                witnessed: attempt.witnessed,
            },
            None => ClaimOutcome::Unchanged,
        }
    }

    fn revision(&self, epoch: u32) -> u64 {
        match &self.known {
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
