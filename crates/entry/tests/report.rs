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
        let taken = tallies.take(&servers);
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
        assert_eq!(tallies.take(&servers).len(), servers.len());
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
    let taken = tallies.take(&servers);
    assert!(tallies.take(&servers).is_empty());
    tallies.restore(&taken);
    tallies.note(server, Outcome::Failed, SECOND);
    let report = tallies.take(&servers)[&server].report(SECOND);
    assert_eq!((report.failures, report.broken), (2, 1));
}
