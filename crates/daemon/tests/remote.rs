//! Authentication and compression of remote calls.

use std::io::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_daemon::remote;
use flamingopost_daemon::token::Token;
use flate2::Compression;
use flate2::write::GzEncoder;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::rpc_params;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use reqwest::StatusCode;

async fn server(token: &str) -> (SocketAddr, ServerHandle) {
    let server = ServerBuilder::new()
        .set_http_middleware(remote::server_middleware(&Token::new(token)))
        .build("127.0.0.1:0")
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    let mut module = RpcModule::new(());
    module.register_method("answer", |_, _, _| 42).unwrap();
    module
        .register_method("echo", |params, _, _| params.one::<String>())
        .unwrap();
    (address, server.start(module))
}

async fn answer(address: SocketAddr, token: &str) -> Option<u64> {
    let token = Token::new(token);
    let client = remote::client(&address.to_string(), &token, Duration::from_secs(5)).unwrap();
    client.request("answer", rpc_params![]).await.ok()
}

/// Guards against a process on the hosts' network that is not part of the fleet and closes the term
/// of a service: callers would see every write refused until the next controller.
#[tokio::test]
async fn calls_without_the_fleet_token_are_rejected() {
    let (address, _server) = server("fleet").await;
    assert_eq!(answer(address, "fleet").await, Some(42));
    for wrong in ["", "guess", "fleet2"] {
        assert_eq!(answer(address, wrong).await, None, "{wrong}");
    }
}

#[tokio::test]
async fn rpc_token_does_not_reveal_the_operator_token() {
    let token = Token::new("fleet");
    assert!(!token.rpc_token().header().contains("fleet"));
    assert!(!token.admits(&token.rpc_token().header()));
    assert_eq!(
        token.rpc_token().header(),
        Token::new("fleet").rpc_token().header()
    );
}

/// Long bodies are compressed in both directions and short ones are not. Both arrive unchanged.
#[tokio::test]
async fn long_and_short_messages_round_trip() {
    let (address, _server) = server("fleet").await;
    let token = Token::new("fleet");
    let client = remote::client(&address.to_string(), &token, Duration::from_secs(5)).unwrap();
    for length in [0, 1, 400, 512, 1_000, 100_000] {
        let text: String = (0..length)
            .map(|n| char::from(b'a' + (n % 23) as u8))
            .collect();
        let echo: String = client.request("echo", rpc_params![&text]).await.unwrap();
        assert_eq!(echo, text);
    }
}

/// Guards against a small body that decompresses to far more than the maximum message size.
/// Decompression stops at that size. Unauthenticated bodies are not decompressed at all.
#[tokio::test]
async fn oversized_decompressed_body_is_rejected() {
    let (address, _server) = server("fleet").await;
    let (within_limit, _) = send_compressed(address, "fleet", 4 << 20).await;
    assert_eq!(within_limit, StatusCode::OK);
    let (oversized, size) = send_compressed(address, "fleet", 64 << 20).await;
    assert!(size < 1 << 20, "the compressed body is small");
    assert!(!oversized.is_success(), "{oversized}");
    let (unauthorized, _) = send_compressed(address, "guess", 64 << 20).await;
    assert_eq!(unauthorized, StatusCode::UNAUTHORIZED);
    assert_eq!(answer(address, "fleet").await, Some(42));
}

/// Sends a call whose parameter has `length` bytes. Returns the status and the compressed size.
async fn send_compressed(address: SocketAddr, token: &str, length: usize) -> (StatusCode, usize) {
    let text = "0".repeat(length);
    let call = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"echo","params":["{text}"]}}"#);
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(call.as_bytes()).unwrap();
    let compressed = encoder.finish().unwrap();
    let size = compressed.len();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let request = client
        .post(format!("http://{address}"))
        .header("authorization", Token::new(token).rpc_token().header())
        .header("content-encoding", "gzip")
        .header("content-type", "application/json")
        .body(compressed);
    (request.send().await.unwrap().status(), size)
}
