//! Packets of a start-up, read one at a time and never past their end.

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{
    GssEncRequest, PasswordMessageFamily, SASLInitialResponse, SASLResponse, SslRequest, Startup,
};
use pgwire::messages::{DecodeContext, Message};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::Error;

/// Greatest packet of a caller who is not authenticated, as PostgreSQL has it.
pub const MAX_BYTES: usize = 10_000;

const LENGTH_BYTES: usize = 4;
const SHORTEST: usize = 8;
const SHORTEST_CANCEL: usize = 16;
const PASSWORD: u8 = b'p';

/// The first packet of a connection.
#[derive(Debug)]
pub enum First {
    /// The caller asks for TLS.
    Tls,
    /// The caller asks for GSSAPI encryption.
    Gss,
    /// The caller wants a query of another connection cancelled.
    Cancel(CancelRequest),
    /// The caller wants a session.
    Startup(Startup),
}

/// Reads the first packet, or the one after an answer to a request for encryption.
///
/// Only this packet's bytes are taken from the stream. Had more been read before TLS begins,
/// whoever sits between could slip in a plain packet that would be taken for an encrypted one.
pub async fn first(stream: &mut (impl AsyncRead + Unpin)) -> Result<First, Error> {
    let mut packet = whole(stream, None).await?;
    if packet.len() < SHORTEST {
        return Err(Error::Protocol("a start-up packet has at least 8 bytes"));
    }
    let context = DecodeContext::default();
    if SslRequest::is_ssl_request_packet(&packet) {
        return Ok(First::Tls);
    }
    if GssEncRequest::is_gss_enc_request_packet(&packet) {
        return Ok(First::Gss);
    }
    if CancelRequest::is_cancel_request_packet(&packet) {
        if packet.len() < SHORTEST_CANCEL {
            return Err(Error::Protocol("the cancel request is cut short"));
        }
        let cancel = CancelRequest::decode(&mut packet, &context)?;
        return cancel.map(First::Cancel).ok_or(CUT_SHORT);
    }
    let startup = Startup::decode(&mut packet, &context)?;
    startup.map(First::Startup).ok_or(CUT_SHORT)
}

/// Reads the caller's choice of a mechanism and its first message.
pub async fn sasl_initial(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<SASLInitialResponse, Error> {
    let body = password(stream).await?;
    // The decoder reads a length behind the mechanism's name without looking whether it is there.
    let name = body.iter().position(|byte| *byte == 0);
    if name.is_none_or(|end| end == 0 || body.len() < end + 1 + LENGTH_BYTES) {
        return Err(Error::Protocol("the SASL response is cut short"));
    }
    let end = name.unwrap_or_default();
    let length = &body[end + 1..end + 1 + LENGTH_BYTES];
    let length = i32::from_be_bytes([length[0], length[1], length[2], length[3]]);
    let rest = body.len() - end - 1 - LENGTH_BYTES;
    if usize::try_from(length).unwrap_or_default() > rest {
        return Err(Error::Protocol("the SASL response is cut short"));
    }
    Ok(PasswordMessageFamily::Raw(body).into_sasl_initial_response()?)
}

/// Reads the caller's proof.
pub async fn sasl(stream: &mut (impl AsyncRead + Unpin)) -> Result<SASLResponse, Error> {
    let body = password(stream).await?;
    Ok(PasswordMessageFamily::Raw(body).into_sasl_response()?)
}

const CUT_SHORT: Error = Error::Protocol("the packet is cut short");

async fn password(stream: &mut (impl AsyncRead + Unpin)) -> Result<BytesMut, Error> {
    let mut packet = whole(stream, Some(PASSWORD)).await?;
    Ok(packet.split_off(LENGTH_BYTES))
}

/// One packet from its length on; `kind` is the byte that has to stand before it.
async fn whole(stream: &mut (impl AsyncRead + Unpin), kind: Option<u8>) -> Result<BytesMut, Error> {
    if let Some(kind) = kind
        && stream.read_u8().await? != kind
    {
        return Err(Error::Protocol(
            "expected an answer to the authentication request",
        ));
    }
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let bytes = usize::try_from(i32::from_be_bytes(length)).unwrap_or(usize::MAX);
    if !(LENGTH_BYTES..=MAX_BYTES).contains(&bytes) {
        return Err(Error::TooLong { most: MAX_BYTES });
    }
    let mut packet = BytesMut::zeroed(bytes);
    packet[..LENGTH_BYTES].copy_from_slice(&length);
    stream.read_exact(&mut packet[LENGTH_BYTES..]).await?;
    Ok(packet)
}

impl From<PgWireError> for Error {
    fn from(error: PgWireError) -> Error {
        match error {
            PgWireError::InvalidPassword(_) => Error::WrongPassword,
            PgWireError::MessageTooLarge(most, _) => Error::TooLong { most },
            PgWireError::IoError(error) => Error::Gone(error),
            other => Error::Malformed(other.to_string()),
        }
    }
}
