//! Runs the statements of one session against the engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use pgwire::api::Type;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::TransactionStatus;
use rusqlite::params_from_iter;
use rusqlite::types::{Value, ValueRef};

use super::engine::{self, Engine};
use super::error::Error;
use super::executor_copy::CopyIn;
use super::executor_turn::interruptible;
use super::group;
use super::infer::{self, Column};
use super::parameter::Parameters;
use super::portal::format_of;
use super::prepared::Prepared;
use super::registry::Handle;
use super::shared::Shared;
use super::sql::{self, Argument, Call, Kind, Statement};
use super::transaction::{Block, Transaction};
use super::translate::quote;
use super::value;

/// Texts whose parse a session remembers.
const CACHED_TEXTS: usize = 256;

/// What a statement came to.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// Messages with its rows, and its command tag.
    Done {
        rows: Vec<PgWireBackendMessage>,
        tag: String,
    },
    /// There was nothing to run.
    Empty,
    /// Prepared statements are to be forgotten: one, or all.
    Deallocated { name: Option<String>, tag: String },
    /// The caller's data come next.
    CopyIn(CopyIn),
}

/// The statements of one session. The engine is dropped, and its open transaction undone, before
/// the transaction gives up the writer's lock.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(crate) engine: Engine,
    pub(crate) transaction: Transaction,
    pub(crate) shared: Arc<Shared>,
    pub(crate) handle: Arc<Handle>,
    pub(crate) parameters: Parameters,
    generation: u64,
    texts: BTreeMap<String, Vec<Arc<Prepared>>>,
}

impl Executor {
    pub(crate) fn new(
        shared: Arc<Shared>,
        handle: Arc<Handle>,
        given: &BTreeMap<String, String>,
    ) -> Result<Executor, Error> {
        let generation = shared.generation.load(Ordering::Acquire);
        let engine = shared.engine(handle.pid)?;
        handle.set_interrupt(engine.connection.get_interrupt_handle());
        Ok(Executor {
            engine,
            transaction: Transaction::new(),
            shared,
            handle,
            parameters: Parameters::start(given),
            generation,
            texts: BTreeMap::new(),
        })
    }

    pub(crate) fn status(&self) -> TransactionStatus {
        self.transaction.status()
    }

    pub(crate) fn unreported(&mut self) -> Vec<(&'static str, String)> {
        self.parameters.unreported()
    }

    /// Opens the engine anew when the server has rebuilt its data, and forgets cached types when
    /// the schema has changed.
    pub(crate) fn refresh(&mut self) -> Result<(), Error> {
        let generation = self.shared.generation.load(Ordering::Acquire);
        if generation == self.generation || self.transaction.is_writing() {
            return Ok(());
        }
        self.generation = generation;
        self.texts.clear();
        if self.shared.is_moved(&self.engine) {
            self.engine = self.shared.engine(self.handle.pid)?;
            let interrupt = self.engine.connection.get_interrupt_handle();
            self.handle.set_interrupt(interrupt);
        }
        Ok(())
    }

    /// The statements of a simple query.
    pub(crate) fn prepare_all(&mut self, text: &str) -> Result<Vec<Arc<Prepared>>, Error> {
        self.refresh()?;
        if let Some(known) = self.texts.get(text) {
            return Ok(known.clone());
        }
        let statements: Vec<Arc<Prepared>> = sql::parse(text)?
            .into_iter()
            .map(|statement| Arc::new(self.prepared(statement, &[])))
            .collect();
        if self.texts.len() >= CACHED_TEXTS {
            self.texts.clear();
        }
        self.texts.insert(text.to_owned(), statements.clone());
        Ok(statements)
    }

    /// The one statement of a `Parse` message.
    pub(crate) fn prepare(&mut self, text: &str, oids: &[u32]) -> Result<Arc<Prepared>, Error> {
        self.refresh()?;
        let mut statements = sql::parse(text)?;
        if statements.len() > 1 {
            let problem = "cannot insert multiple commands into a prepared statement";
            return Err(Error::Syntax(problem.to_owned()));
        }
        let statement = statements.pop().unwrap_or_else(Statement::empty);
        if self.transaction.block == Block::Failed && !ends_block(&statement.kind) {
            return Err(Error::Aborted);
        }
        let prepared = Arc::new(self.prepared(statement, oids));
        // Tells now of a table or a column that is not there.
        if !prepared.statement.sql.is_empty() {
            self.engine
                .connection
                .prepare_cached(&prepared.statement.sql)?;
        }
        Ok(prepared)
    }

    fn prepared(&self, statement: Statement, oids: &[u32]) -> Prepared {
        let types = match &statement.kind {
            Kind::Group(call) => group::parameters(call.function)
                .into_iter()
                .take(statement.parameters)
                .collect(),
            _ => infer::parameters(&self.engine.connection, &statement, oids),
        };
        Prepared::new(statement, types)
    }

