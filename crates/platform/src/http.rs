//! HTTP client of the platform's services, with conditional requests (RFC 9110).

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use reqwest::header::{ETAG, IF_NONE_MATCH};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::Error;
use crate::hosts::{self, Host};
use crate::object;
use crate::table::{self, Change, Condition, Outcome, Row, Tag};

/// Client of the table service, the object store and the host list. Clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
    zone: String,
    timeout: Duration,
}

/// Header with the availability zone of the requesting process.
const ZONE_HEADER: &str = "x-zone";

/// A row on the wire.
#[derive(Debug, Deserialize)]
struct Listed {
    key: String,
    etag: String,
    body: Box<RawValue>,
}

/// A write on the wire.
#[derive(Debug, Serialize)]
struct Write<'a> {
    key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    if_match: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    if_none_match: Option<&'a str>,
    body: &'a RawValue,
}

impl Client {
    /// Creates a client in `zone` for the platform at `address`. Every request is cancelled after
    /// `timeout`.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(address: SocketAddr, zone: &str, timeout: Duration) -> Result<Client, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(timeout)
            .timeout(timeout)
            .build()
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        Ok(Client {
            http,
            base: format!("http://{address}"),
            zone: zone.to_owned(),
            timeout,
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, Error> {
        let response = request.header(ZONE_HEADER, &self.zone).send().await;
        let response = response.map_err(|error| self.request_error(&error))?;
        match response.status() {
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Refused),
            _ => Ok(response),
        }
    }

    async fn body(&self, response: Response) -> Result<Vec<u8>, Error> {
        let body = response.bytes().await;
        body.map(Vec::from)
            .map_err(|error| self.request_error(&error))
    }

    fn request_error(&self, error: &reqwest::Error) -> Error {
        // The connection was never established, so the request was not sent. This must be checked
        // before `is_timeout`, which is also true for a timeout while connecting.
        if error.is_connect() || error.is_builder() {
            return Error::Unreachable(error.to_string());
        }
        if error.is_timeout() {
            return Error::Timeout(self.timeout);
        }
        Error::Broken(error.to_string())
    }
}

#[async_trait]
impl table::Table for Client {
    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let request = self.http.get(self.url(&format!("/table/{key}")));
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            other => return Err(Error::Status(other.as_u16())),
        }
        let tag = tag(&response)?;
        let body = text(self.body(response).await?)?;
        Ok(Some(Row {
            key: key.to_owned(),
            tag,
            body,
        }))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let request = self.http.get(self.url(&format!("/table?prefix={prefix}")));
        let response = self.send(request).await?;
        let body = self.body(require_success(response)?).await?;
        let rows: Vec<Listed> = decode(&body)?;
        Ok(rows.into_iter().map(Row::from).collect())
    }

    async fn write(&self, changes: Vec<Change>) -> Result<Outcome, Error> {
        let writes = changes
            .iter()
            .map(Write::try_from)
            .collect::<Result<Vec<_>, _>>()?;
        let request = self.http.post(self.url("/table")).json(&writes);
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => {
                let tags: Vec<String> = decode(&self.body(response).await?)?;
                Ok(Outcome::Written(tags.into_iter().map(Tag).collect()))
            }
            StatusCode::PRECONDITION_FAILED => Ok(Outcome::Conflict),
            other => Err(Error::Status(other.as_u16())),
        }
    }
}

#[async_trait]
impl object::Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = self.http.get(self.url(&format!("/object/{key}")));
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => self.body(require_success(response)?).await.map(Some),
        }
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), Error> {
        let request = self
            .http
            .put(self.url(&format!("/object/{key}")))
            .header(IF_NONE_MATCH, "*")
            .body(body);
        let response = self.send(request).await?;
        // The key is the digest of the content, so an existing object is the same.
        if response.status() == StatusCode::PRECONDITION_FAILED {
            return Ok(());
        }
        require_success(response).map(drop)
    }
}

#[async_trait]
impl hosts::List for Client {
    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        let response = self.send(self.http.get(self.url("/hosts"))).await?;
        let body = self.body(require_success(response)?).await?;
        decode(&body)
    }
}

impl From<Listed> for Row {
    fn from(listed: Listed) -> Row {
        Row {
            key: listed.key,
            tag: Tag(listed.etag),
            body: listed.body.get().to_owned(),
        }
    }
}

impl<'a> TryFrom<&'a Change> for Write<'a> {
    type Error = Error;

    fn try_from(change: &'a Change) -> Result<Write<'a>, Error> {
        let (if_match, if_none_match) = match &change.condition {
            Condition::Absent => (None, Some("*")),
            Condition::Tag(Tag(tag)) => (Some(tag.as_str()), None),
        };
        let body =
            serde_json::from_str(&change.body).map_err(|error| Error::Answer(error.to_string()))?;
        Ok(Write {
            key: &change.key,
            if_match,
            if_none_match,
            body,
        })
    }
}

fn require_success(response: Response) -> Result<Response, Error> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(Error::Status(response.status().as_u16()))
}

fn tag(response: &Response) -> Result<Tag, Error> {
    response
        .headers()
        .get(ETAG)
        .and_then(|value| value.to_str().ok())
        .map(|value| Tag(value.to_owned()))
        .ok_or_else(|| Error::Answer("no ETag".to_owned()))
}

fn text(body: Vec<u8>) -> Result<String, Error> {
    String::from_utf8(body).map_err(|error| Error::Answer(error.to_string()))
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Answer(error.to_string()))
}
