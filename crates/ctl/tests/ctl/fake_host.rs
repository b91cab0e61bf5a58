//! A fake of a host's operators' HTTP API that answers from a list and records the requests.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use futures::stream;
use serde_json::Value;

use crate::workdir::TOKEN;

/// Answer to one request.
#[derive(Debug, Clone)]
pub enum Answer {
    /// A response with this status and JSON body.
    Respond(u16, Value),
    /// A successful response with this text.
    Text(&'static str),
    /// The host accepts the request and the connection breaks before the body of the response.
    Disconnect,
}

/// A request that was received.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method and URI, separated by a space.
    pub method_and_uri: String,
    /// JSON body, or null if there is none.
    pub body: Value,
}

#[derive(Debug, Default)]
struct State {
    answers: VecDeque<Answer>,
    requests: Vec<Request>,
}

/// A fake host on a free loopback port. Requests beyond its list of answers get 404.
#[derive(Debug)]
pub struct FakeHost {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeHost {
    /// Starts a host that gives `answers` in order.
    pub fn new(answers: &[Answer]) -> FakeHost {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            answers: answers.iter().cloned().collect(),
            requests: Vec::new(),
        }));
        let shared = Data::from(Arc::clone(&state));
        thread::spawn(move || serve(listener, shared));
        FakeHost { address, state }
    }

    /// Returns the requests received so far that carried the right token.
    pub fn requests(&self) -> Vec<Request> {
        self.state.lock().expect("no panic").requests.clone()
    }
}

fn serve(listener: TcpListener, state: Data<Mutex<State>>) -> io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .default_service(web::to(answer))
    });
    actix_rt::System::new().block_on(server.workers(1).disable_signals().listen(listener)?.run())
}

async fn answer(request: HttpRequest, body: Bytes, state: Data<Mutex<State>>) -> HttpResponse {
    let header = request.headers().get("Authorization");
    let expected = format!("Bearer {TOKEN}");
    let has_token = header.and_then(|value| value.to_str().ok()) == Some(expected.as_str());
    // Hosts serve their metrics to anyone, so that no token may be sent there.
    let is_public = request.path() == "/metrics";
    if has_token == is_public {
        return HttpResponse::Unauthorized().finish();
    }
    let mut state = state.lock().expect("no panic");
    state.requests.push(Request {
        method_and_uri: format!("{} {}", request.method(), request.uri()),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    });
    match state.answers.pop_front() {
        Some(Answer::Respond(status, body)) => {
            let status = StatusCode::from_u16(status).expect("a status");
            HttpResponse::build(status).json(body)
        }
        Some(Answer::Text(text)) => HttpResponse::Ok().body(text),
        Some(Answer::Disconnect) => {
            let broken = Err::<Bytes, io::Error>(io::ErrorKind::ConnectionReset.into());
            HttpResponse::Ok().streaming(stream::iter([broken]))
        }
        None => HttpResponse::NotFound().finish(),
    }
}
