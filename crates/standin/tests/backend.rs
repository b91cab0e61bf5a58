//! The server as an ordinary client sees it.

mod common;

use bytes::Bytes;
use common::{primary, sqlstate};
use futures::{SinkExt, StreamExt};
use tokio_postgres::types::Type;

#[tokio::test]
async fn prepared_statements_carry_types_both_ways() {
    let (_server, client) = primary("types").await;
    client
        .batch_execute(
            "CREATE TABLE lots (id bigserial PRIMARY KEY, name text, price float8, open bool)",
        )
        .await
        .unwrap();
    let insert = client
        .prepare("INSERT INTO lots (name, price, open) VALUES ($1, $2, $3) RETURNING id")
        .await
        .unwrap();
    let row = client
        .query_one(&insert, &[&"volvo", &1.5f64, &true])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>("id"), 1);
    let select = client
        .prepare("SELECT id, name, price, open, count(*) OVER () AS n FROM lots WHERE id = $1")
        .await
        .unwrap();
    let row = client.query_one(&select, &[&1i64]).await.unwrap();
    assert_eq!(row.get::<_, &str>(1), "volvo");
    assert_eq!(row.get::<_, f64>(2), 1.5);
    assert!(row.get::<_, bool>(3));
}

/// A client that names no types writes a truth and looks for it: taken for text, it would not be
/// found again.
#[tokio::test]
async fn an_insert_without_a_list_knows_its_types() {
    let (_server, client) = primary("untyped").await;
    client
        .batch_execute("CREATE TABLE lots (id bigint, open bool)")
        .await
        .unwrap();
    let insert = client.prepare("INSERT INTO lots VALUES ($1, $2)").await;
    let types = insert.unwrap().params().to_vec();
    assert_eq!(types, [Type::INT8, Type::BOOL]);
}

#[tokio::test]
async fn a_failed_block_takes_nothing_until_it_ends() {
    let (_server, client) = primary("block").await;
    client
        .batch_execute("CREATE TABLE t (a int PRIMARY KEY)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let duplicate = client.batch_execute("INSERT INTO t VALUES (1)").await;
    assert_eq!(sqlstate(duplicate), "23505");
    assert_eq!(sqlstate(client.batch_execute("SELECT 1").await), "25P02");
    client.batch_execute("COMMIT").await.unwrap();
    let left = client.query("SELECT a FROM t", &[]).await.unwrap();
    assert!(left.is_empty());
}

#[tokio::test]
async fn copy_goes_in_and_out() {
    let (_server, client) = primary("copy").await;
    client
        .batch_execute("CREATE TABLE lots (id int, name text)")
        .await
        .unwrap();
    let sink = client
        .copy_in::<_, Bytes>("COPY lots FROM STDIN")
        .await
        .unwrap();
    tokio::pin!(sink);
    let rows = Bytes::from_static(b"1\tvolvo\\tred\n2\t\\N\n");
    sink.as_mut().send(rows).await.unwrap();
    assert_eq!(sink.finish().await.unwrap(), 2);
    let stream = client
        .copy_out("COPY (SELECT id, name FROM lots ORDER BY id) TO STDOUT")
        .await
        .unwrap();
    let chunks: Vec<Bytes> = stream.map(Result::unwrap).collect().await;
    assert_eq!(chunks.concat(), b"1\tvolvo\\tred\n2\t\\N\n");
}

#[tokio::test]
async fn parameters_follow_their_transaction() {
    let (_server, client) = primary("parameters").await;
    let shown = async || {
        let row = client.query_one("SHOW statement_timeout", &[]).await;
        row.unwrap().get::<_, String>(0)
    };
    client
        .batch_execute("BEGIN; SET statement_timeout = 5; ROLLBACK")
        .await
        .unwrap();
    assert_eq!(shown().await, "0");
    client
        .batch_execute("SET statement_timeout = 5")
        .await
        .unwrap();
    assert_eq!(shown().await, "5");
    let slow = client.batch_execute("SELECT pg_sleep(10)").await;
    assert_eq!(sqlstate(slow), "57014");
    let unknown = client.batch_execute("SET no_such_thing = 1").await;
    assert_eq!(sqlstate(unknown), "42704");
}

#[tokio::test]
async fn failures_carry_their_sqlstate() {
    let (_server, client) = primary("states").await;
    let cases = [
        ("SELECT 'x'::int8", "22P02"),
        ("SELECT * FROM nowhere", "42P01"),
        ("SELECT missing FROM flamingopost_once", "42703"),
        ("SELECT nowhere()", "42883"),
        ("SELEC 1", "42601"),
        ("LISTEN bids", "0A000"),
        (
            "INSERT INTO flamingopost_once (key, request, tag) VALUES ('k', '', NULL)",
            "23502",
        ),
        ("SELECT date('now')", "42883"),
        ("PRAGMA journal_mode", "42601"),
    ];
    for (statement, state) in cases {
        let failed = client.batch_execute(statement).await;
        assert_eq!(sqlstate(failed), state, "{statement}");
    }
}

#[tokio::test]
async fn readers_see_the_last_commit_while_a_writer_is_open() {
    let (server, writer) = primary("readers").await;
    let reader = common::connect(server.address(), "").await.unwrap();
    writer
        .batch_execute("CREATE TABLE t (a int); INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    writer
        .batch_execute("BEGIN; UPDATE t SET a = 2")
        .await
        .unwrap();
    let read = async || {
        let row = reader.query_one("SELECT a FROM t", &[]).await.unwrap();
        row.get::<_, i64>(0)
    };
    assert_eq!(read().await, 1);
    writer.batch_execute("COMMIT").await.unwrap();
    assert_eq!(read().await, 2);
}

#[tokio::test]
async fn a_portal_gives_its_rows_in_parts() {
    let (_server, mut client) = primary("portal").await;
    let transaction = client.transaction().await.unwrap();
    let portal = transaction
        .bind("SELECT value FROM generate_series(1, 5)", &[])
        .await
        .unwrap();
    let first = transaction.query_portal(&portal, 2).await.unwrap();
    let rest = transaction.query_portal(&portal, 0).await.unwrap();
    assert_eq!((first.len(), rest.len()), (2, 3));
    assert_eq!(rest[2].get::<_, i64>(0), 5);
}

#[tokio::test]
async fn statements_are_prepared_in_sql_too() {
    let (_server, client) = primary("prepare").await;
    client
        .batch_execute("CREATE TABLE lots (id bigint, open bool)")
        .await
        .unwrap();
    client
        .batch_execute("PREPARE sell (bigint) AS INSERT INTO lots VALUES ($1, $2)")
        .await
        .unwrap();
    client
        .batch_execute("EXECUTE sell (7, true); EXECUTE sell (-8, NULL)")
        .await
        .unwrap();
    let rows = client.query("SELECT id, open FROM lots ORDER BY id DESC", &[]);
    let rows = rows.await.unwrap();
    assert_eq!(rows[0].get::<_, Option<bool>>(1), Some(true));
    assert_eq!(rows[1].get::<_, i64>(0), -8);
    assert_eq!(rows[1].get::<_, Option<bool>>(1), None);
    let again = client.batch_execute("PREPARE sell AS SELECT 1").await;
    assert_eq!(sqlstate(again), "42P05");
    client.batch_execute("DEALLOCATE sell").await.unwrap();
    let gone = client.batch_execute("EXECUTE sell (1, true)").await;
    assert_eq!(sqlstate(gone), "26000");
}
