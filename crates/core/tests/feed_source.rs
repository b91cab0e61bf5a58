//! Choice between the store and the hosts that follow it.

use std::time::Duration;

use flamingopost_core::feed::source::{Failure, Selector, Source};
use flamingopost_core::key::HostKey;
use flamingopost_core::names::Names;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Three hosts, and a selector that has read the store once.
fn started() -> (Vec<HostKey>, Selector) {
    let mut names: Names<HostKey> = Names::default();
    let hosts = ["entry-2", "entry-3", "entry-4"].map(|name| names.intern(name));
    let mut selector = Selector::default();
    selector.record_store_answer();
    (hosts.to_vec(), selector)
}

/// Guards against a host that starts with a list of another host: it must read the store itself
/// until that has answered once, also after failed reads.
#[test]
fn the_first_read_goes_to_the_store() {
    let (hosts, _) = started();
    let mut selector = Selector::default();
    assert_eq!(selector.next(&hosts, at(0)), Source::Store);
    selector.record_store_failure();
    assert_eq!(selector.next(&hosts, at(200)), Source::Store);
    selector.record_store_answer();
    assert_eq!(selector.next(&hosts, at(400)), Source::Host(hosts[0]));
}

/// Guards against a host that keeps following others while it has no contact with a majority, or
/// none at all.
#[test]
fn without_hosts_to_follow_the_store_is_read() {
    let (hosts, mut selector) = started();
    assert_eq!(selector.next(&hosts, at(0)), Source::Host(hosts[0]));
    assert_eq!(selector.next(&[], at(1)), Source::Store);
    assert_eq!(selector.next(&hosts[1..], at(2)), Source::Host(hosts[1]));
}

/// Guards against a follower that stays late because its source is: it reads the store at once, and
/// the late host is not asked again for some time.
#[test]
fn a_follower_that_is_behind_reads_the_store_and_then_another_host() {
    let (hosts, mut selector) = started();
    selector.record_failure(hosts[0], Failure::Behind, at(0));
    assert_eq!(selector.next(&hosts, at(0)), Source::Store);
    selector.record_store_answer();
    assert_eq!(selector.next(&hosts, at(10)), Source::Host(hosts[1]));
    assert_eq!(selector.next(&hosts, at(5_000)), Source::Host(hosts[0]));
}

/// Guards against a follower that stays late because the store turns it away after its source was
/// late: another host may have the changes.
#[test]
fn a_follower_that_is_behind_and_turned_away_asks_another_host() {
    let (hosts, mut selector) = started();
    selector.record_failure(hosts[0], Failure::Behind, at(0));
    selector.record_store_failure();
    assert_eq!(selector.next(&hosts, at(1)), Source::Host(hosts[1]));
}

/// Guards against calls of every host to a store that is down for all: followers wait at a host
/// that calls the store, and at another one the next time.
#[test]
fn while_no_host_can_read_the_store_followers_wait_for_one() {
    let (hosts, mut selector) = started();
    for (place, host) in hosts.iter().enumerate() {
        assert_eq!(selector.next(&hosts, at(0)), Source::Host(*host));
        selector.record_failure(*host, Failure::Outage, at(place as u64));
    }
    assert_eq!(selector.next(&hosts, at(10)), Source::Recovering(hosts[0]));
    selector.record_failure(hosts[0], Failure::Outage, at(2_000));
    let next = selector.next(&hosts, at(2_000));
    assert_eq!(next, Source::Recovering(hosts[1]));
    selector.record_host_answer(hosts[1]);
    assert_eq!(selector.next(&hosts, at(2_001)), Source::Host(hosts[1]));
}

/// Guards against followers of hosts that serve no feeds, as those of the former build do not: the
/// store is read.
#[test]
fn if_no_host_serves_the_feed_the_store_is_read() {
    let (hosts, mut selector) = started();
    for host in &hosts {
        selector.record_failure(*host, Failure::Unusable, at(0));
    }
    assert_eq!(selector.next(&hosts, at(1)), Source::Store);
    selector.record_store_answer();
    assert_eq!(selector.next(&hosts, at(2)), Source::Store);
    assert_eq!(selector.next(&hosts, at(5_000)), Source::Host(hosts[0]));
}

/// Guards against a follower that waits for an outage to end although one host can read the store.
#[test]
fn one_host_that_can_read_the_store_is_enough() {
    let (hosts, mut selector) = started();
    selector.record_failure(hosts[0], Failure::Outage, at(0));
    selector.record_failure(hosts[1], Failure::Unusable, at(0));
    assert_eq!(selector.next(&hosts, at(1)), Source::Host(hosts[2]));
}
