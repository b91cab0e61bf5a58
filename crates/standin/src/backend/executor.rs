//! Runs the statements of one session against the engine.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::BytesMut;
use pgwire::api::Type;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::copy::{CopyData, CopyDone, CopyOutResponse};
use pgwire::messages::data::DataRow;
use pgwire::messages::response::TransactionStatus;
use rusqlite::params_from_iter;
use rusqlite::types::{Value, ValueRef};
use tokio::sync::OwnedSemaphorePermit;

use super::copy;
use super::engine::{self, Engine};
use super::error::Error;
use super::group;
use super::infer::{self, Column};
use super::parameter::Parameters;
use super::registry::Handle;
use super::session::format_of;
use super::shared::Shared;
use super::sql::{self, Argument, Call, Kind, Statement};
use super::state::Role;
use super::transaction::{Block, Transaction};
use super::value;

/// Texts whose parse a session remembers.
const CACHED_TEXTS: usize = 256;

/// A statement with all that does not change from run to run.
#[derive(Debug)]
pub(crate) struct Prepared {
    pub(crate) statement: Statement,
    pub(crate) types: Vec<Type>,
    columns: OnceLock<Arc<Vec<Column>>>,
}

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

/// A COPY FROM STDIN under way.
#[derive(Debug)]
pub(crate) struct CopyIn {
    sql: String,
    kinds: Vec<Type>,
    buffer: BytesMut,
    rows: usize,
}

impl CopyIn {
    /// How many columns it fills.
    pub(crate) fn width(&self) -> usize {
        self.kinds.len()
    }
}

/// The statements of one session. The engine is dropped, and its open transaction undone, before
/// the transaction gives up the writer's lock.
#[derive(Debug)]
pub(crate) struct Executor {
    engine: Engine,
    transaction: Transaction,
    shared: Arc<Shared>,
    handle: Arc<Handle>,
    parameters: Parameters,
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
    fn refresh(&mut self) -> Result<(), Error> {
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
        Prepared {
            statement,
            types,
            columns: OnceLock::new(),
        }
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
            Kind::Savepoint(name) => {
                self.savepoint(format!("SAVEPOINT {}", sql::quote(name)))
                    .await?
            }
            Kind::RollbackTo(name) => {
                let text = format!("ROLLBACK TO {}", sql::quote(name));
                self.nested(&text, name)?;
                self.transaction.block = Block::Open;
            }
            Kind::Release(name) => {
                let text = format!("RELEASE {}", sql::quote(name));
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

    /// Takes the writer's lock and opens the engine's transaction, unless that was done already.
    ///
    /// It comes before the slot: a transaction that waits for its next statement may hold the
    /// lock, and could never finish if those who wait for the lock held all slots.
    async fn begin_write(&mut self) -> Result<(), Error> {
        if self.shared.state().role == Role::Replica || self.transaction.read_only {
            return Err(Error::ReadOnly);
        }
        if self.transaction.is_writing() {
            return Ok(());
        }
        let timeout = self.parameters.statement_timeout();
        let lock = Arc::clone(&self.shared.writer).lock_owned();
        let writer = interruptible(&self.handle, timeout, lock).await?;
        let term = {
            let state = self.shared.state();
            match (state.role, state.term) {
                (Role::Primary, Some(term)) => term,
                _ => return Err(Error::ReadOnly),
            }
        };
        self.refresh()?;
        self.transaction
            .write(&self.engine, engine::pin(), term, writer)
    }

    async fn slot(&mut self) -> Result<Option<OwnedSemaphorePermit>, Error> {
        let Some(slots) = &self.shared.slots else {
            return Ok(None);
        };
        let timeout = self.parameters.statement_timeout();
        let permit = match Arc::clone(slots).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let permit = Arc::clone(slots).acquire_owned();
                // The semaphore is never closed, so only a cancel ends the wait early.
                let permit = interruptible(&self.handle, timeout, permit).await?;
                permit.map_err(|_| Error::StartingUp)?
            }
        };
        Ok(Some(permit))
    }

