//! The statement lines that callers send, and what comes back.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long connecting to a host on this machine may take.
const CONNECT: Duration = Duration::from_millis(500);

/// How long the greeting may take; callers give up then.
const GREETING: Duration = Duration::from_secs(2);

/// Codes by which a host promises that nothing of the statement, or of its transaction, is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "CONNLIMIT",
];

/// What was answered to one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It ran.
    Done {
        /// The first row.
        row: Option<String>,
        /// What proves that a server ran it.
        proof: String,
    },
    /// Nothing of it is kept.
    Refused(String),
    /// It may have run.
    Unknown(String),
}

/// An answer with the state of the session after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// `I`, `T` or `E`.
    pub state: String,
}

/// Why there is no reply.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the session was closed
    Closed,
    /// no answer within {0:?}
    Silent(Duration),
    /// `{0}` was received where it makes no sense
    Nonsense(String),
}

impl std::error::Error for Error {}

/// A caller's session.
#[derive(Debug)]
pub struct Session {
    stream: BufReader<TcpStream>,
}

impl Session {
    /// Opens a session on `database` at `address`.
    ///
    /// # Errors
    /// It is refused, or there is no answer.
    pub async fn open(address: SocketAddr, database: &str) -> Result<Session, Error> {
        let connected = timeout(CONNECT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(Error::Closed),
            Err(_) => return Err(Error::Silent(CONNECT)),
        };
        let mut session = Session {
            stream: BufReader::new(stream),
        };
        session
            .send(&format!("STARTUP {database} soak\r\n"))
            .await?;
        let line = timeout(GREETING, session.line()).await;
        match line.map_err(|_| Error::Silent(GREETING))?? {
            line if line.starts_with("READY I") => Ok(session),
            line => Err(Error::Nonsense(line)),
        }
    }

    /// Sends a statement and waits for its reply.
    ///
    /// # Errors
    /// There is none within `patience`.
    pub async fn run(&mut self, id: &str, text: &str, patience: Duration) -> Result<Reply, Error> {
        self.send(&format!("QUERY {id} {text}\r\n")).await?;
        let reply = timeout(patience, self.reply()).await;
        reply.map_err(|_| Error::Silent(patience))?
    }

    async fn reply(&mut self) -> Result<Reply, Error> {
        let mut row = None;
        let mut answer = None;
        loop {
            let line = self.line().await?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => row = Some(rest.to_owned()),
                "COMPLETE" => {
                    let proof = rest.to_owned();
                    let row = row.take();
                    answer = Some(Answer::Done { row, proof });
                }
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or_default().to_owned();
                    answer = Some(match PROMISES.contains(&code.as_str()) {
                        true => Answer::Refused(code),
                        false => Answer::Unknown(code),
                    });
                }
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    let answer = answer.ok_or(Error::Nonsense(line))?;
                    return Ok(Reply { answer, state });
                }
                _ => return Err(Error::Nonsense(line)),
            }
        }
    }

    async fn send(&mut self, text: &str) -> Result<(), Error> {
        let sent = self.stream.get_mut().write_all(text.as_bytes()).await;
        sent.map_err(|_| Error::Closed)
    }

    async fn line(&mut self) -> Result<String, Error> {
        let mut line = String::new();
        let read: io::Result<usize> = self.stream.read_line(&mut line).await;
        match read {
            Ok(1..) => Ok(line.trim_end().to_owned()),
            Ok(0) | Err(_) => Err(Error::Closed),
        }
    }
}
