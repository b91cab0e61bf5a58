//! A connection to a backend server.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::carry::Mark;
use crate::codec::{self, Codec};
use crate::message::{Access, Answer, Code, Command, Fault, Status, Transaction};
use crate::socket;

/// How long connecting may take: several round trips between zones and the server's own work of
/// tens of milliseconds, queued behind its other requests.
const CONNECT: Duration = Duration::from_millis(600);

/// How long data may stay unacknowledged by the server's kernel. Far above a round trip between
/// zones, and within what most requests have left when it ends.
const SILENCE: Duration = Duration::from_millis(500);

/// Room for one usual answer.
const BUFFER: usize = 2 << 10;

/// Where a server is and what it is called.
#[derive(Debug, Clone)]
pub struct Target {
    /// Key of the server in this process.
    pub server: ServerKey,
    /// Its address.
    pub address: SocketAddr,
    /// Its identity: another server may come to listen at the address.
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

impl From<codec::Error> for Error {
    fn from(error: codec::Error) -> Error {
        Error::Codec(error)
    }
}

/// How a server answered one command.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Rows of the result.
    pub rows: Vec<Bytes>,
    /// What proves which server ran it, or the error.
    pub end: Result<Bytes, Fault>,
    /// Whether a transaction is open after it.
    pub transaction: Transaction,
    /// The position that the server's data had reached.
    pub position: Option<Position>,
}

/// A connection to a backend server.
#[derive(Debug)]
pub struct Back<C> {
    /// Its number, unique within the process.
    pub id: u64,
    /// The server.
    pub server: ServerKey,
    /// What sessions have left on it.
    pub mark: Mark,
    /// The position that the server's data had reached at its last word.
    pub position: Option<Position>,
    /// What the connection carries is no longer known: it is not to be used again.
    pub broken: bool,
    stream: TcpStream,
    received: BytesMut,
    out: BytesMut,
    pending: usize,
    codec: PhantomData<C>,
}

impl<C: Codec> Back<C> {
    /// Connects to `target` as `host`.
    ///
    /// # Errors
    /// The server cannot be reached, or refuses.
    pub async fn connect(id: u64, target: &Target, host: &str) -> Result<Back<C>, Error> {
        let stream = socket::connect(target.address, CONNECT, SILENCE).await?;
        let mut back = Back {
            id,
            server: target.server,
            mark: Mark::default(),
            position: None,
            broken: false,
            stream,
            received: BytesMut::with_capacity(BUFFER),
            out: BytesMut::with_capacity(BUFFER),
            pending: 0,
            codec: PhantomData,
        };
        C::startup(&mut back.out, &target.service, host, &target.id);
        let greeting = tokio::time::timeout(CONNECT, back.greeting());
        greeting
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(back)
    }

    async fn greeting(&mut self) -> Result<(), Error> {
        self.flush().await?;
        match self.next().await? {
            Answer::Ready { position, .. } => {
                self.position = position;
                Ok(())
            }
            Answer::Error(fault) => Err(Error::Refused(fault.code)),
            Answer::Row(_) | Answer::Complete(_) => Err(codec::Error::BadField.into()),
        }
    }

    /// Queues a command; nothing is sent before [`Back::flush`].
    pub fn push(&mut self, command: &Command<'_>) {
        C::command(&mut self.out, command);
        self.pending += 1;
    }

    /// Sends what is queued.
    ///
    /// # Errors
    /// The connection is lost. Whether the server got anything is unknown.
    pub async fn flush(&mut self) -> Result<(), Error> {
        self.stream.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }

    /// Commands that were not answered yet.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// The answer to the oldest command that was not answered yet.
    ///
    /// # Errors
    /// The connection is lost.
    pub async fn outcome(&mut self) -> Result<Outcome, Error> {
        let mut rows = Vec::new();
        let mut end = None;
        loop {
            match self.next().await? {
                Answer::Row(row) => rows.push(row),
                Answer::Complete(proof) => end = Some(Ok(proof)),
                Answer::Error(fault) => end = Some(Err(fault)),
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
        self.told(&Command::Status).await
    }

    /// Makes the server a replica, if it leads a term before `term`.
    ///
    /// # Errors
    /// The connection is lost, or the server does not do it.
    pub async fn step_down(&mut self, term: Term) -> Result<Status, Error> {
        self.told(&Command::StepDown { term }).await
    }

    /// Whether the server's log holds anything, whatever it says of its term.
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
            after: Some(first),
        });
        self.flush().await?;
        let outcome = self.outcome().await?;
        self.broken |= outcome.end.is_err() && outcome.transaction != Transaction::Idle;
        match outcome.end {
            Ok(_) => {}
            Err(fault) if fault.code == Code::Lagging => return Ok(false),
            Err(fault) => return Err(Error::Refused(fault.code)),
        }
        self.push(&Command::Rollback);
        self.flush().await?;
        self.outcome().await?;
        Ok(true)
    }

    /// Sends a command that the server answers with what it is then.
    async fn told(&mut self, command: &Command<'_>) -> Result<Status, Error> {
        self.push(command);
        self.flush().await?;
        let outcome = self.outcome().await?;
        match (&outcome.end, outcome.rows.first()) {
            (Ok(_), Some(row)) => Ok(C::status(row)?),
            (Err(fault), _) => Err(Error::Refused(fault.code)),
            (Ok(_), None) => Err(codec::Error::MissingField.into()),
        }
    }

    /// Returns when the server has closed the connection, or sent what nobody asked for.
    pub async fn ended(&mut self) {
        // Whatever comes, data or the end: nothing is expected while no command is outstanding.
        let _ = self.stream.readable().await;
    }

    /// Whether the server has closed the connection while it was idle.
    pub fn is_over(&self) -> bool {
        !self.received.is_empty() || socket::is_closed(&self.stream)
    }

    async fn next(&mut self) -> Result<Answer, Error> {
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
