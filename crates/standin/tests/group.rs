//! Terms, promotion and replication between servers of a group.

mod common;

use std::time::Duration;

use common::{FIRST_TERM, connect, follow, primary, reaches, replica, server, sqlstate};
use flamingopost_standin::backend::fault::{Cut, Faults};

const SECOND_TERM: i64 = FIRST_TERM + 1;
const SOON: i64 = 5_000;

#[tokio::test]
async fn replicas_run_what_the_primary_committed() {
    let (primary, writer) = primary("a1").await;
    let (replica, reader) = replica("a2", &primary).await;
    writer
        .batch_execute("CREATE TABLE bids (lot int, at text DEFAULT now(), luck float8)")
        .await
        .unwrap();
    writer
        .batch_execute("BEGIN; INSERT INTO bids (lot, luck) VALUES (1, random()); COMMIT")
        .await
        .unwrap();
    writer
        .batch_execute("BEGIN; INSERT INTO bids (lot) VALUES (2); ROLLBACK")
        .await
        .unwrap();
    assert!(reaches(&reader, "1.0/2", SOON).await);
    let query = "SELECT lot, at, luck FROM bids";
    let here = writer.query_one(query, &[]).await.unwrap();
    let there = reader.query_one(query, &[]).await.unwrap();
    assert_eq!(here.get::<_, &str>(1), there.get::<_, &str>(1));
    assert_eq!(here.get::<_, f64>(2), there.get::<_, f64>(2));
    assert_eq!(replica.position(), primary.position());
    let write = reader.batch_execute("INSERT INTO bids (lot) VALUES (3)");
    assert_eq!(sqlstate(write.await), "25006");
}

#[tokio::test]
async fn a_promotion_is_idempotent_by_its_term() {
    let (_server, client) = primary("a1").await;
    client
        .batch_execute("CREATE TABLE t (a int)")
        .await
        .unwrap();
    let again = format!("SELECT group_promote({FIRST_TERM})");
    client.batch_execute(&again).await.unwrap();
    let beyond = format!("SELECT group_promote({SECOND_TERM}, '1.0/2')");
    assert_eq!(sqlstate(client.batch_execute(&beyond).await), "55000");
    let next = format!("SELECT group_promote({SECOND_TERM}, '1.0/1')");
    client.batch_execute(&next).await.unwrap();
    assert_eq!(sqlstate(client.batch_execute(&again).await), "55000");
    let status = "SELECT * FROM group_status()";
    let row = client.query_one(status, &[]).await.unwrap();
    assert_eq!(row.get::<_, i64>("term"), SECOND_TERM);
    assert_eq!(row.get::<_, &str>("role"), "primary");
    assert_eq!(row.get::<_, i64>("age_ms"), 0);
}

/// A member's bid is acknowledged by a primary that is cut off and still believes it leads.
/// Another server is promoted. When the cut heals, the old primary is told to follow: the bid
/// that no one else has must be gone from it, and its clients must not write on.
#[tokio::test]
async fn a_divergent_tail_is_discarded() {
    let (old, writer) = primary("a1").await;
    let (new, on_new) = replica("a2", &old).await;
    writer
        .batch_execute("CREATE TABLE bids (lot int)")
        .await
        .unwrap();
    writer
        .batch_execute("INSERT INTO bids VALUES (1)")
        .await
        .unwrap();
    assert!(reaches(&on_new, "1.0/2", SOON).await);
    let peers = [String::from("a2")];
    old.set_faults(Faults {
        cut: Cut::From(peers.into()),
        ..Faults::default()
    });
    writer
        .batch_execute("INSERT INTO bids VALUES (2)")
        .await
        .unwrap();
    new.promote(SECOND_TERM).unwrap();
    on_new
        .batch_execute("INSERT INTO bids VALUES (3)")
        .await
        .unwrap();
    old.set_faults(Faults::default());

    let on_old = connect(old.address(), "").await.unwrap();
    follow(&on_old, &new, SECOND_TERM).await;
    assert!(reaches(&on_old, "1.1/3", SOON).await);
    let rows = on_old.query("SELECT lot FROM bids ORDER BY lot", &[]).await;
    let lots: Vec<i64> = rows.unwrap().iter().map(|row| row.get(0)).collect();
    assert_eq!(lots, [1, 3]);
    assert!(
        writer
            .batch_execute("INSERT INTO bids VALUES (4)")
            .await
            .is_err()
    );
}

