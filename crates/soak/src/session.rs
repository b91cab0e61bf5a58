//! A caller's session, with limits on how long it waits.

use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_standin::pooled::{Broken, Caller, Reply};
use tokio::time::timeout;

/// How long connecting to a host on this machine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the greeting may take; callers give up then.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why there is no reply.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the session was closed
    Closed,
    /// no answer within {0:?}
    Timeout(Duration),
    /// `{0}` was received where it makes no sense
    UnexpectedReply(String),
}

impl std::error::Error for Error {}

/// A caller's session.
#[derive(Debug)]
pub struct Session {
    caller: Caller,
}

impl Session {
    /// Opens a session on `database` at `address`.
    ///
    /// # Errors
    /// It is refused, or there is no answer.
    pub async fn open(address: SocketAddr, database: &str) -> Result<Session, Error> {
        let connected = timeout(CONNECT_TIMEOUT, Caller::connect(address)).await;
        let connected = connected.map_err(|_| Error::Timeout(CONNECT_TIMEOUT))?;
        let mut caller = connected.map_err(|_| Error::Closed)?;
        let greeting = timeout(GREETING_TIMEOUT, caller.greet(database)).await;
        let greeting = greeting.map_err(|_| Error::Timeout(GREETING_TIMEOUT))?;
        match greeting.ok_or(Error::Closed)? {
            greeting if Caller::is_open(&greeting) => Ok(Session { caller }),
            greeting => Err(Error::UnexpectedReply(greeting)),
        }
    }

    /// Sends a statement and waits for its reply.
    ///
    /// # Errors
    /// There is none within `patience`, or one that is no reply.
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
