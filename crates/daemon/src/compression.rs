//! Bodies of remote calls, packed by gzip.
//!
//! Renewals name the same servers again and again; packed, they take a fraction of the network.

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

/// Smaller bodies are sent as they are: packing would gain less than the headers take.
const MIN_COMPRESSED_BYTES: usize = 512;

const CONTENT_ENCODING: &str = "content-encoding";
const CONTENT_LENGTH: &str = "content-length";
const GZIP: &str = "gzip";

/// Packs the bodies of a client's requests.
#[derive(Debug, Clone, Copy)]
pub struct Compress;

/// A client's service whose requests are packed.
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
        // The clone takes the place of the service that was polled ready, as tower asks.
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
