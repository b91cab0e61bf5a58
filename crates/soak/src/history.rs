//! What callers sent and which answers they received, recorded for the checks.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::problem::{Kind, Problem};

/// A write and its outcome.
#[derive(Debug, Clone)]
pub struct Write {
    /// The item that was written.
    pub item: String,
    /// The written value, unique among all writes of a run.
    pub data: String,
    /// How the write ended for its caller.
    pub outcome: Outcome,
    /// When the caller learned the outcome.
    pub at: Instant,
}

/// How an operation ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was acknowledged as successful.
    Acknowledged,
    /// Its caller was told that it had no effect, or rolled it back.
    Discarded,
    /// It may or may not have taken effect.
    Unknown,
}

/// A statement as a caller sent it.
#[derive(Debug, Clone)]
pub struct Statement {
    /// The text of the statement.
    pub text: String,
    /// The transaction that it belongs to, if any.
    pub transaction: Option<u64>,
    /// The team of the caller, where callers belong to teams.
    pub team: Option<String>,
}

/// A read that succeeded.
#[derive(Debug, Clone)]
pub struct Read {
    /// Identifier of the statement.
    pub id: String,
    /// The item that was read.
    pub item: String,
    /// When the first byte of the read, or of its transaction, was sent.
    pub since: Instant,
    /// When its answer arrived.
    pub until: Instant,
    /// Maximum staleness that the route allows.
    pub max_staleness: Duration,
    /// The session's last acknowledged write to the item, on routes where sessions read their own
    /// writes.
    pub own_write: Option<String>,
    /// The value that was read; `None` if the item had none.
    pub data: Option<String>,
}

/// All statements, writes, reads and problems of a run, shared by its callers.
#[derive(Debug, Default)]
pub struct History {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub writes: Vec<Write>,
    /// Statements by identifier.
    pub statements: BTreeMap<String, Statement>,
    /// Proofs of execution by identifier of the statement.
    pub proofs: BTreeMap<String, String>,
    pub reads: Vec<Read>,
    /// Number of operations that succeeded.
    pub done: u64,
    /// Number of operations that had no effect.
    pub refused: u64,
    /// Number of operations that may or may not have taken effect.
    pub unknown: u64,
    pub problems: Vec<Problem>,
    /// The number that was last returned by [`History::next_number`].
    last_number: u64,
}

impl History {
    /// Returns a number that is unique within the run, for identifiers, transactions and values.
    pub fn next_number(&self) -> u64 {
        let mut state = self.lock();
        state.last_number += 1;
        state.last_number
    }

    /// Records a statement that is about to be sent.
    pub fn record_statement(
        &self,
        id: &str,
        text: &str,
        transaction: Option<u64>,
        team: Option<String>,
    ) {
        let statement = Statement {
            text: text.to_owned(),
            transaction,
            team,
        };
        self.lock().statements.insert(id.to_owned(), statement);
    }

    /// Records the proof of execution that a statement's answer carried.
    pub fn record_proof(&self, id: &str, proof: &str) {
        let mut state = self.lock();
        state.proofs.insert(id.to_owned(), proof.to_owned());
    }

    /// Records a write with its outcome.
    pub fn record_write(&self, write: Write) {
        self.lock().writes.push(write);
    }

    /// Records a successful read.
    pub fn record_read(&self, read: Read) {
        self.lock().reads.push(read);
    }

    /// Counts an operation by its outcome.
    pub fn count(&self, outcome: Outcome) {
        let mut state = self.lock();
        match outcome {
            Outcome::Acknowledged => state.done += 1,
            Outcome::Discarded => state.refused += 1,
            Outcome::Unknown => state.unknown += 1,
        }
    }

    /// Records a violation.
    pub fn report_problem(&self, kind: Kind, text: String) {
        self.lock().problems.push(Problem::new(kind, text));
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
