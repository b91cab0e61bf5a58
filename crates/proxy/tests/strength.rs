//! Tasks are shared out by the strength that hosts have announced, and alike on all hosts.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use common::without_tasks;
use common::{
    STRONG, WEAK, elected, fleet_of, peer, service, serving, weighed_fleet, weighed_peer,
};
use flamingopost_proxy::fleet::Fleet;
use flamingopost_proxy::platform::Change;

const HOSTS: usize = 320;
const SERVICES: usize = 1_000;

/// Electors of a large fleet.
const ELECTORS: usize = 7;

/// Returns for how many services each host of the zone of host 0 is a home, as host 0 sees it.
fn homes(fleet: &Fleet<common::NoProtocol>) -> BTreeMap<SocketAddr, usize> {
    let mut homes = BTreeMap::new();
    for name in (0..SERVICES).map(service) {
        for home in serving(fleet, 0, &name).expect("crowded") {
            *homes.entry(home).or_default() += 1;
        }
    }
    homes
}

/// Guards against electors that cannot answer all hosts: most hosts of a large fleet have an eighth
/// of a core, and leases of all of them ended while such electors were late.
#[test]
fn electors_are_the_strongest_hosts_and_the_same_on_all_hosts() {
    without_tasks(|| {
        let chosen = elected(&weighed_fleet(HOSTS, 1, 0), 0);
        assert_eq!(chosen.len(), ELECTORS);
        let strong: Vec<String> = (0..HOSTS)
            .map(weighed_peer)
            .filter(|it| it.strength == Some(STRONG))
            .map(|it| it.host)
            .collect();
        assert!(chosen.iter().all(|it| strong.contains(it)), "{chosen:?}");
        for number in [1, 80, 163, HOSTS - 1] {
            assert_eq!(elected(&weighed_fleet(HOSTS, 1, number), number), chosen);
        }
    });
}

/// Guards against two sets of electors while hosts of an earlier build, which announce no strength,
/// are still there: majorities of both could rely on different primaries.
#[test]
fn one_host_without_a_strength_leaves_the_electors_to_the_hash() {
    without_tasks(|| {
        let by_hash = elected(&fleet_of(HOSTS, 1, 0), 0);
        let fleet = weighed_fleet(HOSTS, 1, 0);
        assert_ne!(elected(&fleet, 0), by_hash);
        fleet.apply_host_changes(vec![Change::Put(peer(7))]);
        assert_eq!(elected(&fleet, 0), by_hash);
        fleet.apply_host_changes(vec![Change::Put(weighed_peer(7))]);
        assert_eq!(elected(&fleet, 0), elected(&weighed_fleet(HOSTS, 1, 0), 0));
    });
}

/// Guards against hosts that are home to many times their share of the services: by the plain hash
/// one host of 80 served a fifth of them, and weak hosts as many as strong ones.
#[test]
fn homes_are_shared_out_by_strength() {
    without_tasks(|| {
        let homes = homes(&weighed_fleet(HOSTS, SERVICES, 0));
        let zone: Vec<_> = (0..HOSTS).step_by(4).map(weighed_peer).collect();
        let places = |it: &flamingopost_proxy::platform::Peer| {
            it.strength.map_or(0, |strength| strength.places() as usize)
        };
        let all: usize = zone.iter().map(places).sum();
        let total: usize = homes.values().sum();
        for host in &zone {
            let served = homes.get(&host.address).copied().unwrap_or_default();
            let fair = total * places(host) / all;
            let limit = match host.strength {
                Some(WEAK) => 3 * fair,
                _ => fair * 3 / 2,
            };
            assert!(served <= limit, "{}: {served} of {fair}", host.host);
        }
    });
}

/// Guards against homes, ranks and connections that differ between hosts.
#[test]
fn all_hosts_of_a_zone_choose_the_same_homes() {
    without_tasks(|| {
        let (hosts, services) = (120, 10);
        let names: Vec<String> = (0..services).map(service).collect();
        let mut ranks: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        let first = weighed_fleet(hosts, services, 0);
        for number in 0..hosts {
            let fleet = weighed_fleet(hosts, services, number);
            for name in &names {
                ranks.entry(name).or_default().push(fleet.rank(name));
                if number % 4 == 0 {
                    assert_eq!(serving(&fleet, number, name), serving(&first, 0, name));
                }
            }
        }
        for (name, mut ranks) in ranks {
            ranks.sort_unstable();
            let each: Vec<u32> = (0..).take(hosts).collect();
            assert_eq!(ranks, each, "{name}");
        }
    });
}
