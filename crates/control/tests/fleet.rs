//! Regular operation of a fleet: first start, failover, planned switchover and leaving servers.

mod common;

use common::{Fleet, SERVICE, eventually, server_name, wait_for_new_primary, wait_for_primary};
use flamingopost_standin::backend::fault::Faults;
use flamingopost_standin::platform::{Announcement, State};
use serde_json::json;

#[actix_rt::test]
async fn a_fresh_fleet_opens_its_service() {
    let fleet = Fleet::start().await;
    let service = fleet.open().await;
    assert_eq!(service.primary.as_deref(), Some(server_name(0).as_str()));
    let hosts = fleet.hosts(&server_name(0)).await;
    let allotted: u16 = hosts
        .iter()
        .map(|host| host.allotment().get(&server_name(0)).copied())
        .map(|connections| connections.unwrap_or(0))
        .sum();
    assert!((1..=34).contains(&allotted), "{allotted}");
}

/// The primary's host loses power. Writes fail until another server is promoted, after which no
/// host may acknowledge a write of the old primary.
#[actix_rt::test]
async fn a_dead_primary_is_replaced() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    fleet.server(&server_name(0)).set_faults(Faults {
        dead: true,
        ..Faults::default()
    });
    for host in &hosts {
        host.set_unreachable(&[&server_name(0)]);
    }
    let successor = wait_for_new_primary(&hosts[0], &server_name(0)).await;
    for host in &hosts {
        assert_ne!(host.primary().as_deref(), Some(server_name(0).as_str()));
    }
    wait_for_primary(&hosts, &successor).await;
}

/// One host has lost its route to the primary and the others reach it. The primary must stay,
/// because a promotion would interrupt the writes of all hosts.
#[actix_rt::test]
async fn failures_reported_by_one_host_cause_no_promotion() {
    let fleet = Fleet::start().await;
    let before = fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    hosts[1].set_unreachable(&[&server_name(0)]);
    // Long enough for a renewal of each host after the report.
    tokio::time::sleep(flamingopost_core::timing::SUSPICION_TIMEOUT * 3).await;
    let after = fleet.open_service(0).await;
    assert_eq!(before.term, after.term);
}

#[actix_rt::test]
async fn an_operator_switches_the_primary_over() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    // The request goes to a process that does not lead the shard and forwards it.
    let other = (fleet.leader(0).await + 1) % 3;
    let order = json!({"service": SERVICE});
    let (code, answer) = eventually("a replica can be promoted", || async {
        let (code, answer) = fleet.post(other, "/v1/promote", &order).await;
        (code == 202).then_some((code, answer))
    })
    .await;
    assert_eq!((code, answer), (202, json!("begun")));
    let successor = wait_for_new_primary(&hosts[0], &server_name(0)).await;
    wait_for_primary(&hosts, &successor).await;
    let service = fleet.open_service(other).await;
    assert!(service.lost.is_empty(), "{:?}", service.lost);
    let (code, _) = fleet
        .post(0, "/v1/promote", &json!({"service": "no-such"}))
        .await;
    assert_eq!(code, 404);
}

/// An operator drains a replica. Every host immediately receives a view that shows the replica as
/// leaving, and sends it no new work.
#[actix_rt::test]
async fn a_drained_server_is_shown_as_leaving() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let (code, answer) = fleet
        .post(1, "/v1/drain", &json!({"server": server_name(2)}))
        .await;
    assert_eq!(code, 200, "{answer}");
    eventually("all hosts see the drain", || async {
        let sees = |host: &common::holder::Host| host.leaving().contains(&server_name(2));
        hosts.iter().all(sees).then_some(())
    })
    .await;
    let (code, _) = fleet
        .post(1, "/v1/drain", &json!({"server": "no-such"}))
        .await;
    assert_eq!(code, 404);
}

/// The platform lists a replica's machine as leaving, and an operator marks another replica as
/// leaving in the configuration. Hosts send new work to neither.
#[actix_rt::test]
async fn listed_and_configured_servers_leave() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let listed = Announcement {
        zone: "kality-hall".to_owned(),
        address: fleet.server(&server_name(2)).address().to_string(),
        state: State::Leaving,
    };
    fleet.platform.announce("machine-17", listed);
    eventually("hosts see the listed server leave", || async {
        let sees = |host: &common::holder::Host| host.leaving().contains(&server_name(2));
        hosts.iter().all(sees).then_some(())
    })
    .await;
    let address = format!("address = {}\n", fleet.server(&server_name(1)).address());
    let emptied = fleet
        .config("")
        .replace(&address, &format!("{address}leaving = yes\n"));
    let (code, answer) = fleet.submit(0, 1, "empty", &emptied).await;
    assert_eq!(code, 200, "{answer}");
    eventually("hosts see both leave", || async {
        let both = [server_name(1), server_name(2)].into();
        let see = |host: &common::holder::Host| host.leaving() == both;
        hosts.iter().all(see).then_some(())
    })
    .await;
    let status = fleet.open_service(0).await;
    let reasons: Vec<&[String]> = status
        .servers
        .iter()
        .map(|s| s.leaving.as_slice())
        .collect();
    assert_eq!(reasons[1], ["configuration"]);
    assert_eq!(reasons[2], ["platform"]);
}

/// An operator drains an entry host through a control process that does not lead the shard. The
/// host, and no other, is notified with its next grant. Removing the drain reaches it the same way.
#[actix_rt::test]
async fn a_drained_entry_host_is_notified() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let other = (fleet.leader(0).await + 1) % 3;
    let order = json!({"host": "akaki-hall-1"});
    let (code, answer) = fleet.post(other, "/v1/drain", &order).await;
    assert_eq!(code, 200, "{answer}");
    eventually("the host is notified of the drain", || async {
        hosts[1].is_drained().then_some(())
    })
    .await;
    assert!(!hosts[0].is_drained() && !hosts[2].is_drained());
    assert_eq!(fleet.delete(other, "/v1/drain", &order).await.0, 200);
    eventually("the host is notified of the end of the drain", || async {
        (!hosts[1].is_drained()).then_some(())
    })
    .await;
    let unknown = json!({"host": "no-such"});
    assert_eq!(fleet.post(0, "/v1/drain", &unknown).await.0, 404);
}

/// The platform announces to the primary that its host will be switched off. Writes move to another
/// server while the old one is still running, and no write is lost.
#[actix_rt::test]
async fn a_leaving_primary_hands_over() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    fleet.server(&server_name(0)).set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    let successor = wait_for_new_primary(&hosts[0], &server_name(0)).await;
    wait_for_primary(&hosts, &successor).await;
    let service = fleet.open_service(0).await;
    assert!(service.lost.is_empty(), "{:?}", service.lost);
    assert!(hosts[0].leaving().contains(&server_name(0)));
}
