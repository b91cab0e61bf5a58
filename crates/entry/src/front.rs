//! The caller's side of a session: whole messages in, bytes out.

use std::io;
use std::task::Poll;

use bytes::BytesMut;
use futures::poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::frame::{self, Frame, Splitter};
use crate::stream::Stream;

/// Room for a read: more than nearly every request, little enough to hold while one is served.
const READ_ROOM: usize = 4 * 1024;

/// Past this the answer under way is sent on instead of gathered.
pub const OUT_MARK: usize = 32 * 1024;

/// A caller's connection after its start-up.
///
/// While it is idle it holds no buffers; both directions allocate when something comes and free
/// when it is dealt with, so that an idle caller costs its task and its socket.
#[derive(Debug)]
pub struct Front {
    stream: Stream,
    input: BytesMut,
    splitter: Splitter,
    /// Bytes for the caller, not yet sent.
    pub out: BytesMut,
}

/// Why a caller can no longer be served.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the caller is gone: {0}
    Gone(io::Error),
    /// {0}
    Frame(frame::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Gone(error)
    }
}

impl From<frame::Error> for Error {
    fn from(error: frame::Error) -> Error {
        Error::Frame(error)
    }
}

impl Front {
    /// Takes over `stream`, on which `input` was already read past the start-up, and accepts
    /// messages of up to `limit` bytes.
    pub fn new(stream: Stream, input: BytesMut, limit: usize) -> Front {
        Front {
            stream,
            input,
            splitter: Splitter::new(limit),
            out: BytesMut::new(),
        }
    }

    /// The next message already received, if it is whole.
    ///
    /// # Errors
    /// A message past the limit.
    pub fn buffered(&mut self) -> Result<Option<Frame>, frame::Error> {
        self.splitter.split(&mut self.input)
    }

    /// Whether nothing was received that is not dealt with, and nothing waits to be sent.
    pub fn is_idle(&self) -> bool {
        self.input.is_empty() && self.out.is_empty()
    }

    /// Waits for what the caller sends and reads it, holding no buffer while it waits.
    ///
    /// The socket may be reported readable when it is not, so the read is tried and not waited
    /// for: a session that waits in a read would hold its buffer and miss a drain.
    ///
    /// Cancel safe.
    pub async fn receive(&mut self) -> io::Result<()> {
        loop {
            if self.input.is_empty() {
                self.input = BytesMut::new();
            }
            if self.out.is_empty() {
                self.out = BytesMut::new();
            }
            self.stream.readable().await?;
            match poll!(std::pin::pin!(self.fill())) {
                Poll::Ready(filled) => return filled,
                Poll::Pending => {}
            }
        }
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

    /// The next message.
    ///
    /// # Errors
    /// The caller is gone, or its message is past the limit.
    pub async fn next(&mut self) -> Result<Frame, Error> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Sends all of `out`.
    pub async fn flush(&mut self) -> io::Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.stream.write_all(&self.out).await?;
        self.stream.flush().await?;
        self.out.clear();
        Ok(())
    }

    /// Ends the connection after sending `out`.
    pub async fn close(&mut self) -> io::Result<()> {
        self.flush().await?;
        self.stream.shutdown().await
    }
}
