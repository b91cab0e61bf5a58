//! Detection of a stuck feed.

use std::time::Duration;

use flamingopost_core::feed::{Feed, STUCK_AFTER, STUCK_AFTER_MAX};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sixty-five hosts each repeated their call to the store every five seconds, to detect a feed that
/// no longer delivers changes. With the reports of other hosts, a host detects it within a second of
/// them, however long its own call waits.
#[test]
fn a_feed_behind_its_peers_becomes_stuck() {
    let mut feed = Feed::default();
    feed.record_read(10, Some(10));
    feed.record_peer_read(12, at(1_000));
    assert!(!feed.is_stuck(at(1_399)), "the change may still arrive");
    assert!(feed.is_stuck(at(1_400)));
}

/// Versions count the changes of all tables together. A host that has read up to version 20, with 12
/// as the last change of this table, has read every change of it that other hosts have.
#[test]
fn changes_of_other_tables_do_not_count() {
    let mut feed = Feed::default();
    feed.record_read(20, Some(12));
    feed.record_peer_read(15, at(0));
    assert!(!feed.is_stuck(at(60_000)));
    assert_eq!(
        feed.newest(),
        12,
        "the last change of the table is reported, not the version"
    );
}

/// The store refuses one host while others read changes from it. The host retries at growing
/// intervals, and stops as soon as it has caught up.
#[test]
fn a_host_refused_by_the_store_retries_with_backoff() {
    let mut feed = Feed::default();
    feed.record_read(10, None);
    let mut asked = Vec::new();
    for now in (0..20_000).step_by(50) {
        feed.record_peer_read(11 + now / 1_000, at(now));
        if feed.is_stuck(at(now)) {
            asked.push(now);
            feed.record_retry(at(now));
        }
    }
    let gaps: Vec<u64> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(gaps[..3], [800, 1_600, 3_200]);
    let most = u64::try_from(STUCK_AFTER_MAX.as_millis()).unwrap();
    assert!(gaps[3..].iter().all(|gap| *gap == most), "{gaps:?}");
    feed.record_read(40, Some(30));
    assert!(!feed.is_stuck(at(30_000)));
    feed.record_peer_read(41, at(30_000));
    assert!(
        feed.is_stuck(at(30_000) + STUCK_AFTER),
        "the backoff starts over"
    );
}
