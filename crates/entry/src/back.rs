//! One connection to a backend server.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::session::state::ConnectionParameters;
use pgwire::messages::Message;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::frame::{self, Frame, Splitter};
use crate::reply;

/// User name under which entry hosts connect.
pub const USER: &str = "flamingopost";
/// Parameter in which a server reports its role.
const ROLE: &str = "group.role";
/// Parameter in which a server reports its position.
const POSITION: &str = "group.position";
/// A server's longest message; PostgreSQL's own limit.
const MESSAGE_LIMIT: usize = 0x3fff_ffff;
const READ_ROOM: usize = 8 * 1024;

/// Why a backend connection cannot be used.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// connection failed: {0}
    Io(io::Error),
    /// {0}
    Frame(frame::Error),
    /// refused with {sqlstate}: {message}
    Refused {
        /// The server's SQLSTATE.
        sqlstate: String,
        /// What the server said.
        message: String,
    },
    /// the server asks for an authentication that this host has no means for
    Authentication,
    /// not connected within {0:?}
    Timeout(Duration),
    /// the server broke the protocol
    Protocol,
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

impl From<frame::Error> for Error {
    fn from(error: frame::Error) -> Error {
        Error::Frame(error)
    }
}

/// Where a cancel request for a connection goes, and what it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelKey {
    /// The server.
    pub address: SocketAddr,
    /// Process id that the server gave.
    pub pid: i32,
    /// Secret that the server gave.
    pub secret: SecretKey,
}

/// A connection to a backend server, past its start-up.
#[derive(Debug)]
pub struct Back {
    /// The server.
    pub server: ServerKey,
    /// How to cancel what runs on it.
    pub cancel: CancelKey,
    /// The position the server last reported on it.
    pub position: Option<Position>,
    /// Whether the server last reported to be the primary.
    pub primary: bool,
    /// Session parameters set on it.
    pub carried: ConnectionParameters,
    /// Numbers of the statements prepared on it.
    pub prepared: BTreeSet<u64>,
    /// Number of the statement behind the unnamed one, where it is known.
    pub unnamed: Option<u64>,
    /// Parameters that the server reported at start-up, except `group.`.
    pub parameters: Vec<(String, String)>,
    /// Transaction status at the last `ReadyForQuery`.
    pub status: TransactionStatus,
    /// Messages sent that end in a `ReadyForQuery` still to come.
    pub pending: u32,
    sending: bool,
    stream: TcpStream,
    input: BytesMut,
    splitter: Splitter,
}

