//! What a pooled platform counts as rolled back by a promotion.

use std::time::Duration;

use flamingopost_standin::pooled::{Caller, Remains, Replaced, Site, Sizes};

const SIZES: Sizes = Sizes {
    servers: 3,
    slots: 2,
    connections: 16,
    work: Duration::from_millis(1),
    lag: Duration::from_millis(5),
    promotion: Duration::from_millis(300),
    synchronous: false,
};

/// A platform whose replicas all have one write.
async fn platform() -> Site {
    platform_of(SIZES).await
}

/// The same with servers of `sizes`.
async fn platform_of(sizes: Sizes) -> Site {
    let site = Site::start(&["ledger"], sizes).await.expect("ports");
    store(&site, "ledger-1", "car-1").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    site
}

/// A platform of two servers, of which one was replaced by the other and leads on.
async fn two_that_lead() -> Site {
    let site = platform_of(Sizes {
        servers: 2,
        ..SIZES
    })
    .await;
    let group = site.group("ledger");
    group.set_replaced(Replaced::LeadsOn);
    group.set_deaf("ledger-1", true);
    assert!(group.promote("ledger-2"));
    site
}

/// Writes `item` at `server`.
async fn store(site: &Site, server: &str, item: &str) {
    let caller = Caller::connect(site.address(server)).await;
    let mut caller = caller.expect("it listens");
    caller.greet("ledger").await.expect("a session");
    caller.ask("1", &format!("STORE {item} sold")).await;
    assert!(caller.reply().await.expect("an answer").is_done());
}

