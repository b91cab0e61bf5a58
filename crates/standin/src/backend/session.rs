//! One connection: the PostgreSQL protocol, message by message.

use std::collections::BTreeMap;
use std::sync::Arc;

use pgwire::messages::copy::CopyInResponse;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, ReadyForQuery};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use rusqlite::types::Value;
use tokio::net::TcpStream;

use super::channel::{Channel, End};
use super::error::Error;
use super::executor::{Executor, Outcome};
use super::executor_copy::CopyIn;
use super::infer::Column;
use super::portal::{Portal, description, format_of, written_out};
use super::prepared::Prepared;
use super::registry::Handle;
use super::shared::Shared;
use super::sql::Kind;
use super::startup;
use super::state::Role;
use super::value;

/// Serves one connection until it ends.
pub(crate) async fn serve(shared: Arc<Shared>, socket: TcpStream) -> Result<(), End> {
    socket.set_nodelay(true)?;
    let mut channel = Channel::new(Arc::clone(&shared), socket);
    let Some(startup) = startup::greet(&mut channel).await? else {
        return Ok(());
    };
    let handle = match startup::admit(&mut channel, &startup).await? {
        Ok(handle) => handle,
        Err(error) => return channel.refuse(&error).await,
    };
    let broken = handle.broken.clone();
    let pid = handle.pid;
    let ended = tokio::select! {
        () = broken.cancelled() => Err(End::Closed),
        ended = run(channel, startup, handle) => ended,
    };
    shared.registry.remove(pid);
    ended
}

async fn run(channel: Channel, startup: Startup, handle: Arc<Handle>) -> Result<(), End> {
    let shared = Arc::clone(&channel.shared);
    let executor = match Executor::new(shared, Arc::clone(&handle), &startup.parameters) {
        Ok(executor) => executor,
        Err(error) => {
            let mut channel = channel;
            return channel.refuse(&error).await;
        }
    };
    let mut session = Session {
        channel,
        executor,
        statements: BTreeMap::new(),
        portals: BTreeMap::new(),
        skipping: false,
        copying: None,
        seen: None,
    };
    session.welcome(&handle)?;
    session.ready().await?;
    loop {
        let message = session.channel.next().await?;
        session.shared().switch.running().await;
        if let PgWireFrontendMessage::Terminate(_) = message {
            return Ok(());
        }
        session.take(message).await?;
    }
}

/// Rows are sent on when this much is waiting.
const FLUSH_AT: usize = 64 * 1024;

/// A COPY FROM STDIN under way.
struct Copying {
    copy: CopyIn,
    /// Whether a `Sync` is still to come after its end.
    extended: bool,
}

struct Session {
    executor: Executor,
    channel: Channel,
    statements: BTreeMap<String, Arc<Prepared>>,
    portals: BTreeMap<String, Portal>,
    /// After an error in the extended protocol, messages up to `Sync` are dropped.
    skipping: bool,
    copying: Option<Copying>,
    /// The role and position that the caller was told last.
    seen: Option<(Role, String)>,
}

impl Session {
    fn shared(&self) -> &Arc<Shared> {
        &self.channel.shared
    }

    fn welcome(&mut self, handle: &Handle) -> Result<(), End> {
        self.channel
            .push(PgWireBackendMessage::Authentication(Authentication::Ok))?;
        let key = BackendKeyData::new(handle.pid, SecretKey::I32(handle.secret()));
        self.channel.push(PgWireBackendMessage::BackendKeyData(key))
    }

    async fn take(&mut self, message: PgWireFrontendMessage) -> Result<(), End> {
        if self.copying.is_some() {
            return self.copy_message(message).await;
        }
        match message {
            PgWireFrontendMessage::Query(query) => self.query(&query.query).await,
            PgWireFrontendMessage::Sync(_) => {
                self.skipping = false;
                self.finish_implicit()?;
                self.ready().await
            }
            PgWireFrontendMessage::Flush(_) => self.channel.flush().await,
            // What a caller sent for a COPY that has failed.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            _ if self.skipping => Ok(()),
            message => {
                if let Err(error) = self.extended(message).await? {
                    self.skipping = true;
                    self.failed(&error)?;
                }
                Ok(())
            }
        }
    }

