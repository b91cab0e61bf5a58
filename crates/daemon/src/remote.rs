//! Remote calls between flamingopost processes: authentication, compression and limits.

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

/// Header with the caller's availability zone, as in requests to the platform.
const ZONE_HEADER: &str = "x-zone";

/// Maximum size of a response. A view or a configuration body of a thousand services fits.
const MAX_RESPONSE_BYTES: u32 = 16 << 20;

/// Minimum size of a compressed response, in bytes.
const MIN_COMPRESSED_BYTES: u16 = 512;

/// RPC client with compressed requests and responses.
pub type Client = HttpClient<RpcLogger<RpcService<Compressor<Decompression<HttpBackend>>>>>;

/// Middleware of an RPC server, the outermost layer last.
pub type Middleware = Stack<CompressionLayer<SizeAbove>, Stack<RequestDecompressionLayer, Outer>>;
type Outer = Stack<MapResponseBodyLayer<Boxed>, Stack<ValidateRequestHeaderLayer<Auth>, Identity>>;
type Boxed = fn(UnsyncBoxBody<Bytes, BoxError>) -> HttpBody;

/// Returns a client for the process at `address` in the fleet of the operators' `token`.
///
/// Every call is cancelled after `timeout`. Creating the client sends nothing.
///
/// # Errors
/// Returns an error if the address is invalid.
pub fn client(address: &str, token: &Token, timeout: Duration) -> Result<Client, ClientError> {
    client_in_zone("", address, token, timeout)
}

/// Like [`client`], for a caller in availability zone `zone`, which every call names.
///
/// # Errors
/// Returns an error if the address is invalid.
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

/// Returns middleware that rejects unauthenticated calls, and decompresses requests and compresses
/// responses of all others.
///
/// Without it, anyone with access to the port could close terms, or send a view of an epoch that
/// no controller can reach: callers would see every write refused.
pub fn server_middleware(token: &Token) -> ServiceBuilder<Middleware> {
    let auth = Auth(token.rpc_token());
    let compression = CompressionLayer::new().quality(CompressionLevel::Fastest);
    // Authentication is the outermost layer, so that unauthenticated bodies are never
    // decompressed.
    ServiceBuilder::new()
        .layer(ValidateRequestHeaderLayer::custom(auth))
        .layer(MapResponseBodyLayer::new(HttpBody::new as Boxed))
        .layer(RequestDecompressionLayer::new())
        .layer(compression.compress_when(SizeAbove::new(MIN_COMPRESSED_BYTES)))
}

/// Accepts requests that carry the fleet's RPC token.
///
/// A fleet without a token accepts all requests. Settings do not allow that; tests and embedding
/// applications may.
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
