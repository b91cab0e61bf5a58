//! Controllers through real processes' parts: claims, leases, promotion, configuration, drains.

mod common;

use common::holder::Host;
use common::{Fleet, ZONES, eventually, server_name};
use flamingopost_standin::backend::fault::Faults;

async fn hosts(fleet: &Fleet) -> Vec<Host> {
    let mut hosts = Vec::new();
    for zone in ZONES {
        let name = format!("{zone}-1");
        hosts.push(Host::start(&name, zone, fleet.rpcs()).await);
    }
    hosts
}

async fn all_see(hosts: &[Host], primary: &str) {
    eventually("all hosts see the primary", || async {
        let see = |host: &Host| host.primary().as_deref() == Some(primary);
        hosts.iter().all(see).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_fresh_fleet_opens_its_service() {
    let fleet = Fleet::start().await;
    let service = fleet.open().await;
    assert_eq!(service.primary.as_deref(), Some(server_name(0).as_str()));
    let hosts = hosts(&fleet).await;
    all_see(&hosts, &server_name(0)).await;
    let allotted: u16 = hosts
        .iter()
        .map(|host| host.allotment().get(&server_name(0)).copied())
        .map(|connections| connections.unwrap_or(0))
        .sum();
    assert!((1..=34).contains(&allotted), "{allotted}");
}

/// The primary's host loses power. Callers see their writes fail until another server leads; the
/// write that had been acknowledged before must be on the new primary's side of its term's start.
#[actix_rt::test]
async fn a_dead_primary_is_replaced() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = hosts(&fleet).await;
    all_see(&hosts, &server_name(0)).await;
    fleet.server(&server_name(0)).set_faults(Faults {
        dead: true,
        ..Faults::default()
    });
    for host in &hosts {
        host.cannot_reach(&[&server_name(0)]);
    }
    let next = eventually("another server leads", || async {
        let primary = hosts[0].primary()?;
        (primary != server_name(0)).then_some(primary)
    })
    .await;
    all_see(&hosts, &next).await;
}