    /// Lets the time pass that the statement takes.
    async fn spend(&mut self, sleep: Option<&Argument>, parameters: &[Value]) -> Result<(), Error> {
        self.shared.statements.fetch_add(1, Ordering::Relaxed);
        let cost = self.shared.settings.statement_cost + self.shared.switch.slow();
        let asked = match sleep {
            Some(Argument::Text(text)) => text.parse().unwrap_or(0.0),
            Some(Argument::Bound(index)) => match parameters.get(*index) {
                Some(Value::Real(seconds)) => *seconds,
                Some(Value::Integer(seconds)) => *seconds as f64,
                _ => 0.0,
            },
            None => 0.0,
        };
        let asked = Duration::try_from_secs_f64(asked).unwrap_or_default();
        let total = cost + asked;
        if !total.is_zero() {
            let timeout = self.parameters.statement_timeout();
            interruptible(&self.handle, timeout, tokio::time::sleep(total)).await?;
        }
        self.shared.switch.running().await;
        Ok(())
    }

    async fn copy_out(&mut self, query: &str) -> Result<Outcome, Error> {
        let _slot = self.slot().await?;
        self.spend(None, &[]).await?;
        let mut prepared = self.engine.connection.prepare_cached(query)?;
        let kinds: Vec<Type> = prepared
            .columns()
            .map(|column| column.decl_type().map_or(Type::TEXT, value::declared))
            .collect();
        let width = kinds.len();
        let response = CopyOutResponse::new(0, width as i16, vec![0; width]);
        let mut messages = vec![PgWireBackendMessage::CopyOutResponse(response)];
        let mut rows = prepared.query([])?;
        while let Some(row) = rows.next()? {
            let fields = (0..width).map(|index| row.get_ref(index).unwrap_or(ValueRef::Null));
            let line = copy::line(fields.zip(&kinds));
            messages.push(PgWireBackendMessage::CopyData(CopyData::new(line)));
        }
        let count = messages.len() - 1;
        messages.push(PgWireBackendMessage::CopyDone(CopyDone::new()));
        Ok(Outcome::Done {
            rows: messages,
            tag: format!("COPY {count}"),
        })
    }

    async fn copy_in(&mut self, table: &str, columns: Option<&str>) -> Result<Outcome, Error> {
        let list = columns.unwrap_or("*");
        let kinds: Vec<Type> = self
            .engine
            .connection
            .prepare(&format!("SELECT {list} FROM {table}"))?
            .columns()
            .map(|column| column.decl_type().map_or(Type::TEXT, value::declared))
            .collect();
        self.begin_write().await?;
        let holders: Vec<String> = (1..=kinds.len())
            .map(|number| format!("?{number}"))
            .collect();
        let into = columns.map_or_else(String::new, |columns| format!(" ({columns})"));
        let sql = format!("INSERT INTO {table}{into} VALUES ({})", holders.join(", "));
        Ok(Outcome::CopyIn(CopyIn {
            sql,
            kinds,
            buffer: BytesMut::new(),
            rows: 0,
        }))
    }

    /// Takes what the caller sent for a COPY.
    pub(crate) fn copy_data(&mut self, copy: &mut CopyIn, data: &[u8]) -> Result<(), Error> {
        copy.buffer.extend_from_slice(data);
        while let Some(end) = copy.buffer.iter().position(|byte| *byte == b'\n') {
            let line = copy.buffer.split_to(end + 1);
            self.copy_line(copy, &line[..end])?;
        }
        Ok(())
    }

    /// Ends a COPY; tells how many rows came.
    pub(crate) fn copy_done(&mut self, mut copy: CopyIn) -> Result<usize, Error> {
        if !copy.buffer.is_empty() {
            let line = copy.buffer.split();
            self.copy_line(&mut copy, &line)?;
        }
        Ok(copy.rows)
    }

    fn copy_line(&mut self, copy: &mut CopyIn, line: &[u8]) -> Result<(), Error> {
        if line == b"\\." {
            return Ok(());
        }
        let values = copy::values(line, &copy.kinds)?;
        self.engine
            .connection
            .prepare_cached(&copy.sql)?
            .execute(params_from_iter(&values))?;
        self.transaction.record(&copy.sql, &values);
        copy.rows += 1;
        Ok(())
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

/// Waits for `work`, a cancel request or the statement's timeout.
async fn interruptible<T>(
    handle: &Handle,
    timeout: Option<Duration>,
    work: impl Future<Output = T>,
) -> Result<T, Error> {
    let expired = async {
        match timeout {
            Some(timeout) => tokio::time::sleep(timeout).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        () = handle.canceled() => Err(Error::Canceled),
        done = work => Ok(done),
        () = expired => Err(Error::Timeout),
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
