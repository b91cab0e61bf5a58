//! What callers can do through an entry host, with an ordinary client.

#[path = "common/path.rs"]
mod path;

use flamingopost_core::rule::{Access, Then};
use futures::{SinkExt, StreamExt};
use path::{Group, Host, column, plain, rule, rules, sqlstate};
use tokio_postgres::types::Type;

#[tokio::test]
async fn simple_queries_write_and_read() {
    let group = Group::start(2).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    caller
        .batch_execute("CREATE TABLE lots (id int8 PRIMARY KEY, price int8)")
        .await
        .unwrap();
    caller
        .batch_execute("INSERT INTO lots VALUES (1, 100), (2, 200)")
        .await
        .unwrap();
    let prices = column(&caller, "SELECT price FROM lots ORDER BY id").await;
    assert_eq!(prices, ["100", "200"]);
}

#[tokio::test]
async fn extended_queries_carry_types_and_parameters() {
    let group = Group::start(1).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    caller
        .batch_execute("CREATE TABLE lots (id int8 PRIMARY KEY, name text)")
        .await
        .unwrap();
    let insert = caller
        .prepare_typed(
            "INSERT INTO lots VALUES ($1, $2)",
            &[Type::INT8, Type::TEXT],
        )
        .await
        .unwrap();
    for id in 0..3_i64 {
        let name = format!("lot {id}");
        assert_eq!(caller.execute(&insert, &[&id, &name]).await.unwrap(), 1);
    }
    let read = caller
        .prepare_typed("SELECT name FROM lots WHERE id = $1", &[Type::INT8])
        .await
        .unwrap();
    let row = caller.query_one(&read, &[&2_i64]).await.unwrap();
    assert_eq!(row.get::<_, String>(0), "lot 2");
}

#[tokio::test]
async fn prepared_statements_follow_the_session_from_connection_to_connection() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let setup = host.connect().await;
    setup
        .batch_execute("CREATE TABLE lots (id int8); INSERT INTO lots VALUES (7)")
        .await
        .unwrap();
    let callers = [host.connect().await, host.connect().await];
    let mut statements = Vec::new();
    for caller in &callers {
        statements.push(caller.prepare("SELECT id FROM lots").await.unwrap());
    }
    // More callers at once than connections, so that each is served by several of them.
    for _ in 0..20 {
        let reads = callers.iter().zip(&statements);
        let reads = reads.map(|(caller, statement)| caller.query_one(statement, &[]));
        for row in futures::future::join_all(reads).await {
            assert_eq!(row.unwrap().get::<_, i64>(0), 7);
        }
    }
}

#[tokio::test]
async fn pipelined_queries_are_answered_in_order() {
    let group = Group::start(1).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    let sql: Vec<String> = (0..50).map(|number| format!("SELECT {number}")).collect();
    let answers = futures::future::join_all(sql.iter().map(|sql| column(&caller, sql))).await;
    for (number, answer) in answers.into_iter().enumerate() {
        assert_eq!(answer, [number.to_string()]);
    }
}

#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let mut caller = host.connect().await;
    caller
        .batch_execute("CREATE TABLE bids (id int8)")
        .await
        .unwrap();
    let transaction = caller.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO bids VALUES (1)", &[])
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    let transaction = caller.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO bids VALUES (2)", &[])
        .await
        .unwrap();
    transaction.rollback().await.unwrap();
    assert_eq!(column(&caller, "SELECT id FROM bids").await, ["1"]);
}

#[tokio::test]
async fn errors_come_through_and_the_session_goes_on() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let mut caller = host.connect().await;
    let unknown = caller.simple_query("SELECT * FROM nowhere").await;
    assert_eq!(sqlstate(unknown), "42P01");
    let unknown = caller.query("SELECT * FROM nowhere", &[]).await;
    assert_eq!(sqlstate(unknown), "42P01");
    let transaction = caller.transaction().await.unwrap();
    let unknown = transaction.simple_query("SELECT * FROM nowhere").await;
    assert_eq!(sqlstate(unknown), "42P01");
    let failed = transaction.simple_query("SELECT 1").await;
    assert_eq!(sqlstate(failed), "25P02");
    transaction.rollback().await.unwrap();
    assert_eq!(column(&caller, "SELECT 1").await, ["1"]);
}

#[tokio::test]
async fn rows_are_copied_in_and_out() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    caller
        .batch_execute("CREATE TABLE lots (id int8, name text)")
        .await
        .unwrap();
    let sink = caller.copy_in("COPY lots FROM STDIN").await.unwrap();
    futures::pin_mut!(sink);
    let rows = bytes::Bytes::from("1\tVolvo\n2\tFiat\n");
    sink.send(rows).await.unwrap();
    assert_eq!(sink.finish().await.unwrap(), 2);
    let stream = caller.copy_out("COPY lots TO STDOUT").await.unwrap();
    futures::pin_mut!(stream);
    let mut copied = Vec::new();
    while let Some(chunk) = stream.next().await {
        copied.extend_from_slice(&chunk.unwrap());
    }
    assert_eq!(copied, b"1\tVolvo\n2\tFiat\n");
    assert_eq!(column(&caller, "SELECT count(*) FROM lots").await, ["2"]);
}

