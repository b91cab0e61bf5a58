//! HTTP endpoints of an entry host: the balancer's readiness probe, and metrics.
//!
//! `hyper` serves them on the host's only thread. `actix-web` would start its own threads, which
//! cost memory on each host and compete for a fraction of a core.

use std::convert::Infallible;
use std::rc::Rc;

use flamingopost_daemon::task;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::acceptor::Acceptor;

/// Answers every request on `listener` by calling `answer` with its path, in a task called `name`.
pub fn serve(
    name: &'static str,
    listener: TcpListener,
    answer: impl Fn(&str) -> (StatusCode, String) + 'static,
) {
    let acceptor = Rc::new(Acceptor::new(name, listener));
    let answer = Rc::new(answer);
    task::keep(name, move || {
        answer_requests(Rc::clone(&acceptor), Rc::clone(&answer))
    });
}

/// Answers every request on a listener, forever.
async fn answer_requests(
    acceptor: Rc<Acceptor>,
    answer: Rc<impl Fn(&str) -> (StatusCode, String) + 'static>,
) {
    loop {
        let stream = acceptor.accept().await;
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