/// A caller leaves a transaction open on a primary that is then told to follow another. The
/// transaction holds the right to write, and would keep the server from ever catching up.
#[tokio::test]
async fn an_open_transaction_does_not_hold_up_a_deposed_primary() {
    let (old, writer) = primary("a1").await;
    let (new, on_new) = replica("a2", &old).await;
    writer
        .batch_execute("CREATE TABLE bids (lot int)")
        .await
        .unwrap();
    assert!(reaches(&on_new, "1.0/1", SOON).await);
    writer
        .batch_execute("BEGIN; INSERT INTO bids VALUES (1)")
        .await
        .unwrap();
    new.promote(SECOND_TERM).unwrap();
    let on_old = connect(old.address(), "").await.unwrap();
    follow(&on_old, &new, SECOND_TERM).await;
    on_new
        .batch_execute("INSERT INTO bids VALUES (2)")
        .await
        .unwrap();
    assert!(reaches(&on_old, "1.1/2", SOON).await);
    assert!(writer.batch_execute("COMMIT").await.is_err());
}

/// A replica falls far behind: what it has is old and it says so, and it knows that it lacks the
/// newest write. Once the lag is gone it catches up.
#[tokio::test]
async fn a_lagging_replica_tells_its_age() {
    let (primary, writer) = primary("a1").await;
    let (replica, reader) = replica("a2", &primary).await;
    replica.set_faults(Faults {
        lag_ms: 60_000,
        ..Faults::default()
    });
    writer
        .batch_execute("CREATE TABLE bids (lot int)")
        .await
        .unwrap();
    assert!(!reaches(&reader, "1.0/1", 200).await);
    let status = "SELECT * FROM group_status()";
    let row = reader.query_one(status, &[]).await.unwrap();
    assert!(row.get::<_, i64>("age_ms") >= 150);
    assert_eq!(row.get::<_, &str>("position"), "0.0/0");
    replica.set_faults(Faults::default());
    assert!(reaches(&reader, "1.0/1", SOON).await);
}

/// A server comes back empty. Before it has caught up once it must not pass for young, or it
/// would answer lot views with nothing.
#[tokio::test]
async fn a_server_without_proof_is_old() {
    const DAY_MS: i64 = 24 * 3600 * 1000;
    let lone = server("a1", |_| {}).await;
    let client = connect(lone.address(), "").await.unwrap();
    let row = client.query_one("SELECT * FROM group_status()", &[]).await;
    assert!(row.unwrap().get::<_, i64>("age_ms") > DAY_MS);
}

/// Nobody writes for a while. Lot views may be half a second old, so a replica that took the
/// silence for lag would serve none of them.
#[tokio::test]
async fn an_idle_replica_stays_young() {
    const LONG: Duration = Duration::from_millis(400);
    const YOUNG_MS: i64 = 300;
    let (primary, _writer) = primary("a1").await;
    let (_replica, reader) = replica("a2", &primary).await;
    tokio::time::sleep(LONG).await;
    loop {
        let status = reader.query_one("SELECT * FROM group_status()", &[]);
        if status.await.unwrap().get::<_, i64>("age_ms") < YOUNG_MS {
            return;
        }
    }
}

#[tokio::test]
async fn a_server_starts_with_the_table_of_keys() {
    let (_server, client) = primary("a1").await;
    let insert = "INSERT INTO flamingopost_once (key, request, tag) VALUES ($1, '', $2)";
    client.execute(insert, &[&"bid-7", &"bid"]).await.unwrap();
    let again = client.execute(insert, &[&"bid-7", &"bid"]).await;
    assert_eq!(sqlstate(again), "23505");
    let lone = server("a2", |_| {}).await;
    let client = connect(lone.address(), "").await.unwrap();
    let rows = client.query("SELECT key FROM flamingopost_once", &[]).await;
    assert!(rows.unwrap().is_empty());
}
