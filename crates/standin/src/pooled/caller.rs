//! The callers' side of statement lines.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Codes that promise that nothing of the statement, or of its transaction, is kept.
const PROMISES: [&str; 7] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "CONNLIMIT",
    "UNAUTH",
];

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    stream: BufReader<TcpStream>,
}

/// What a caller got for one statement: the lines before the last, and the state of that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Rows, then the end or the error.
    pub lines: Vec<String>,
    /// `I`, `T` or `E`.
    pub state: String,
}

/// Why there is no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Broken {
    /// The session has ended.
    Ended,
    /// A line that makes no sense where it came.
    Nonsense(String),
}

impl Reply {
    /// Whether the statement succeeded.
    pub fn is_done(&self) -> bool {
        self.proof().is_some()
    }

    /// Whether the statement failed and nothing of it is kept.
    pub fn is_refused(&self) -> bool {
        PROMISES.contains(&self.code())
    }

    /// The first row.
    pub fn row(&self) -> &str {
        let first = self.lines.first().map(String::as_str).unwrap_or_default();
        first.strip_prefix("DATAROW ").unwrap_or_default()
    }

    /// What proves that a server ran it, if it succeeded.
    pub fn proof(&self) -> Option<&str> {
        self.lines.last()?.strip_prefix("COMPLETE ")
    }

    /// The code of its error, or nothing.
    pub fn code(&self) -> &str {
        let last = self.lines.last();
        let error = last.and_then(|line| line.strip_prefix("ERROR "));
        error
            .and_then(|error| error.split(' ').next())
            .unwrap_or_default()
    }
}

impl Caller {
    /// Connects to `address` and says nothing.
    ///
    /// # Errors
    /// Nobody listens there.
    pub async fn connect(address: SocketAddr) -> io::Result<Caller> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Caller {
            stream: BufReader::new(stream),
        })
    }

    /// Asks for a session on `database`; what is said to it, `None` when the connection has ended.
    pub async fn greet(&mut self, database: &str) -> Option<String> {
        self.greet_as(database, "anybody").await
    }

    /// The same with an API key.
    pub async fn greet_as(&mut self, database: &str, key: &str) -> Option<String> {
        self.send(&format!("STARTUP {database} {key}\r\n")).await;
        self.line().await
    }

    /// Whether `greeting` opens a session.
    pub fn is_open(greeting: &str) -> bool {
        greeting.starts_with("READY I")
    }

    /// Sends a statement.
    pub async fn ask(&mut self, id: &str, text: &str) {
        self.send(&format!("QUERY {id} {text}\r\n")).await;
    }

    /// The reply to the oldest statement without one.
    ///
    /// # Errors
    /// The session has ended, or a line makes no sense.
    pub async fn reply(&mut self) -> Result<Reply, Broken> {
        let mut lines: Vec<String> = Vec::new();
        loop {
            let line = self.line().await.ok_or(Broken::Ended)?;
            let last = lines.last().map(String::as_str).unwrap_or_default();
            let over = last.starts_with("COMPLETE ") || last.starts_with("ERROR ");
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match (word, over) {
                ("READY", true) => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(Reply { lines, state });
                }
                ("DATAROW" | "COMPLETE" | "ERROR", false) => lines.push(line),
                _ => return Err(Broken::Nonsense(line)),
            }
        }
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, text: &str) {
        self.send_bytes(text.as_bytes()).await;
    }

    /// Sends bytes that need not be text.
    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        // A session that the host has ended shows at the next read.
        let _ = self.stream.get_mut().write_all(bytes).await;
    }

    /// The next line; `None` when the host has ended the session.
    pub async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line).await {
            Ok(1..) => Some(line.trim_end().to_owned()),
            Ok(0) | Err(_) => None,
        }
    }
}
