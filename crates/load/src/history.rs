//! Histories: what every session did and was told, one JSON object a line.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::class::Kind;
use crate::error::Error;
use crate::outcome::Outcome;

/// A line of a history file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum Entry {
    /// An operation with all its attempts.
    Operation(Operation),
    /// A key found in the final tables.
    Final(Final),
    /// Writes that the controller reported as lost.
    Loss(Loss),
}

/// One request of a session, from its intended start to its last answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Session that made it.
    pub session: u32,
    /// Its number in the session, from 1; greater than the session's earlier ones.
    pub sequence: i64,
    /// Service it went to.
    pub service: String,
    /// Name of its class.
    pub class: String,
    /// What it does.
    pub kind: Kind,
    /// Its unique key.
    pub key: String,
    /// When it was due, in µs from the start of arrivals.
    pub intended_us: i64,
    /// When its first attempt began; equal to `end_us` where it was never sent.
    pub start_us: i64,
    /// When its last answer came.
    pub end_us: i64,
    /// Its deadline, in µs from its intended start.
    pub deadline_us: i64,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// For [`Kind::Own`]: class whose writes it must show.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sees: Option<String>,
    /// Register it touched.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub register: Option<i64>,
    /// Value it wrote to the register.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<i64>,
}

/// One submission of an operation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the entry host it went through.
    pub target: usize,
    /// When it was sent, in µs from the start of arrivals.
    pub start_us: i64,
    /// When its answer came or its caller gave up.
    pub end_us: i64,
    /// The token that its answer must carry.
    pub token: String,
    /// What its caller knows.
    pub outcome: Outcome,
    /// SQLSTATE, or a word for what went wrong without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// The session's position after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<String>,
    /// What its answer showed.
    #[serde(default)]
    pub seen: Seen,
}

/// What an answer showed, by the names of its columns.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Column `token`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// Column `own`: greatest sequence of the session's writes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub own: Option<i64>,
    /// Column `first`: rows of the transaction's first half.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first: Option<i64>,
    /// Column `second`: rows of the transaction's second half.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second: Option<i64>,
    /// Column `value`: value of a register.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<i64>,
}

/// A key found in the final tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Final {
    /// Number of the statement that listed it.
    pub list: usize,
    /// The key.
    pub key: String,
    /// How often it was found.
    pub count: u64,
}

/// Writes that the controller reported as lost: those of terms before `ended_by`, past `start`,
/// up to `acknowledged`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The service.
    pub service: String,
    /// The term that began without them, `EPOCH.COUNT`.
    pub ended_by: String,
    /// Log position at which it began.
    pub start: u64,
    /// The last of them, `EPOCH.COUNT/LOG`, or `unknown` where some host could not be asked.
    pub acknowledged: String,
}

impl Operation {
    /// What the caller knows at the end: an attempt that was done counts, then one whose outcome
    /// is unknown, then one that failed.
    pub fn outcome(&self) -> Outcome {
        let any = |outcome| self.attempts.iter().any(|one| one.outcome == outcome);
        match () {
            () if any(Outcome::Done) => Outcome::Done,
            () if any(Outcome::Unknown) => Outcome::Unknown,
            () if any(Outcome::Failed) => Outcome::Failed,
            () => Outcome::NotRun,
        }
    }

    /// Whether it was answered within its deadline, counted from its intended start.
    pub fn in_time(&self) -> bool {
        self.outcome() == Outcome::Done && self.end_us - self.intended_us <= self.deadline_us
    }

    /// The attempt that was done.
    pub fn done(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.outcome == Outcome::Done)
    }
}

/// A whole history in memory.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Operations.
    pub operations: Vec<Operation>,
    /// Keys in the final tables; `None` where they were not read.
    pub finals: Option<Vec<Final>>,
    /// Reported losses.
    pub losses: Vec<Loss>,
}

impl History {
    /// Reads a history file.
    pub fn read(path: &Path) -> Result<History, Error> {
        let file_error = |source| Error::File {
            path: path.to_owned(),
            source,
        };
        let file = File::open(path).map_err(file_error)?;
        let mut history = History::default();
        for (index, line) in BufReader::new(file).lines().enumerate() {
            let line = line.map_err(file_error)?;
            let entry = serde_json::from_str(&line).map_err(|source| Error::History {
                path: path.to_owned(),
                line: index + 1,
                source,
            })?;
            history.push(entry);
        }
        Ok(history)
    }

    /// Adds a line.
    pub fn push(&mut self, entry: Entry) {
        match entry {
            Entry::Operation(operation) => self.operations.push(operation),
            Entry::Final(key) => self.finals.get_or_insert_default().push(key),
            Entry::Loss(loss) => self.losses.push(loss),
        }
    }

    /// Writes a history file.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let file_error = |source| Error::File {
            path: path.to_owned(),
            source,
        };
        let mut file = BufWriter::new(File::create(path).map_err(file_error)?);
        for entry in self.entries() {
            let line = serde_json::to_string(&entry).map_err(Error::Encode)?;
            writeln!(file, "{line}").map_err(file_error)?;
        }
        file.flush().map_err(file_error)
    }

    fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let operations = self.operations.iter().cloned().map(Entry::Operation);
        let finals = self.finals.iter().flatten().cloned().map(Entry::Final);
        let losses = self.losses.iter().cloned().map(Entry::Loss);
        operations.chain(finals).chain(losses)
    }
}
