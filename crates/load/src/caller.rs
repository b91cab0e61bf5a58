//! A caller's connection, which knows the position that the entry host last reported.

use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{Client, Config, Connection, Error, NoTls, Row, Socket, Statement};
use tokio_postgres::{SimpleQueryMessage, SimpleQueryRow};

use crate::history::Seen;
use crate::template::{Fill, Parameter, Slot, Template};

/// Parameter under which an entry host reports a session's position.
pub const POSITION: &str = "flamingopost.position";

/// A connection that is driven by the same task that waits for answers.
///
/// The position comes as `ParameterStatus` before `ReadyForQuery`. Were the connection driven by
/// a task of its own, a caller could see its answer before that task publishes the position, and
/// would carry an old one to the next entry host. In one task the message has been processed
/// when the answer is complete.
pub struct Caller {
    client: Client,
    line: Line,
    prepared: BTreeMap<String, Statement>,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caller")
            .field("position", &self.line.position())
            .finish_non_exhaustive()
    }
}

impl Caller {
    /// Connects; `position` is brought along from another entry host.
    pub async fn connect(
        config: &Config,
        position: Option<&str>,
        timeout: Duration,
    ) -> Result<Caller, Error> {
        let mut config = config.clone();
        config.connect_timeout(timeout);
        if let Some(position) = position {
            config.options(format!("-c {POSITION}={position}"));
        }
        let (client, connection) = config.connect(NoTls).await?;
        Ok(Caller {
            client,
            line: Line {
                connection: Some(connection),
                last_position: None,
            },
            prepared: BTreeMap::new(),
        })
    }

    /// Whether the connection can still be used, after a look at what the server sent meanwhile.
    pub async fn usable(&mut self) -> bool {
        poll_fn(|cx| {
            self.line.pump(cx);
            Poll::Ready(())
        })
        .await;
        self.line.connection.is_some()
    }

    /// The position last reported, if any was.
    pub fn position(&self) -> Option<&str> {
        self.line.position()
    }

    /// Runs `sql` with the simple protocol.
    pub async fn simple(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, Error> {
        let query = self.client.simple_query(sql);
        self.line.drive(query).await
    }

    /// Runs `template` with the simple protocol.
    pub async fn text(&mut self, template: &Template, fill: &Fill) -> Result<Seen, Error> {
        let messages = self.simple(&template.text(fill)).await?;
        let row = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        Ok(row.map(seen_in_text).unwrap_or_default())
    }

    /// Runs `template` as a prepared statement, parsed once a connection.
    pub async fn prepared(&mut self, template: &Template, fill: &Fill) -> Result<Seen, Error> {
        let statement = self.statement(template).await?;
        let parameters: Vec<Parameter> =
            template.slots().map(|slot| fill.parameter(slot)).collect();
        let borrowed: Vec<&(dyn ToSql + Sync)> = parameters.iter().map(borrow).collect();
        let query = self.client.query(&statement, &borrowed);
        let rows = self.line.drive(query).await?;
        Ok(rows.first().map(seen_in_row).unwrap_or_default())
    }

    async fn statement(&mut self, template: &Template) -> Result<Statement, Error> {
        let sql = template.prepared();
        if let Some(statement) = self.prepared.get(&sql) {
            return Ok(statement.clone());
        }
        let types: Vec<Type> = template.slots().map(kind).collect();
        let prepare = self.client.prepare_typed(&sql, &types);
        let statement = self.line.drive(prepare).await?;
        self.prepared.insert(sql, statement.clone());
        Ok(statement)
    }
}

fn borrow(parameter: &Parameter) -> &(dyn ToSql + Sync) {
    match parameter {
        Parameter::Number(number) => number,
        Parameter::Text(text) => text,
    }
}

fn kind(slot: Slot) -> Type {
    if slot.is_number() {
        Type::INT8
    } else {
        Type::TEXT
    }
}

/// The receiving side of a connection.
struct Line {
    connection: Option<Connection<Socket, NoTlsStream>>,
    last_position: Option<String>,
}

impl Line {
    /// Sends what is queued and takes in what has arrived.
    ///
    /// A connection that has ended is dropped at once: it holds the senders of the answers still
    /// awaited, and whoever waits for one would wait for ever.
    fn pump(&mut self, cx: &mut Context<'_>) {
        while let Some(connection) = &mut self.connection {
            match connection.poll_message(cx) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_)) | None) => {
                    self.last_position = self.position().map(str::to_owned);
                    self.connection = None;
                }
                Poll::Pending => break,
            }
        }
    }

    fn position(&self) -> Option<&str> {
        match &self.connection {
            Some(connection) => connection
                .parameter(POSITION)
                .filter(|text| !text.is_empty()),
            None => self.last_position.as_deref(),
        }
    }

    /// Polls the connection together with a future that waits for it.
    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            self.pump(cx);
            match self.connection {
                Some(_) => Poll::Pending,
                None => future.as_mut().poll(cx),
            }
        })
        .await
    }
}

fn seen_in_text(row: &SimpleQueryRow) -> Seen {
    let text = |name| row.try_get(name).ok().flatten();
    let number = |name| text(name).and_then(|text| text.parse().ok());
    Seen {
        token: text("token").map(str::to_owned),
        own: number("own"),
        first: number("first"),
        second: number("second"),
        value: number("value"),
    }
}

fn seen_in_row(row: &Row) -> Seen {
    Seen {
        token: row.try_get("token").ok(),
        own: number(row, "own"),
        first: number(row, "first"),
        second: number(row, "second"),
        value: number(row, "value"),
    }
}

/// Reads a number whatever integer or text type the server gives its column.
fn number(row: &Row, name: &str) -> Option<i64> {
    if let Ok(number) = row.try_get::<_, i64>(name) {
        return Some(number);
    }
    if let Ok(number) = row.try_get::<_, i32>(name) {
        return Some(i64::from(number));
    }
    row.try_get::<_, String>(name).ok()?.parse().ok()
}
