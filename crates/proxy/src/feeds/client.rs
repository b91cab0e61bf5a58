//! Reads feeds at other hosts over HTTP.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_daemon::task;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use super::query::Query;
use super::wire::{Answer, Item};
use crate::platform::CALL_TIMEOUT;
use crate::socket;

/// Timeout of connecting. The next host is asked after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent data may stay unacknowledged before a connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an answer: many times that of 1,000 routes or 300 hosts.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reason for which a host has delivered no feed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// no answer in time
    Timeout,
    /// no connection: {0}
    Connection(std::io::Error),
    /// no answer: {0}
    Exchange(hyper::Error),
    /// status {0}
    Status(StatusCode),
    /// unreadable answer
    Unreadable,
}

impl std::error::Error for Error {}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Error {
        Error::Exchange(error)
    }
}

/// Reads one feed at other hosts, one at a time.
#[derive(Debug, Default)]
pub struct Client {
    /// The connection to the host that was asked last, unless a call uses it.
    idle: RefCell<Option<Connection>>,
}

/// A connection. Dropping it closes it, even with a call in flight.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Client {
    /// Sends `query` to the host that serves feeds at `address`.
    ///
    /// # Errors
    /// Returns an error if there is no readable answer in time.
    pub async fn ask<T: Item>(
        &self,
        address: SocketAddr,
        query: &Query,
    ) -> Result<Answer<T::Wire>, Error> {
        let exchange = self.exchange(address, query);
        let limited = tokio::time::timeout(query.wait + CALL_TIMEOUT, exchange);
        let body = limited.await.map_err(|_| Error::Timeout)??;
        postcard::from_bytes(&body).map_err(|_| Error::Unreadable)
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.idle.take();
    }

    async fn exchange(&self, address: SocketAddr, query: &Query) -> Result<Bytes, Error> {
        let idle = self.idle.take();
        let reusable = idle.filter(|it| it.address == address && it.sender.is_ready());
        let mut connection = match reusable {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        let request = Request::get(query.to_string()).header(HOST, address.to_string());
        let request = request.body(Empty::new()).map_err(|_| Error::Unreadable)?;
        let response = connection.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(Error::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|_| Error::Unreadable)?;
        *self.idle.borrow_mut() = Some(connection);
        Ok(body.to_bytes())
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Connection, Error> {
        let stream = socket::connect(address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT);
        let stream = stream.await.map_err(Error::Connection)?;
        let handshake = Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        let task = task::spawn("feed_connection", async move {
            // The error is ignored: the pending call on `sender` fails too.
            let _ = connection.await;
        });
        Ok(Connection {
            address,
            sender,
            task,
        })
    }
}
