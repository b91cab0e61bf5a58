//! The platform's HTTP interface with conditional requests (RFC 9110).

use std::any::Any;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Extensions;
use actix_web::error::ErrorServiceUnavailable;
use actix_web::http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use actix_web::web::{Bytes, Data, Json, Path, PayloadConfig, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::Instant;

use super::hosts::{Announcement, Host};
use super::service::Shared;
use super::table::{Change, Guard, Lost, Row};

/// The zone a request comes from.
const ZONE_HEADER: &str = "x-zone";

/// Largest body that is taken.
const LARGEST_BODY: usize = 64 << 20;

/// A request that gets no answer: a cut is silent.
const FOREVER: Duration = Duration::from_secs(3600);

#[derive(Debug, Deserialize)]
struct Prefix {
    prefix: String,
}

/// A row on the wire.
#[derive(Debug, Serialize)]
struct Listed<'a> {
    key: &'a str,
    etag: &'a str,
    body: &'a RawValue,
}

/// A write on the wire.
#[derive(Debug, Deserialize)]
struct Write {
    key: String,
    if_match: Option<String>,
    if_none_match: Option<String>,
    body: Box<RawValue>,
}

/// A second handle on a request's connection, by which it can be closed without an answer.
#[derive(Debug)]
struct Socket(TcpStream);

/// Keeps a handle on each connection for [`Socket`].
pub(crate) fn keep_socket(connection: &dyn Any, extensions: &mut Extensions) {
    let socket = connection
        .downcast_ref::<actix_web::rt::net::TcpStream>()
        .and_then(|socket| socket.as_fd().try_clone_to_owned().ok());
    if let Some(socket) = socket {
        extensions.insert(Socket(TcpStream::from(socket)));
    }
}

/// What became of a write, before a fault may swallow the answer.
type Written = Result<Vec<String>, Lost>;

pub(crate) fn configure(app: &mut ServiceConfig, shared: Arc<Shared>) {
    app.app_data(Data::from(shared))
        .app_data(PayloadConfig::new(LARGEST_BODY))
        .app_data(web::JsonConfig::default().limit(LARGEST_BODY))
        .route("/table", web::get().to(list_rows))
        .route("/table", web::post().to(write_rows))
        .route("/table/{key:.*}", web::get().to(read_row))
        .route("/table/{key:.*}", web::put().to(write_row))
        .route("/object/{key:.*}", web::get().to(read_object))
        .route("/object/{key:.*}", web::put().to(write_object))
        .route("/hosts", web::get().to(list_hosts))
        .route("/hosts/{host}", web::put().to(announce));
}

/// Lets the faults of the moment act on a request before it has any effect.
async fn enter(request: &HttpRequest, shared: &Shared) -> actix_web::Result<()> {
    let faults = shared.faults();
    let zone = request.headers().get(ZONE_HEADER);
    let zone = zone.and_then(|zone| zone.to_str().ok()).unwrap_or_default();
    if faults.cut_zones.contains(zone) {
        tokio::time::sleep(FOREVER).await;
    }
    if faults.down {
        return Err(ErrorServiceUnavailable("the store is down"));
    }
    if !faults.slow().is_zero() {
        tokio::time::sleep(faults.slow()).await;
    }
    // It may have gone down while this request was slow.
    if shared.faults().down {
        return Err(ErrorServiceUnavailable("the store is down"));
    }
    Ok(())
}

/// The answer to a write, unless answers get lost: then the connection closes without one, and
/// the client cannot know whether the write took effect.
async fn answer(
    request: &HttpRequest,
    shared: &Shared,
    written: Written,
    created: bool,
) -> HttpResponse {
    if shared.faults().lose_answers
        && let Some(socket) = request.conn_data::<Socket>()
    {
        // Fails only when the client has closed the connection first, which is as good.
        let _ = socket.0.shutdown(Shutdown::Both);
        tokio::time::sleep(FOREVER).await;
    }
    match written {
        Ok(tags) => {
            let mut response = if created {
                HttpResponse::Created()
            } else {
                HttpResponse::Ok()
            };
            if let [tag] = tags.as_slice() {
                response.insert_header((ETAG, tag.as_str()));
            }
            response.json(tags)
        }
        Err(Lost) => HttpResponse::PreconditionFailed().finish(),
    }
}

