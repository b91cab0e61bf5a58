//! What callers sent and what they were told, for the checks.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::problem::{Kind, Problem};

/// A write that callers were told of, or not.
#[derive(Debug, Clone)]
pub struct Write {
    /// The item.
    pub item: String,
    /// What was written: no two writes write the same.
    pub data: String,
    /// How it ended.
    pub outcome: Outcome,
    /// When that was known.
    pub at: Instant,
}

/// How a write ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was acknowledged.
    Acknowledged,
    /// Its caller was promised that nothing of it is kept, or rolled it back.
    Discarded,
    /// Its caller was promised nothing.
    Unknown,
}

/// A statement as a caller sent it.
#[derive(Debug, Clone)]
pub struct Statement {
    /// The text.
    pub text: String,
    /// The transaction that it belongs to, if any.
    pub transaction: Option<u64>,
}

/// A read that succeeded.
#[derive(Debug, Clone)]
pub struct Read {
    /// Identifier of the statement.
    pub id: String,
    /// The item.
    pub item: String,
    /// When the first byte of the read, or of its transaction, was sent.
    pub since: Instant,
    /// When its answer came.
    pub until: Instant,
    /// How old the data may be, by the route.
    pub max_staleness: Duration,
    /// What the session has last had acknowledged for the item, on routes on which sessions see
    /// their own writes.
    pub own_write: Option<String>,
    /// What was seen; `None` where nothing had been written.
    pub data: Option<String>,
}

/// Everything that callers did.
#[derive(Debug, Default)]
pub struct History {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub writes: Vec<Write>,
    pub statements: BTreeMap<String, Statement>,
    pub proofs: BTreeMap<String, String>,
    pub reads: Vec<Read>,
    pub done: u64,
    pub refused: u64,
    pub unknown: u64,
    pub problems: Vec<Problem>,
    last_number: u64,
}

impl History {
    /// A number that no other caller gets: for identifiers, transactions and written data.
    pub fn next_number(&self) -> u64 {
        let mut state = self.lock();
        state.last_number += 1;
        state.last_number
    }

    /// Notes that a statement is sent.
    pub fn record_statement(&self, id: &str, text: &str, transaction: Option<u64>) {
        let text = text.to_owned();
        let statement = Statement { text, transaction };
        self.lock().statements.insert(id.to_owned(), statement);
    }

    /// Notes what proved that a statement ran.
    pub fn record_proof(&self, id: &str, proof: &str) {
        let mut state = self.lock();
        state.proofs.insert(id.to_owned(), proof.to_owned());
    }

    /// Notes how a write ended.
    pub fn record_write(&self, write: Write) {
        self.lock().writes.push(write);
    }

    /// Notes what a read saw.
    pub fn record_read(&self, read: Read) {
        self.lock().reads.push(read);
    }

    /// Counts an operation by how it ended.
    pub fn count(&self, outcome: Outcome) {
        let mut state = self.lock();
        match outcome {
            Outcome::Acknowledged => state.done += 1,
            Outcome::Discarded => state.refused += 1,
            Outcome::Unknown => state.unknown += 1,
        }
    }

    /// Notes something that must not be.
    pub fn report_problem(&self, kind: Kind, text: String) {
        self.lock().problems.push(Problem::new(kind, text));
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
