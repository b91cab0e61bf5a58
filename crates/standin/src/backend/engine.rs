//! The SQL engine: one SQLite database a server, one connection to it a session.
//!
//! The database is in write-ahead mode, so that readers see the last commit and are not held up by
//! an open transaction, as on a PostgreSQL server. The engine offers that only for a file; the
//! file lies in a temporary directory that goes with the server, and its index stays in the
//! process's own memory.

use std::path::{Path, PathBuf};
use std::time::Duration;

use rusqlite::config::DbConfig;
use rusqlite::types::Value;
use rusqlite::{Connection, OpenFlags, Result, params_from_iter};
use tempfile::TempDir;

use super::function::{self, Source};
use super::log::{Entry, Pin};

/// Statements whose compiled form a connection keeps.
const CACHED_STATEMENTS: usize = 256;

/// The virtual file system that keeps the index of the write-ahead log on the heap.
const FILE_SYSTEM: &std::ffi::CStr = c"unix-excl";

const SCHEMA: &str = flamingopost_core::once::sql::CREATE_TABLE;

/// Files of one server. A rebuild begins a new file.
#[derive(Debug)]
pub(crate) struct Store {
    directory: TempDir,
    generation: u64,
}

impl Store {
    pub(crate) fn new() -> std::io::Result<Store> {
        let directory = tempfile::Builder::new()
            .prefix("flamingopost-standin-")
            .tempdir()?;
        Ok(Store {
            directory,
            generation: 0,
        })
    }

    pub(crate) fn path(&self) -> PathBuf {
        let name = format!("data-{}", self.generation);
        self.directory.path().join(name)
    }

    pub(crate) fn begin_anew(&mut self) {
        self.generation += 1;
    }
}

/// A connection to the engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) connection: Connection,
    pub(crate) source: Source,
}

impl Engine {
    pub(crate) fn open(path: &Path, database: &str, pid: i32) -> Result<Engine> {
        let flags = OpenFlags::SQLITE_OPEN_READ_WRITE
            | OpenFlags::SQLITE_OPEN_CREATE
            | OpenFlags::SQLITE_OPEN_NO_MUTEX;
        let mut connection = Connection::open_with_flags_and_vfs(path, flags, FILE_SYSTEM)?;
        connection.busy_handler(Some(wait_for_lock))?;
        connection.execute_batch("PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF")?;
        connection.set_db_config(DbConfig::SQLITE_DBCONFIG_ENABLE_FKEY, true)?;
        connection.set_db_config(DbConfig::SQLITE_DBCONFIG_DQS_DML, false)?;
        connection.set_db_config(DbConfig::SQLITE_DBCONFIG_DQS_DDL, false)?;
        connection.set_prepared_statement_cache_capacity(CACHED_STATEMENTS);
        rusqlite::vtab::series::load_module(&connection)?;
        let source = Source::default();
        function::register(&connection, &source, database, pid)?;
        Ok(Engine { connection, source })
    }

    /// Makes what every server has from its start.
    pub(crate) fn create_schema(&self) -> Result<()> {
        self.connection.execute_batch(SCHEMA)
    }

    /// Runs a control statement such as `COMMIT`.
    pub(crate) fn control(&self, sql: &str) -> Result<()> {
        self.connection.prepare_cached(sql)?.execute([])?;
        Ok(())
    }

    /// Runs the transaction of a log entry, whole or not at all.
    pub(crate) fn apply(&self, entry: &Entry) -> Result<()> {
        self.source.set(entry.pin);
        self.control("BEGIN IMMEDIATE")?;
        let done = self.apply_statements(entry);
        match done {
            Ok(()) => self.control("COMMIT"),
            Err(error) => {
                self.control("ROLLBACK")?;
                Err(error)
            }
        }
    }

    fn apply_statements(&self, entry: &Entry) -> Result<()> {
        for statement in &entry.statements {
            let mut prepared = self.connection.prepare_cached(&statement.sql)?;
            let parameters = statement.parameters.iter().map(Value::from);
            let mut rows = prepared.query(params_from_iter(parameters))?;
            while rows.next()?.is_some() {}
        }
        Ok(())
    }
}

/// Time and chance for a transaction that begins now.
pub(crate) fn pin() -> Pin {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Pin {
        now: now.as_micros() as i64,
        seed: rand::random(),
    }
}

/// Only commits, which take microseconds, hold an engine lock that another connection meets.
fn wait_for_lock(attempt: i32) -> bool {
    const SPINS: i32 = 64;
    const MOST: i32 = 200_000;
    if attempt < SPINS {
        std::thread::yield_now();
    } else {
        std::thread::sleep(Duration::from_micros(50));
    }
    attempt < MOST
}
