//! Serves feeds to other hosts over HTTP.
//!
//! `hyper` is linked for the platform's store and the balancer's probe already. `jsonrpsee` would
//! add its server, its client and their buffers to each host, whose peak memory is priced.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_daemon::task;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::Feeds;
use super::query::{Query, Table};
use crate::acceptor::Acceptor;
use crate::socket;

/// Maximum time for which a request waits for a change, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How long sent data may stay unacknowledged before a connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Name of the task.
const NAME: &str = "feed_server";

/// Size of the buffer of a connection, the smallest that `hyper` allows. Requests take 100 bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Answers requests for `feeds` on `listener` in a task, on at most `max_connections`. Each follower
/// has one for each feed. Further ones ask another host.
pub fn serve(listener: TcpListener, feeds: Rc<Feeds>, max_connections: usize) {
    let acceptor = Rc::new(Acceptor::new(NAME, listener));
    let places = Arc::new(Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS)));
    task::keep(NAME, move || {
        answer_requests(Rc::clone(&acceptor), Rc::clone(&feeds), Arc::clone(&places))
    });
}

/// Answers requests on a listener, forever, on as many connections as there are `places`.
async fn answer_requests(acceptor: Rc<Acceptor>, feeds: Rc<Feeds>, places: Arc<Semaphore>) {
    loop {
        let stream = acceptor.accept().await;
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        if socket::set_options(&stream, UNACKNOWLEDGED_TIMEOUT).is_err() {
            continue;
        }
        let feeds = Rc::clone(&feeds);
        task::spawn("feed_session", async move {
            let _place = place;
            let service = service_fn(|request: Request<Incoming>| {
                let feeds = Rc::clone(&feeds);
                async move { Ok::<_, Infallible>(answer(&feeds, &request).await) }
            });
            let mut server = hyper::server::conn::http1::Builder::new();
            server.max_buf_size(BUFFER_BYTES);
            // A host that disconnects asks another one by itself.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
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
