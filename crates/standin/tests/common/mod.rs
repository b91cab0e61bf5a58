//! What the tests of servers share.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_standin::backend::{Server, Settings};
use tokio_postgres::{Client, Config, NoTls};

pub const SERVICE: &str = "auction-ledger";
pub const FIRST_TERM: i64 = 1 << 32;

/// Starts a server with `change` made to plain settings.
pub async fn server(name: &str, change: impl FnOnce(&mut Settings)) -> Server {
    let mut settings = Settings::new(name, SERVICE);
    change(&mut settings);
    Server::start(settings).await.unwrap()
}

/// Connects as `peer`.
pub async fn connect(address: SocketAddr, peer: &str) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("flamingopost")
        .dbname(SERVICE)
        .application_name(peer);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// A server that leads the first term, and a connection to it.
pub async fn primary(name: &str) -> (Server, Client) {
    let server = server(name, |_| {}).await;
    server.promote(FIRST_TERM).unwrap();
    let client = connect(server.address(), "").await.unwrap();
    (server, client)
}

/// A server that follows `primary`, and a connection to it.
pub async fn replica(name: &str, primary: &Server) -> (Server, Client) {
    let server = server(name, |_| {}).await;
    let client = connect(server.address(), "").await.unwrap();
    follow(&client, primary, FIRST_TERM).await;
    (server, client)
}

pub async fn follow(client: &Client, primary: &Server, term: i64) {
    let address = primary.address();
    let order = format!("SELECT group_follow('{address}', {term})");
    client.batch_execute(&order).await.unwrap();
}

/// Whether the server behind `client` has the data of `position` within `millis`.
pub async fn reaches(client: &Client, position: &str, millis: i64) -> bool {
    let order = format!("SELECT group_wait('{position}', {millis})");
    let row = client.query_one(&order, &[]).await.unwrap();
    row.get(0)
}

/// The SQLSTATE of a failure that the server told.
pub fn sqlstate<T: std::fmt::Debug>(result: Result<T, tokio_postgres::Error>) -> String {
    let error = result.expect_err("the statement should have failed");
    let state = error.code().expect("the server should have told why");
    state.code().to_owned()
}

/// Whether nothing comes of `work` for a while: an answer that a fault holds back.
pub async fn hangs(work: impl Future<Output = impl Sized>) -> bool {
    const LONG_ENOUGH: Duration = Duration::from_millis(150);
    tokio::time::timeout(LONG_ENOUGH, work).await.is_err()
}
