//! One connection: the PostgreSQL protocol, message by message.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::copy::CopyInResponse;
use pgwire::messages::data::{FieldDescription, NoData, ParameterDescription, RowDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, ReadyForQuery, SslResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use rusqlite::types::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::error::Error;
use super::executor::{CopyIn, Executor, Outcome, Prepared};
use super::infer::Column;
use super::registry::Handle;
use super::replica::PEER_USER;
use super::shared::Shared;
use super::sql::Kind;
use super::state::Role;
use super::value;

/// Rows are sent on when this much is waiting.
const FLUSH_AT: usize = 64 * 1024;

/// Why a connection ends.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum End {
    /// the caller closed it
    Closed,
    /// the network broke: {0}
    Io(std::io::Error),
    /// the caller broke the protocol: {0}
    Protocol(PgWireError),
}

impl From<std::io::Error> for End {
    fn from(error: std::io::Error) -> End {
        End::Io(error)
    }
}

impl From<PgWireError> for End {
    fn from(error: PgWireError) -> End {
        End::Protocol(error)
    }
}

/// Messages to and from one peer.
struct Channel {
    shared: Arc<Shared>,
    socket: TcpStream,
    context: DecodeContext,
    input: BytesMut,
    output: BytesMut,
    /// The peer's name, for cuts, once its start-up message has told it.
    peer: Option<String>,
}

impl Channel {
    async fn next(&mut self) -> Result<PgWireFrontendMessage, End> {
        loop {
            if let Some(message) = PgWireFrontendMessage::decode(&mut self.input, &self.context)? {
                return Ok(message);
            }
            if self.socket.read_buf(&mut self.input).await? == 0 {
                return Err(End::Closed);
            }
            self.shared.switch.reached_by(self.peer.as_deref()).await;
        }
    }

    fn push(&mut self, message: PgWireBackendMessage) -> Result<(), End> {
        message.encode(&mut self.output)?;
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), End> {
        self.shared.switch.reached_by(self.peer.as_deref()).await;
        self.socket.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    async fn refuse(&mut self, error: &Error) -> Result<(), End> {
        self.push(PgWireBackendMessage::ErrorResponse(error.response()))?;
        self.flush().await?;
        Err(End::Closed)
    }
}

/// Serves one connection until it ends.
pub(crate) async fn serve(shared: Arc<Shared>, socket: TcpStream) -> Result<(), End> {
    socket.set_nodelay(true)?;
    let mut channel = Channel {
        shared: Arc::clone(&shared),
        socket,
        context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        input: BytesMut::new(),
        output: BytesMut::new(),
        peer: None,
    };
    let Some(startup) = greet(&mut channel).await? else {
        return Ok(());
    };
    let handle = match admit(&mut channel, &startup).await? {
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

/// Everything before the start-up message. A cancel request is answered here.
async fn greet(channel: &mut Channel) -> Result<Option<Startup>, End> {
    loop {
        match channel.next().await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                channel.context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                channel.push(PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                channel.flush().await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                if let SecretKey::I32(secret) = request.secret_key {
                    channel.shared.registry.cancel(request.pid, secret);
                }
                return Ok(None);
            }
            PgWireFrontendMessage::Startup(startup) => {
                channel.context.awaiting_frontend_startup = false;
                return Ok(Some(startup));
            }
            _ => return Err(End::Closed),
        }
    }
}

async fn admit(
    channel: &mut Channel,
    startup: &Startup,
) -> Result<Result<Arc<Handle>, Error>, End> {
    let given = |name: &str| startup.parameters.get(name).cloned().unwrap_or_default();
    channel.peer = Some(given("application_name"));
    let shared = Arc::clone(&channel.shared);
    shared.switch.reached_by(channel.peer.as_deref()).await;
    let settings = &shared.settings;
    let is_peer = given("user") == PEER_USER;
    let database = given("database");
    if database != settings.service {
        return Ok(Err(Error::Database(database)));
    }
    if shared.state().rebuilding {
        return Ok(Err(Error::StartingUp));
    }
    let limit = usize::from(settings.connections);
    let Some(handle) = shared.registry.add(!is_peer, limit) else {
        return Ok(Err(Error::TooManyConnections));
    };
    if !is_peer {
        tokio::time::sleep(settings.connect_cost).await;
    }
    Ok(Ok(handle))
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

/// A bound statement.
struct Portal {
    prepared: Arc<Prepared>,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    /// Rows that the caller has not fetched yet, once the statement ran.
    rest: Option<Outcome>,
}

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
        let described = match prepared.statement.kind {
            Kind::CopyOut { .. } => Ok(Arc::default()),
            _ => self.executor.describe(prepared, &[]),
        };
        let columns = match described {
            Ok(columns) => columns,
            Err(error) => return Ok(Err(error)),
        };
        let outcome = match self.executor.run(prepared, &[], &columns, &[]).await {
            Ok(outcome) => outcome,
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
            None => run_portal(&mut self.executor, portal).await,
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

async fn run_portal(executor: &mut Executor, portal: &Portal) -> Result<Outcome, Error> {
    let Portal {
        prepared,
        parameters,
        formats,
        ..
    } = portal;
    let columns = match prepared.statement.kind {
        Kind::CopyOut { .. } => Arc::default(),
        _ => executor.describe(prepared, parameters)?,
    };
    executor.run(prepared, parameters, &columns, formats).await
}

/// The format of the field at `index`, by the rules for lists of format codes.
pub(crate) fn format_of(codes: &[i16], index: usize) -> i16 {
    match codes {
        [] => 0,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}

fn description(columns: &[Column], formats: &[i16]) -> RowDescription {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let width = match column.kind {
            pgwire::api::Type::INT8 | pgwire::api::Type::FLOAT8 => 8,
            pgwire::api::Type::BOOL => 1,
            _ => -1,
        };
        let format = format_of(formats, index);
        FieldDescription::new(
            column.name.clone(),
            0,
            0,
            column.kind.oid(),
            width,
            -1,
            format,
        )
    });
    RowDescription::new(fields.collect())
}
