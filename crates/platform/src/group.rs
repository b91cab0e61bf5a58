//! Client of a backend server in a database group: status, promotion and replication.

use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::position::{self, Position};
use flamingopost_core::term::Term;
use tokio::task::JoinHandle;
use tokio_postgres::error::SqlState;
use tokio_postgres::{NoTls, SimpleQueryMessage, SimpleQueryRow};

/// User name for connections to backend servers.
const USER: &str = "flamingopost";

/// Connection to one backend server. Dropping it closes the connection.
#[derive(Debug)]
pub struct Client {
    postgres: tokio_postgres::Client,
    driver: JoinHandle<()>,
    timeout: Duration,
}

/// Status that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Highest term known to the server.
    pub term: Term,
    /// Role of the server in that term.
    pub role: Role,
    /// Replication position of the server.
    pub position: Position,
    /// Maximum staleness of the server's data.
    pub age: Duration,
    /// Whether the server is about to be removed.
    pub leaving: bool,
}

/// Role that a server reports. It may be outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The server considers itself the primary.
    Primary,
    /// The server is a replica.
    Replica,
}

/// Why a request to a server failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the server cannot be reached: {0}
    Unreachable(String),
    /// the server accepts no more connections
    Full,
    /// no answer came within {0:?}; whether the order took effect is unknown
    Timeout(Duration),
    /// the connection broke before the answer came; whether the order took effect is unknown
    Broken,
    /// the server refuses: {0}
    Refused(String),
    /// the server's answer lacks column {0}
    Column(&'static str),
    /// the server's answer has an unreadable {0}: {1}
    Value(&'static str, String),
    /// {0}
    Position(position::ParseError),
}

impl std::error::Error for Error {}

impl From<position::ParseError> for Error {
    fn from(error: position::ParseError) -> Error {
        Error::Position(error)
    }
}

impl Client {
    /// Connects to the server at `address`, a member of the group of `service`. `name` identifies
    /// the connecting process as `ZONE/HOST`.
    ///
    /// # Errors
    /// Returns an error if no connection is established within `timeout`. No request was sent in
    /// that case.
    pub async fn connect(
        address: SocketAddr,
        service: &str,
        name: &str,
        timeout: Duration,
    ) -> Result<Client, Error> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(USER)
            .dbname(service)
            .application_name(name)
            .connect_timeout(timeout);
        let connecting = tokio::time::timeout(timeout, config.connect(NoTls));
        let (postgres, connection) = match connecting.await {
            Err(_) => return Err(Error::Unreachable(format!("no answer in {timeout:?}"))),
            Ok(Err(error)) if is_full(&error) => return Err(Error::Full),
            Ok(Err(error)) => return Err(Error::Unreachable(error.to_string())),
            Ok(Ok(pair)) => pair,
        };
        let driver = tokio::spawn(async move {
            // The next request reports the error as a closed connection.
            let _closed = connection.await;
        });
        Ok(Client {
            postgres,
            driver,
            timeout,
        })
    }

    /// Reports whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.postgres.is_closed()
    }

    /// Returns the status of the server.
    ///
    /// # Errors
    /// Returns an error if the server does not respond or the response cannot be parsed.
    pub async fn status(&self) -> Result<Status, Error> {
        let row = self.query_row("SELECT * FROM group_status()").await?;
        let term: i64 = parse_number(&row, "term")?;
        let age: u64 = parse_number(&row, "age_ms")?;
        Ok(Status {
            term: Term::from_number(term),
            role: match column(&row, "role")? {
                "primary" => Role::Primary,
                _ => Role::Replica,
            },
            position: column(&row, "position")?.parse()?,
            age: Duration::from_millis(age),
            leaving: column(&row, "leaving")? == "t",
        })
    }

    /// Promotes the server to primary of `term`, provided that its replication position is at least
    /// `at_least`. The order is idempotent for the same term.
    ///
    /// # Errors
    /// Returns [`Error::Refused`] if the server knows a higher term or lacks data. After
    /// [`Error::Timeout`] and [`Error::Broken`] it is unknown whether the server was promoted.
    pub async fn promote(&self, term: Term, at_least: Option<Position>) -> Result<(), Error> {
        let number = term.number();
        let order = match at_least {
            Some(position) => format!("SELECT group_promote({number}, '{position}')"),
            None => format!("SELECT group_promote({number})"),
        };
        self.query_row(&order).await.map(drop)
    }

    /// Makes the server replicate from the primary of `term` at `address`. The server discards the
    /// divergent tail of its log.
    ///
    /// # Errors
    /// Returns the same errors as [`Client::promote`].
    pub async fn follow(&self, address: SocketAddr, term: Term) -> Result<(), Error> {
        let order = format!("SELECT group_follow('{address}', {})", term.number());
        self.query_row(&order).await.map(drop)
    }

    async fn query_row(&self, query: &str) -> Result<SimpleQueryRow, Error> {
        let pending = tokio::time::timeout(self.timeout, self.postgres.simple_query(query));
        let messages = match pending.await {
            Err(_) => return Err(Error::Timeout(self.timeout)),
            Ok(answer) => answer.map_err(|error| query_error(&error))?,
        };
        let row = messages.into_iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        row.ok_or(Error::Column("any"))
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        // Dropping only the client closes the session gracefully and waits for the server. With a
        // paused server, the task and its socket would stay for as long as the pause lasts.
        self.driver.abort();
    }
}

fn is_full(error: &tokio_postgres::Error) -> bool {
    error.code() == Some(&SqlState::TOO_MANY_CONNECTIONS)
}

fn query_error(error: &tokio_postgres::Error) -> Error {
    match error.as_db_error() {
        Some(refusal) => Error::Refused(refusal.message().to_owned()),
        None => Error::Broken,
    }
}

fn column<'a>(row: &'a SimpleQueryRow, name: &'static str) -> Result<&'a str, Error> {
    row.try_get(name).ok().flatten().ok_or(Error::Column(name))
}

fn parse_number<T: std::str::FromStr>(
    row: &SimpleQueryRow,
    name: &'static str,
) -> Result<T, Error> {
    let text = column(row, name)?;
    text.parse()
        .map_err(|_| Error::Value(name, text.to_owned()))
}
