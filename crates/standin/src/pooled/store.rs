//! The metadata store: rows with versions, transactions under conditions, and a feed of changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// It refuses everything with 503.
    Busy,
    /// It answers nothing, also not what it was asked before.
    Silent,
    /// It answers after this time.
    Slow(Duration),
    /// It does what it is asked and answers no write.
    Lossy,
}

/// A row as it travels.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Row {
    pub table_name: String,
    #[serde(default)]
    pub part: String,
    pub key: String,
    #[serde(default)]
    pub value: String,
    #[serde(default)]
    pub schema_version: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
    /// Text that is sent in place of the row, if any.
    #[serde(skip)]
    pub sent_as: Option<String>,
}

impl Row {
    /// The row as it is sent.
    pub(super) fn to_text(&self) -> String {
        let text = || serde_json::to_string(self).unwrap_or_default();
        self.sent_as.clone().unwrap_or_else(text)
    }
}

/// A transaction as it travels.
#[derive(Debug, Clone, Default, Deserialize)]
pub(super) struct Change {
    #[serde(default)]
    pub precondition: Vec<Row>,
    #[serde(default)]
    pub upserts: Vec<Row>,
    #[serde(default)]
    pub deletes: Vec<Row>,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    Done(u64),
    /// A condition did not hold; the rows as they are.
    Failed(Vec<Row>),
}

type Place = (String, String, String);

/// The metadata store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    version: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    rows: BTreeMap<Place, Row>,
    history: Vec<Row>,
    version: u64,
    /// Changes up to here are no longer in the history.
    forgotten: u64,
    calls: u64,
    /// How late the changes of some tables are told.
    feed_delays: BTreeMap<String, Duration>,
    /// How often each table was read as a whole.
    reads: BTreeMap<String, u64>,
    /// Answers in place of the rows of some tables.
    answers: BTreeMap<String, String>,
    /// How many rows an answer to a read of a table holds at the most, if that is limited.
    page_rows: Option<usize>,
    tables: BTreeSet<String>,
    /// How often it came back from a copy.
    era: u64,
    copy: Option<Copy>,
}

/// What the store held at some moment.
#[derive(Debug, Clone)]
struct Copy {
    rows: BTreeMap<Place, Row>,
    history: Vec<Row>,
    version: u64,
    forgotten: u64,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            state: Mutex::default(),
            version: watch::Sender::new(0),
        }
    }
}

impl Store {
    /// How it answers from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// How late it tells of changes of `table` from now on.
    pub fn set_feed_delay(&self, table: &str, delay: Duration) {
        self.lock().feed_delays.insert(table.to_owned(), delay);
    }

    /// How late it tells of changes of `table`.
    pub(super) fn feed_delay(&self, table: &str) -> Duration {
        let state = self.lock();
        state.feed_delays.get(table).copied().unwrap_or_default()
    }

