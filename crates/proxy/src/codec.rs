//! Encoding and decoding of the protocol spoken by callers and backend servers.

use bytes::{Bytes, BytesMut};

use crate::message::{Answer, Code, Command, Request, Status, Transaction};
use flamingopost_core::position::Position;

/// Reason why bytes cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// a message is longer than {0} bytes
    TooLong(usize),
    /// the rows of an answer are longer than {0} bytes
    AnswerTooLong(usize),
    /// a message is not terminated by CR LF
    BadTerminator,
    /// a message starts with an unknown word
    UnknownMessage,
    /// a message lacks a field
    MissingField,
    /// a field of a message has no such form
    BadField,
}

impl std::error::Error for Error {}

/// Converts between bytes and messages. A process uses exactly one codec.
pub trait Codec: 'static {
    /// Removes the next complete message of a caller from `buffer` and decodes it.
    ///
    /// # Errors
    /// The bytes are not a valid message. The caller cannot be served any more.
    fn request(buffer: &mut BytesMut) -> Result<Option<Request>, Error>;

    /// Removes the next complete message of a server from `buffer` and decodes it.
    ///
    /// # Errors
    /// The bytes are not a valid message. The connection cannot be used any more.
    fn answer(buffer: &mut BytesMut) -> Result<Option<Answer>, Error>;

    /// Decodes the row with which a server answers [`Command::Status`].
    ///
    /// # Errors
    /// The row has a different format.
    fn status(row: &Bytes) -> Result<Status, Error>;

    /// Appends the message that opens a connection to server `id` of `service` for `client`.
    fn startup(out: &mut BytesMut, service: &str, client: &str, id: &str);

    /// Appends a command to a server.
    fn command(out: &mut BytesMut, command: &Command<'_>);

    /// Appends a row for a caller.
    fn row(out: &mut BytesMut, row: &[u8]);

    /// Appends the end of a successful statement, without a proof if no server ran the statement.
    fn complete(out: &mut BytesMut, proof: Option<&[u8]>);

    /// Appends an error for a caller.
    fn error(out: &mut BytesMut, code: Code, text: &[u8]);

    /// Appends the message that the next statement is expected.
    fn ready(out: &mut BytesMut, transaction: Transaction, position: Option<Position>);
}