#[tokio::test]
async fn settings_follow_the_session_and_reach_nobody_else() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let (one, other) = (host.connect().await, host.connect().await);
    one.batch_execute("SET work_mem = '64MB'").await.unwrap();
    for _ in 0..5 {
        let reads = futures::future::join(
            column(&one, "SHOW work_mem"),
            column(&other, "SHOW work_mem"),
        );
        let (ours, theirs) = reads.await;
        assert_eq!(
            (ours, theirs),
            (vec!["64MB".to_owned()], vec!["4MB".to_owned()])
        );
    }
    one.batch_execute("BEGIN; SET work_mem = '1MB'; ROLLBACK")
        .await
        .unwrap();
    assert_eq!(column(&one, "SHOW work_mem").await, ["64MB"]);
    one.batch_execute("RESET ALL").await.unwrap();
    assert_eq!(column(&one, "SHOW work_mem").await, ["4MB"]);
}

#[tokio::test]
async fn temporary_tables_keep_their_connection() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let (one, other) = (host.connect().await, host.connect().await);
    one.batch_execute("CREATE TEMPORARY TABLE cart (id int8)")
        .await
        .unwrap();
    one.batch_execute("INSERT INTO cart VALUES (1)")
        .await
        .unwrap();
    for _ in 0..5 {
        let stranger = other.simple_query("SELECT id FROM cart").await;
        assert_eq!(sqlstate(stranger), "42P01");
        assert_eq!(column(&one, "SELECT id FROM cart").await, ["1"]);
    }
    one.batch_execute("DISCARD ALL").await.unwrap();
    let discarded = one.simple_query("SELECT id FROM cart").await;
    assert_eq!(sqlstate(discarded), "42P01");
}

#[tokio::test]
async fn the_position_is_told_after_a_write_and_can_be_brought_along() {
    let group = Group::start(1).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    assert_eq!(column(&caller, "SHOW flamingopost.position").await, [""]);
    caller
        .batch_execute("CREATE TABLE lots (id int8)")
        .await
        .unwrap();
    let position = column(&caller, "SHOW flamingopost.position").await;
    assert_eq!(position, [group.servers[0].position().to_string()]);
    let moved = format!("-c flamingopost.position={}", position[0]);
    let moved = host.connect_with(&moved).await;
    assert_eq!(column(&moved, "SHOW flamingopost.position").await, position);
    let row = moved
        .query_one("SHOW flamingopost.position", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, String>(0), position[0]);
    let wrong = moved
        .simple_query("SET flamingopost.position = 'yesterday'")
        .await;
    assert_eq!(sqlstate(wrong), "22023");
}

#[tokio::test]
async fn reads_go_to_replicas_once_the_session_has_a_position() {
    let group = Group::start(2).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    caller
        .batch_execute("CREATE TABLE lots (id int8)")
        .await
        .unwrap();
    host.learnt(&group).await;
    let before = group.statements(0);
    for _ in 0..20 {
        assert!(column(&caller, "SELECT id FROM lots").await.is_empty());
    }
    let on_primary = group.statements(0) - before;
    assert!(
        on_primary < 20,
        "{on_primary} of 20 reads ran on the primary"
    );
}

#[tokio::test]
async fn a_cancelled_statement_ends_and_nothing_else_does() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    let token = caller.cancel_token();
    let other = host.connect().await;
    group.set_faults(0, |faults| faults.slow_ms = 300);
    let slow = caller.simple_query("SELECT 1");
    let others = other.simple_query("SELECT 2");
    let cancel = async {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    };
    let (slow, others, ()) = futures::join!(slow, others, cancel);
    assert_eq!(sqlstate(slow), "57014");
    assert!(others.is_ok());
    group.set_faults(0, |faults| faults.slow_ms = 0);
    for _ in 0..10 {
        assert_eq!(column(&caller, "SELECT 3").await, ["3"]);
        assert_eq!(column(&other, "SELECT 4").await, ["4"]);
    }
}

/// A caller that cannot write comments into its statements, an ORM for instance, tags its session
/// instead; a statement's own marker goes first, and RESET takes the tag back.
#[tokio::test]
async fn a_session_can_carry_the_tag_of_its_statements() {
    let group = Group::start(0).await;
    let refusing = Then {
        refuse: Some("no batches today".to_owned()),
        ..plain()
    };
    let mut rules = rules();
    rules.insert(0, rule(Access::Read, "batch", refusing));
    let host = Host::with(&group, rules).await;
    let caller = host.connect_with("-c flamingopost.tag=batch").await;
    assert_eq!(sqlstate(caller.simple_query("SELECT 1").await), "PF004");
    let own = "/* flamingopost: tag=view */ SELECT 1";
    caller.simple_query(own).await.unwrap();
    caller
        .batch_execute("RESET flamingopost.tag")
        .await
        .unwrap();
    caller.simple_query("SELECT 1").await.unwrap();
    caller
        .batch_execute("SET flamingopost.tag = 'batch'")
        .await
        .unwrap();
    assert_eq!(column(&caller, "SHOW flamingopost.tag").await, ["batch"]);
    assert_eq!(sqlstate(caller.simple_query("SELECT 1").await), "PF004");
}
