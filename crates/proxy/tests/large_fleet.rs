//! The work of one host in fleets of up to 2,000 hosts and 1,000 services. It follows from the
//! services that the host serves or decides on, not from all of them.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use common::no_store::NoStore;
use common::{NoProtocol, fleet_of, host_list, peer, service, serving, without_tasks};
use flamingopost_proxy::election::Election;
use flamingopost_proxy::fleet::Fleet;
use flamingopost_proxy::peer::Socket;
use flamingopost_proxy::platform::Change;
use tokio::task::LocalSet;

/// Hosts and services of each fleet.
const FLEETS: [(usize, usize); 5] = [
    (30, 8),
    (100, 100),
    (300, 1_000),
    (1_000, 1_000),
    (2_000, 1_000),
];

/// Hosts that a service may involve in all: nine that decide, and four in each of four zones.
const INVOLVED_HOSTS: usize = 9 + 16;

/// Greatest number of services of a host, as a multiple of the mean.
const SHARE: usize = 3;

/// Entries that one change of the list may cost for each host, whatever the number of services.
const ENTRIES_PER_HOST: u64 = 8;

fn followed(fleet: &Fleet<NoProtocol>, services: usize) -> usize {
    (0..services)
        .map(service)
        .filter(|it| fleet.follows(it))
        .count()
}

/// Guards against hosts that run something for each service of a fleet.
#[test]
fn a_host_follows_its_share_of_the_services() {
    without_tasks(|| {
        for (hosts, services) in FLEETS {
            let limit = (SHARE * INVOLVED_HOSTS * services)
                .div_ceil(hosts)
                .min(services);
            for number in [0, hosts / 2, hosts - 1] {
                let fleet = fleet_of(hosts, services, number);
                let followed = followed(&fleet, services);
                assert!(
                    followed <= limit,
                    "{hosts} hosts, {services} services: {followed}"
                );
            }
        }
    });
}

/// Guards against steps, searches and log reports for services that a host does not follow.
#[test]
fn the_tasks_of_other_services_wait() {
    let (hosts, services) = (1_000, 1_000);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let socket = Socket::bind(loopback).await.expect("a port");
        let fleet = Rc::new(fleet_of(hosts, services, 0));
        let site = Rc::new(common::site(0));
        let election = Election::new(site, Rc::clone(&fleet), Rc::new(NoStore), Rc::new(socket));
        Rc::new(election).start_new_services();
        let run = || {
            fleet
                .services()
                .iter()
                .filter(|it| it.is_followed())
                .count()
        };
        let expected = followed(&fleet, services);
        let started = Instant::now();
        while run() < expected && started.elapsed() < Duration::from_secs(10) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(run(), expected);
    });
}

/// Guards against a service that no host follows.
#[test]
fn each_service_is_followed_by_the_first_hosts() {
    without_tasks(|| {
        let (hosts, services) = (100, 20);
        let mut counts = vec![0; services];
        for number in 0..hosts {
            let fleet = fleet_of(hosts, services, number);
            for (count, name) in counts.iter_mut().zip((0..services).map(service)) {
                *count += usize::from(fleet.follows(&name));
            }
        }
        assert!(
            counts.iter().all(|it| (9..=INVOLVED_HOSTS).contains(it)),
            "{counts:?}"
        );
    });
}

/// Guards against a host that starts work for each service before it knows the other hosts.
#[test]
fn nothing_is_followed_before_the_hosts_are_known() {
    without_tasks(|| assert_eq!(followed(&common::unlisted(0), common::SERVICES), 0));
}

/// Guards against a change of the list that iterates over all hosts for each service.
#[test]
fn a_change_of_the_list_does_not_iterate_over_hosts_for_each_service() {
    without_tasks(|| {
        for (hosts, services) in FLEETS {
            let fleet = fleet_of(hosts, services, 0);
            followed(&fleet, services);
            let before = fleet.examined_hosts();
            fleet.apply_host_changes(vec![Change::Removed(peer(hosts / 2 + 1).host)]);
            followed(&fleet, services);
            let examined = fleet.examined_hosts() - before;
            // The zone's hosts are iterated over for the services that the host has served.
            let served = (INVOLVED_HOSTS * services).div_ceil(hosts) as u64 * SHARE as u64;
            let limit = (ENTRIES_PER_HOST + served) * hosts as u64;
            assert!(
                examined <= limit,
                "{hosts} hosts, {services} services: {examined}"
            );
        }
    });
}

/// Guards against results that differ between a host that has seen the list change and one that has
/// read it as it is now: they would send to different hosts, or act at the same turn.
#[test]
fn results_after_changes_are_those_of_the_whole_list() {
    without_tasks(|| {
        let (hosts, services) = (120, 30);
        let names: Vec<String> = (0..services).map(service).collect();
        for number in [0, 7, 50] {
            let changed = fleet_of(hosts, services, number);
            followed(&changed, services);
            let gone: Vec<usize> = (1..hosts)
                .filter(|it| it % 3 == 0 && *it != number)
                .collect();
            for host in &gone {
                changed.apply_host_changes(vec![Change::Removed(peer(*host).host)]);
                followed(&changed, services);
            }
            let back = gone.iter().take(10).map(|host| Change::Put(peer(*host)));
            changed.apply_host_changes(back.collect());
            let left = host_list(hosts).into_iter().enumerate();
            let left = left.filter(|(host, _)| !gone[10..].contains(host));
            let whole = fleet_of(1, services, number);
            whole.apply_host_list(left.map(|(_, entry)| entry).collect());
            for name in &names {
                assert_eq!(changed.rank(name), whole.rank(name), "{name}");
                let homes = serving(&changed, number, name);
                assert_eq!(homes, serving(&whole, number, name), "{name}");
            }
        }
    });
}
