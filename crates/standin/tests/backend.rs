//! The server as an ordinary client sees it.

mod common;

use common::{primary, sqlstate};

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
