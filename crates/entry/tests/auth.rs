//! Callers' start-up: who gets a session, and what strangers cost.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flamingopost_daemon::clock::Boot;
use flamingopost_entry::auth::{Door, Entered, Error};
use flamingopost_entry::settings::Limits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_postgres::{Config, NoTls};

const READY: &[u8] = b"Z\x00\x00\x00\x05I";

/// What became of each connection, in order.
type Outcomes = Arc<Mutex<Vec<Result<String, String>>>>;

struct Host {
    address: SocketAddr,
    outcomes: Outcomes,
    shared: Arc<flamingopost_entry::shared::Shared>,
}

async fn host(limits: Limits) -> Host {
    let shared = common::shared(Arc::new(Boot));
    let secret = b"fleet secret".to_vec();
    let door = Arc::new(Door::new(shared.clone(), None, limits, secret));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let outcomes = Outcomes::default();
    let recorded = outcomes.clone();
    tokio::spawn(async move {
        loop {
            let (tcp, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(door.clone(), tcp, recorded.clone()));
        }
    });
    Host {
        address,
        outcomes,
        shared,
    }
}

async fn serve(door: Arc<Door>, tcp: TcpStream, outcomes: Outcomes) {
    let outcome = door.enter(tcp).await;
    let record = match &outcome {
        Ok(Entered::Session(login)) => Ok(login.user.clone()),
        Ok(Entered::Cancel(cancel)) => Ok(format!("cancel {}", cancel.pid)),
        Err(error) => Err(error.sqlstate().to_owned()),
    };
    outcomes.lock().unwrap().push(record);
    if let Ok(Entered::Session(mut login)) = outcome {
        login.stream.write_all(READY).await.unwrap();
        let mut rest = Vec::new();
        let _ = login.stream.read_to_end(&mut rest).await;
    }
}

fn config(host: &Host, user: &str, password: &str, service: &str) -> Config {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(host.address.port())
        .user(user)
        .password(password)
        .dbname(service)
        .ssl_mode(tokio_postgres::config::SslMode::Disable);
    config
}

async fn connect(host: &Host, user: &str, password: &str, service: &str) -> Result<(), String> {
    let config = config(host, user, password, service);
    match config.connect(NoTls).await {
        Ok((client, connection)) => {
            tokio::spawn(connection);
            drop(client);
            Ok(())
        }
        Err(error) => Err(error.code().map_or("none", |code| code.code()).to_owned()),
    }
}

/// Sends `bytes` on a fresh connection and returns all that comes back.
async fn raw(host: &Host, bytes: &[u8]) -> Vec<u8> {
    let mut tcp = TcpStream::connect(host.address).await.unwrap();
    tcp.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = tcp.read_to_end(&mut answer).await;
    answer
}

fn startup(parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut body = 196_608_i32.to_be_bytes().to_vec();
    for (name, value) in parameters {
        body.extend_from_slice(name.as_bytes());
        body.push(0);
        body.extend_from_slice(value.as_bytes());
        body.push(0);
    }
    body.push(0);
    packet(&body)
}

fn packet(body: &[u8]) -> Vec<u8> {
    let length = i32::try_from(body.len() + 4).unwrap();
    [&length.to_be_bytes()[..], body].concat()
}

fn says(answer: &[u8], sqlstate: &str) -> bool {
    let text = String::from_utf8_lossy(answer);
    text.contains(&format!("C{sqlstate}\0"))
}

#[tokio::test]
async fn a_caller_with_its_password_gets_a_session() {
    let host = host(Limits::default()).await;
    let outcome = connect(&host, "clerk", common::PASSWORD, "consignment-ledger").await;
    assert_eq!(outcome, Ok(()));
    assert_eq!(host.outcomes.lock().unwrap()[0], Ok("clerk".to_owned()));
}

