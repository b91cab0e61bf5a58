//! A connection to a backend server.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flamingopost_core::key::{ServerKey, TeamKey};
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;

use crate::caller_state::ConnectionState;
use crate::codec::{self, Codec};
use crate::message::{Access, Answer, Code, Command, ErrorMessage, Status, Transaction};
use crate::socket;

/// Time limit for connecting: several round trips between zones, plus the server's own processing
/// of tens of milliseconds, queued behind its other requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time that sent data may stay unacknowledged by the server's kernel. Far above a round
/// trip between zones, and within the time that most requests have left when it expires.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the rows of one answer, in bytes: several of the longest rows. An answer is passed on once it
/// is complete, and each connection may hold one.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Initial buffer size, enough for a typical answer.
const BUFFER_BYTES: usize = 2 << 10;

/// Address and identity of a server.
#[derive(Debug, Clone)]
pub struct Target {
    /// Key of the server in this process.
    pub server: ServerKey,
    /// Its address.
    pub address: SocketAddr,
    /// Server ID. Another server may later listen at the same address.
    pub id: String,
    /// Its service.
    pub service: String,
}

/// Why a connection failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// connection lost: {0}
    Io(io::Error),
    /// the server cannot be understood: {0}
    Codec(codec::Error),
    /// the server refused: {0:?}
    Refused(Code),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

impl From<Elapsed> for Error {
    fn from(elapsed: Elapsed) -> Error {
        Error::Io(elapsed.into())
    }
}

impl From<codec::Error> for Error {
    fn from(error: codec::Error) -> Error {
        Error::Codec(error)
    }
}

/// Answer of a server to one command.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Rows of the result.
    pub rows: Vec<Bytes>,
    /// Proof of which server ran the command, or the error.
    pub end: Result<Bytes, ErrorMessage>,
    /// Transaction status after the command.
    pub transaction: Transaction,
    /// The position that the server's data has reached.
    pub position: Option<Position>,
}

/// A connection to a backend server.
#[derive(Debug)]
pub struct ServerConnection<C> {
    /// Connection number, unique within the process.
    pub id: u64,
    /// The server.
    pub server: ServerKey,
    /// The team whose requests it serves. Null if it serves those of any caller.
    pub team: TeamKey,
    /// Session state that earlier statements left on the connection.
    pub connection_state: ConnectionState,
    /// The position that the server's data had reached at its last answer.
    pub position: Option<Position>,
    /// The connection's state is unknown, so it must not be reused.
    pub broken: bool,
    stream: TcpStream,
    received: BytesMut,
    out: BytesMut,
    pending: usize,
    codec: PhantomData<C>,
}

impl<C: Codec> ServerConnection<C> {
    /// Connects to `target` in the name of `client`.
    ///
    /// # Errors
    /// The server cannot be reached, or refuses the connection.
    pub async fn connect(
        id: u64,
        target: &Target,
        client: &str,
    ) -> Result<ServerConnection<C>, Error> {
        let stream = socket::connect(target.address, CONNECT_TIMEOUT, TCP_USER_TIMEOUT).await?;
        let mut connection = ServerConnection {
            id,
            server: target.server,
            team: TeamKey::default(),
            connection_state: ConnectionState::default(),
            position: None,
            broken: false,
            stream,
            received: BytesMut::with_capacity(BUFFER_BYTES),
            out: BytesMut::with_capacity(BUFFER_BYTES),
            pending: 0,
            codec: PhantomData,
        };
        C::startup(&mut connection.out, &target.service, client, &target.id);
        let greeting = tokio::time::timeout(CONNECT_TIMEOUT, connection.read_greeting());
        greeting.await??;
        Ok(connection)
    }

    async fn read_greeting(&mut self) -> Result<(), Error> {
        self.flush().await?;
        match self.read_answer().await? {
            Answer::Ready { position, .. } => {
                self.position = position;
                Ok(())
            }
            Answer::Error(error) => Err(Error::Refused(error.code)),
            Answer::Row(_) | Answer::Complete(_) => Err(codec::Error::BadField.into()),
        }
    }

