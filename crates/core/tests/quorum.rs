//! Whether a host may acknowledge writes, by its contact with most of the others.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_core::key::HostKey;
use flamingopost_core::names::Names;
use flamingopost_core::quorum::{
    CLOCK_MARGIN, GONE_TIMEOUT, HEARTBEAT_INTERVAL, LEASE_DURATION, Quorum, StoreLease,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn hosts(count: usize) -> Vec<HostKey> {
    let mut names: Names<HostKey> = Names::default();
    (0..count)
        .map(|i| names.intern(&format!("entry-{i}")))
        .collect()
}

/// Two hosts of six are cut off together with a primary. They would go on telling clerks that
/// sales are recorded, which the successor of that primary does not have.
#[test]
fn a_minority_partition_loses_its_lease() {
    let others = hosts(5);
    let mut quorum = Quorum::default();
    quorum.set_hosts(others.iter().copied().collect(), ms(0));
    others
        .iter()
        .for_each(|host| quorum.record_reply(*host, ms(1_000)));
    assert!(quorum.holds_lease(ms(1_000) + LEASE_DURATION - ms(1)));
    quorum.record_reply(others[0], ms(1_500));
    assert!(
        !quorum.holds_lease(ms(1_000) + LEASE_DURATION),
        "two of six are not most"
    );
}

/// A host has started, and the store has not told it yet which others there are. It took itself for
/// the whole fleet: it wrote to a primary that most hosts had had replaced.
#[test]
fn a_host_that_does_not_know_the_others_holds_no_lease() {
    let mut quorum = Quorum::default();
    assert!(!quorum.knows_hosts());
    assert!(!quorum.holds_lease(ms(1_000)));
    quorum.set_hosts(BTreeSet::new(), ms(1_000));
    assert!(quorum.knows_hosts());
    assert!(quorum.holds_lease(ms(1_000)), "it is the only one");
}

/// In a large fleet a few hosts are asked by all. One that is not among them counts only those:
/// its own opinion is no part of a majority.
#[test]
fn a_host_that_is_no_elector_counts_only_electors() {
    let others = hosts(3);
    let mut quorum = Quorum::default();
    quorum.set_elector(false);
    quorum.set_hosts(others.iter().copied().collect(), ms(0));
    quorum.record_reply(others[0], ms(1_000));
    assert!(!quorum.holds_lease(ms(1_100)), "one of three");
    quorum.record_reply(others[1], ms(1_000));
    assert!(quorum.holds_lease(ms(1_100)));
}

/// Most hosts are killed at once. The one that is left has nobody to ask, but the platform's
/// store says that nobody replaces the primary: writes go on.
#[test]
fn a_store_lease_replaces_the_majority() {
    let mut quorum = Quorum::default();
    quorum.set_hosts(hosts(5).into_iter().collect(), ms(0));
    assert!(!quorum.holds_lease(ms(2_000)));
    let mut lease = StoreLease::default();
    assert!(!lease.holds_lease(ms(2_000)));
    lease.renew(ms(2_000));
    assert!(lease.holds_lease(ms(2_100)));
    assert!(!lease.holds_lease(ms(2_000) + LEASE_DURATION));
}

/// A host was removed for good without notice and stays in the list. It must not count for ever:
/// with one more lost, half of the list would be no majority any more.
#[test]
fn a_host_that_is_gone_for_good_does_not_count() {
    let others = hosts(3);
    let mut quorum = Quorum::default();
    quorum.set_hosts(others.iter().copied().collect(), ms(0));
    let now = GONE_TIMEOUT + ms(500);
    quorum.record_message(others[0], now);
    quorum.record_message(others[1], now);
    quorum.record_reply(others[0], now);
    assert!(quorum.holds_lease(now), "two of three that are there");
    assert_eq!(quorum.gone_hosts(now), BTreeSet::from([others[2]]));
}

/// A host alone in its fleet, or one that all others have answered, waits for nobody: with the
/// moment of the question as the answer, a step that had begun before it never found it quiet.
#[test]
fn no_lease_is_waited_for_when_all_hosts_have_answered() {
    let others = hosts(2);
    let mut quorum = Quorum::default();
    assert_eq!(quorum.leases_end(&BTreeSet::new(), ms(5_000)), ms(0));
    quorum.set_hosts(others.iter().copied().collect(), ms(0));
    let told = others.into_iter().collect();
    assert_eq!(quorum.leases_end(&told, ms(5_000)), ms(0));
}

/// Where nobody is heard, it is this host that is cut off, however long it lasts.
#[test]
fn an_isolated_host_counts_no_host_as_gone() {
    let mut quorum = Quorum::default();
    quorum.set_hosts(hosts(4).into_iter().collect(), ms(0));
    assert!(quorum.gone_hosts(GONE_TIMEOUT * 4).is_empty());
    assert!(!quorum.holds_lease(GONE_TIMEOUT * 4));
}

/// A promotion takes no less than this from its order, on any of the users' deployments.
const PROMOTION: Duration = Duration::from_millis(300);

/// Hosts exchange heartbeats over links that lose, delay and cut, one way too. As soon as one part
/// may order a promotion, it does, and its heartbeats tell of it. When the successor leads, no host
/// that was cut off and has not been told may rely on the primary before.
///
/// Cut one way, a host that nobody hears may still be answered, and one that is heard may not: both
/// sides of a contact have to be looked at, which is why the order waits from when a host was last
/// heard and the lease runs from when the question was sent.
#[test]
fn no_host_relies_on_a_primary_whose_successor_leads() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..8);
        let keys = hosts(count);
        let mut quorums: Vec<Quorum> = (0..count)
            .map(|own| {
                let mut quorum = Quorum::default();
                let others = keys.iter().enumerate().filter(|(i, _)| *i != own);
                quorum.set_hosts(others.map(|(_, key)| *key).collect(), ms(0));
                quorum
            })
            .collect();
        // From some moment on, the last hosts hear nothing of the others or are not heard.
        let cut = rng.random_range(1..=count / 2);
        let cut_at = ms(rng.random_range(500..3_000));
        let (inward, outward) = match rng.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        let mut ordered = None;
        let mut told_of_it = vec![false; count];
        let mut now = ms(0);
        while now < ms(8_000) {
            for from in 0..count {
                for to in 0..count {
                    let crosses = (from >= count - cut) != (to >= count - cut);
                    let asks_in = to >= count - cut;
                    let severed = crosses && now >= cut_at;
                    let blocked = |into: bool| severed && if into { inward } else { outward };
                    if from == to || rng.random_bool(0.1) || blocked(asks_in) {
                        continue;
                    }
                    quorums[to].record_message(keys[from], now + ms(2));
                    if !blocked(!asks_in) {
                        quorums[from].record_reply(keys[to], now);
                        quorums[from].record_message(keys[to], now + ms(4));
                        told_of_it[from] |= ordered.is_some() && to < count - cut;
                    }
                }
            }
            now += HEARTBEAT_INTERVAL;
            // The first host orders a promotion, with the word of all that are not cut off.
            let told: BTreeSet<HostKey> = keys[..count - cut].iter().copied().collect();
            let quiet = now >= quorums[0].leases_end(&told, now);
            if now >= cut_at && quiet {
                ordered.get_or_insert(now);
            }
            let late = quiet && now >= cut_at + LEASE_DURATION + CLOCK_MARGIN + ms(10);
            let leads = ordered.is_some_and(|at| now >= at + PROMOTION);
            for (writer, told) in quorums.iter().zip(&told_of_it).skip(count - cut) {
                let alone = cut * 2 < count;
                assert!(
                    !(leads && alone && !told && writer.holds_lease(now)),
                    "seed {seed}: a write at {now:?} while the successor leads"
                );
                assert!(
                    !(late && alone && writer.holds_lease(now)),
                    "seed {seed}: a write at {now:?} after the order"
                );
            }
        }
    }
}
