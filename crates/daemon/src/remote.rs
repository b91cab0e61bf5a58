//! Remote calls between our processes: who may make them, and how long they may take.

use std::time::Duration;

use bytes::Bytes;
use jsonrpsee::core::{BoxError, ClientError};
use jsonrpsee::http_client::{
    HeaderMap, HeaderValue, HttpBackend, HttpClient, HttpClientBuilder, RpcLogger, RpcService,
};
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};
use tower::ServiceBuilder;
use tower::layer::util::{Identity, Stack};
use tower_http::CompressionLevel;
use tower_http::body::UnsyncBoxBody;
use tower_http::compression::CompressionLayer;
use tower_http::compression::predicate::SizeAbove;
use tower_http::decompression::{Decompression, DecompressionLayer, RequestDecompressionLayer};
use tower_http::map_response_body::MapResponseBodyLayer;
use tower_http::validate_request::{ValidateRequest, ValidateRequestHeaderLayer};

use crate::compression::{Compress, Compressor};
use crate::token::Token;

const AUTHORIZATION: &str = "authorization";
const UNAUTHORIZED: u16 = 401;

/// Names the caller's availability zone, as requests to the platform do.
const ZONE_HEADER: &str = "x-zone";

/// Greatest answer: a view, or a configuration body, of a thousand services.
const MAX_RESPONSE_BYTES: u32 = 16 << 20;

/// Answers that are smaller are sent as they are.
const MIN_COMPRESSED_BYTES: u16 = 512;

/// A client whose requests and answers are packed.
pub type Client = HttpClient<RpcLogger<RpcService<Compressor<Decompression<HttpBackend>>>>>;

/// What a server's middleware is made of, the outermost last.
pub type Middleware = Stack<CompressionLayer<SizeAbove>, Stack<RequestDecompressionLayer, Outer>>;
type Outer = Stack<MapResponseBodyLayer<Boxed>, Stack<ValidateRequestHeaderLayer<Auth>, Identity>>;
type Boxed = fn(UnsyncBoxBody<Bytes, BoxError>) -> HttpBody;

/// A client for the process at `address` of a fleet whose operators have `token`; each call is
/// given up after `timeout`. Nothing is sent yet.
///
/// # Errors
/// The address is none that can be connected to.
pub fn client(address: &str, token: &Token, timeout: Duration) -> Result<Client, ClientError> {
    client_in_zone("", address, token, timeout)
}

/// As [`client`], for a caller in availability zone `zone`, which each call names.
///
/// # Errors
/// The address is none that can be connected to.
pub fn client_in_zone(
    zone: &str,
    address: &str,
    token: &Token,
    timeout: Duration,
) -> Result<Client, ClientError> {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(zone) {
        headers.insert(ZONE_HEADER, value);
    }
    if let Ok(mut value) = HeaderValue::from_str(&token.rpc_token().header()) {
        value.set_sensitive(true);
        headers.insert(AUTHORIZATION, value);
    }
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_response_size(MAX_RESPONSE_BYTES)
        .set_headers(headers)
        .set_http_middleware(
            ServiceBuilder::new()
                .layer(Compress)
                .layer(DecompressionLayer::new()),
        )
        .build(format!("http://{address}"))
}

/// Middleware that turns away whoever does not belong to the fleet, and unpacks and packs for
/// the others.
///
/// Without it anybody who reaches the port could close terms, or send a view of a far epoch that
/// no controller can follow: callers would see every write refused.
pub fn server_middleware(token: &Token) -> ServiceBuilder<Middleware> {
    let auth = Auth(token.rpc_token());
    let compression = CompressionLayer::new().quality(CompressionLevel::Fastest);
    // The guard stands before the rest, so that strangers cannot have anything unpacked here.
    ServiceBuilder::new()
        .layer(ValidateRequestHeaderLayer::custom(auth))
        .layer(MapResponseBodyLayer::new(HttpBody::new as Boxed))
        .layer(RequestDecompressionLayer::new())
        .layer(compression.compress_when(SizeAbove::new(MIN_COMPRESSED_BYTES)))
}

/// Lets requests with the fleet's pass through. A fleet without a token, which settings do not
/// allow, is open: tests and embedders are.
#[derive(Debug, Clone)]
pub struct Auth(Token);

impl<B> ValidateRequest<B> for Auth {
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
