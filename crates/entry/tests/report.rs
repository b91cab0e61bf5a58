//! Reports on backend servers stay small and lose nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::key::ServerKey;
use flamingopost_entry::report::{HEALTHY, Outcome, Tallies};

const SECOND: Duration = Duration::from_secs(1);

fn servers(count: usize) -> BTreeSet<ServerKey> {
    let mut names = Directory::default();
    let names = (0..count).map(|number| names.servers.intern(&format!("server-{number}")));
    names.collect()
}

#[test]
fn servers_without_trouble_take_turns() {
    let servers = servers(3 * HEALTHY);
    let mut tallies = Tallies::default();
    let mut seen = BTreeSet::new();
    for _ in 0..3 {
        for server in &servers {
            tallies.note(*server, Outcome::Answered(None), SECOND);
        }
        let taken = tallies.take(&servers, &servers);
        assert_eq!(taken.len(), HEALTHY);
        seen.extend(taken.into_keys());
    }
    assert_eq!(seen, servers);
}

/// A switch dies and takes a hundred servers with it. All of them have to be in the next report,
/// however many there are, and again in the one after.
#[test]
fn servers_in_trouble_are_all_reported_each_time() {
    let servers = servers(4 * HEALTHY);
    let mut tallies = Tallies::default();
    for _ in 0..2 {
        for server in &servers {
            tallies.note(*server, Outcome::Failed, SECOND);
        }
        assert_eq!(tallies.take(&servers, &servers).len(), servers.len());
    }
}

#[test]
fn only_the_first_failure_in_a_row_is_news() {
    let server = *servers(1).first().unwrap();
    let mut tallies = Tallies::default();
    assert!(tallies.note(server, Outcome::Broken, SECOND));
    assert!(!tallies.note(server, Outcome::Failed, SECOND));
    assert!(!tallies.note(server, Outcome::Answered(None), SECOND));
    assert!(tallies.note(server, Outcome::Failed, SECOND));
}

#[test]
fn what_was_put_back_is_reported_again() {
    let servers = servers(1);
    let server = *servers.first().unwrap();
    let mut tallies = Tallies::default();
    tallies.note(server, Outcome::Broken, SECOND);
    let taken = tallies.take(&servers, &servers);
    assert!(tallies.take(&servers, &servers).is_empty());
    tallies.restore(&taken);
    tallies.note(server, Outcome::Failed, SECOND);
    let report = tallies.take(&servers, &servers)[&server].report(SECOND);
    assert_eq!((report.failures, report.broken), (2, 1));
}

/// A replica that answers is of no interest to anybody; one that does not is.
#[test]
fn of_replicas_only_trouble_is_reported() {
    let servers = servers(2);
    let (primary, replica) = (*servers.first().unwrap(), *servers.last().unwrap());
    let primaries = BTreeSet::from([primary]);
    let mut tallies = Tallies::default();
    tallies.note(primary, Outcome::Answered(None), SECOND);
    tallies.note(replica, Outcome::Answered(None), SECOND);
    let taken = tallies.take(&servers, &primaries);
    assert_eq!(taken.keys().collect::<Vec<_>>(), [&primary]);
    assert_eq!(taken[&primary].report(SECOND), Default::default());
    tallies.note(replica, Outcome::Failed, SECOND);
    assert!(tallies.take(&servers, &primaries).contains_key(&replica));
}
