//! The protocol that callers and backend servers speak.

use bytes::{Bytes, BytesMut};

use crate::message::{Answer, Code, Command, Request, Status, Transaction};
use flamingopost_core::position::Position;

/// Why bytes cannot be understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// a message is longer than {0} bytes
    TooLong(usize),
    /// a message starts with an unknown word
    UnknownMessage,
    /// a message lacks a field
    MissingField,
    /// a field of a message has no such form
    BadField,
}

impl std::error::Error for Error {}

/// Turns bytes into messages and back. A process uses exactly one.
pub trait Codec: 'static {
    /// Takes the next whole message of a caller out of `buffer`.
    ///
    /// # Errors
    /// The bytes are no message; the caller cannot be served any more.
    fn request(buffer: &mut BytesMut) -> Result<Option<Request>, Error>;

    /// Takes the next whole message of a server out of `buffer`.
    ///
    /// # Errors
    /// The bytes are no message; the connection cannot be used any more.
    fn answer(buffer: &mut BytesMut) -> Result<Option<Answer>, Error>;

    /// Reads the row with which a server answers [`Command::Status`].
    ///
    /// # Errors
    /// The row has another form.
    fn status(row: &Bytes) -> Result<Status, Error>;

    /// Opens a connection to server `id` of `service` in the name of `host`.
    fn startup(out: &mut BytesMut, service: &str, host: &str, id: &str);

    /// Appends a command to a server.
    fn command(out: &mut BytesMut, command: &Command<'_>);

    /// Appends a row for a caller.
    fn row(out: &mut BytesMut, row: &[u8]);

    /// Appends the end of a successful statement; without a proof when no server ran it.
    fn complete(out: &mut BytesMut, proof: Option<&[u8]>);

    /// Appends an error for a caller.
    fn error(out: &mut BytesMut, code: Code, text: &[u8]);

    /// Appends that the next statement is awaited.
    fn ready(out: &mut BytesMut, transaction: Transaction, position: Option<Position>);
}
