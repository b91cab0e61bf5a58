//! The transaction of a session: what it wrote, and how it ends.

use tokio::sync::OwnedMutexGuard;

use pgwire::messages::response::TransactionStatus;

use super::engine::Engine;
use super::error::Error;
use super::log::{Entry, Parameter, Pin, Statement};
use super::shared::{Shared, changes_schema};

/// Where a session stands between transactions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Block {
    /// Every statement, or every batch of statements, is a transaction.
    Implicit,
    /// After `BEGIN`.
    Open,
    /// After an error in an open block.
    Failed,
}

/// What the transaction wrote so far, and the right to write.
#[derive(Debug)]
struct Writing {
    term: i64,
    pin: Pin,
    statements: Vec<Statement>,
    _writer: OwnedMutexGuard<()>,
}

/// The transaction of one session.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) block: Block,
    pub(crate) read_only: bool,
    writing: Option<Writing>,
}

impl Transaction {
    pub(crate) fn new() -> Transaction {
        Transaction {
            block: Block::Implicit,
            read_only: false,
            writing: None,
        }
    }

    pub(crate) fn status(&self) -> TransactionStatus {
        match self.block {
            Block::Implicit => TransactionStatus::Idle,
            Block::Open => TransactionStatus::Transaction,
            Block::Failed => TransactionStatus::Error,
        }
    }

    pub(crate) fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Begins to write; `writer` is the server's writer's lock.
    pub(crate) fn write(
        &mut self,
        engine: &Engine,
        pin: Pin,
        term: i64,
        writer: OwnedMutexGuard<()>,
    ) -> Result<(), Error> {
        engine.source.set(pin);
        engine.control("BEGIN IMMEDIATE")?;
        self.writing = Some(Writing {
            term,
            pin,
            statements: Vec::new(),
            _writer: writer,
        });
        Ok(())
    }

    /// Adds a write that succeeded to what a commit will log.
    pub(crate) fn record(&mut self, sql: &str, parameters: &[rusqlite::types::Value]) {
        if let Some(writing) = &mut self.writing {
            writing.statements.push(Statement {
                sql: sql.to_owned(),
                parameters: parameters.iter().map(Parameter::from).collect(),
            });
        }
    }

    /// Commits what was written, as the next entry of the log.
    pub(crate) fn commit(&mut self, shared: &Shared, engine: &Engine) -> Result<(), Error> {
        self.block = Block::Implicit;
        self.read_only = false;
        let Some(writing) = self.writing.take() else {
            return Ok(());
        };
        // The state stays locked over the engine's commit, so that whoever reads the data also
        // sees the position, and no commit slips in after the server ceased to lead.
        let mut state = shared.state();
        let term = flamingopost_core::term::Term::from_number(writing.term);
        if !state.leads(term) {
            drop(state);
            engine.control("ROLLBACK")?;
            return Err(Error::Deposed);
        }
        if let Err(error) = engine.control("COMMIT") {
            engine.control("ROLLBACK")?;
            return Err(error.into());
        }
        if writing.statements.is_empty() {
            return Ok(());
        }
        let entry = Entry {
            term: writing.term,
            pin: writing.pin,
            statements: writing.statements,
        };
        if changes_schema(&entry) {
            shared
                .generation
                .fetch_add(1, std::sync::atomic::Ordering::Release);
        }
        state.log.push(entry);
        drop(state);
        shared.notify();
        Ok(())
    }

    pub(crate) fn roll_back(&mut self, engine: &Engine) -> Result<(), Error> {
        self.block = Block::Implicit;
        self.read_only = false;
        if self.writing.take().is_some() {
            engine.control("ROLLBACK")?;
        }
        Ok(())
    }

    /// Notes that a statement failed: an open block takes nothing more, and an implicit
    /// transaction is undone.
    pub(crate) fn fail(&mut self, engine: &Engine) -> Result<(), Error> {
        match self.block {
            Block::Implicit => self.roll_back(engine),
            Block::Open | Block::Failed => {
                self.block = Block::Failed;
                Ok(())
            }
        }
    }
}
