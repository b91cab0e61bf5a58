//! HTTP endpoints of an entry host: the balancer's readiness probe, and metrics.
//!
//! `hyper` serves them on the host's only thread. `actix-web` would start its own threads, which
//! cost memory on each host and compete for a fraction of a core.

use flamingopost_daemon::task;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Pause after a failed accept, which happens while file descriptors are exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Answers every request on `listener`, forever, by calling `answer` with its path.
pub async fn serve(listener: TcpListener, answer: impl Fn(&str) -> (StatusCode, String) + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        task::spawn("http_session", async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, body) = answer(request.uri().path());
                let mut response = Response::new(Full::new(Bytes::from(body)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let server = hyper::server::conn::http1::Builder::new();
            // A prober that disconnects counts the probe as failed by itself.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
