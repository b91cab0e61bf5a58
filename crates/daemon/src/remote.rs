//! Remote calls between our processes: who may make them, and how long they may take.

use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};
use tower::ServiceBuilder;
use tower::layer::util::{Identity, Stack};
use tower_http::validate_request::{ValidateRequest, ValidateRequestHeaderLayer};

use crate::token::Token;

const AUTHORIZATION: &str = "authorization";
const UNAUTHORIZED: u16 = 401;

/// Names the caller's availability zone, as requests to the platform do.
const ZONE: &str = "x-zone";

/// Greatest answer: a view, or a configuration body, of a thousand services.
const MAX_ANSWER: u32 = 16 << 20;

/// What a server's middleware is made of.
pub type Middleware = Stack<ValidateRequestHeaderLayer<Guard>, Identity>;

/// A client for the process at `address` of a fleet whose operators have `token`; each call is
/// given up after `timeout`. Nothing is sent yet.
///
/// # Errors
/// The address is none that can be connected to.
pub fn client(address: &str, token: &Token, timeout: Duration) -> Result<HttpClient, ClientError> {
    client_in("", address, token, timeout)
}

/// As [`client`], for a caller in availability zone `zone`, which each call names.
///
/// # Errors
/// The address is none that can be connected to.
pub fn client_in(
    zone: &str,
    address: &str,
    token: &Token,
    timeout: Duration,
) -> Result<HttpClient, ClientError> {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(zone) {
        headers.insert(ZONE, value);
    }
    if let Ok(mut value) = HeaderValue::from_str(&token.pass().header()) {
        value.set_sensitive(true);
        headers.insert(AUTHORIZATION, value);
    }
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_response_size(MAX_ANSWER)
        .set_headers(headers)
        .build(format!("http://{address}"))
}

/// Middleware that turns away whoever does not belong to the fleet.
///
/// Without it anybody who reaches the port could close terms, or send a view of a far epoch that
/// no controller can follow: callers would see every write refused.
pub fn guard(token: &Token) -> ServiceBuilder<Middleware> {
    let guard = Guard(token.pass());
    ServiceBuilder::new().layer(ValidateRequestHeaderLayer::custom(guard))
}

/// Lets requests with the fleet's pass through. A fleet without a token, which settings do not
/// allow, is open: tests and embedders are.
#[derive(Debug, Clone)]
pub struct Guard(Token);

impl<B> ValidateRequest<B> for Guard {
    type ResponseBody = HttpBody;

    fn validate(&mut self, request: &mut HttpRequest<B>) -> Result<(), HttpResponse> {
        let header = request.headers().get(AUTHORIZATION);
        let offered = header.and_then(|value| value.to_str().ok());
        if self.0.is_empty() || offered.is_some_and(|offered| self.0.admits(offered)) {
            return Ok(());
        }
        let mut refusal = HttpResponse::new(HttpBody::default());
        if let Ok(status) = UNAUTHORIZED.try_into() {
            *refusal.status_mut() = status;
        }
        Err(refusal)
    }
}
