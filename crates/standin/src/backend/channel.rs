//! Messages to and from one peer, held back by what cuts it off.

use std::sync::Arc;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::ProtocolVersion;
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::error::Error;
use super::shared::Shared;

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
pub(crate) struct Channel {
    pub(crate) shared: Arc<Shared>,
    socket: TcpStream,
    pub(crate) context: DecodeContext,
    input: BytesMut,
    pub(crate) output: BytesMut,
    /// The peer's name, for cuts, once its start-up message has told it.
    pub(crate) peer: Option<String>,
}

impl Channel {
    pub(crate) fn new(shared: Arc<Shared>, socket: TcpStream) -> Channel {
        Channel {
            shared,
            socket,
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            input: BytesMut::new(),
            output: BytesMut::new(),
            peer: None,
        }
    }

    pub(crate) async fn next(&mut self) -> Result<PgWireFrontendMessage, End> {
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

    pub(crate) fn push(&mut self, message: PgWireBackendMessage) -> Result<(), End> {
        message.encode(&mut self.output)?;
        Ok(())
    }

    pub(crate) async fn flush(&mut self) -> Result<(), End> {
        self.shared.switch.reached_by(self.peer.as_deref()).await;
        self.socket.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    pub(crate) async fn refuse(&mut self, error: &Error) -> Result<(), End> {
        self.push(PgWireBackendMessage::ErrorResponse(error.response()))?;
        self.flush().await?;
        Err(End::Closed)
    }
}
