//! The work and the messages of one host in fleets of 30, 100 and 300 hosts. None of them may grow
//! faster than the fleet, and most not at all.

mod common;

use std::time::Duration;

use common::{NoProtocol, SERVICES, fleet, host_list, peer, service, unlisted, without_tasks};
use flamingopost_core::key::ServerKey;
use flamingopost_proxy::fleet::Fleet;
use flamingopost_proxy::platform::Change;
use flamingopost_proxy::shared_probe::{SHARING_WINDOW, SharedProbes};
use slotmap::SlotMap;

const SIZES: [usize; 3] = [30, 100, 300];

/// Entries that one change of the list may cost for each host of the fleet: for the electors, the
/// zones, and for each service its serving hosts, their connections and the rank.
const ENTRIES_PER_HOST: u64 = 4 + 3 * SERVICES as u64;

/// Connections of each server, which bound the number of hosts that hold some.
const CONNECTIONS: usize = 56;

/// Returns how many entries of hosts `work` iterates over.
fn examined<T>(fleet: &Fleet<NoProtocol>, work: impl FnOnce() -> T) -> u64 {
    let before = fleet.examined_hosts();
    work();
    fleet.examined_hosts() - before
}

/// Asks everything that sessions, heartbeats, elections and limits of teams ask.
fn ask_everything(fleet: &Fleet<NoProtocol>) {
    for service in (0..SERVICES).map(service) {
        fleet.serves(&service);
        fleet.serving_hosts(&service);
        fleet.connection_holders(&service);
        fleet.rank(&service);
        fleet.grantors(&service);
    }
    fleet.electors();
    fleet.peers();
}

/// Guards against work on all hosts for each session, request or election step.
#[test]
fn questions_between_two_changes_cost_nothing() {
    without_tasks(|| {
        for hosts in SIZES {
            let fleet = fleet(hosts, 0);
            ask_everything(&fleet);
            let repeated = (0..1_000).map(|_| examined(&fleet, || ask_everything(&fleet)));
            assert_eq!(repeated.sum::<u64>(), 0, "{hosts} hosts");
        }
    });
}

/// Guards against a change of the list whose cost grows faster than the list.
#[test]
fn a_change_of_the_list_costs_a_fixed_amount_for_each_host() {
    without_tasks(|| {
        for hosts in SIZES {
            let fleet = fleet(hosts, 0);
            let limit = ENTRIES_PER_HOST * hosts as u64;
            let whole = examined(&fleet, || {
                fleet.apply_host_list(host_list(hosts));
                ask_everything(&fleet);
            });
            assert!(whole <= limit, "{hosts} hosts: {whole} entries for a list");
            let single = examined(&fleet, || {
                fleet.apply_host_changes(vec![Change::Put(peer(1))]);
                ask_everything(&fleet);
            });
            assert!(
                single <= limit,
                "{hosts} hosts: {single} entries for a change"
            );
        }
    });
}

/// Guards against a start at which the entry of each other host costs an iteration over all hosts.
#[test]
fn many_changes_cost_as_much_as_one() {
    without_tasks(|| {
        for hosts in SIZES {
            let fleet = unlisted(0);
            let changes = (1..hosts).map(|number| Change::Put(peer(number))).collect();
            let entries = examined(&fleet, || fleet.apply_host_changes(changes));
            let limit = ENTRIES_PER_HOST * hosts as u64;
            assert!(entries <= limit, "{hosts} hosts: {entries} entries");
        }
    });
}

/// Guards against messages of each host to the whole fleet: heartbeats, questions about a primary,
/// and connection shortages.
#[test]
fn messages_of_a_host_do_not_grow_with_the_fleet() {
    without_tasks(|| {
        for hosts in SIZES {
            for number in 0..hosts {
                let fleet = fleet(hosts, number);
                assert!(fleet.electors().len() <= 7, "{hosts} hosts");
                for service in (0..SERVICES).map(service) {
                    let told = fleet.connection_holders(&service).len();
                    assert!(told < CONNECTIONS, "{hosts} hosts: {told} messages");
                }
            }
        }
    });
}

/// Guards against servers that are connected to by each elector once for each host that asks about
/// them.
#[test]
fn probes_do_not_grow_with_the_hosts_that_ask() {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let server = keys.insert(());
    for hosts in SIZES {
        let mut probes = SharedProbes::default();
        let asked = (0..hosts).filter_map(|host| probes.ask(server, host, Duration::ZERO));
        let started: Vec<_> = asked.collect();
        assert_eq!(started.len(), 1, "{hosts} hosts");
        let answered: usize = started.into_iter().map(|it| probes.finish(it).len()).sum();
        assert_eq!(answered, hosts, "every host gets an answer");
    }
}

/// Guards against an answer that rests on a probe from long before the question, and against an
/// asker that is answered twice or never.
#[test]
fn a_late_question_starts_a_probe_of_its_own() {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let (server, other) = (keys.insert(()), keys.insert(()));
    let mut probes = SharedProbes::default();
    let first = probes.ask(server, 1, Duration::ZERO).expect("a probe");
    assert!(probes.ask(other, 2, Duration::ZERO).is_some());
    let second = probes.ask(server, 3, SHARING_WINDOW).expect("a probe");
    assert_eq!(probes.ask(server, 4, SHARING_WINDOW), None);
    assert_eq!(probes.finish(first), [1]);
    assert_eq!(
        probes.ask(server, 5, SHARING_WINDOW),
        None,
        "the second goes on"
    );
    assert_eq!(probes.finish(second), [3, 4, 5]);
    assert!(
        probes.ask(server, 6, SHARING_WINDOW).is_some(),
        "none is in flight"
    );
}