    /// Drops its history: feeds have to start anew.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.forgotten = state.version;
        state.history.clear();
        let version = state.version;
        drop(state);
        self.version.send_replace(version);
    }

    /// Takes a copy of what it holds, in place of the one before.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = Some(Copy {
            rows: state.rows.clone(),
            history: state.history.clone(),
            version: state.version,
            forgotten: state.forgotten,
        });
    }

    /// Comes back from the last copy: what was written since is gone, and its versions are given out
    /// again. Without a copy nothing happens.
    pub fn restore(&self) {
        let mut state = self.lock();
        let Some(copy) = state.copy.clone() else {
            return;
        };
        state.era += 1;
        state.rows = copy.rows;
        state.history = copy.history;
        state.version = copy.version;
        state.forgotten = copy.forgotten;
        drop(state);
        self.version.send_replace(copy.version);
    }

    /// How often it came back from a copy: the header of all its answers.
    pub(super) fn era(&self) -> u64 {
        self.lock().era
    }

    /// Puts a row under `key` of `table` that is sent as `text`, exactly as given, also when that is no
    /// row or no JSON. [`Store::remove_raw`] takes it back.
    ///
    /// ```
    /// use flamingopost_standin::pooled::Store;
    ///
    /// let store = Store::default();
    /// store.insert_raw("servers", "ledger-0", r#"{"key": 1e400}"#);
    /// store.remove_raw("servers", "ledger-0");
    /// ```
    pub fn insert_raw(&self, table: &str, key: &str, text: &str) {
        let row = Row {
            table_name: table.to_owned(),
            key: key.to_owned(),
            sent_as: Some(text.to_owned()),
            ..Row::default()
        };
        self.apply(Change {
            upserts: vec![row],
            ..Change::default()
        });
    }

    /// Removes the row under `key` of `table`.
    pub fn remove_raw(&self, table: &str, key: &str) {
        let row = Row {
            table_name: table.to_owned(),
            key: key.to_owned(),
            ..Row::default()
        };
        self.apply(Change {
            deletes: vec![row],
            ..Change::default()
        });
    }

    /// From now on, reads of `table` and its changes are answered by `text` with status 200, whatever it
    /// is; by the rows again with `None`.
    pub fn set_answer(&self, table: &str, text: Option<&str>) {
        let mut state = self.lock();
        match text {
            Some(text) => state.answers.insert(table.to_owned(), text.to_owned()),
            None => state.answers.remove(table),
        };
        let version = state.version;
        drop(state);
        self.version.send_replace(version);
    }

    /// From now on, an answer to a read of a table holds at most this many rows.
    pub fn set_page_rows(&self, rows: usize) {
        self.lock().page_rows = Some(rows);
    }

    /// How many rows an answer to a read of a table holds at the most.
    pub(super) fn page_rows(&self) -> usize {
        self.lock().page_rows.unwrap_or(usize::MAX)
    }

    /// What reads of `table` and its changes are answered by in place of its rows.
    pub(super) fn answer(&self, table: &str) -> Option<String> {
        self.lock().answers.get(table).cloned()
    }

    /// Calls that it has received.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// How often `table` was read as a whole.
    pub fn reads(&self, table: &str) -> u64 {
        self.lock().reads.get(table).copied().unwrap_or_default()
    }

    pub(super) fn was_read(&self, table: &str) {
        *self.lock().reads.entry(table.to_owned()).or_default() += 1;
    }

    pub(super) fn mode(&self) -> Mode {
        self.lock().mode
    }

    pub(super) fn called(&self) -> Mode {
        let mut state = self.lock();
        state.calls += 1;
        state.mode
    }

    pub(super) fn apply(&self, change: Change) -> Outcome {
        let mut state = self.lock();
        let holds = |row: &Row| state.current(row).schema_version == row.schema_version;
        if !change.precondition.iter().all(holds) {
            let rows = change.precondition.iter().map(|row| state.current(row));
            return Outcome::Failed(rows.filter(|row| row.schema_version > 0).collect());
        }
        state.version += 1;
        let version = state.version;
        for mut row in change.upserts {
            row.schema_version = version;
            state.tables.insert(row.table_name.clone());
            state.rows.insert(place(&row), row.clone());
            state.history.push(row);
        }
        for mut row in change.deletes {
            row.schema_version = version;
            row.deleted = true;
            state.rows.remove(&place(&row));
            state.history.push(row);
        }
        drop(state);
        self.version.send_replace(version);
        Outcome::Done(version)
    }

    /// Rows of a part of a table from a key on, and the newest version.
    pub(super) fn rows(&self, table: &str, part: &str, from: &str) -> (Vec<Row>, u64) {
        let state = self.lock();
        let of =
            |row: &&Row| row.table_name == table && row.part == part && row.key.as_str() >= from;
        let rows = state.rows.values().filter(of).cloned().collect();
        (rows, state.version)
    }

    /// Changes of a table after a version; `None` when they are no longer kept, or when the store has
    /// no such version.
    pub(super) fn changes(&self, table: &str, after: u64) -> Option<(Vec<Row>, u64)> {
        let state = self.lock();
        if after < state.forgotten || after > state.version {
            return None;
        }
        let of = |row: &&Row| row.table_name == table && row.schema_version > after;
        let rows = state.history.iter().filter(of).cloned().collect();
        Some((rows, state.version))
    }

    pub(super) fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn current(&self, row: &Row) -> Row {
        self.rows.get(&place(row)).cloned().unwrap_or_default()
    }
}

fn place(row: &Row) -> Place {
    (row.table_name.clone(), row.part.clone(), row.key.clone())
}