    /// The columns of a statement's result; none when it gives no rows.
    pub(crate) fn describe(
        &self,
        prepared: &Prepared,
        parameters: &[Value],
    ) -> Result<Arc<Vec<Column>>, Error> {
        if let Some(columns) = prepared.columns.get() {
            return Ok(Arc::clone(columns));
        }
        let text = |name: &str| {
            vec![Column {
                name: name.to_owned(),
                kind: Type::TEXT,
            }]
        };
        let columns = match &prepared.statement.kind {
            Kind::Query | Kind::LockingQuery | Kind::Write(_) | Kind::Temporary(_) => {
                infer::columns(&self.engine.connection, &prepared.statement, parameters)?
            }
            Kind::Show(name) => text(name),
            Kind::Set(_) if prepared.statement.tag() == "SELECT" => text("set_config"),
            Kind::Group(call) => group::columns(call.function),
            _ => Vec::new(),
        };
        Ok(Arc::clone(
            prepared.columns.get_or_init(|| Arc::new(columns)),
        ))
    }

    /// Runs a statement.
    pub(crate) async fn run(
        &mut self,
        prepared: &Prepared,
        parameters: &[Value],
        columns: &[Column],
        formats: &[i16],
    ) -> Result<Outcome, Error> {
        let kind = &prepared.statement.kind;
        if self.transaction.block == Block::Failed && !ends_block(kind) {
            return Err(Error::Aborted);
        }
        self.refresh()?;
        match kind {
            Kind::Query | Kind::LockingQuery | Kind::Write(_) | Kind::Temporary(_) => {
                self.work(prepared, parameters, columns, formats).await
            }
            Kind::CopyOut { query } => self.copy_out(query).await,
            Kind::CopyIn { table, columns } => self.copy_in(table, columns.as_deref()).await,
            Kind::Group(call) => {
                let rows = self.group(call, parameters).await?;
                let mut messages = Vec::with_capacity(rows.len());
                for row in &rows {
                    let fields = row.iter().map(ValueRef::from);
                    messages.push(data_row(fields, columns, formats)?);
                }
                Ok(selected(messages))
            }
            Kind::Show(name) => {
                let value = Value::Text(self.parameters.get(name)?);
                let row = data_row([ValueRef::from(&value)], columns, formats)?;
                Ok(Outcome::Done {
                    rows: vec![row],
                    tag: "SHOW".to_owned(),
                })
            }
            _ => self.control(prepared, columns, formats).await,
        }
    }

    async fn group(&mut self, call: &Call, parameters: &[Value]) -> Result<group::Rows, Error> {
        let timeout = self.parameters.statement_timeout();
        let arguments = call.arguments.iter().map(|argument| match argument {
            Argument::Text(text) => Value::Text(text.clone()),
            Argument::Null => Value::Null,
            Argument::Bound(index) => parameters.get(*index).cloned().unwrap_or(Value::Null),
        });
        let arguments: Vec<Value> = arguments.collect();
        let answer = group::call(&self.shared, self.handle.pid, call.function, &arguments);
        interruptible(&self.handle, timeout, answer).await?
    }

    async fn control(
        &mut self,
        prepared: &Prepared,
        columns: &[Column],
        formats: &[i16],
    ) -> Result<Outcome, Error> {
        let mut tag = prepared.statement.tag();
        let mut rows = Vec::new();
        match &prepared.statement.kind {
            Kind::Empty => return Ok(Outcome::Empty),
            Kind::Prepare { .. } | Kind::Execute { .. } => {
                let what = "PREPARE or EXECUTE in the extended protocol";
                return Err(Error::Unsupported(what.to_owned()));
            }
            Kind::Begin { read_only } if self.transaction.block == Block::Implicit => {
                let default = self.parameters.get("default_transaction_read_only")?;
                self.transaction.block = Block::Open;
                self.transaction.read_only = *read_only || default == "on";
                self.parameters.begin();
            }
            Kind::Commit => {
                let failed = self.transaction.block == Block::Failed;
                if failed {
                    tag = "ROLLBACK".to_owned();
                    self.transaction.roll_back(&self.engine)?;
                } else {
                    self.shared.switch.running().await;
                    self.transaction.commit(&self.shared, &self.engine)?;
                }
                self.parameters.end(!failed);
            }
            Kind::Rollback => {
                self.transaction.roll_back(&self.engine)?;
                self.parameters.end(false);
            }
            Kind::Savepoint(name) => self.savepoint(format!("SAVEPOINT {}", quote(name))).await?,
            Kind::RollbackTo(name) => {
                let text = format!("ROLLBACK TO {}", quote(name));
                self.nested(&text, name)?;
                self.transaction.block = Block::Open;
            }
            Kind::Release(name) => {
                let text = format!("RELEASE {}", quote(name));
                self.nested(&text, name)?;
            }
            Kind::Set(setting) if setting.name == "transaction" => {
                let value = setting.value.as_deref().unwrap_or_default().to_lowercase();
                self.transaction.read_only |= value.contains("read only");
            }
            Kind::Set(setting) => {
                self.parameters.set(setting)?;
                if let [column] = columns {
                    let value = Value::Text(setting.value.clone().unwrap_or_default());
                    let column = std::slice::from_ref(column);
                    rows.push(data_row([ValueRef::from(&value)], column, formats)?);
                    tag = "SELECT 1".to_owned();
                }
            }
            Kind::Discard => {
                self.parameters.set(&sql::Setting {
                    name: "all".to_owned(),
                    value: None,
                    local: false,
                })?;
                self.engine = self.shared.engine(self.handle.pid)?;
                let interrupt = self.engine.connection.get_interrupt_handle();
                self.handle.set_interrupt(interrupt);
                return Ok(Outcome::Deallocated { name: None, tag });
            }
            Kind::Deallocate(name) => {
                let name = name.clone();
                return Ok(Outcome::Deallocated { name, tag });
            }
            _ => {}
        }
        Ok(Outcome::Done { rows, tag })
    }

