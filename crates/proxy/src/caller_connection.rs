//! A connection from a caller.

use std::io;
use std::marker::PhantomData;
use std::time::Duration;

use bytes::BytesMut;
use flamingopost_core::position::Position;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::codec::{self, Codec};
use crate::gate::Refusal;
use crate::message::{Code, Request, Transaction};
use crate::server_connection::Outcome;

/// Initial buffer size, enough for a typical statement.
const BUFFER_BYTES: usize = 1 << 10;

/// Reason why a caller's connection ends.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// connection lost: {0}
    Io(io::Error),
    /// the caller sent an invalid message: {0}
    Codec(codec::Error),
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

/// A connection from a caller.
#[derive(Debug)]
pub struct CallerConnection<C> {
    stream: TcpStream,
    received: BytesMut,
    out: BytesMut,
    codec: PhantomData<C>,
}

impl<C: Codec> CallerConnection<C> {
    /// Creates the connection of the caller behind `stream`.
    pub fn new(stream: TcpStream) -> CallerConnection<C> {
        CallerConnection {
            stream,
            received: BytesMut::with_capacity(BUFFER_BYTES),
            out: BytesMut::with_capacity(BUFFER_BYTES),
            codec: PhantomData,
        }
    }

    /// Returns the next request, or `None` when the caller has closed the connection.
    ///
    /// This method is cancel safe.
    ///
    /// # Errors
    /// The connection is lost, or the bytes are not a valid request.
    pub async fn request(&mut self) -> Result<Option<Request>, Error> {
        loop {
            if let Some(request) = C::request(&mut self.received)? {
                return Ok(Some(request));
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Queues a server's answer, followed by the caller's transaction status `transaction`.
    pub fn answer(&mut self, outcome: &Outcome, transaction: Transaction) {
        for row in &outcome.rows {
            self.row(row);
        }
        match &outcome.end {
            Ok(proof) => self.complete(Some(proof)),
            Err(error) => self.error(error.code, &error.text),
        }
        self.ready(transaction, outcome.position);
    }

    /// Queues a row.
    fn row(&mut self, row: &[u8]) {
        C::row(&mut self.out, row);
    }

    /// Queues the end of a successful statement.
    pub fn complete(&mut self, proof: Option<&[u8]>) {
        C::complete(&mut self.out, proof);
    }

    /// Queues an error.
    pub fn error(&mut self, code: Code, text: &[u8]) {
        C::error(&mut self.out, code, text);
    }

    /// Queues the refusal of a statement outside of a transaction.
    pub fn refuse(&mut self, refusal: &Refusal) {
        self.error(refusal.code, refusal.reason.as_bytes());
        self.ready(Transaction::Idle, None);
    }

    /// Queues the message that the next statement is expected.
    pub fn ready(&mut self, transaction: Transaction, position: Option<Position>) {
        C::ready(&mut self.out, transaction, position);
    }

    /// Sends everything that is queued.
    ///
    /// # Errors
    /// The connection is lost.
    pub async fn flush(&mut self) -> Result<(), Error> {
        self.stream.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }

    /// Ends the connection of a caller that sent an invalid message, and reports the error to it.
    ///
    /// # Errors
    /// Always returns `error`.
    pub async fn reject(mut self, error: Error) -> Result<(), Error> {
        if let Error::Codec(error) = &error {
            self.error(Code::Malformed, error.to_string().as_bytes());
            // Ignores the result: the caller may have closed the connection.
            let _ = self.close().await;
        }
        Err(error)
    }

    /// Closes the connection after sending everything that is queued.
    ///
    /// # Errors
    /// The connection is lost.
    pub async fn close(mut self) -> Result<(), Error> {
        self.flush().await?;
        self.stream.shutdown().await?;
        Ok(())
    }

    /// Like [`CallerConnection::close`], and discards what the caller still sends until it closes the
    /// connection as well, for at most `limit`. Closed with unread data, the connection would be reset, and
    /// the caller could lose what was sent to it.
    ///
    /// # Errors
    /// The connection is lost.
    pub async fn close_gracefully(mut self, limit: Duration) -> Result<(), Error> {
        self.flush().await?;
        self.stream.shutdown().await?;
        let closed = tokio::time::timeout(limit, async {
            while self.stream.read_buf(&mut self.received).await? > 0 {
                self.received.clear();
            }
            Ok(())
        });
        closed.await.unwrap_or(Ok(()))
    }
}

/// Maximum time that a transaction may stay idle, regardless of the configuration.
pub const MAX_TRANSACTION_IDLE: Duration = Duration::from_secs(60);

/// Time limit for a statement whose database no longer has a route.
pub const DEFAULT_STATEMENT_TIMEOUT: Duration = Duration::from_millis(800);