    async fn extended(&mut self, message: PgWireFrontendMessage) -> Result<Result<(), Error>, End> {
        let answer = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe),
            PgWireFrontendMessage::Execute(execute) => return self.execute(&execute).await,
            PgWireFrontendMessage::Close(close) => Ok(self.close(&close)),
            other => Err(Error::Protocol(format!("unexpected {other:?}"))),
        };
        match answer {
            Ok(messages) => {
                for message in messages {
                    self.channel.push(message)?;
                }
                Ok(Ok(()))
            }
            Err(error) => Ok(Err(error)),
        }
    }

    /// A simple query: its statements are one transaction unless they say otherwise.
    async fn query(&mut self, text: &str) -> Result<(), End> {
        self.portals.remove("");
        match self.executor.prepare_all(text) {
            Ok(statements) if statements.is_empty() => {
                let empty = EmptyQueryResponse::new();
                self.channel
                    .push(PgWireBackendMessage::EmptyQueryResponse(empty))?;
            }
            Ok(statements) => {
                let last = statements.len() - 1;
                for (index, prepared) in statements.iter().enumerate() {
                    if let Err(error) = self.simple(prepared, index == last).await? {
                        self.failed(&error)?;
                        break;
                    }
                    if self.copying.is_some() {
                        return self.channel.flush().await;
                    }
                }
            }
            Err(error) => self.failed(&error)?,
        }
        self.finish_implicit()?;
        self.ready().await
    }

    async fn simple(
        &mut self,
        prepared: &Arc<Prepared>,
        last: bool,
    ) -> Result<Result<(), Error>, End> {
        let (columns, outcome) = match self.run_simple(prepared).await {
            Ok(done) => done,
            Err(error) => return Ok(Err(error)),
        };
        // The commit goes first, so that no one is told of a write that did not last.
        let whole = !matches!(outcome, Outcome::CopyIn(_));
        if last
            && whole
            && let Err(error) = self.executor.finish_implicit()
        {
            return Ok(Err(error));
        }
        if !columns.is_empty() {
            let row = description(&columns, &[]);
            self.channel
                .push(PgWireBackendMessage::RowDescription(row))?;
        }
        self.deliver(outcome, false).await.map(Ok)
    }

    async fn run_simple(
        &mut self,
        prepared: &Arc<Prepared>,
    ) -> Result<(Arc<Vec<Column>>, Outcome), Error> {
        let portal = match &prepared.statement.kind {
            Kind::Prepare { name, text } => {
                self.prepare_named(name, text)?;
                let tag = "PREPARE".to_owned();
                let rows = Vec::new();
                return Ok((Arc::default(), Outcome::Done { rows, tag }));
            }
            Kind::Execute { name, arguments } => {
                let prepared = self.statement(Some(name))?;
                let parameters = written_out(&prepared, arguments)?;
                Portal::new(prepared, parameters)
            }
            _ => Portal::new(Arc::clone(prepared), Vec::new()),
        };
        let columns = portal.columns(&self.executor)?;
        let outcome = portal.run(&mut self.executor).await?;
        Ok((columns, outcome))
    }

    fn prepare_named(&mut self, name: &str, text: &str) -> Result<(), Error> {
        if self.statements.contains_key(name) {
            return Err(Error::Prepared(name.to_owned()));
        }
        let prepared = self.executor.prepare(text, &[])?;
        self.statements.insert(name.to_owned(), prepared);
        Ok(())
    }

    /// Sends all of an outcome.
    async fn deliver(&mut self, outcome: Outcome, extended: bool) -> Result<(), End> {
        match outcome {
            Outcome::Done { rows, tag } => {
                for row in rows {
                    self.channel.push(row)?;
                    if self.channel.output.len() > FLUSH_AT {
                        self.channel.flush().await?;
                    }
                }
                let complete = CommandComplete::new(tag);
                self.channel
                    .push(PgWireBackendMessage::CommandComplete(complete))
            }
            Outcome::Empty => {
                let empty = EmptyQueryResponse::new();
                self.channel
                    .push(PgWireBackendMessage::EmptyQueryResponse(empty))
            }
            Outcome::Deallocated { name, tag } => {
                match name {
                    Some(name) => self.statements.remove(&name).map_or((), drop),
                    None => self.statements.clear(),
                }
                let complete = CommandComplete::new(tag);
                self.channel
                    .push(PgWireBackendMessage::CommandComplete(complete))
            }
            Outcome::CopyIn(copy) => {
                let width = copy.width() as i16;
                let response = CopyInResponse::new(0, width, vec![0; copy.width()]);
                self.channel
                    .push(PgWireBackendMessage::CopyInResponse(response))?;
                self.copying = Some(Copying { copy, extended });
                self.channel.flush().await
            }
        }
    }

    async fn copy_message(&mut self, message: PgWireFrontendMessage) -> Result<(), End> {
        let Some(mut copying) = self.copying.take() else {
            return Ok(());
        };
        let extended = copying.extended;
        let done = match message {
            PgWireFrontendMessage::CopyData(data) => {
                let taken = self.executor.copy_data(&mut copying.copy, &data.data);
                if taken.is_ok() {
                    self.copying = Some(copying);
                    return Ok(());
                }
                taken.map(|()| 0)
            }
            PgWireFrontendMessage::CopyDone(_) => self.executor.copy_done(copying.copy),
            PgWireFrontendMessage::CopyFail(fail) => Err(Error::CopyFailed(fail.message)),
            PgWireFrontendMessage::Flush(_) | PgWireFrontendMessage::Sync(_) => {
                self.copying = Some(copying);
                return Ok(());
            }
            other => Err(Error::Protocol(format!("unexpected {other:?} during COPY"))),
        };
        let done = match done {
            Ok(rows) if !extended => self.executor.finish_implicit().map(|()| rows),
            done => done,
        };
        match done {
            Ok(rows) => {
                let complete = CommandComplete::new(format!("COPY {rows}"));
                self.channel
                    .push(PgWireBackendMessage::CommandComplete(complete))?;
            }
            Err(error) => {
                self.skipping = extended;
                self.failed(&error)?;
            }
        }
        if extended {
            return Ok(());
        }
        self.ready().await
    }

    fn parse(&mut self, parse: Parse) -> Result<Vec<PgWireBackendMessage>, Error> {
        let prepared = self.executor.prepare(&parse.query, &parse.type_oids)?;
        let name = parse.name.unwrap_or_default();
        self.statements.insert(name, prepared);
        let complete = ParseComplete::new();
        Ok(vec![PgWireBackendMessage::ParseComplete(complete)])
    }

    fn statement(&self, name: Option<&String>) -> Result<Arc<Prepared>, Error> {
        let name = name.map_or("", String::as_str);
        self.statements
            .get(name)
            .cloned()
            .ok_or_else(|| Error::Statement(name.to_owned()))
    }

    fn bind(&mut self, bind: Bind) -> Result<Vec<PgWireBackendMessage>, Error> {
        let prepared = self.statement(bind.statement_name.as_ref())?;
        let (given, wanted) = (bind.parameters.len(), prepared.types.len());
        if given != wanted {
            return Err(Error::Arity(given, wanted));
        }
        let mut parameters = Vec::with_capacity(given);
        for (index, (bytes, kind)) in bind.parameters.iter().zip(&prepared.types).enumerate() {
            let format = format_of(&bind.parameter_format_codes, index);
            parameters.push(match bytes {
                Some(bytes) => value::decode(kind, format, bytes)?,
                None => Value::Null,
            });
        }
        let portal = Portal {
            prepared,
            parameters,
            formats: bind.result_column_format_codes,
            rest: None,
        };
        let name = bind.portal_name.unwrap_or_default();
        self.portals.insert(name, portal);
        let complete = BindComplete::new();
        Ok(vec![PgWireBackendMessage::BindComplete(complete)])
    }

    fn describe(&mut self, describe: &Describe) -> Result<Vec<PgWireBackendMessage>, Error> {
        let mut messages = Vec::new();
        let columns = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.statement(describe.name.as_ref())?;
            let oids = prepared.types.iter().map(|kind| kind.oid()).collect();
            let types = ParameterDescription::new(oids);
            messages.push(PgWireBackendMessage::ParameterDescription(types));
            let columns = self.executor.describe(&prepared, &[])?;
            (columns, Vec::new())
        } else {
            let name = describe.name.as_deref().unwrap_or_default();
            let portal = self.portals.get(name);
            let portal = portal.ok_or_else(|| Error::Portal(name.to_owned()))?;
            let columns = self
                .executor
                .describe(&portal.prepared, &portal.parameters)?;
            (columns, portal.formats.clone())
        };
        let (columns, formats) = columns;
        messages.push(if columns.is_empty() {
            PgWireBackendMessage::NoData(NoData::new())
        } else {
            PgWireBackendMessage::RowDescription(description(&columns, &formats))
        });
        Ok(messages)
    }

    async fn execute(&mut self, execute: &Execute) -> Result<Result<(), Error>, End> {
        let name = execute.name.as_deref().unwrap_or_default();
        let Some(portal) = self.portals.get_mut(name) else {
            return Ok(Err(Error::Portal(name.to_owned())));
        };
        let outcome = match portal.rest.take() {
            Some(rest) => Ok(rest),
            None => portal.run(&mut self.executor).await,
        };
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => return Ok(Err(error)),
        };
        let most = usize::try_from(execute.max_rows).unwrap_or(0);
        match outcome {
            Outcome::Done { mut rows, tag } if most > 0 && rows.len() > most => {
                let rest = rows.split_off(most);
                portal.rest = Some(Outcome::Done { rows: rest, tag });
                for row in rows {
                    self.channel.push(row)?;
                }
                let suspended = PortalSuspended::new();
                self.channel
                    .push(PgWireBackendMessage::PortalSuspended(suspended))?;
                Ok(Ok(()))
            }
            outcome => self.deliver(outcome, true).await.map(Ok),
        }
    }

    fn close(&mut self, close: &Close) -> Vec<PgWireBackendMessage> {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        let complete = CloseComplete::new();
        vec![PgWireBackendMessage::CloseComplete(complete)]
    }

    fn failed(&mut self, error: &Error) -> Result<(), End> {
        self.channel
            .push(PgWireBackendMessage::ErrorResponse(error.response()))?;
        if let Err(worse) = self.executor.fail() {
            self.channel
                .push(PgWireBackendMessage::ErrorResponse(worse.response()))?;
            return Err(End::Closed);
        }
        Ok(())
    }

    fn finish_implicit(&mut self) -> Result<(), End> {
        if let Err(error) = self.executor.finish_implicit() {
            self.failed(&error)?;
        }
        Ok(())
    }

    /// Tells the caller what has changed, and that it may go on.
    async fn ready(&mut self) -> Result<(), End> {
        let (role, position) = {
            let state = self.shared().state();
            (state.role, state.position())
        };
        let now = (role, position.to_string());
        let news = match &self.seen {
            Some(seen) => (seen.0 != now.0, seen.1 != now.1),
            None => (true, true),
        };
        if news.0 {
            self.report("group.role", role.name().to_owned())?;
        }
        if news.1 {
            self.report("group.position", now.1.clone())?;
        }
        self.seen = Some(now);
        for (name, value) in self.executor.unreported() {
            self.report(name, value)?;
        }
        if self.executor.status() == pgwire::messages::response::TransactionStatus::Idle {
            self.portals.clear();
        }
        let ready = ReadyForQuery::new(self.executor.status());
        self.channel
            .push(PgWireBackendMessage::ReadyForQuery(ready))?;
        self.channel.flush().await
    }

    fn report(&mut self, name: &str, value: String) -> Result<(), End> {
        let status = ParameterStatus::new(name.to_owned(), value);
        self.channel
            .push(PgWireBackendMessage::ParameterStatus(status))
    }
}