#[tokio::test]
async fn each_refusal_has_its_sqlstate() {
    let host = host(Limits::default()).await;
    let cases = [
        ("clerk", "guess", "consignment-ledger", "28P01"),
        ("nobody", "guess", "consignment-ledger", "28P01"),
        ("nobody", "guess", "no-such-service", "28P01"),
        ("clerk", common::PASSWORD, "no-such-service", "3D000"),
        ("clerk", common::PASSWORD, "auction-ledger", "42501"),
    ];
    for (user, password, service, sqlstate) in cases {
        let outcome = connect(&host, user, password, service).await;
        assert_eq!(outcome, Err(sqlstate.to_owned()), "{user} at {service}");
    }
}

/// A stranger tries user names to learn which exist. Each try gets a challenge; were it absent,
/// or its salt new at every try, for names that do not exist, the stranger would know.
#[tokio::test]
async fn a_stranger_cannot_tell_which_users_exist() {
    let host = host(Limits::default()).await;
    let mut shapes = Vec::new();
    for user in ["clerk", "nobody"] {
        let first = challenge(&host, user).await;
        let second = challenge(&host, user).await;
        assert_eq!(first.salt, second.salt, "{user}");
        shapes.push((first.salt.len(), first.iterations));
    }
    assert_eq!(shapes[0], shapes[1]);
    assert_ne!(
        challenge(&host, "nobody").await.salt,
        challenge(&host, "someone").await.salt
    );
}

struct Challenge {
    salt: String,
    iterations: String,
}

async fn challenge(host: &Host, user: &str) -> Challenge {
    let mut tcp = TcpStream::connect(host.address).await.unwrap();
    let hello = startup(&[("user", user), ("database", "consignment-ledger")]);
    tcp.write_all(&hello).await.unwrap();
    let offer = message(&mut tcp).await;
    assert_eq!(&offer[..4], 10_i32.to_be_bytes());
    let first = b"n,,n=,r=nonce";
    let mut body = b"SCRAM-SHA-256\0".to_vec();
    body.extend_from_slice(&i32::try_from(first.len()).unwrap().to_be_bytes());
    body.extend_from_slice(first);
    tcp.write_all(&[b"p", &packet(&body)[..]].concat())
        .await
        .unwrap();
    let answer = message(&mut tcp).await;
    assert_eq!(&answer[..4], 11_i32.to_be_bytes());
    let text = String::from_utf8(answer[4..].to_vec()).unwrap();
    let part = |name: &str| {
        let found = text.split(',').find_map(|part| part.strip_prefix(name));
        found.unwrap().to_owned()
    };
    Challenge {
        salt: part("s="),
        iterations: part("i="),
    }
}

async fn message(tcp: &mut TcpStream) -> Vec<u8> {
    assert_eq!(tcp.read_u8().await.unwrap(), b'R');
    let length = usize::try_from(tcp.read_i32().await.unwrap()).unwrap();
    let mut body = vec![0; length - 4];
    tcp.read_exact(&mut body).await.unwrap();
    body
}

#[tokio::test]
async fn what_cannot_be_read_is_refused_with_a_type() {
    let host = host(Limits::default()).await;
    let too_long = i32::MAX.to_be_bytes().to_vec();
    let negative = (-1_i32).to_be_bytes().to_vec();
    let cut_cancel = packet(&80_877_102_i32.to_be_bytes());
    let no_user = startup(&[("database", "consignment-ledger")]);
    let version_two = packet(&[&131_072_i32.to_be_bytes()[..], b"\0"].concat());
    let replication = startup(&[("user", "clerk"), ("replication", "database")]);
    let cases = [
        (too_long, "08P01"),
        (negative, "08P01"),
        (packet(&[]), "08P01"),
        (cut_cancel, "08P01"),
        (no_user, "28000"),
        (version_two, "08P01"),
        (replication, "0A000"),
    ];
    for (bytes, sqlstate) in cases {
        let answer = raw(&host, &bytes).await;
        assert!(says(&answer, sqlstate), "{bytes:?} got {answer:?}");
    }
}

