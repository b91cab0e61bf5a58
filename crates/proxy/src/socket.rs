//! TCP socket options that limit how long a silent peer stays undetected.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and the interval between probes.
///
/// A peer that lost power or is partitioned does not close its connections, and only probes detect
/// it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Connects to `address` within `limit`, and closes the connection if sent data stays
/// unacknowledged by the peer's kernel for `silence`. A slow peer still acknowledges data, while a
/// dead or unreachable one does not.
///
/// # Errors
/// Returns an error if the peer refuses the connection or does not answer in time.
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

/// Sets the options of a connection: no delay, keep-alive probes while idle, and `silence` as in
/// [`connect`].
///
/// # Errors
/// Returns an error if the system refuses an option.
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

/// Reports whether the peer has closed an idle connection or sent unsolicited data.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    match stream.try_read(&mut byte) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
