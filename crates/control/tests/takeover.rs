//! Controllers that end, and the platform gone while they work.

mod common;

use std::time::Duration;

use common::{Fleet, all_see, another, eventually, server_name};
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

/// The controller's host is switched off. A standby named in the row takes over, hosts get their
/// leases from it, and the service goes on under the same term.
#[actix_rt::test]
async fn a_standby_takes_over() {
    let mut fleet = Fleet::start().await;
    let before = fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let old = fleet.leader(0).await;
    fleet.named_standbys(old).await;
    fleet.stop_control(old);
    let asked = (old + 1) % 3;
    let new = eventually("another controller leads", || async {
        let leader = fleet.leader(asked).await;
        (leader != old).then_some(leader)
    })
    .await;
    assert_ne!(new, old);
    all_see(&hosts, &server_name(0)).await;
    let after = fleet.open_service(asked).await;
    assert_eq!(before.term, after.term);
}

/// A zone's hosts only ever call the relay of their zone. They hold leases through it, and go on
/// holding them when another controller takes over: the relay learns of it, they need not.
#[actix_rt::test]
async fn a_relay_follows_the_controller() {
    let fleet = Fleet::with_relays(true).await;
    fleet.open().await;
    let old = fleet.leader(0).await;
    let relay = (old + 1) % 3;
    let hosts = [
        fleet.host_behind(relay).await,
        fleet.host_behind(relay).await,
    ];
    all_see(&hosts, &server_name(0)).await;
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
        host.cannot_reach(&[&server_name(0)]);
    }
    let next = another(&hosts[0], &server_name(0)).await;
    all_see(&hosts, &next).await;
}

/// All control processes are restarted at once while the store is down. Nobody knows anything, so
/// nobody may acknowledge writes; once the store is back the service goes on where it was, without
/// waiting for an operator or for hours.
#[actix_rt::test]
async fn a_fleet_restarted_in_an_outage_comes_back() {
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
    all_see(&hosts, &server_name(0)).await;
    let after = fleet.open_service(0).await;
    assert_eq!(before.term, after.term);
}

/// All hosts that a shard's row names are replaced at once, under new names. Nobody else may claim
/// the shard for hours; an operator who has made sure that they are gone says so by naming them.
#[actix_rt::test]
async fn an_operator_claims_a_shard_for_which_nobody_is_left() {
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

/// In a fleet whose rows have grown large, processes read row by row. Configuration changes still
/// reach everybody, and a standby still takes over.
#[actix_rt::test]
async fn a_large_fleet_works_by_single_rows() {
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
    let table = Client::new(fleet.platform.address(), "", common::PATIENCE).unwrap();
    table.write(vec![padding]).await.unwrap();
    tokio::time::sleep(timing::ROW_READ_INTERVAL * 3).await;
    let (code, answer) = fleet.submit(old, 1, "second", &fleet.config("")).await;
    assert_eq!(code, 200, "{answer}");
    fleet.in_force(2).await;
    fleet.stop_control(old);
    let asked = (old + 1) % 3;
    eventually("another controller leads", || async {
        (fleet.leader(asked).await != old).then_some(())
    })
    .await;
    all_see(&hosts, &server_name(0)).await;
}

/// Hosts keep a connection each to the servers of their own zone for when the zone is cut off.
/// A successor knows of them from the table and never gives them to others.
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
    all_see(&hosts, &server_name(0)).await;
    eventually("every host has its floor from the successor", have).await;
}

/// The platform replaces the controller's host and asks it to end. It hands its shard over and
/// ends by itself; hosts hold leases from the successor.
#[actix_rt::test]
async fn a_controller_that_is_asked_to_end_hands_over() {
    let fleet = Fleet::start().await;
    let before = fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let old = fleet.leader(0).await;
    fleet.named_standbys(old).await;
    fleet.controls[old].stop.drain();
    fleet.controls[old].stop.stopped().await;
    // It has ended because a successor has the shard, not because its patience is over.
    assert_ne!(fleet.named_controller().await, fleet.controls[old].host);
    let asked = (old + 1) % 3;
    assert_ne!(fleet.leader(asked).await, old);
    all_see(&hosts, &server_name(0)).await;
    let after = fleet.open_service(asked).await;
    assert_eq!(before.term, after.term);
}

/// The platform's store goes down for much longer than a lease runs. Writes go on, because all
/// named standbys promise not to claim; and a primary that dies meanwhile is replaced.
#[actix_rt::test]
async fn an_outage_of_the_store_stops_neither_writes_nor_a_promotion() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let leader = fleet.leader(0).await;
    fleet.named_standbys(leader).await;
    fleet.platform.set_faults(down());
    // What was read before the outage has long run out by then.
    tokio::time::sleep(timing::AUTHORITY_DURATION * 2).await;
    all_see(&hosts, &server_name(0)).await;
    fleet.server(&server_name(0)).set_faults(ServerFaults {
        dead: true,
        ..ServerFaults::default()
    });
    for host in &hosts {
        host.cannot_reach(&[&server_name(0)]);
    }
    let next = another(&hosts[0], &server_name(0)).await;
    all_see(&hosts, &next).await;
    fleet.platform.set_faults(Faults::default());
    // The row follows once the store is back, and nobody has claimed meanwhile.
    tokio::time::sleep(timing::AUTHORITY_DURATION).await;
    assert_eq!(fleet.leader(0).await, leader);
    all_see(&hosts, &next).await;
}

/// Answers of the table service are lost while a primary dies: the writes that close and open
/// terms take effect, nobody hears of it, and reading back has to settle them.
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
        host.cannot_reach(&[&server_name(0)]);
    }
    let next = another(&hosts[0], &server_name(0)).await;
    all_see(&hosts, &next).await;
}

/// The controller's zone loses the platform and its standbys cannot be heard by it any more: it
/// must stop granting leases by itself, or two controllers would act for one shard.
#[actix_rt::test]
async fn a_controller_without_table_and_standbys_stops_itself() {
    let mut fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let leader = fleet.leader(0).await;
    fleet.named_standbys(leader).await;
    fleet.platform.set_faults(down());
    for other in (0..3).filter(|other| *other != leader) {
        fleet.stop_control(other);
    }
    eventually("no host may acknowledge anything", || async {
        let idle = hosts.iter().all(|host| host.primary().is_none());
        idle.then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(hosts.iter().all(|host| host.acknowledge(1).is_none()));
}
