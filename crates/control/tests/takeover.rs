//! Takeovers of shards by other controllers, and outages of the platform.

mod common;

use std::time::Duration;

use common::{Fleet, eventually, server_name, wait_for_new_primary, wait_for_primary};
use flamingopost_core::timing;
use flamingopost_platform::http::Client;
use flamingopost_platform::table::{Change, Condition, Table as _};
use flamingopost_standin::backend::fault::Faults as ServerFaults;
use flamingopost_standin::platform::Faults;
use serde_json::json;

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

/// The controller's host is switched off. A standby named in the row takes over, hosts renew their
/// leases with it, and the service stays open under the same term.
#[actix_rt::test]
async fn a_standby_takes_over() {
    let mut fleet = Fleet::start().await;
    let before = fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let old = fleet.leader(0).await;
    fleet.named_standbys(old).await;
    fleet.stop_control(old);
    let observer = (old + 1) % 3;
    let new = eventually("another controller leads", || async {
        let leader = fleet.leader(observer).await;
        (leader != old).then_some(leader)
    })
    .await;
    assert_ne!(new, old);
    wait_for_primary(&hosts, &server_name(0)).await;
    let after = fleet.open_service(observer).await;
    assert_eq!(before.term, after.term);
}

/// A zone's hosts only call the relay of their zone. They hold leases through it, and keep them
/// when another controller takes over, because the relay follows the new controller.
#[actix_rt::test]
async fn a_relay_follows_the_controller() {
    let fleet = Fleet::with_relays(true).await;
    fleet.open().await;
    let old = fleet.leader(0).await;
    let relay = (old + 1) % 3;
    let hosts = [
        fleet.host_behind_relay(relay).await,
        fleet.host_behind_relay(relay).await,
    ];
    wait_for_primary(&hosts, &server_name(0)).await;
    fleet.named_standbys(old).await;
    fleet.controls[old].stop.drain();
    fleet.controls[old].stop.stopped().await;
    eventually("another controller leads", || async {
        (fleet.leader(relay).await != old).then_some(())
    })
    .await;
    fleet.server(&server_name(0)).set_faults(ServerFaults {
        dead: true,
        ..ServerFaults::default()
    });
    let others = fleet.hosts_in_other_zones(relay).await;
    for host in hosts.iter().chain(&others) {
        host.set_unreachable(&[&server_name(0)]);
    }
    let successor = wait_for_new_primary(&hosts[0], &server_name(0)).await;
    wait_for_primary(&hosts, &successor).await;
}

/// All control processes restart at the same time while the store is down. They have lost their
/// state, so no host may acknowledge writes. Once the store is back the service continues under the
/// same term, without an operator and without waiting for hours.
#[actix_rt::test]
async fn a_fleet_restarted_during_an_outage_recovers() {
    let mut fleet = Fleet::start().await;
    let before = fleet.open().await;
    let leader = fleet.leader(0).await;
    fleet.named_standbys(leader).await;
    fleet.platform.set_faults(down());
    fleet.restart_controls();
    let hosts = fleet.hosts_without_leases().await;
    tokio::time::sleep(timing::AUTHORITY_DURATION).await;
    assert!(hosts.iter().all(|host| host.primary().is_none()));
    fleet.platform.set_faults(Faults::default());
    wait_for_primary(&hosts, &server_name(0)).await;
    let after = fleet.open_service(0).await;
    assert_eq!(before.term, after.term);
}

/// All hosts that a shard's row names are replaced at the same time by hosts with new names, which
/// may not claim the shard for hours. An operator confirms that the old hosts are gone by listing
/// them, and the shard is claimed immediately.
#[actix_rt::test]
async fn an_operator_claims_a_shard_whose_hosts_are_gone() {
    let mut fleet = Fleet::start().await;
    fleet.open().await;
    let old = fleet.leader(0).await;
    fleet.named_standbys(old).await;
    let names: Vec<String> = fleet.controls.iter().map(|c| c.host.clone()).collect();
    fleet.stop();
    fleet.replace_controls();
    fleet.in_force(1).await;
    let none = json!({"shard": 0, "gone": []});
    let (code, answer) = eventually("the row has been read", || async {
        let (code, answer) = fleet.post(0, "/v1/claim", &none).await;
        (code == 409).then_some((code, answer))
    })
    .await;
    let mut named: Vec<String> = serde_json::from_value(answer["hosts"].clone()).unwrap();
    named.sort();
    let mut expected = names.clone();
    expected.sort();
    assert_eq!((code, &named), (409, &expected));
    let some = json!({"shard": 0, "gone": names[..2]});
    assert_eq!(fleet.post(0, "/v1/claim", &some).await.0, 409);
    let all = json!({"shard": 0, "gone": names});
    assert_eq!(fleet.post(0, "/v1/claim", &all).await.0, 202);
    assert_eq!(fleet.leader(0).await, 0);
    fleet.open_service(0).await;
    let no_such = json!({"shard": 7, "gone": []});
    assert_eq!(fleet.post(0, "/v1/claim", &no_such).await.0, 404);
}

