//! Gzip compression of the requests of remote calls.
//!
//! Lease renewals repeat the same server names and compress to a fraction of their size.

use std::future::Future;
use std::io::Write as _;
use std::pin::Pin;
use std::task::{Context, Poll};

use flate2::Compression;
use flate2::write::GzEncoder;
use http_body_util::BodyExt as _;
use jsonrpsee::core::http_helpers::HttpError;
use jsonrpsee::http_client::{HeaderValue, HttpBody, HttpRequest};
use tower::{Layer, Service};

/// Minimum size of a compressed body, in bytes. Below it, compression saves less than the headers
/// cost.
const MIN_COMPRESSED_BYTES: usize = 512;

const CONTENT_ENCODING: &str = "content-encoding";
const CONTENT_LENGTH: &str = "content-length";
const GZIP: &str = "gzip";

/// Middleware layer that compresses the bodies of a client's requests.
#[derive(Debug, Clone, Copy)]
pub struct Compress;

/// Client service that compresses the bodies of its requests.
#[derive(Debug, Clone)]
pub struct Compressor<S>(S);

impl<S> Layer<S> for Compress {
    type Service = Compressor<S>;

    fn layer(&self, inner: S) -> Compressor<S> {
        Compressor(inner)
    }
}

impl<S> Service<HttpRequest> for Compressor<S>
where
    S: Service<HttpRequest> + Clone + Send + 'static,
    S::Error: From<HttpError>,
    S::Future: Send,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, S::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest) -> Self::Future {
        // `poll_ready` was called on this instance, so the call uses it and leaves a clone behind,
        // as tower requires.
        let clone = self.0.clone();
        let mut ready = std::mem::replace(&mut self.0, clone);
        Box::pin(async move {
            let request = compress(request).await?;
            ready.call(request).await
        })
    }
}

async fn compress(request: HttpRequest) -> Result<HttpRequest, HttpError> {
    let (mut head, body) = request.into_parts();
    let collected = body.collect().await.map_err(HttpError::Stream)?;
    let bytes = collected.to_bytes();
    if bytes.len() < MIN_COMPRESSED_BYTES {
        return Ok(HttpRequest::from_parts(
            head,
            HttpBody::from(bytes.to_vec()),
        ));
    }
    let compressed = gzip(&bytes).map_err(|error| HttpError::Stream(error.into()))?;
    head.headers.remove(CONTENT_LENGTH);
    head.headers
        .insert(CONTENT_ENCODING, HeaderValue::from_static(GZIP));
    Ok(HttpRequest::from_parts(head, HttpBody::from(compressed)))
}

fn gzip(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}