impl Back {
    /// Connects to `address` and starts a session on database `service`, under the name `peer`.
    ///
    /// # Errors
    /// No connection within `limit`, or the server refuses.
    pub async fn connect(
        server: ServerKey,
        address: SocketAddr,
        service: &str,
        peer: &str,
        limit: Duration,
    ) -> Result<Back, Error> {
        let attempt = Back::start(server, address, service, peer);
        match tokio::time::timeout(limit, attempt).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout(limit)),
        }
    }

    async fn start(
        server: ServerKey,
        address: SocketAddr,
        service: &str,
        peer: &str,
    ) -> Result<Back, Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut back = Back {
            server,
            cancel: CancelKey {
                address,
                pid: 0,
                secret: SecretKey::default(),
            },
            position: None,
            primary: false,
            carried: ConnectionParameters::default(),
            prepared: BTreeSet::new(),
            unnamed: None,
            parameters: Vec::new(),
            status: TransactionStatus::Idle,
            pending: 0,
            sending: false,
            stream,
            input: BytesMut::new(),
            splitter: Splitter::new(MESSAGE_LIMIT),
        };
        back.send_startup(service, peer).await?;
        back.await_ready().await?;
        Ok(back)
    }

    async fn send_startup(&mut self, service: &str, peer: &str) -> Result<(), Error> {
        let mut startup = Startup::new();
        let parameters = &mut startup.parameters;
        parameters.insert("user".to_owned(), USER.to_owned());
        parameters.insert("database".to_owned(), service.to_owned());
        parameters.insert("application_name".to_owned(), peer.to_owned());
        let mut bytes = BytesMut::new();
        startup.encode(&mut bytes).map_err(|_| Error::Protocol)?;
        self.send(&bytes).await?;
        Ok(())
    }

    async fn await_ready(&mut self) -> Result<(), Error> {
        loop {
            let frame = self.next().await?;
            match frame.tag() {
                b'R' => match frame.decode::<Authentication>() {
                    Some(Authentication::Ok) => {}
                    _ => return Err(Error::Authentication),
                },
                b'K' => {
                    let key: BackendKeyData = frame.decode().ok_or(Error::Protocol)?;
                    self.cancel.pid = key.pid;
                    self.cancel.secret = key.secret_key;
                }
                b'S' => {
                    if let Some(status) = self.take_status(&frame) {
                        self.parameters.push((status.name, status.value));
                    }
                }
                b'E' => return Err(refused(&frame)),
                b'Z' => {
                    self.take_ready(&frame)?;
                    return Ok(());
                }
                _ => {}
            }
        }
    }

    /// Sends `bytes`. Given up halfway, it leaves a connection that is never clean again: the
    /// server would take the next session's message for the rest of this one.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.sending = true;
        self.stream.write_all(bytes).await?;
        self.sending = false;
        Ok(())
    }

    /// Whether a message was sent in part.
    pub fn torn(&self) -> bool {
        self.sending
    }

    /// The next message already received, if it is whole.
    ///
    /// # Errors
    /// A message past every limit.
    pub fn buffered(&mut self) -> Result<Option<Frame>, frame::Error> {
        self.splitter.split(&mut self.input)
    }

    /// Reads what has come; an orderly end of the stream is an error here.
    ///
    /// Cancel safe.
    pub async fn fill(&mut self) -> io::Result<()> {
        self.input.reserve(READ_ROOM);
        match self.stream.read_buf(&mut self.input).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Tag of the next message, as soon as its first byte has come.
    pub fn upcoming(&self) -> Option<u8> {
        self.input.first().copied()
    }

    /// The next message.
    ///
    /// Cancel safe.
    ///
    /// # Errors
    /// The connection broke, or a message is past every limit.
    pub async fn next(&mut self) -> Result<Frame, Error> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Whether the server closed an idle connection, or sent something nobody asked for: in both
    /// cases it must not be used again.
    pub fn stale(&self) -> bool {
        if !self.input.is_empty() {
            return true;
        }
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Notes a `ParameterStatus`; returns it unless it is between servers and entry hosts only.
    pub fn take_status(&mut self, frame: &Frame) -> Option<ParameterStatus> {
        let status: ParameterStatus = frame.decode()?;
        match status.name.as_str() {
            ROLE => self.primary = status.value == "primary",
            POSITION => self.position = status.value.parse().ok().or(self.position),
            _ => return Some(status),
        }
        None
    }

    /// Notes a `ReadyForQuery`.
    ///
    /// # Errors
    /// One that is malformed.
    pub fn take_ready(&mut self, frame: &Frame) -> Result<TransactionStatus, Error> {
        let status = frame.body().first().copied().ok_or(Error::Protocol)?;
        self.status = TransactionStatus::try_from(status).map_err(|_| Error::Protocol)?;
        self.pending = self.pending.saturating_sub(1);
        Ok(self.status)
    }

    /// Whether it can serve another session: nothing under way and no transaction open.
    pub fn clean(&self) -> bool {
        let idle = self.status == TransactionStatus::Idle && self.pending == 0;
        idle && !self.sending && self.input.is_empty()
    }

    /// Runs `sql` and returns its last row.
    ///
    /// # Errors
    /// The connection broke, or the server refused.
    pub async fn ask(&mut self, sql: &str) -> Result<Vec<Option<String>>, Error> {
        Ok(self.query(sql).await?.row)
    }

    /// Runs `sql`, a simple query.
    ///
    /// # Errors
    /// The connection broke, or the server refused.
    pub async fn query(&mut self, sql: &str) -> Result<Answer, Error> {
        let mut bytes = BytesMut::new();
        reply::put(&mut bytes, &Query::new(sql.to_owned()));
        self.pending += 1;
        self.send(&bytes).await?;
        let mut answer = Answer::default();
        let mut refusal = None;
        loop {
            let frame = self.next().await?;
            match frame.tag() {
                b'S' => drop(self.take_status(&frame)),
                b'D' => answer.row = columns(&frame),
                b'C' => answer.tag = command_tag(&frame),
                b'E' => refusal = Some(refused(&frame)),
                b'Z' => {
                    self.take_ready(&frame)?;
                    return refusal.map_or(Ok(answer), Err);
                }
                _ => {}
            }
        }
    }
}

/// What a simple query of this host is answered with.
#[derive(Debug, Default)]
pub struct Answer {
    /// The text of the columns of the last row.
    pub row: Vec<Option<String>>,
    /// The last command tag.
    pub tag: String,
}

/// The tag in a `CommandComplete`.
pub fn command_tag(frame: &Frame) -> String {
    let tag = frame.body().strip_suffix(&[0]).unwrap_or_default();
    String::from_utf8_lossy(tag).into_owned()
}

/// The SQLSTATE and message of an `ErrorResponse`.
pub fn refused(frame: &Frame) -> Error {
    let Some(response) = frame.decode::<ErrorResponse>() else {
        return Error::Protocol;
    };
    let field = |code| {
        let found = response.fields.iter().find(|(tag, _)| *tag == code);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    Error::Refused {
        sqlstate: field(b'C'),
        message: field(b'M'),
    }
}

/// The SQLSTATE of an `ErrorResponse`.
pub fn sqlstate(frame: &Frame) -> String {
    match refused(frame) {
        Error::Refused { sqlstate, .. } => sqlstate,
        _ => String::new(),
    }
}

/// The text columns of a `DataRow`.
fn columns(frame: &Frame) -> Vec<Option<String>> {
    const COUNT: usize = size_of::<u16>();
    const LENGTH: usize = size_of::<i32>();
    let mut rest = frame.body().get(COUNT..).unwrap_or_default();
    let mut values = Vec::new();
    while let Some((length, tail)) = rest.split_first_chunk::<LENGTH>() {
        let length = usize::try_from(i32::from_be_bytes(*length)).ok();
        let Some(length) = length else {
            values.push(None);
            rest = tail;
            continue;
        };
        let Some(value) = tail.get(..length) else {
            break;
        };
        values.push(Some(String::from_utf8_lossy(value).into_owned()));
        rest = &tail[length..];
    }
    values
}
