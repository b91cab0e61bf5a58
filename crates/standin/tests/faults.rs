//! Each fault of a server, as its clients see it.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{connect, hangs, primary, server, sqlstate};
use flamingopost_standin::backend::fault::{Cut, Faults};

#[tokio::test]
async fn a_dead_server_refuses_and_keeps_its_data() {
    let (server, client) = primary("a1").await;
    client
        .batch_execute("CREATE TABLE t (a int); INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    server.set_faults(Faults {
        dead: true,
        ..Faults::default()
    });
    assert!(client.batch_execute("COMMIT").await.is_err());
    assert!(connect(server.address(), "").await.is_err());
    server.set_faults(Faults::default());
    let client = loop {
        match connect(server.address(), "").await {
            Ok(client) => break client,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    };
    let rows = client.query("SELECT a FROM t", &[]).await.unwrap();
    assert_eq!(rows.len(), 1);
}

/// A primary is cut off from one zone and goes on for the others: callers in the zone wait
/// without an error, on old connections as on new ones, until the cut heals.
#[tokio::test]
async fn a_cut_is_silent_for_those_it_names() {
    let (server, near) = primary("a1").await;
    let far = connect(server.address(), "akaki-hall/entry-2")
        .await
        .unwrap();
    server.set_faults(Faults {
        cut: Cut::From([String::from("akaki-hall")].into()),
        ..Faults::default()
    });
    near.batch_execute("SELECT 1").await.unwrap();
    let waiting = far.batch_execute("SELECT 1");
    tokio::pin!(waiting);
    assert!(hangs(&mut waiting).await);
    assert!(hangs(connect(server.address(), "akaki-hall/entry-3")).await);
    server.set_faults(Faults {
        cut: Cut::Except([String::from("akaki-hall")].into()),
        ..Faults::default()
    });
    waiting.await.unwrap();
    let newcomer = connect(server.address(), "akaki-hall/entry-3").await;
    newcomer.unwrap().batch_execute("SELECT 1").await.unwrap();
    assert!(hangs(near.batch_execute("SELECT 1")).await);
}

/// A server stands still in the middle of its work and knows nothing of it. A write that arrived
/// meanwhile takes effect when it goes on, long after its sender has given up.
#[tokio::test]
async fn a_paused_server_goes_on_where_it_stopped() {
    let (server, client) = primary("a1").await;
    client
        .batch_execute("CREATE TABLE t (a int)")
        .await
        .unwrap();
    server.set_faults(Faults {
        paused: true,
        ..Faults::default()
    });
    let write = client.batch_execute("INSERT INTO t VALUES (1)");
    tokio::pin!(write);
    assert!(hangs(&mut write).await);
    assert_eq!(server.summary().entries, 1);
    server.set_faults(Faults::default());
    write.await.unwrap();
    assert_eq!(server.summary().entries, 2);
}

#[tokio::test]
async fn a_slow_server_takes_its_time() {
    let (server, client) = primary("a1").await;
    server.set_faults(Faults {
        slow_ms: 120,
        ..Faults::default()
    });
    let start = Instant::now();
    client.batch_execute("SELECT 1").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(120));
}

#[tokio::test]
async fn statements_beyond_the_slots_wait() {
    let server = server("a1", |settings| settings.slots = 1).await;
    let first = connect(server.address(), "").await.unwrap();
    let second = connect(server.address(), "").await.unwrap();
    let start = Instant::now();
    let (one, two) = tokio::join!(
        first.batch_execute("SELECT pg_sleep(0.1)"),
        second.batch_execute("SELECT pg_sleep(0.1)"),
    );
    one.unwrap();
    two.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(200));
}

/// Each of two callers holds a transaction open and writes; the only slot must not be held by the
/// one that waits for the other's lock, or neither could ever commit.
#[tokio::test]
async fn a_writer_that_waits_holds_no_slot() {
    let server = server("a1", |settings| settings.slots = 1).await;
    server.promote(common::FIRST_TERM).unwrap();
    let first = connect(server.address(), "").await.unwrap();
    let second = connect(server.address(), "").await.unwrap();
    first.batch_execute("CREATE TABLE t (a int)").await.unwrap();
    first
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let waiting = second.batch_execute("INSERT INTO t VALUES (2)");
    tokio::pin!(waiting);
    assert!(hangs(&mut waiting).await);
    first.batch_execute("COMMIT").await.unwrap();
    waiting.await.unwrap();
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused() {
    let server = server("a1", |settings| settings.connections = 1).await;
    let first = connect(server.address(), "").await.unwrap();
    assert_eq!(
        sqlstate(connect(server.address(), "").await.map(drop)),
        "53300"
    );
    drop(first);
    while server.summary().connections > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    connect(server.address(), "").await.unwrap();
}

#[tokio::test]
async fn a_cancel_request_ends_its_own_statement_only() {
    let server = server("a1", |_| {}).await;
    let canceled = Arc::new(connect(server.address(), "").await.unwrap());
    let spared = connect(server.address(), "").await.unwrap();
    let token = canceled.cancel_token();
    let sleeping = Arc::clone(&canceled);
    let task = tokio::spawn(async move { sleeping.batch_execute("SELECT pg_sleep(30)").await });
    let other = tokio::spawn(async move { spared.batch_execute("SELECT pg_sleep(0.5)").await });
    // A request that comes before its statement has begun cancels nothing, so it is repeated.
    while !task.is_finished() {
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(sqlstate(task.await.unwrap()), "57014");
    other.await.unwrap().unwrap();
    canceled.batch_execute("SELECT 1").await.unwrap();
}
