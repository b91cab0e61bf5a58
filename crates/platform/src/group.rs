//! A database group: state of a server, promotion, following.

use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::position::{self, Position};
use flamingopost_core::term::Term;
use tokio::task::JoinHandle;
use tokio_postgres::error::SqlState;
use tokio_postgres::{NoTls, SimpleQueryMessage, SimpleQueryRow};

/// The user under which we connect to backend servers.
const USER: &str = "flamingopost";

/// A connection to one backend server; it is closed when dropped.
#[derive(Debug)]
pub struct Client {
    postgres: tokio_postgres::Client,
    driver: JoinHandle<()>,
    timeout: Duration,
}

/// What a server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The greatest term it knows.
    pub term: Term,
    /// Whether it leads that term or follows.
    pub role: Role,
    /// How far its data reach.
    pub position: Position,
    /// How old its data may be.
    pub age: Duration,
    /// Whether it is about to be taken away.
    pub leaving: bool,
}

/// What a server believes to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It believes that it leads.
    Primary,
    /// It follows.
    Replica,
}

/// Why a server did not do what was asked.
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
    /// Connects to the server at `address` as a member of `service`'s group; `name` says who
    /// connects, `ZONE/HOST`.
    ///
    /// # Errors
    /// No connection within `timeout`; nothing was asked of the server.
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
            // The error shows as a closed connection at the next request.
            let _closed = connection.await;
        });
        Ok(Client {
            postgres,
            driver,
            timeout,
        })
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.postgres.is_closed()
    }

    /// Asks the server about itself.
    ///
    /// # Errors
    /// No answer, or one that cannot be read.
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

    /// Makes the server the primary of `term`, provided that its data reach `at_least`.
    /// Repeating the order for the same term is harmless.
    ///
    /// # Errors
    /// [`Error::Refused`] when the server knows a greater term or lacks data;
    /// [`Error::Timeout`] and [`Error::Broken`] leave open whether it was promoted.
    pub async fn promote(&self, term: Term, at_least: Option<Position>) -> Result<(), Error> {
        let number = term.number();
        let order = match at_least {
            Some(position) => format!("SELECT group_promote({number}, '{position}')"),
            None => format!("SELECT group_promote({number})"),
        };
        self.query_row(&order).await.map(drop)
    }

    /// Makes the server follow the primary of `term` at `address`; a divergent tail is discarded.
    ///
    /// # Errors
    /// As for [`Client::promote`].
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
        // Dropping the client alone ends the session politely, which a paused server never
        // answers: the task and its socket would stay for as long as the pause lasts.
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