    async fn savepoint(&mut self, text: String) -> Result<(), Error> {
        if self.transaction.block != Block::Open {
            return Err(Error::Unsupported(
                "SAVEPOINT outside a transaction".to_owned(),
            ));
        }
        self.begin_write().await?;
        self.engine.control(&text)?;
        self.transaction.record(&text, &[]);
        Ok(())
    }

    fn nested(&mut self, text: &str, name: &str) -> Result<(), Error> {
        if !self.transaction.is_writing() {
            return Err(Error::Savepoint(name.to_owned()));
        }
        let done = self.engine.control(text);
        done.map_err(|_| Error::Savepoint(name.to_owned()))?;
        self.transaction.record(text, &[]);
        Ok(())
    }

    /// Runs a statement of the engine: a slot, its cost, then the work.
    async fn work(
        &mut self,
        prepared: &Prepared,
        parameters: &[Value],
        columns: &[Column],
        formats: &[i16],
    ) -> Result<Outcome, Error> {
        let statement = &prepared.statement;
        let logged = match &statement.kind {
            Kind::LockingQuery => false,
            Kind::Temporary(_) => false,
            Kind::Write(table) => !self.is_temporary(table)?,
            _ => !self
                .engine
                .connection
                .prepare_cached(&statement.sql)?
                .readonly(),
        };
        if logged || statement.kind == Kind::LockingQuery {
            self.begin_write().await?;
        }
        let _slot = self.slot().await?;
        self.spend(statement.sleep.as_ref(), parameters).await?;
        if !self.transaction.is_writing() {
            self.engine.source.set(engine::pin());
        }
        let (rows, changed) = self.rows(&statement.sql, parameters, columns, formats)?;
        if logged {
            self.transaction.record(&statement.sql, parameters);
        }
        let tag = statement.tag();
        let tag = match tag.as_str() {
            "SELECT" => format!("SELECT {}", rows.len()),
            "INSERT" => format!("INSERT 0 {changed}"),
            "UPDATE" | "DELETE" => format!("{tag} {changed}"),
            _ => tag,
        };
        Ok(Outcome::Done { rows, tag })
    }

    fn rows(
        &self,
        text: &str,
        parameters: &[Value],
        columns: &[Column],
        formats: &[i16],
    ) -> Result<(Vec<PgWireBackendMessage>, u64), Error> {
        let mut prepared = self.engine.connection.prepare_cached(text)?;
        let width = prepared.column_count();
        let mut rows = prepared.query(params_from_iter(parameters))?;
        let mut messages = Vec::new();
        while let Some(row) = rows.next()? {
            let fields = (0..width).map(|index| row.get_ref(index).unwrap_or(ValueRef::Null));
            messages.push(data_row(fields, columns, formats)?);
        }
        drop(rows);
        Ok((messages, self.engine.connection.changes()))
    }

    fn is_temporary(&self, table: &str) -> Result<bool, Error> {
        let mut prepared = self
            .engine
            .connection
            .prepare_cached("SELECT 1 FROM temp.sqlite_master WHERE name = ?1")?;
        Ok(prepared.exists([table])?)
    }

    /// Commits what an implicit transaction wrote.
    pub(crate) fn finish_implicit(&mut self) -> Result<(), Error> {
        match self.transaction.block {
            Block::Implicit => self.transaction.commit(&self.shared, &self.engine),
            Block::Open | Block::Failed => Ok(()),
        }
    }

    /// Notes that a statement failed.
    pub(crate) fn fail(&mut self) -> Result<(), Error> {
        self.transaction.fail(&self.engine)
    }
}

fn ends_block(kind: &Kind) -> bool {
    matches!(kind, Kind::Commit | Kind::Rollback | Kind::RollbackTo(_))
}

fn selected(rows: Vec<PgWireBackendMessage>) -> Outcome {
    let tag = format!("SELECT {}", rows.len());
    Outcome::Done { rows, tag }
}

fn data_row<'a>(
    fields: impl IntoIterator<Item = ValueRef<'a>>,
    columns: &[Column],
    formats: &[i16],
) -> Result<PgWireBackendMessage, Error> {
    let mut data = BytesMut::new();
    for (index, (field, column)) in fields.into_iter().zip(columns).enumerate() {
        value::encode(&mut data, field, &column.kind, format_of(formats, index))?;
    }
    let width = columns.len() as i16;
    Ok(PgWireBackendMessage::DataRow(DataRow::new(data, width)))
}
