//! A caller's session with timeouts.

use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_standin::pooled::{Broken, Caller, Reply};
use tokio::time::timeout;

/// Time limit for connecting to a host, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for the greeting, after which a caller gives up.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a session could not be opened, or a statement got no valid reply.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the session was closed
    Closed,
    /// no answer within {0:?}
    Timeout(Duration),
    /// unexpected reply `{0}`
    UnexpectedReply(String),
}

impl std::error::Error for Error {}

/// A caller's session.
#[derive(Debug)]
pub struct Session {
    caller: Caller,
}

impl Session {
    /// Opens a session on `database` at `address` with an API key, which may be anything where
    /// callers need none.
    ///
    /// # Errors
    /// The connection or the session is refused, the host does not answer in time, or the greeting
    /// is malformed.
    pub async fn open(address: SocketAddr, database: &str, key: &str) -> Result<Session, Error> {
        let connected = timeout(CONNECT_TIMEOUT, Caller::connect(address)).await;
        let connected = connected.map_err(|_| Error::Timeout(CONNECT_TIMEOUT))?;
        let mut caller = connected.map_err(|_| Error::Closed)?;
        let greeting = timeout(GREETING_TIMEOUT, caller.greet_as(database, key)).await;
        let greeting = greeting.map_err(|_| Error::Timeout(GREETING_TIMEOUT))?;
        match greeting.ok_or(Error::Closed)? {
            greeting if Caller::is_open(&greeting) => Ok(Session { caller }),
            greeting => Err(Error::UnexpectedReply(greeting)),
        }
    }

    /// Sends a statement and waits for its reply.
    ///
    /// # Errors
    /// The session ends, no reply arrives within `limit`, or the reply is malformed.
    pub async fn run(&mut self, id: &str, text: &str, limit: Duration) -> Result<Reply, Error> {
        self.caller.ask(id, text).await;
        let reply = timeout(limit, self.caller.reply()).await;
        let reply = reply.map_err(|_| Error::Timeout(limit))?;
        reply.map_err(|broken| match broken {
            Broken::Ended => Error::Closed,
            Broken::Nonsense(line) => Error::UnexpectedReply(line),
        })
    }
}