#[tokio::test]
async fn a_broken_sasl_response_is_refused_with_a_type() {
    let host = host(Limits::default()).await;
    let hello = startup(&[("user", "clerk")]);
    let bodies: [&[u8]; 6] = [
        b"",
        b"SCRAM-SHA-256",
        b"SCRAM-SHA-256\0",
        b"SCRAM-SHA-256\0\x00\x00\x00\x7f",
        b"PLAIN\0\x00\x00\x00\x01x",
        b"SCRAM-SHA-256\0\x00\x00\x00\x06p=tls,",
    ];
    for body in bodies {
        let bytes = [&hello[..], b"p", &packet(body)].concat();
        let answer = raw(&host, &bytes).await;
        assert!(says(&answer, "08P01"), "{body:?} got {answer:?}");
    }
    let not_a_password = [&hello[..], b"Q", &packet(b"SELECT 1\0")].concat();
    assert!(says(&raw(&host, &not_a_password).await, "08P01"));
}

#[tokio::test]
async fn a_cancel_request_needs_no_password() {
    let host = host(Limits::default()).await;
    let body = [80_877_102_i32, 7, 9].map(i32::to_be_bytes).concat();
    raw(&host, &packet(&body)).await;
    assert_eq!(host.outcomes.lock().unwrap()[0], Ok("cancel 7".to_owned()));
}

/// Somebody opens connections and says nothing. A clerk who connects next must be told at once
/// that the host is crowded, not wait behind the silent ones; and once their time is over the
/// clerk gets in.
#[tokio::test]
async fn silent_strangers_are_few_and_short_lived() {
    let limits = Limits {
        unauthenticated: 2,
        startup: Duration::from_millis(300),
        ..Limits::default()
    };
    let host = host(limits).await;
    let silent_one = TcpStream::connect(host.address).await.unwrap();
    let silent_two = TcpStream::connect(host.address).await.unwrap();
    silent_one.readable().await.unwrap();
    silent_two.readable().await.unwrap();
    for record in host.outcomes.lock().unwrap().iter() {
        assert_eq!(*record, Err("08001".to_owned()));
    }
    let outcome = connect(&host, "clerk", common::PASSWORD, "consignment-ledger").await;
    assert_eq!(outcome, Ok(()));
}

#[tokio::test]
async fn a_crowd_is_turned_away_at_once() {
    let limits = Limits {
        unauthenticated: 1,
        startup: Duration::from_secs(60),
        ..Limits::default()
    };
    let host = host(limits).await;
    let mut waiting = TcpStream::connect(host.address).await.unwrap();
    waiting
        .write_all(&startup(&[("user", "clerk")]))
        .await
        .unwrap();
    message(&mut waiting).await;
    let answer = raw(&host, &startup(&[("user", "clerk")])).await;
    assert!(says(&answer, "53300"), "{answer:?}");
}

#[tokio::test]
async fn a_full_host_says_so() {
    let limits = Limits {
        callers: 1,
        ..Limits::default()
    };
    let host = host(limits).await;
    let config = config(&host, "clerk", common::PASSWORD, "consignment-ledger");
    let (_client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    let outcome = connect(&host, "clerk", common::PASSWORD, "consignment-ledger").await;
    assert_eq!(outcome, Err("53300".to_owned()));
}

#[tokio::test]
async fn a_draining_host_takes_nobody_new() {
    let host = host(Limits::default()).await;
    host.shared.stop().drain();
    let outcome = connect(&host, "clerk", common::PASSWORD, "consignment-ledger").await;
    assert_eq!(outcome, Err("57P01".to_owned()));
}

#[test]
fn every_error_has_a_response_unless_nobody_listens() {
    let gone = Error::Gone(std::io::Error::other("reset"));
    assert!(gone.response().is_none());
    assert!(Error::WrongPassword.response().is_some());
}
