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
    pub fate: Fate,
    /// When that was known.
    pub at: Instant,
}

/// How a write ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It was acknowledged.
    Kept,
    /// Its caller was promised that nothing of it is kept, or rolled it back.
    Dropped,
    /// Its caller was promised nothing.
    Open,
}

/// A statement as a caller sent it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The text.
    pub text: String,
    /// The transaction that it belongs to, if any.
    pub transaction: Option<u64>,
}

/// A read that succeeded.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Identifier of the statement.
    pub id: String,
    /// The item.
    pub item: String,
    /// When the first byte of the read, or of its transaction, was sent.
    pub since: Instant,
    /// When its answer came.
    pub until: Instant,
    /// How old the data may be, by the route.
    pub age: Duration,
    /// What the session has last had acknowledged for the item, on routes on which sessions see
    /// their own writes.
    pub own: Option<String>,
    /// What was seen; `None` where nothing had been written.
    pub data: Option<String>,
}

/// Everything that callers did.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub writes: Vec<Write>,
    pub sent: BTreeMap<String, Sent>,
    pub proofs: BTreeMap<String, String>,
    pub seen: Vec<Seen>,
    pub done: u64,
    pub refused: u64,
    pub unknown: u64,
    pub problems: Vec<Problem>,
    next: u64,
}

impl Ledger {
    /// A number that no other caller gets: for identifiers, transactions and written data.
    pub fn next(&self) -> u64 {
        let mut state = self.lock();
        state.next += 1;
        state.next
    }

    /// Notes that a statement is sent.
    pub fn send(&self, id: &str, text: &str, transaction: Option<u64>) {
        let text = text.to_owned();
        let sent = Sent { text, transaction };
        self.lock().sent.insert(id.to_owned(), sent);
    }

    /// Notes what proved that a statement ran.
    pub fn prove(&self, id: &str, proof: &str) {
        let mut state = self.lock();
        state.proofs.insert(id.to_owned(), proof.to_owned());
    }

    /// Notes how a write ended.
    pub fn write(&self, write: Write) {
        self.lock().writes.push(write);
    }

    /// Notes what a read saw.
    pub fn see(&self, seen: Seen) {
        self.lock().seen.push(seen);
    }

    /// Counts an operation by how it ended.
    pub fn count(&self, fate: Fate) {
        let mut state = self.lock();
        match fate {
            Fate::Kept => state.done += 1,
            Fate::Dropped => state.refused += 1,
            Fate::Open => state.unknown += 1,
        }
    }

    /// Notes something that must not be.
    pub fn object(&self, kind: Kind, text: String) {
        self.lock().problems.push(Problem::new(kind, text));
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