    /// Queues a command; nothing is sent before [`ServerConnection::flush`].
    pub fn push(&mut self, command: &Command<'_>) {
        C::command(&mut self.out, command);
        self.pending += 1;
    }

    /// Sends all queued commands.
    ///
    /// # Errors
    /// The connection is lost. It is unknown whether the server received anything.
    pub async fn flush(&mut self) -> Result<(), Error> {
        self.stream.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }

    /// Returns the number of unanswered commands.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Returns the answer to the oldest unanswered command.
    ///
    /// # Errors
    /// The connection is lost, or the answer is too long. The connection is of no further use then.
    pub async fn outcome(&mut self) -> Result<Outcome, Error> {
        let mut rows = Vec::new();
        let mut bytes: usize = 0;
        let mut end = None;
        loop {
            match self.read_answer().await? {
                Answer::Row(row) => {
                    // An empty row takes memory as well.
                    bytes = bytes.saturating_add(row.len() + size_of::<Bytes>());
                    if bytes > MAX_ANSWER_BYTES {
                        self.broken = true;
                        return Err(codec::Error::AnswerTooLong(MAX_ANSWER_BYTES).into());
                    }
                    rows.push(row);
                }
                Answer::Complete(proof) => end = Some(Ok(proof)),
                Answer::Error(error) => end = Some(Err(error)),
                Answer::Ready {
                    transaction,
                    position,
                } => {
                    let end = end.ok_or(codec::Error::MissingField)?;
                    self.pending = self.pending.saturating_sub(1);
                    self.position = position.or(self.position);
                    return Ok(Outcome {
                        rows,
                        end,
                        transaction,
                        position,
                    });
                }
            }
        }
    }

    /// Asks the server for its role and position.
    ///
    /// # Errors
    /// The connection is lost, or the server does not answer the question.
    pub async fn status(&mut self) -> Result<Status, Error> {
        self.request_status(&Command::Status).await
    }

    /// Makes the server a replica if it leads a term before `term`.
    ///
    /// # Errors
    /// The connection is lost, or the server does not step down.
    pub async fn step_down(&mut self, term: Term) -> Result<Status, Error> {
        self.request_status(&Command::StepDown { term }).await
    }

    /// Reports whether the server's log has any entry, regardless of its term.
    ///
    /// # Errors
    /// The connection is lost, or the server does not answer the question.
    pub async fn has_entries(&mut self) -> Result<bool, Error> {
        let first = Position {
            term: Term::from_number(1),
            log: 1,
        };
        self.push(&Command::Begin {
            access: Access::Read,
            min_position: Some(first),
        });
        self.flush().await?;
        let outcome = self.outcome().await?;
        self.broken |= outcome.end.is_err() && outcome.transaction != Transaction::Idle;
        match outcome.end {
            Ok(_) => {}
            Err(error) if error.code == Code::Lagging => return Ok(false),
            Err(error) => return Err(Error::Refused(error.code)),
        }
        self.push(&Command::Rollback);
        self.flush().await?;
        self.outcome().await?;
        Ok(true)
    }

    /// Sends a command that the server answers with its resulting status.
    async fn request_status(&mut self, command: &Command<'_>) -> Result<Status, Error> {
        self.push(command);
        self.flush().await?;
        let outcome = self.outcome().await?;
        match (&outcome.end, outcome.rows.first()) {
            (Ok(_), Some(row)) => Ok(C::status(row)?),
            (Err(error), _) => Err(Error::Refused(error.code)),
            (Ok(_), None) => Err(codec::Error::MissingField.into()),
        }
    }

    /// Waits until the server closes the connection or sends unsolicited data.
    pub async fn wait_closed(&mut self) {
        // Any data or end of stream counts: none is expected while no command is outstanding.
        let _ = self.stream.readable().await;
    }

    /// Reports whether the server has closed the idle connection or sent unsolicited data.
    pub fn is_closed(&self) -> bool {
        !self.received.is_empty() || socket::is_closed(&self.stream)
    }

    async fn read_answer(&mut self) -> Result<Answer, Error> {
        loop {
            if let Some(answer) = C::answer(&mut self.received)? {
                return Ok(answer);
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }
}
