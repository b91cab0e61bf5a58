//! The ordered log of a group: committed transactions as statements that give the same data
//! wherever they are run in order.

use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use rusqlite::types::Value;
use serde::{Deserialize, Serialize};

/// One committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Number of the term that wrote it.
    pub(crate) term: i64,
    /// What time and chance are for its statements.
    pub(crate) pin: Pin,
    /// Its statements, in the engine's dialect.
    pub(crate) statements: Vec<Statement>,
}

/// Time and chance of a transaction, the same on every server that runs it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Pin {
    /// Microseconds since the Unix epoch.
    pub(crate) now: i64,
    /// Start of the random numbers.
    pub(crate) seed: u64,
}

/// One write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Statement {
    /// The text.
    pub(crate) sql: String,
    /// What its parameters were bound to.
    pub(crate) parameters: Vec<Parameter>,
}

/// A bound parameter as it travels between servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Parameter {
    /// NULL.
    Null,
    /// A whole number.
    Integer(i64),
    /// A floating point number, by its bits so that it survives JSON unchanged.
    Real(u64),
    /// Text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl From<&Value> for Parameter {
    fn from(value: &Value) -> Parameter {
        match value {
            Value::Null => Parameter::Null,
            Value::Integer(number) => Parameter::Integer(*number),
            Value::Real(number) => Parameter::Real(number.to_bits()),
            Value::Text(text) => Parameter::Text(text.clone()),
            Value::Blob(bytes) => Parameter::Blob(bytes.clone()),
        }
    }
}

impl From<&Parameter> for Value {
    fn from(parameter: &Parameter) -> Value {
        match parameter {
            Parameter::Null => Value::Null,
            Parameter::Integer(number) => Value::Integer(*number),
            Parameter::Real(bits) => Value::Real(f64::from_bits(*bits)),
            Parameter::Text(text) => Value::Text(text.clone()),
            Parameter::Blob(bytes) => Value::Blob(bytes.clone()),
        }
    }
}

/// Entries in order; the entry at index 0 has log position 1.
#[derive(Debug, Default)]
pub(crate) struct Log {
    entries: Vec<Entry>,
}

/// The last log position of one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Span {
    /// Number of the term.
    pub(crate) term: i64,
    /// Its last log position here.
    pub(crate) last: u64,
}

impl Log {
    /// How many entries there are, which is also the last log position.
    pub(crate) fn last(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The position of the last entry.
    pub(crate) fn position(&self) -> Position {
        Position {
            term: Term::from_number(self.entries.last().map_or(0, |entry| entry.term)),
            log: self.last(),
        }
    }

    /// Whether the very entry that `position` names is here.
    pub(crate) fn contains(&self, position: Position) -> bool {
        let Some(index) = position.log.checked_sub(1) else {
            return true;
        };
        self.entries
            .get(index as usize)
            .is_some_and(|entry| entry.term == position.term.number())
    }

    /// Appends a committed transaction.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Up to `most` entries that follow log position `after`.
    pub(crate) fn after(&self, after: u64, most: usize) -> &[Entry] {
        let start = self.entries.len().min(after as usize);
        let end = self.entries.len().min(start + most);
        &self.entries[start..end]
    }

    /// Cuts off all that follows log position `last`.
    pub(crate) fn truncate(&mut self, last: u64) {
        self.entries.truncate(last as usize);
    }

    /// The last log position of each term, oldest term first.
    pub(crate) fn spans(&self) -> Vec<Span> {
        let mut spans: Vec<Span> = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let last = index as u64 + 1;
            match spans.last_mut() {
                Some(span) if span.term == entry.term => span.last = last,
                _ => spans.push(Span {
                    term: entry.term,
                    last,
                }),
            }
        }
        spans
    }
}

/// The last log position up to which two logs are the same.
///
/// A term has one primary, so two logs that hold entries of the same term agree on all of them up
/// to where the shorter one ends, and on all that came before.
pub(crate) fn common(ours: &[Span], theirs: &[Span]) -> u64 {
    ours.iter()
        .rev()
        .find_map(|our| {
            let their = theirs.iter().find(|their| their.term == our.term)?;
            Some(our.last.min(their.last))
        })
        .unwrap_or(0)
}
