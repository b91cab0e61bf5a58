//! Serves feeds to other hosts over HTTP.
//!
//! `hyper` is linked for the platform's store and the balancer's probe already. `jsonrpsee` would
//! add its server, its client and their buffers to each host, whose peak memory is priced.

use flamingopost_daemon::task;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::Feeds;
use super::query::{Query, Table};
use crate::socket;

/// Maximum time for which a request waits for a change, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How long sent data may stay unacknowledged before a connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed accept, which happens while file descriptors are exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Size of the buffer of a connection, the smallest that `hyper` allows. Requests take 100 bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Answers requests for `feeds` on `listener`, forever, on at most `max_connections`. Each follower
/// has one for each feed. Further ones ask another host.
pub async fn serve(listener: TcpListener, feeds: Rc<Feeds>, max_connections: usize) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        if open.get() >= max_connections
            || socket::set_options(&stream, UNACKNOWLEDGED_TIMEOUT).is_err()
        {
            continue;
        }
        open.set(open.get() + 1);
        let (feeds, open) = (Rc::clone(&feeds), Rc::clone(&open));
        task::spawn("feed_session", async move {
            let service = service_fn(|request: Request<Incoming>| {
                let feeds = Rc::clone(&feeds);
                async move { Ok::<_, Infallible>(answer(&feeds, &request).await) }
            });
            let mut server = hyper::server::conn::http1::Builder::new();
            server.max_buf_size(BUFFER_BYTES);
            // A host that disconnects asks another one by itself.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
            open.set(open.get() - 1);
        });
    }
}

async fn answer(feeds: &Feeds, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let uri = request.uri();
    let Some(query) = Query::parse(uri.path(), uri.query().unwrap_or_default()) else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let query = Query {
        wait: query.wait.min(MAX_WAIT),
        ..query
    };
    let body = match query.table {
        Table::Configuration => feeds.published_configuration.answer(&query).await,
        Table::Servers => feeds.published_backends.answer(&query).await,
        Table::Hosts => feeds.published_peers.answer(&query).await,
    };
    Response::new(Full::new(body))
}
