//! Electors, serving hosts and ranks that follow from the list of hosts.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{
    configuration, elected, fleet, host_list, peer, server_list, service, serving, without_tasks,
};
use flamingopost_proxy::platform::Change;

const SIZES: [usize; 4] = [9, 30, 100, 300];

/// Guards against hosts that disagree on the electors, and then on which majority counts.
#[test]
fn all_hosts_compute_the_same_electors() {
    without_tasks(|| {
        for hosts in SIZES {
            let expected = elected(&fleet(hosts, 0), 0);
            for number in (0..hosts).step_by(7) {
                assert_eq!(
                    elected(&fleet(hosts, number), number),
                    expected,
                    "{hosts} hosts"
                );
            }
        }
    });
}

/// Guards against a serving host that the other hosts of its zone do not relay to.
#[test]
fn all_hosts_of_a_zone_compute_the_same_serving_hosts() {
    without_tasks(|| {
        for hosts in [100, 300] {
            for number in (0..hosts).step_by(7) {
                let (fleet, other) = (fleet(hosts, number), fleet(hosts, number % 4));
                for service in (0..common::SERVICES).map(service) {
                    let here = serving(&fleet, number, &service);
                    assert_eq!(here, serving(&other, number % 4, &service));
                    let own = peer(number).address;
                    let serves = here.is_none_or(|hosts| hosts.contains(&own));
                    assert_eq!(fleet.serves(&service), serves);
                }
            }
        }
    });
}

/// Guards against two hosts that act at the same turn.
#[test]
fn ranks_are_a_permutation_of_the_hosts() {
    without_tasks(|| {
        let hosts = 100;
        let ranks: BTreeSet<u32> = (0..hosts)
            .map(|it| fleet(hosts, it).rank("ledger"))
            .collect();
        assert_eq!(ranks.len(), hosts);
        assert_eq!(ranks.last(), Some(&99));
    });
}

/// Guards against results that are kept although the list of hosts, the servers' slots or the
/// configuration has changed since.
#[test]
fn a_change_is_followed() {
    without_tasks(|| {
        let name = service(0);
        let fleet = fleet(100, 0);
        let (electors, ranks) = (elected(&fleet, 0), fleet.rank(&name));
        let before = serving(&fleet, 0, &name).expect("crowded");
        assert_eq!((fleet.peers().len(), ranks), (99, fleet.rank(&name)));

        let gone = (1..100).rev().map(|it| Change::Removed(peer(it).host));
        fleet.apply_host_changes(gone.clone().take(60).collect());
        assert_eq!(fleet.peers().len(), 39);
        assert_ne!(elected(&fleet, 0), electors);
        assert!(fleet.rank(&name) < 40);
        fleet.apply_host_changes(gone.collect());
        assert_eq!((serving(&fleet, 0, &name), fleet.rank(&name)), (None, 0));

        fleet.apply_host_list(host_list(100));
        assert_eq!(serving(&fleet, 0, &name), Some(before.clone()));
        assert_eq!(elected(&fleet, 0), electors);

        fleet.apply_server_list(server_list(1));
        let narrow = serving(&fleet, 0, &name).expect("crowded");
        assert!(narrow.len() < before.len(), "{narrow:?}");
        fleet.apply_server_list(server_list(32));
        fleet.adopt(configuration(2, 200).into(), Duration::ZERO);
        assert_eq!(serving(&fleet, 0, &name), None, "room for all");
    });
}
