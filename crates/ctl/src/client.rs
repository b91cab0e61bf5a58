//! Client of a host's operators' HTTP API.

use std::path::PathBuf;
use std::time::Duration;
use std::{env, fs};

use flamingopost_wire::status::Ordered;
use flamingopost_wire::submission::Refused;
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::runtime::{self, Runtime};

use crate::error::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Address and credentials of the operators' HTTP API, as given on the command line.
#[derive(Debug, Default)]
pub struct Access {
    /// IP:PORT of the API. Defaults to `FLAMINGOPOST_ADMIN`.
    pub admin: Option<String>,
    /// File with the operators' token. Defaults to the value of `FLAMINGOPOST_TOKEN`.
    pub token_file: Option<PathBuf>,
}

/// A blocking HTTP client for one host.
#[derive(Debug)]
pub struct Client {
    address: String,
    /// Absent for requests that need none.
    token: Option<String>,
    http: reqwest::Client,
    runtime: Runtime,
}

/// A decoded response.
#[derive(Debug)]
pub enum Reply<T> {
    /// Success, with the decoded body.
    Done(T),
    /// The host refused the request with a typed reason.
    Refused(Refused),
}

impl Client {
    /// Creates a client. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Fails if the address or the token is missing, the token file cannot be read, or the HTTP
    /// client or its runtime cannot be created.
    pub fn open(access: Access) -> Result<Client, Error> {
        let address = access.admin.or_else(|| env::var("FLAMINGOPOST_ADMIN").ok());
        let address = address.ok_or(Error::NoAddress)?;
        let token = match access.token_file {
            Some(path) => fs::read_to_string(&path).map_err(|source| Error::file(&path, source))?,
            None => env::var("FLAMINGOPOST_TOKEN").map_err(|_| Error::NoToken)?,
        };
        Client::with_token(address, Some(token.trim().to_owned()))
    }

    /// Creates a client of the metrics at `address`, which are served without a token. Defaults to
    /// `FLAMINGOPOST_METRICS`. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Fails if the address is missing, or the HTTP client or its runtime cannot be created.
    pub fn open_metrics(address: Option<String>) -> Result<Client, Error> {
        let address = address.or_else(|| env::var("FLAMINGOPOST_METRICS").ok());
        Client::with_token(address.ok_or(Error::NoMetricsAddress)?, None)
    }

    fn with_token(address: String, token: Option<String>) -> Result<Client, Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| unreachable(&address, &error))?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Output)?;
        Ok(Client {
            address,
            token,
            http,
            runtime,
        })
    }

    /// Returns the address of the host, as given.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a GET request for `path` with `query` and returns the decoded body.
    pub fn get<T: DeserializeOwned>(&self, path: &str, query: &[(&str, &str)]) -> Result<T, Error> {
        let request = self.http.get(self.url(path)?.with_query(query).0);
        match self.send(request, path)? {
            Reply::Done(body) => Ok(body),
            Reply::Refused(refused) => Err(Error::from_refusal(refused, &self.address)),
        }
    }

    /// Sends `body` to `path` in a POST request.
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Reply<T>, Error> {
        let request = self.http.post(self.url(path)?.0).json(body);
        self.send(request, path)
    }

    /// Sends `body` to `path` in a DELETE request, which undoes an earlier POST.
    pub fn delete<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Reply<T>, Error> {
        let request = self.http.delete(self.url(path)?.0).json(body);
        self.send(request, path)
    }

    /// Sends a GET request for `path` and returns the body as text.
    pub fn get_text(&self, path: &str) -> Result<String, Error> {
        let request = self.http.get(self.url(path)?.0);
        let (status, body) = self.exchange(request)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let (address, path) = (self.address.clone(), path.to_owned());
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::NOT_FOUND => Err(Error::NotFound { address, path }),
            _ => Err(Error::Unexpected {
                address,
                status: status.as_u16(),
                body,
            }),
        }
    }

    fn url(&self, path: &str) -> Result<Url, Error> {
        let text = format!("http://{}{path}", self.address);
        match reqwest::Url::parse(&text) {
            Ok(url) => Ok(Url(url)),
            Err(error) => Err(Error::Unreachable {
                address: self.address.clone(),
                reason: error.to_string(),
            }),
        }
    }

    fn send<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        path: &str,
    ) -> Result<Reply<T>, Error> {
        let (status, body) = self.exchange(request)?;
        self.decode_reply(status, &body, path)
    }

    /// Sends `request` and returns the status and the body of the response.
    fn exchange(&self, request: RequestBuilder) -> Result<(StatusCode, Vec<u8>), Error> {
        let request = match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        };
        self.runtime.block_on(async {
            let response = request
                .send()
                .await
                .map_err(|error| self.send_error(&error))?;
            let status = response.status();
            let body = response
                .bytes()
                .await
                .map_err(|error| self.send_error(&error))?;
            Ok((status, body.to_vec()))
        })
    }

    fn decode_reply<T: DeserializeOwned>(
        &self,
        status: StatusCode,
        body: &[u8],
        path: &str,
    ) -> Result<Reply<T>, Error> {
        let address = self.address.clone();
        match status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                return Err(Error::Unauthorised { address });
            }
            StatusCode::NOT_FOUND => {
                let path = path.to_owned();
                return Err(Error::NotFound { address, path });
            }
            _ => {}
        }
        if status.is_success() {
            let body = if body.is_empty() { b"null" } else { body };
            if let Ok(body) = serde_json::from_slice(body) {
                return Ok(Reply::Done(body));
            }
        } else if let Ok(refused) = serde_json::from_slice(body) {
            return Ok(Reply::Refused(refused));
        } else if let Ok(OrderRefusal { reason }) = serde_json::from_slice(body) {
            return Err(Error::OrderRefused { reason });
        }
        Err(Error::Unexpected {
            address,
            status: status.as_u16(),
            body: String::from_utf8_lossy(body).into_owned(),
        })
    }

    // Only after a failed connect is the request known not to have reached the host. After any
    // other error it may have taken effect.
    fn send_error(&self, error: &reqwest::Error) -> Error {
        if error.is_connect() {
            return unreachable(&self.address, error);
        }
        Error::AnswerLost {
            address: self.address.clone(),
        }
    }
}

/// Body of the response to an order that the state of the fleet does not allow.
#[derive(Debug, Deserialize)]
struct OrderRefusal {
    reason: Ordered,
}

/// A request URL.
struct Url(reqwest::Url);

impl Url {
    fn with_query(mut self, query: &[(&str, &str)]) -> Url {
        if !query.is_empty() {
            self.0.query_pairs_mut().extend_pairs(query);
        }
        self
    }
}

/// Returns [`Error::Unreachable`] with the innermost cause of `error` as its reason.
fn unreachable(address: &str, error: &reqwest::Error) -> Error {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    Error::Unreachable {
        address: address.to_owned(),
        reason: cause.to_string(),
    }
}
