//! A TCP proxy that counts the bytes of the connections it forwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::error::Error;

const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards connections to another address and counts their bytes.
#[derive(Debug, Clone)]
pub struct Meter {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Meter {
    /// Starts to forward connections from a free loopback port to `target`.
    ///
    /// # Errors
    /// Returns an error if the port cannot be opened.
    pub async fn start(target: SocketAddr) -> Result<Meter, Error> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let meter = Meter {
            address: listener.local_addr()?,
            bytes: Arc::default(),
        };
        tokio::spawn(accept(listener, target, meter.bytes.clone()));
        Ok(meter)
    }

    /// Returns the address to connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes forwarded so far, in both directions, including headers.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        tokio::spawn(forward(client_in, server_out, bytes.clone()));
        tokio::spawn(forward(server_in, client_out, bytes.clone()));
    }
}

/// Copies bytes from `from` to `to` and adds their number to `bytes`, until either side closes.
async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