/// In a fleet whose rows are large, processes read single rows. Configuration changes still reach
/// all processes, and a standby still takes over.
#[actix_rt::test]
async fn a_large_fleet_reads_single_rows() {
    let mut fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let old = fleet.leader(0).await;
    fleet.named_standbys(old).await;
    let padding = Change {
        key: "fleet/padding".to_owned(),
        condition: Condition::Absent,
        body: format!("\"{}\"", "x".repeat(64 << 10)),
    };
    let table = Client::new(fleet.platform.address(), "", common::TEST_TIMEOUT).unwrap();
    table.write(vec![padding]).await.unwrap();
    tokio::time::sleep(timing::ROW_READ_INTERVAL * 3).await;
    let (code, answer) = fleet.submit(old, 1, "second", &fleet.config("")).await;
    assert_eq!(code, 200, "{answer}");
    fleet.in_force(2).await;
    fleet.stop_control(old);
    let observer = (old + 1) % 3;
    eventually("another controller leads", || async {
        (fleet.leader(observer).await != old).then_some(())
    })
    .await;
    wait_for_primary(&hosts, &server_name(0)).await;
}

/// Each host keeps a floor of one connection to the servers of its own zone, in case the zone is
/// partitioned. A successor reads the floors from the table and never grants them to other hosts.
#[actix_rt::test]
async fn floors_outlast_their_controller() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let near = |zone: usize| std::collections::BTreeMap::from([(server_name(zone), 1)]);
    let have = || async {
        let all = hosts.iter().enumerate();
        all.into_iter()
            .all(|(zone, host)| host.floors() == near(zone))
            .then_some(())
    };
    eventually("every host has its floor", have).await;
    let old = fleet.leader(0).await;
    fleet.named_standbys(old).await;
    fleet.controls[old].stop.drain();
    fleet.controls[old].stop.stopped().await;
    wait_for_primary(&hosts, &server_name(0)).await;
    eventually("every host has its floor from the successor", have).await;
}

/// The platform replaces the controller's host and asks the process to drain. It hands its shard
/// over and stops by itself, and hosts hold leases from the successor.
#[actix_rt::test]
async fn a_draining_controller_hands_over() {
    let fleet = Fleet::start().await;
    let before = fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let old = fleet.leader(0).await;
    fleet.named_standbys(old).await;
    fleet.controls[old].stop.drain();
    fleet.controls[old].stop.stopped().await;
    // It has stopped because a successor has claimed the shard, not because of the timeout.
    assert_ne!(fleet.named_controller().await, fleet.controls[old].host);
    let observer = (old + 1) % 3;
    assert_ne!(fleet.leader(observer).await, old);
    wait_for_primary(&hosts, &server_name(0)).await;
    let after = fleet.open_service(observer).await;
    assert_eq!(before.term, after.term);
}

/// The platform's store is down for much longer than the duration of a lease. Writes continue,
/// because all named standbys promise not to claim the shard, and a primary that dies during the
/// outage is replaced.
#[actix_rt::test]
async fn an_outage_of_the_store_stops_neither_writes_nor_a_promotion() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let leader = fleet.leader(0).await;
    fleet.named_standbys(leader).await;
    fleet.platform.set_faults(down());
    // Authority from reads before the outage has expired by then.
    tokio::time::sleep(timing::AUTHORITY_DURATION * 2).await;
    wait_for_primary(&hosts, &server_name(0)).await;
    fleet.server(&server_name(0)).set_faults(ServerFaults {
        dead: true,
        ..ServerFaults::default()
    });
    for host in &hosts {
        host.set_unreachable(&[&server_name(0)]);
    }
    let successor = wait_for_new_primary(&hosts[0], &server_name(0)).await;
    wait_for_primary(&hosts, &successor).await;
    fleet.platform.set_faults(Faults::default());
    // The row is updated once the store is back, and no standby has claimed the shard meanwhile.
    tokio::time::sleep(timing::AUTHORITY_DURATION).await;
    assert_eq!(fleet.leader(0).await, leader);
    wait_for_primary(&hosts, &successor).await;
}

/// Answers of the table service are lost while a primary dies. The writes that close and open terms
/// take effect without an answer, so their outcomes have to be read back.
#[actix_rt::test]
async fn lost_answers_do_not_stop_a_promotion() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let leader = fleet.leader(0).await;
    fleet.named_standbys(leader).await;
    fleet.platform.set_faults(Faults {
        lose_answers: true,
        ..Faults::default()
    });
    fleet.server(&server_name(0)).set_faults(ServerFaults {
        dead: true,
        ..ServerFaults::default()
    });
    for host in &hosts {
        host.set_unreachable(&[&server_name(0)]);
    }
    let successor = wait_for_new_primary(&hosts[0], &server_name(0)).await;
    wait_for_primary(&hosts, &successor).await;
}

/// The controller loses both the platform and its standbys. It must stop granting leases by itself,
/// or two controllers would act for one shard.
#[actix_rt::test]
async fn a_controller_without_table_and_standbys_stops_granting_leases() {
    let mut fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let leader = fleet.leader(0).await;
    fleet.named_standbys(leader).await;
    fleet.platform.set_faults(down());
    for other in (0..3).filter(|other| *other != leader) {
        fleet.stop_control(other);
    }
    eventually("no host may acknowledge writes", || async {
        let idle = hosts.iter().all(|host| host.primary().is_none());
        idle.then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(hosts.iter().all(|host| host.acknowledge(1).is_none()));
}
