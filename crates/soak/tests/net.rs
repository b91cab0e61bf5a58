//! Tests of the relays: what arrives after a cut.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_soak::net::{Endpoint, Net};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

const HOST: Endpoint = Endpoint::Host(0);
const CUT: Duration = Duration::from_millis(100);
const SOON: Duration = Duration::from_secs(2);

/// Sends a call into a cut on an open connection, ends that by `end`, and returns what arrives.
async fn call_into_cut(end: impl FnOnce(TcpStream)) -> Vec<u8> {
    let net = Net::default();
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = server.local_addr().expect("bound");
    let relay = net.relay(HOST, Endpoint::Orders, target).await;
    let client = TcpStream::connect(relay.expect("a port")).await;
    let mut client = client.expect("the relay listens");
    let (mut arrived, _) = server.accept().await.expect("a connection");
    net.cut(HOST, Endpoint::Orders, true);
    client.write_all(b"promote").await.expect("open");
    sleep(CUT).await;
    end(client);
    sleep(CUT).await;
    net.heal();
    let mut bytes = Vec::new();
    let read = timeout(SOON, arrived.read_to_end(&mut bytes)).await;
    read.expect("the connection ends").expect("in good order");
    bytes
}

/// Guards against a soak that drops calls which were given up during a cut: a kernel sends them again.
#[tokio::test]
async fn a_call_on_a_closed_connection_arrives_after_the_cut() {
    assert_eq!(call_into_cut(drop).await, b"promote");
}

/// Guards against a soak that delivers calls whose connection was reset, which no kernel does.
#[tokio::test]
async fn a_call_on_a_reset_connection_is_dropped() {
    let reset = |client: TcpStream| {
        client.set_zero_linger().expect("open");
        drop(client);
    };
    assert_eq!(call_into_cut(reset).await, b"");
}

/// Guards against a soak without datagrams that arrive after a cut.
#[tokio::test]
async fn a_datagram_that_was_sent_into_a_cut_arrives_after_it_if_asked_for() {
    for late in [false, true] {
        let net = Net::default();
        net.set_late_datagrams(late);
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let sender = UdpSocket::bind(any).await.expect("a port");
        let receiver = UdpSocket::bind(any).await.expect("a port");
        let target = receiver.local_addr().expect("bound");
        let from = sender.local_addr().expect("bound");
        let by_address = Arc::new(BTreeMap::from([(from, 0)]));
        let relay = net.relay_peers(1, target, Arc::default(), by_address).await;
        net.cut(HOST, Endpoint::Host(1), true);
        let sent = sender.send_to(b"beat", relay.expect("a port")).await;
        sent.expect("sent");
        sleep(CUT).await;
        net.heal();
        let mut buffer = [0; 16];
        let arrived = timeout(Duration::from_millis(600), receiver.recv(&mut buffer)).await;
        assert_eq!(arrived.is_ok(), late);
    }
}
