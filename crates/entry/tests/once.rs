//! Requests with a key run at most once, whatever becomes of their answers.

#[path = "common/path.rs"]
mod path;

use std::time::Duration;

use path::{Group, Host, column, sqlstate, with_bids};
use tokio_postgres::types::Type;

const BID: &str = "/* flamingopost: key=bid-77 */ INSERT INTO bids VALUES (1)";
const SLOW_MS: u64 = 300;

async fn bids(group: &Group) -> Vec<String> {
    let direct = path::direct(group.servers[0].address()).await;
    column(&direct, "SELECT id FROM bids").await
}

/// A member's connection is lost after the bid was sent, and the member's program sends the bid
/// again with the same key through another entry host. The lot must be charged once.
#[tokio::test]
async fn a_bid_sent_again_through_another_host_runs_once() {
    let group = Group::start(0).await;
    let (one, other) = (Host::start(&group).await, Host::start(&group).await);
    one.table().await;
    // A service that never saw a key has no table of keys either.
    let direct = path::direct(group.servers[0].address()).await;
    direct
        .batch_execute("DROP TABLE flamingopost_once")
        .await
        .unwrap();
    one.connect().await.simple_query(BID).await.unwrap();
    let again = other.connect().await.simple_query(BID).await;
    let error = again.unwrap_err();
    let told = error.as_db_error().unwrap();
    assert_eq!(told.code().code(), "PF201");
    assert_eq!(told.detail(), Some("ran=yes"));
    assert_eq!(bids(&group).await, ["1"]);
}

/// The primary dies while a bid with a key is on it, and comes back. Whether the first run left
/// something or not, sending the bid again leaves exactly one.
#[tokio::test]
async fn a_bid_whose_server_died_can_be_sent_again() {
    let (group, host) = with_bids().await;
    let caller = host.connect().await;
    group.set_faults(0, |faults| faults.slow_ms = SLOW_MS);
    let bid = caller.simple_query(BID);
    let death = async {
        tokio::time::sleep(Duration::from_millis(SLOW_MS / 3)).await;
        group.set_faults(0, |faults| faults.dead = true);
        tokio::time::sleep(Duration::from_millis(SLOW_MS)).await;
        group.set_faults(0, |faults| {
            faults.dead = false;
            faults.slow_ms = 0;
        });
    };
    let (_, ()) = tokio::join!(bid, death);
    for _ in 0..200 {
        match caller.simple_query(BID).await {
            Ok(_) => break,
            Err(error) => match error.code().unwrap().code() {
                "PF201" => break,
                "PF005" | "PF009" | "PF010" => tokio::time::sleep(Duration::from_millis(20)).await,
                other => panic!("{other}"),
            },
        }
    }
    assert_eq!(bids(&group).await, ["1"]);
}

/// A program uses one key for two different bids by mistake. Taking the first for the second
/// would lose a bid in silence, so the second is refused.
#[tokio::test]
async fn a_key_belongs_to_one_request() {
    let (group, host) = with_bids().await;
    let caller = host.connect().await;
    caller.simple_query(BID).await.unwrap();
    let second = "/* flamingopost: key=bid-77 */ INSERT INTO bids VALUES (2)";
    assert_eq!(sqlstate(caller.simple_query(second).await), "PF012");
    assert_eq!(bids(&group).await, ["1"]);
}

/// A bid that breaks a rule of the database fails by the database's own error and leaves no
/// trace of its key, so a corrected bid can use it.
#[tokio::test]
async fn a_bid_that_fails_by_itself_does_not_use_up_its_key() {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    let caller = host.connect().await;
    assert_eq!(sqlstate(caller.simple_query(BID).await), "42P01");
    host.table().await;
    caller.simple_query(BID).await.unwrap();
    assert_eq!(bids(&group).await, ["1"]);
}

/// Prepared statements carry their parameters outside of the text: the same text with another
/// lot is another request, and a resubmission from a new session, whose client prepares anew, is
/// the same one.
#[tokio::test]
async fn the_parameters_belong_to_the_request() {
    let (group, host) = with_bids().await;
    let sql = "/* flamingopost: key=bid-78 */ INSERT INTO bids VALUES ($1)";
    let caller = host.connect().await;
    let bid = caller.prepare_typed(sql, &[Type::INT8]).await.unwrap();
    caller.execute(&bid, &[&5_i64]).await.unwrap();
    let other = host.connect().await;
    let bid = other.prepare_typed(sql, &[Type::INT8]).await.unwrap();
    assert_eq!(sqlstate(other.execute(&bid, &[&5_i64]).await), "PF201");
    assert_eq!(sqlstate(other.execute(&bid, &[&6_i64]).await), "PF012");
    assert_eq!(bids(&group).await, ["5"]);
}

/// A client library sends a text as a simple query the first time and prepares it when it comes
/// again. That is one request, not two.
#[tokio::test]
async fn the_protocol_does_not_belong_to_the_request() {
    let (group, host) = with_bids().await;
    let caller = host.connect().await;
    caller.simple_query(BID).await.unwrap();
    assert_eq!(sqlstate(caller.execute(BID, &[]).await), "PF201");
    assert_eq!(bids(&group).await, ["1"]);
}

/// A key inside a transaction, or on several statements, cannot be kept with the effect. It must
/// not be passed over: the request is refused and nothing runs.
#[tokio::test]
async fn a_key_that_cannot_be_kept_is_refused() {
    let (group, host) = with_bids().await;
    let caller = host.connect().await;
    let several = format!("{BID}; INSERT INTO bids VALUES (2)");
    assert_eq!(sqlstate(caller.simple_query(&several).await), "22023");
    caller.batch_execute("BEGIN").await.unwrap();
    assert_eq!(sqlstate(caller.simple_query(BID).await), "22023");
    caller.batch_execute("COMMIT").await.unwrap();
    assert!(bids(&group).await.is_empty());
}
