//! Options of TCP sockets that bound how long a silent peer goes unnoticed.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// First keep-alive probe of an idle connection after this long, and the time between probes.
///
/// A peer that lost power or is cut off closes nothing; only probes show it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is over.
const KEEPALIVE_PROBES: u32 = 2;

/// Connects to `address` within `limit`, and bounds how long data may stay unacknowledged by the
/// peer's kernel to `silence`: a slow peer still acknowledges, a dead or cut-off one does not.
///
/// # Errors
/// The peer refused, or there was no answer in time.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    silence: Duration,
) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream, silence)?;
    Ok(stream)
}

/// Sets the options of a connection: no delay, probes while idle, `silence` as in [`connect`].
///
/// # Errors
/// The system refuses an option.
pub fn set_options(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let millis = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}

/// Whether the peer has closed an idle connection, or sent something that nobody asked for.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    match stream.try_read(&mut byte) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
