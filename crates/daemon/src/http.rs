//! HTTP server for operators: health and metrics are public, `/v1` requires the token.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::AUTHORIZATION;
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{App, HttpResponse, HttpServer, ResponseError};
use serde::Serialize;

use crate::event::{Daemon, Event as _};
use crate::health::{Probe, Readiness};
use crate::stop::Stop;
use crate::token::Token;

/// Maximum size of a request body. A configuration of a thousand services fits.
pub const MAX_BODY_BYTES: usize = 8 << 20;

const WORKERS: usize = 1;
const SHUTDOWN_SECONDS: u64 = 2;

/// Address and credentials of the HTTP server.
#[derive(Debug, Clone)]
pub struct Listener {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Token that operators have to send.
    pub token: Token,
}

/// Body of an error response, as JSON `{"error":"...","message":"..."}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Fixed error code for scripts.
    pub error: &'static str,
    /// Description for people.
    pub message: String,
}

/// Why a request is not authorized.
#[derive(Debug, displaydoc::Display)]
enum AuthError {
    /// send the operators' token as `Authorization: Bearer TOKEN`
    Unauthorized,
}

impl ResponseError for AuthError {
    fn status_code(&self) -> actix_web::http::StatusCode {
        actix_web::http::StatusCode::UNAUTHORIZED
    }

    fn error_response(&self) -> HttpResponse {
        let refusal = Refusal {
            error: "unauthorized",
            message: self.to_string(),
        };
        HttpResponse::Unauthorized()
            .insert_header(("WWW-Authenticate", "Bearer"))
            .json(refusal)
    }
}

/// Serves HTTP until `stop` reaches the stopped phase. `routes` are added under `/v1` and require
/// the token.
///
/// # Errors
/// Returns an error if the address cannot be bound or the server fails.
pub async fn serve<F>(
    listener: Listener,
    probe: Arc<dyn Probe>,
    routes: F,
    stop: Stop,
) -> std::io::Result<()>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let socket = TcpListener::bind(listener.address)?;
    serve_on(socket, listener.token, probe, routes, stop).await
}

/// Like [`serve`], on a socket that is already listening.
///
/// # Errors
/// Returns an error if the server fails.
pub async fn serve_on<F>(
    socket: TcpListener,
    token: Token,
    probe: Arc<dyn Probe>,
    routes: F,
    stop: Stop,
) -> std::io::Result<()>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let address = socket.local_addr()?;
    let server = HttpServer::new(move || {
        let operators = web::scope("/v1")
            .wrap(from_fn(require_token))
            .configure(routes.clone());
        App::new()
            .app_data(Data::new(token.clone()))
            .app_data(Data::from(probe.clone()))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/live", web::get().to(live))
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(metrics))
            .service(operators)
    })
    .workers(WORKERS)
    .shutdown_timeout(SHUTDOWN_SECONDS)
    .disable_signals()
    .listen(socket)?
    .run();
    Daemon::Listening { address }.log();
    let handle = server.handle();
    tokio::spawn(async move {
        stop.stopped().await;
        handle.stop(true).await;
    });
    server.await
}

async fn require_token(
    token: Data<Token>,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let header = request.headers().get(AUTHORIZATION);
    let offered = header
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    if !token.admits(offered) {
        let path = request.path().to_owned();
        Daemon::Unauthorized { path }.log();
        return Err(AuthError::Unauthorized.into());
    }
    next.call(request).await
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(probe: Data<dyn Probe>) -> HttpResponse {
    let readiness = probe.readiness();
    let body = format!("{readiness}\n");
    match readiness {
        Readiness::Ready => HttpResponse::Ok().body(body),
        _ => HttpResponse::ServiceUnavailable().body(body),
    }
}

async fn metrics() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(crate::metrics::render())
}
