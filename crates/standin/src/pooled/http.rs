//! HTTP of the store and of the platform's orders.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::store::{Change, Mode, Outcome, Row, Store};

/// Header of all answers of the store: how often it came back from a copy.
const ERA: &str = "Store-Era";

/// An answer.
pub(super) struct Answer {
    pub status: StatusCode,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl From<(StatusCode, String)> for Answer {
    fn from((status, body): (StatusCode, String)) -> Answer {
        Answer {
            status,
            headers: Vec::new(),
            body,
        }
    }
}

/// One request, taken apart.
pub(super) struct Asked {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Bytes,
}

/// Answers requests on `listener` by `answer`, for ever.
pub(super) async fn serve<A, F>(listener: TcpListener, answer: A)
where
    A: Fn(Asked) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer.clone();
                async move { Ok::<_, Infallible>(response(answer(take(request).await).await)) }
            });
            let server = hyper::server::conn::http1::Builder::new();
            // A client that went away is its own affair.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn response(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    for (name, value) in answer.headers {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// Answers a call to the store. What is due while it is silent is lost for good, like what is asked
/// then.
pub(super) async fn store(store: Arc<Store>, asked: Asked) -> Answer {
    let answer = match store.called() {
        Mode::Up => reply(&store, &asked).await,
        Mode::Lossy => match (reply(&store, &asked).await, asked.path.as_str()) {
            ((StatusCode::OK | StatusCode::PRECONDITION_FAILED, _), "/rows-tx") => {
                std::future::pending().await
            }
            (answer, _) => answer,
        },
        Mode::Slow(delay) => {
            tokio::time::sleep(delay).await;
            reply(&store, &asked).await
        }
        Mode::Busy => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        Mode::Silent => std::future::pending().await,
    };
    match store.mode() {
        Mode::Silent => std::future::pending().await,
        _ => Answer {
            headers: vec![(ERA, store.era().to_string())],
            ..Answer::from(answer)
        },
    }
}

async fn reply(store: &Store, asked: &Asked) -> (StatusCode, String) {
    let field = |name: &str| asked.query.get(name).cloned().unwrap_or_default();
    match asked.path.as_str() {
        "/rows-tx" => match serde_json::from_slice::<Change>(&asked.body) {
            Ok(change) => match store.apply(change) {
                Outcome::Done(version) => (StatusCode::OK, rows(Vec::new(), version, false)),
                Outcome::Failed(current) => {
                    (StatusCode::PRECONDITION_FAILED, rows(current, 0, false))
                }
            },
            Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
        },
        "/rows-get" => {
            let (table, part) = (field("table_name"), field("part"));
            store.was_read(&table);
            if let Some(text) = store.answer(&table) {
                return (StatusCode::OK, text);
            }
            let (mut found, version) = store.rows(&table, &part, &field("from"));
            let has_more = found.len() > store.page_rows();
            found.truncate(store.page_rows());
            (StatusCode::OK, rows(found, version, has_more))
        }
        "/rows-feed" => {
            feed(
                store,
                &field("table_name"),
                &field("after"),
                &field("wait_ms"),
            )
            .await
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    }
}

async fn feed(store: &Store, table: &str, after: &str, wait: &str) -> (StatusCode, String) {
    let (Ok(after), Ok(wait)) = (after.parse(), wait.parse()) else {
        return (
            StatusCode::BAD_REQUEST,
            "after and wait_ms are numbers".to_owned(),
        );
    };
    let mut versions = store.versions();
    let deadline = tokio::time::sleep(Duration::from_millis(wait));
    tokio::pin!(deadline);
    loop {
        versions.mark_unchanged();
        if let Some(text) = store.answer(table) {
            return (StatusCode::OK, text);
        }
        let Some((found, version)) = store.changes(table, after) else {
            return (StatusCode::GONE, String::new());
        };
        if !found.is_empty() {
            tokio::time::sleep(store.feed_delay(table)).await;
            return (StatusCode::OK, rows(found, version, false));
        }
        tokio::select! {
            () = &mut deadline => return (StatusCode::OK, rows(Vec::new(), version, false)),
            _ = versions.changed() => {}
        }
    }
}

fn rows(rows: Vec<Row>, version: u64, has_more: bool) -> String {
    let rows: Vec<String> = rows.iter().map(Row::to_text).collect();
    let rows = rows.join(",");
    format!(r#"{{"rows":[{rows}],"has_more":{has_more},"schema_version":{version}}}"#)
}

async fn take(request: Request<Incoming>) -> Asked {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value)));
    let query = query.collect();
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    let headers = headers.collect();
    let body = request.into_body().collect().await;
    Asked {
        path,
        query,
        headers,
        body: body.map(|body| body.to_bytes()).unwrap_or_default(),
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let coded = text
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match coded {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
