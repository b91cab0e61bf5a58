//! HTTP server for operators: health and metrics are public, other routes require the token.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use flamingopost_core::invariant::{self, Invariant};
use flamingopost_daemon::health::{Probe, Readiness};
use flamingopost_daemon::http;
use flamingopost_daemon::stop::Stop;
use flamingopost_daemon::token::Token;
use reqwest::{Client, StatusCode};

struct TestProbe(Mutex<Readiness>);

impl Probe for TestProbe {
    fn readiness(&self) -> Readiness {
        self.0.lock().unwrap().clone()
    }
}

async fn secret() -> impl Responder {
    HttpResponse::Ok().body("for operators")
}

fn routes(config: &mut ServiceConfig) {
    config.route("/secret", web::get().to(secret));
}

struct Server {
    address: SocketAddr,
    probe: Arc<TestProbe>,
    stop: Stop,
    client: Client,
}

impl Server {
    fn start(token: &str) -> Server {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let probe = Arc::new(TestProbe(Mutex::new(Readiness::Ready)));
        let stop = Stop::default();
        let (served_probe, stopped) = (probe.clone(), stop.clone());
        let token = Token::new(token);
        tokio::spawn(http::serve_on(socket, token, served_probe, routes, stopped));
        let client = Client::builder().no_proxy().build().unwrap();
        Server {
            address,
            probe,
            stop,
            client,
        }
    }

    async fn get(&self, path: &str, token: Option<&str>) -> (StatusCode, String) {
        let request = self.client.get(format!("http://{}{path}", self.address));
        let request = match token {
            Some(token) => request.bearer_auth(token),
            None => request,
        };
        let response = request.send().await.unwrap();
        (response.status(), response.text().await.unwrap())
    }
}

#[tokio::test]
async fn operator_routes_require_the_token() {
    let server = Server::start("right");
    for token in [None, Some("wrong"), Some(""), Some("right2"), Some("righ")] {
        let (status, body) = server.get("/v1/secret", token).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{token:?}");
        assert!(body.contains("\"error\":\"unauthorized\""), "{body}");
    }
    let (status, body) = server.get("/v1/secret", Some("right")).await;
    assert_eq!((status, body.as_str()), (StatusCode::OK, "for operators"));
    server.stop.stop();
}

/// Guards against unauthorized access when the token file is empty by mistake.
#[tokio::test]
async fn an_empty_token_authorizes_no_request() {
    let server = Server::start("");
    for token in [None, Some("")] {
        let (status, _) = server.get("/v1/secret", token).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
    }
    server.stop.stop();
}

#[tokio::test]
async fn ready_route_reports_readiness() {
    let server = Server::start("t");
    assert_eq!(server.get("/live", None).await.0, StatusCode::OK);
    assert_eq!(server.get("/ready", None).await.0, StatusCode::OK);
    *server.probe.0.lock().unwrap() = Readiness::Draining;
    let (status, body) = server.get("/ready", None).await;
    assert_eq!(
        (status, body.as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    );
    assert_eq!(server.get("/live", None).await.0, StatusCode::OK);
    server.stop.stop();
}

#[tokio::test]
async fn metrics_route_exports_histograms_and_violations() {
    flamingopost_daemon::metrics::start();
    flamingopost_daemon::metrics::start();
    metrics::histogram!("bakery_wait_seconds", "class" => "rye").record(0.02);
    let server = Server::start("t");
    let (_, before) = server.get("/metrics", None).await;
    assert!(
        before.contains("bakery_wait_seconds_bucket{class=\"rye\",le=\"0.025\"} 1"),
        "{before}"
    );
    let zero = "flamingopost_invariant_violations_total{invariant=\"at_most_once\"} 0";
    assert!(before.contains(zero), "{before}");
    let violated = || invariant::check(Invariant::AtMostOnce, false, || "on purpose".to_owned());
    assert!(std::panic::catch_unwind(violated).is_err());
    let (_, after) = server.get("/metrics", None).await;
    let one = "flamingopost_invariant_violations_total{invariant=\"at_most_once\"} 1";
    assert!(after.contains(one), "{after}");
    server.stop.stop();
}