async fn order(site: &Site, server: &str) {
    let sent = reqwest::Client::new()
        .post(format!("http://{}/promote", site.orders_address))
        .header("x-fencing-token", "7")
        .header("x-duty-holder", "entry-1")
        .body(format!(r#"{{"service":"ledger","id":"{server}"}}"#))
        .send()
        .await;
    assert!(sent.expect("an answer").status().is_success());
}

async fn start_again_empty(site: &Site, server: &str) {
    site.crash(server);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let started = site.restart_unlisted(server, Remains::Nothing).await;
    started.expect("its port is free");
}

/// A server starts again without its log, and then it is ordered to lead while another one has the
/// write. Whoever ordered it could have chosen that one: the write is lost, not rolled back.
#[tokio::test]
async fn what_an_empty_server_lacks_is_not_rolled_back_by_its_promotion() {
    let site = platform().await;
    site.crash("ledger-1");
    start_again_empty(&site, "ledger-2").await;
    order(&site, "ledger-2").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let group = site.group("ledger");
    assert_eq!(group.leader().as_deref(), Some("ledger-2"));
    assert_eq!(group.dropped(), []);
    assert_eq!(group.log(), []);
}

/// The server had the write when it was ordered, and starts again without its log before the order
/// takes effect. Nobody can call the order back, so the write counts as rolled back.
#[tokio::test]
async fn what_a_server_loses_after_its_order_is_rolled_back() {
    let site = platform().await;
    site.crash("ledger-1");
    order(&site, "ledger-2").await;
    start_again_empty(&site, "ledger-2").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let group = site.group("ledger");
    assert_eq!(group.leader().as_deref(), Some("ledger-2"));
    let dropped: Vec<String> = group.dropped().into_iter().map(|it| it.item).collect();
    assert_eq!(dropped, ["car-1"]);
}

/// A replaced primary leads on and writes an entry of its own. Its successor is written to as well,
/// starts again without its log, and there is no third server: the replaced one is promoted. What its
/// successor had in the place of that entry no server has any more, so it is rolled back like the rest.
#[tokio::test]
async fn what_stood_in_the_place_of_a_replaced_primarys_entry_is_rolled_back() {
    let site = two_that_lead().await;
    let group = site.group("ledger");
    for (server, item) in [
        ("ledger-2", "car-2"),
        ("ledger-2", "car-3"),
        ("ledger-1", "car-4"),
    ] {
        store(&site, server, item).await;
    }
    start_again_empty(&site, "ledger-2").await;
    assert!(group.promote("ledger-1"));
    let dropped: Vec<String> = group.dropped().into_iter().map(|it| it.item).collect();
    assert_eq!(dropped, ["car-2", "car-3"]);
}

/// The same while the successor is only down, with its log. Whoever promoted the replaced one could
/// have waited: what stood in the place of its entry is lost, not rolled back.
#[tokio::test]
async fn what_a_server_that_is_down_has_is_lost_by_the_promotion_of_a_replaced_primary() {
    let site = two_that_lead().await;
    let group = site.group("ledger");
    for (server, item) in [("ledger-2", "car-2"), ("ledger-1", "car-4")] {
        store(&site, server, item).await;
    }
    site.crash("ledger-2");
    assert!(group.promote("ledger-1"));
    assert_eq!(group.dropped(), []);
}

/// The same while the successor has lost its log, and a third server still has it that the primary does not
/// reach. Whoever promoted the replaced one could have chosen that server: what stood in the place
/// of the replaced one's entry is lost, also once the third server gives it up.
#[tokio::test]
async fn what_a_deaf_server_has_is_lost_by_the_promotion_of_a_replaced_primary() {
    let site = platform().await;
    let group = site.group("ledger");
    group.set_replaced(Replaced::LeadsOn);
    group.set_deaf("ledger-1", true);
    assert!(group.promote("ledger-2"));
    for (server, item) in [("ledger-2", "car-2"), ("ledger-1", "car-4")] {
        store(&site, server, item).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    group.set_deaf("ledger-3", true);
    start_again_empty(&site, "ledger-2").await;
    assert!(group.promote("ledger-1"));
    assert_eq!(group.dropped(), []);
    group.set_deaf("ledger-3", false);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(group.promote("ledger-3"));
    let log: Vec<String> = group.log().into_iter().map(|it| it.item).collect();
    assert_eq!(log, ["car-1", "car-4"]);
    assert_eq!(group.dropped(), []);
}

/// The same where the promoted server is a replica that was ahead of the successor, and the
/// successor is down with its log. What follows its last entry is rolled back, as by any replica
/// that is behind; what stood in the place of that entry is lost.
#[tokio::test]
async fn what_stood_in_the_place_of_a_deaf_replicas_entry_is_lost_while_a_server_has_it() {
    let site = platform().await;
    let group = site.group("ledger");
    group.set_deaf("ledger-2", true);
    store(&site, "ledger-1", "car-2").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    group.set_deaf("ledger-3", true);
    site.crash("ledger-1");
    assert!(group.promote("ledger-2"));
    for item in ["car-3", "car-4"] {
        store(&site, "ledger-2", item).await;
    }
    site.crash("ledger-2");
    assert!(group.promote("ledger-3"));
    let dropped: Vec<String> = group.dropped().into_iter().map(|it| it.item).collect();
    assert_eq!(dropped, ["car-2", "car-4"]);
}

/// Guards against a replica that gives up what it has received for the log of a primary that was replaced
/// long before and leads on: the one between them has stepped down for a successor that does not lead yet.
#[tokio::test]
async fn a_replica_follows_no_primary_of_a_term_before_its_own() {
    let site = platform().await;
    let group = site.group("ledger");
    group.set_replaced(Replaced::LeadsOn);
    assert!(group.promote("ledger-2"));
    store(&site, "ledger-2", "car-2").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    group.step_down("ledger-2", 3);
    assert!(group.leads("ledger-1"));
    assert!(group.promote("ledger-3"));
    store(&site, "ledger-3", "car-3").await;
    let log = group.log().into_iter();
    let log: Vec<(String, i64)> = log.map(|it| (it.item, it.term)).collect();
    let expected = [("car-1", 1), ("car-2", 2), ("car-3", 3)];
    assert_eq!(log, expected.map(|(item, term)| (item.to_owned(), term)));
}

/// Guards against counting as lost what a crashed primary wrote last: its successor was ordered at once, it
/// steps down before that one leads, and a primary that was replaced long before steps down after it.
#[tokio::test]
async fn what_a_crashed_primary_wrote_last_is_rolled_back_though_an_older_one_steps_down_after_it()
{
    let site = platform().await;
    let group = site.group("ledger");
    group.set_replaced(Replaced::LeadsOn);
    group.set_deaf("ledger-1", true);
    assert!(group.promote("ledger-2"));
    store(&site, "ledger-2", "car-2").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    group.set_deaf("ledger-3", true);
    store(&site, "ledger-2", "car-3").await;
    site.crash("ledger-2");
    order(&site, "ledger-3").await;
    start_again_empty(&site, "ledger-2").await;
    group.step_down("ledger-2", 3);
    group.step_down("ledger-1", 3);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(group.leader().as_deref(), Some("ledger-3"));
    let dropped: Vec<String> = group.dropped().into_iter().map(|it| it.item).collect();
    assert_eq!(dropped, ["car-3"]);
}

/// Guards against taking a commit for gone that a later promotion brings back.
#[tokio::test]
async fn what_a_promotion_rolls_back_may_be_brought_back_by_the_next_one() {
    let site = two_that_lead().await;
    let group = site.group("ledger");
    group.step_down("ledger-1", 2);
    assert!(group.promote("ledger-1"));
    store(&site, "ledger-1", "car-2").await;
    assert!(group.promote("ledger-2"));
    let gone = |item: &str| {
        let rollbacks = group.rollbacks().into_iter();
        let mut rollbacks = rollbacks.filter(|it| it.entry.item == item);
        rollbacks.any(|it| it.restored.is_none())
    };
    assert!(gone("car-2"));
    assert!(group.promote("ledger-1"));
    assert!(!gone("car-2"));
}

/// Guards against the loss of all logs, which no decision of the hosts can help: a server that has lost its own
/// cannot stand in for another one before it has received something, whoever was promoted meanwhile.
#[tokio::test]
async fn a_server_that_has_received_nothing_lets_no_other_lose_its_log() {
    let site = platform_of(Sizes {
        servers: 2,
        ..SIZES
    })
    .await;
    let group = site.group("ledger");
    group.set_deaf("ledger-2", true);
    start_again_empty(&site, "ledger-2").await;
    assert!(group.promote("ledger-1"));
    site.crash("ledger-1");
    group.set_deaf("ledger-2", false);
    assert!(!group.can_spare("ledger-1"));
    tokio::time::sleep(Duration::from_millis(20)).await;
    site.restart("ledger-1").await.expect("its port is free");
    assert!(group.can_spare("ledger-1"), "it follows again");
}

/// A commit that waits for a replica is acknowledged once one has received it, whichever that is, and
/// never if none does.
#[tokio::test]
async fn a_synchronous_commit_is_acknowledged_by_any_replica() {
    let site = platform_of(Sizes {
        synchronous: true,
        ..SIZES
    })
    .await;
    let group = site.group("ledger");
    group.set_deaf("ledger-2", true);
    store(&site, "ledger-1", "car-2").await;
    group.set_deaf("ledger-3", true);
    let caller = Caller::connect(site.address("ledger-1")).await;
    let mut caller = caller.expect("it listens");
    caller.greet("ledger").await.expect("a session");
    caller.ask("1", "STORE car-3 sold").await;
    let reply = tokio::time::timeout(Duration::from_millis(200), caller.reply()).await;
    assert!(reply.is_err(), "no replica receives it: {reply:?}");
    group.set_deaf("ledger-3", false);
    assert!(caller.reply().await.expect("an answer").is_done());
}

/// What the store answers to `path`.
async fn read(site: &Site, path: &str) -> String {
    let url = format!("http://{}{path}", site.store_address);
    let answer = reqwest::get(url).await.expect("an answer");
    answer.text().await.expect("text")
}

/// Rows that no ordinary row looks like are told among the others, by reads and by feeds, until they
/// are removed.
#[tokio::test]
async fn raw_rows_are_told_exactly_as_given() {
    let site = platform().await;
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for text in [
        deep.as_str(),
        r#"{"key": "\ud800", "schema_version": 1e400}"#,
    ] {
        site.store.insert_raw("servers", "ledger-0", text);
        for path in [
            "/rows-get?table_name=servers&part=",
            "/rows-feed?table_name=servers&after=0&wait_ms=0",
        ] {
            let told = read(&site, path).await;
            assert!(told.contains(text), "{told:.300}");
            assert!(told.contains("ledger-1"), "{told:.300}");
        }
        site.store.remove_raw("servers", "ledger-0");
        let told = read(&site, "/rows-get?table_name=servers&part=").await;
        assert!(!told.contains(text), "{told:.300}");
    }
    site.store.set_answer("servers", Some("[7"));
    let told = read(&site, "/rows-get?table_name=servers&part=").await;
    assert_eq!(told, "[7");
    site.store.set_answer("servers", None);
    let told = read(&site, "/rows-get?table_name=servers&part=").await;
    assert!(told.contains("ledger-1"), "{told:.300}");
}
