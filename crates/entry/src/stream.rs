//! A caller's byte stream, in the clear or through TLS.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::server::TlsStream;

/// A caller's connection.
#[derive(Debug)]
pub enum Stream {
    /// Plain TCP.
    Plain(TcpStream),
    /// TLS over TCP; boxed, since most memory of an idle caller would be this state.
    Tls(Box<TlsStream<TcpStream>>),
}

impl Stream {
    /// Waits until a read has something to deliver, holding no buffer meanwhile.
    ///
    /// TLS may keep decrypted bytes that the socket's readiness does not show; it then wants no
    /// more to read, and there is nothing to wait for.
    pub async fn readable(&self) -> io::Result<()> {
        match self {
            Stream::Plain(tcp) => tcp.readable().await,
            Stream::Tls(tls) => {
                let (tcp, connection) = tls.get_ref();
                if connection.wants_read() {
                    tcp.readable().await?;
                }
                Ok(())
            }
        }
    }

    /// The socket below.
    pub fn tcp(&self) -> &TcpStream {
        match self {
            Stream::Plain(tcp) => tcp,
            Stream::Tls(tls) => tls.get_ref().0,
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(tcp) => Pin::new(tcp).poll_read(context, buffer),
            Stream::Tls(tls) => Pin::new(tls.as_mut()).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Plain(tcp) => Pin::new(tcp).poll_write(context, bytes),
            Stream::Tls(tls) => Pin::new(tls.as_mut()).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(tcp) => Pin::new(tcp).poll_flush(context),
            Stream::Tls(tls) => Pin::new(tls.as_mut()).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(tcp) => Pin::new(tcp).poll_shutdown(context),
            Stream::Tls(tls) => Pin::new(tls.as_mut()).poll_shutdown(context),
        }
    }
}