fn guard(request: &HttpRequest) -> Guard {
    let text = |name| request.headers().get(name)?.to_str().ok();
    match (text(IF_MATCH), text(IF_NONE_MATCH)) {
        (Some(tag), _) => Guard::Tag(tag.to_owned()),
        (None, Some(_)) => Guard::Absent,
        (None, None) => Guard::Any,
    }
}

fn found(row: Option<&Row>, kind: &str) -> HttpResponse {
    match row {
        Some(row) => HttpResponse::Ok()
            .insert_header((ETAG, row.tag.as_str()))
            .content_type(kind)
            .body(row.body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn read_row(
    request: HttpRequest,
    shared: Data<Shared>,
    key: Path<String>,
) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    Ok(found(shared.table().get(&key), "application/json"))
}

async fn list_rows(
    request: HttpRequest,
    shared: Data<Shared>,
    query: Query<Prefix>,
) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    let table = shared.table();
    let mut listed = Vec::new();
    for (key, row) in table.list(&query.prefix) {
        listed.push(Listed {
            key,
            etag: &row.tag,
            body: serde_json::from_slice(&row.body)?,
        });
    }
    Ok(HttpResponse::Ok().json(listed))
}

async fn write_row(
    request: HttpRequest,
    shared: Data<Shared>,
    key: Path<String>,
    body: Bytes,
) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    if serde_json::from_slice::<&RawValue>(&body).is_err() {
        return Ok(HttpResponse::BadRequest().body("the body of a row is JSON"));
    }
    let guard = guard(&request);
    if guard == Guard::Any {
        return Ok(HttpResponse::PreconditionRequired().finish());
    }
    let created = guard == Guard::Absent;
    let change = Change {
        key: key.into_inner(),
        guard,
        body,
    };
    let written = shared.table().write(vec![change]);
    Ok(answer(&request, &shared, written, created).await)
}

async fn write_rows(
    request: HttpRequest,
    shared: Data<Shared>,
    writes: Json<Vec<Write>>,
) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    let mut changes = Vec::new();
    for write in writes.into_inner() {
        let guard = match (write.if_match, write.if_none_match) {
            (Some(tag), None) => Guard::Tag(tag),
            (None, Some(_)) => Guard::Absent,
            _ => return Ok(HttpResponse::PreconditionRequired().finish()),
        };
        changes.push(Change {
            key: write.key,
            guard,
            body: Bytes::from(write.body.get().to_owned()),
        });
    }
    let written = shared.table().write(changes);
    Ok(answer(&request, &shared, written, false).await)
}

async fn read_object(
    request: HttpRequest,
    shared: Data<Shared>,
    key: Path<String>,
) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    Ok(found(
        shared.objects().get(&key),
        "application/octet-stream",
    ))
}

async fn write_object(
    request: HttpRequest,
    shared: Data<Shared>,
    key: Path<String>,
    body: Bytes,
) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    let guard = guard(&request);
    let created = guard == Guard::Absent;
    let change = Change {
        key: key.into_inner(),
        guard,
        body,
    };
    let written = shared.objects().write(vec![change]);
    Ok(answer(&request, &shared, written, created).await)
}

async fn list_hosts(request: HttpRequest, shared: Data<Shared>) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    let lag = shared.faults().host_list_lag();
    let hosts = shared.hosts().list(Instant::now(), lag);
    Ok(HttpResponse::Ok().json(hosts))
}

async fn announce(
    request: HttpRequest,
    shared: Data<Shared>,
    host: Path<String>,
    announced: Json<Announcement>,
) -> actix_web::Result<HttpResponse> {
    enter(&request, &shared).await?;
    let host = Host {
        host: host.into_inner(),
        announced: announced.into_inner(),
    };
    shared.hosts().announce(Instant::now(), host);
    Ok(answer(&request, &shared, Ok(Vec::new()), false).await)
}
