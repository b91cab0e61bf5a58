//! Feeds that a host serves to others.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::digest::Digest;
use flamingopost_core::epoch::Epoch;
use flamingopost_core::limit::Limit;
use flamingopost_proxy::fault::Fault;
use flamingopost_proxy::feeds::published::{Batch, Published, Standing};
use flamingopost_proxy::feeds::query::{Query, Table};
use flamingopost_proxy::feeds::wire::{Answer, Item, WireConfiguration, WireEntry, WirePeer};
use flamingopost_proxy::fleet::relay_order;
use flamingopost_proxy::platform::{
    Change, Configuration, Entry, Error, Peer, Read, Revision, Service,
};
use flamingopost_proxy::route::{Consistency, Route};
use flamingopost_proxy::team::{Directory, Team};
use flamingopost_proxy::unusable::UnusableEntry;

fn peer(number: usize) -> Peer {
    Peer {
        host: format!("entry-{number}"),
        zone: format!("zone-{}", number % 4),
        address: format!("10.1.0.{number}:7440").parse().expect("an address"),
        strength: None,
        protocol: 1,
    }
}

fn revision(count: u64) -> Revision {
    Revision::new(Epoch(2), count)
}

fn read<T>(value: T, count: u64) -> Read<T> {
    let newest = Some(revision(count));
    Read {
        value,
        revision: revision(count),
        newest,
    }
}

fn query(count: u64) -> Query {
    Query {
        table: Table::Hosts,
        after: revision(count),
        whole: false,
        recovering: false,
        wait: Duration::from_millis(20),
    }
}

async fn ask(published: &Published<Peer>, query: &Query) -> Answer<WirePeer> {
    let body = published.answer(query).await;
    postcard::from_bytes(&body).expect("an answer")
}

/// Returns the revision and the entries of an answer with a whole list.
fn list(answer: Answer<WirePeer>) -> (Revision, Vec<Entry<Peer>>) {
    let Answer::List {
        revision, entries, ..
    } = answer
    else {
        panic!("{answer:?}");
    };
    let entries = entries.into_iter().map(WireEntry::into_entry);
    (Revision(revision), entries.collect())
}

/// Returns the revision and the contents of an answer with changes.
fn changes(answer: Answer<WirePeer>) -> (Revision, Vec<Entry<Peer>>, Vec<String>) {
    let Answer::Changes {
        revision,
        entries,
        removed,
        ..
    } = answer
    else {
        panic!("{answer:?}");
    };
    let entries = entries.into_iter().map(WireEntry::into_entry);
    (Revision(revision), entries.collect(), removed)
}

/// A list of two hosts that was read at the store at revision 10.
fn followed() -> Published<Peer> {
    let published = Published::default();
    let entries = vec![Ok(peer(1)), Ok(peer(2))];
    published.record(&read(Batch::Snapshot(entries), 10), Standing::Followed);
    published
}

/// Guards against lists that are sent again although the asking host has them, and against changes
/// that it does not get.
#[tokio::test]
async fn a_list_is_sent_if_it_has_changed() {
    let published = followed();
    let (as_of, entries) = list(ask(&published, &query(9)).await);
    assert_eq!((as_of, entries.len()), (revision(10), 2));
    let unchanged = Answer::Unchanged {
        revision: revision(10).0,
    };
    assert_eq!(ask(&published, &query(10)).await, unchanged);
    let removed = vec![Change::Removed("entry-1".to_owned())];
    published.record(&read(Batch::Changes(removed), 12), Standing::Followed);
    let changed = changes(ask(&published, &query(10)).await);
    assert_eq!(changed, (revision(12), vec![], vec!["entry-1".to_owned()]));
    // The whole list is sent to a host that has read none or is to read it anew.
    let whole = Query {
        whole: true,
        ..query(10)
    };
    for query in [query(9), whole] {
        let (as_of, entries) = list(ask(&published, &query).await);
        assert_eq!((as_of, entries), (revision(12), vec![Ok(peer(2))]));
    }
    // Nothing has changed up to a later revision.
    published.record(&read(Batch::Changes(Vec::new()), 15), Standing::Followed);
    let unchanged = Answer::Unchanged {
        revision: revision(15).0,
    };
    assert_eq!(ask(&published, &query(12)).await, unchanged);
}

/// Guards against a host that goes back to an earlier list, because the host that it asks has read
/// less than itself or is in a former epoch.
#[tokio::test]
async fn a_host_that_has_read_less_delivers_no_list() {
    let published = followed();
    let whole = Query {
        whole: true,
        ..query(11)
    };
    assert_eq!(ask(&published, &whole).await, Answer::NotFollowed);
    let newer = Query {
        after: Revision::new(Epoch(3), 0),
        ..query(0)
    };
    assert_eq!(ask(&published, &newer).await, Answer::NotFollowed);
    let former = Query {
        after: Revision::new(Epoch(1), 900),
        ..query(0)
    };
    assert_eq!(list(ask(&published, &former).await).0, revision(10));
}

/// Guards against hosts that get a list from before a restore, or wait for its changes, at a host that
/// has heard of the restore and has not read the new list.
#[tokio::test]
async fn a_list_of_a_former_epoch_is_not_delivered() {
    let published = followed();
    let waiting = Query {
        wait: Duration::from_secs(20),
        ..query(10)
    };
    let hears = async {
        tokio::task::yield_now().await;
        published.record_epoch(Epoch(3));
    };
    let (answer, ()) = tokio::join!(ask(&published, &waiting), hears);
    assert_eq!(answer, Answer::NotFollowed);
    published.set_standing(Standing::Outage);
    assert_eq!(ask(&published, &query(9)).await, Answer::NotFollowed);
    let restored = Read {
        value: Batch::Snapshot(vec![Ok(peer(3))]),
        revision: Revision::new(Epoch(3), 1),
        newest: None,
    };
    published.record(&restored, Standing::Followed);
    let answer = list(ask(&published, &query(10)).await);
    assert_eq!(answer, (restored.revision, vec![Ok(peer(3))]));
}

/// Guards against followers that wait at a host that cannot read the store, or that reads it at
/// another host.
#[tokio::test]
async fn a_host_without_access_to_the_store_says_so() {
    let published = followed();
    published.set_standing(Standing::Outage);
    assert_eq!(ask(&published, &query(10)).await, Answer::Outage);
    published.set_standing(Standing::NotFollowed);
    assert_eq!(ask(&published, &query(10)).await, Answer::NotFollowed);
}

/// Guards against followers that learn of the end of an outage, or of a change, only when their
/// call has waited for its whole time.
#[tokio::test]
async fn a_waiting_call_is_answered_at_once() {
    let published = followed();
    published.set_standing(Standing::Outage);
    let waiting = Query {
        recovering: true,
        wait: Duration::from_secs(20),
        ..query(10)
    };
    let recovers = async {
        tokio::task::yield_now().await;
        published.set_standing(Standing::Followed);
    };
    let (answer, ()) = tokio::join!(ask(&published, &waiting), recovers);
    assert!(matches!(answer, Answer::Unchanged { .. }), "{answer:?}");
    let waiting = Query {
        recovering: false,
        ..waiting
    };
    let adds = async {
        tokio::task::yield_now().await;
        let added = Batch::Changes(vec![Change::Put(peer(3))]);
        published.record(&read(added, 11), Standing::Followed);
    };
    let (answer, ()) = tokio::join!(ask(&published, &waiting), adds);
    let changed = changes(answer);
    assert_eq!(changed, (revision(11), vec![Ok(peer(3))], vec![]));
}

/// Guards against hosts that start at once and all read the store, because those that they could
/// follow have read nothing yet.
#[tokio::test]
async fn a_host_that_starts_is_waited_for() {
    let published: Published<Peer> = Published::default();
    published.expect_first_read();
    let waiting = Query {
        wait: Duration::from_secs(20),
        ..query(0)
    };
    let reads = async {
        tokio::task::yield_now().await;
        let entries = Batch::Snapshot(vec![Ok(peer(1))]);
        published.record(&read(entries, 10), Standing::Followed);
    };
    let (answer, ()) = tokio::join!(ask(&published, &waiting), reads);
    assert_eq!(list(answer), (revision(10), vec![Ok(peer(1))]));
    // A host that has read the list once is not waited for while it reads elsewhere.
    published.set_standing(Standing::NotFollowed);
    published.expect_first_read();
    assert_eq!(ask(&published, &query(0)).await, Answer::NotFollowed);
    // Neither is one whose time has passed, or that cannot read the store.
    let published: Published<Peer> = Published::default();
    published.expect_first_read();
    assert_eq!(ask(&published, &query(0)).await, Answer::NotFollowed);
    published.record_failure(&Error::Unavailable(503));
    let first = Query {
        after: Revision::default(),
        ..query(0)
    };
    assert_eq!(ask(&published, &first).await, Answer::Outage);
}

/// Guards against followers that treat every entry of a list as new whenever one has changed.
#[tokio::test]
async fn only_changed_entries_are_applied() {
    let published = followed();
    let moved = Peer {
        zone: "zone-9".to_owned(),
        ..peer(2)
    };
    let changes = published.changes_to(vec![Ok(moved.clone()), Ok(peer(3))]);
    let expected = [
        Change::Removed("entry-1".to_owned()),
        Change::Put(moved),
        Change::Put(peer(3)),
    ];
    assert_eq!(changes, expected);
}

fn configuration(version: u64) -> Rc<Configuration> {
    let route = Route {
        service: "ledger".to_owned(),
        consistency: Consistency::Session(Duration::from_millis(2_500)),
        timeout: Duration::from_millis(800),
        goal: Duration::from_millis(250),
        priority: 2,
        anonymous: true,
    };
    let service = Service {
        connections: 46,
        synchronous: true,
    };
    let team = Team {
        name: "canning-agents".to_owned(),
        keys: vec![Digest::of(b"k1"), Digest::of(b"k2")],
        limit: Some(Limit {
            per_second: 40,
            burst: 20,
        }),
    };
    Rc::new(Configuration {
        version,
        routes: BTreeMap::from([("bids".to_owned(), route)]),
        services: BTreeMap::from([("ledger".to_owned(), service)]),
        teams: Some(Directory::new(vec![team])),
        transaction_idle: Duration::from_secs(3),
    })
}

fn unusable(count: u64) -> UnusableEntry {
    UnusableEntry {
        id: "config".to_owned(),
        fault: Fault::Kind("tepid".to_owned()),
        version: Some(9),
        revision: revision(count),
    }
}

/// Guards against a follower that keeps a former configuration because the newest one cannot be
/// used, and against parts of a configuration that are lost on the way.
#[tokio::test]
async fn a_configuration_arrives_whole_and_beside_a_later_one_that_cannot_be_used() {
    let published: Published<Rc<Configuration>> = Published::default();
    let versions = vec![
        Ok(configuration(7)),
        Ok(configuration(8)),
        Err(unusable(10)),
    ];
    published.record_versions(&read(versions, 10), Standing::Followed);
    let query = Query {
        table: Table::Configuration,
        ..query(5)
    };
    let body = published.answer(&query).await;
    let answer: Answer<WireConfiguration> = postcard::from_bytes(&body).expect("an answer");
    let Answer::List { entries, .. } = answer else {
        panic!("{answer:?}");
    };
    let entries = entries.into_iter().map(WireEntry::into_entry);
    let entries: Vec<Entry<Rc<Configuration>>> = entries.collect();
    assert_eq!(entries, [Ok(configuration(8)), Err(unusable(10))]);
    assert_eq!(configuration(8).key(), "");
}

/// Guards against an elector that all hosts of a zone follow while the others of the zone serve
/// nobody, and against hosts that follow an elector of another zone while their own has one.
#[test]
fn followers_spread_over_the_electors_of_their_zone() {
    let electors: Vec<Peer> = [3, 7, 12, 16, 21, 34, 50].map(peer).to_vec();
    let mut followers: BTreeMap<String, usize> = BTreeMap::new();
    for number in 100..400 {
        let zone = format!("zone-{}", number % 4);
        let host = format!("entry-{number}");
        let first = electors
            .iter()
            .min_by_key(|it| relay_order(&host, &zone, it));
        let first = first.expect("electors");
        assert_eq!(first.zone, zone);
        *followers.entry(first.host.clone()).or_default() += 1;
    }
    // Seventy-five followers a zone. Two electors a zone in three zones, and one in the fourth.
    for (elector, count) in &followers {
        assert!((20..=75).contains(count), "{elector}: {followers:?}");
    }
    assert_eq!(followers.len(), electors.len(), "{followers:?}");
}

/// Guards against a follower whose list differs from that of the host that it follows: a lost change,
/// an entry that was added and removed between two reads, or a removal that is no longer remembered.
#[tokio::test]
async fn a_follower_at_any_revision_gets_the_same_list() {
    let followed = followed();
    let mut lists: BTreeMap<u64, BTreeMap<String, Peer>> = BTreeMap::new();
    let initial = [peer(1), peer(2)].map(|it| (it.host.clone(), it));
    lists.insert(10, initial.into_iter().collect());
    for count in 11..120 {
        let number = usize::try_from(count * 7 % 23).expect("small");
        let change = match count % 3 {
            0 => Change::Removed(peer(number).host),
            1 => Change::Put(peer(number)),
            _ => Change::Put(Peer {
                zone: format!("zone-{count}"),
                ..peer(number)
            }),
        };
        let mut now = lists[&(count - 1)].clone();
        match &change {
            Change::Put(peer) => {
                now.insert(peer.host.clone(), peer.clone());
            }
            Change::Removed(host) => {
                now.remove(host);
            }
            Change::Unusable(_) => unreachable!("not made"),
        }
        let batch = match count % 40 {
            0 => Batch::Snapshot(now.values().cloned().map(Ok).collect()),
            _ => Batch::Changes(vec![change]),
        };
        followed.record(&read(batch, count), Standing::Followed);
        for (after, list) in &lists {
            let followed = follow(&followed, *after, list.clone()).await;
            assert_eq!(followed, now, "from {after} to {count}");
        }
        lists.insert(count, now);
    }
}

/// Returns the list of a host that had read `list` up to `after`, and has asked for what is newer.
async fn follow(
    published: &Published<Peer>,
    after: u64,
    mut list: BTreeMap<String, Peer>,
) -> BTreeMap<String, Peer> {
    let query = Query {
        wait: Duration::ZERO,
        ..query(after)
    };
    let (entries, removed) = match ask(published, &query).await {
        Answer::Unchanged { .. } => return list,
        Answer::List { entries, .. } => {
            list.clear();
            (entries, Vec::new())
        }
        Answer::Changes {
            entries, removed, ..
        } => (entries, removed),
        answer => panic!("{answer:?}"),
    };
    for host in removed {
        list.remove(&host);
    }
    let entries = entries.into_iter().map(WireEntry::into_entry);
    list.extend(
        entries
            .map(|it: Entry<Peer>| it.expect("usable"))
            .map(|it| (it.host.clone(), it)),
    );
    list
}

/// Guards against lists that are read elsewhere and miss what was added and removed meanwhile: their
/// reader knows no changes to pass on.
#[tokio::test]
async fn a_host_that_has_followed_another_passes_on_whole_lists() {
    let published = followed();
    let added = Batch::Changes(vec![Change::Put(peer(3))]);
    published.record(&read(added, 12), Standing::NotFollowed);
    let added = Batch::Changes(vec![Change::Put(peer(4))]);
    published.record(&read(added, 14), Standing::Followed);
    let (as_of, entries) = list(ask(&published, &query(10)).await);
    assert_eq!((as_of, entries.len()), (revision(14), 4));
    let changed = changes(ask(&published, &query(12)).await);
    assert_eq!(changed, (revision(14), vec![Ok(peer(4))], vec![]));
}

/// Guards against answers that grow with the list for each change of it: 200 followers of a zone
/// would take an elector with 20 Mbit/s a minute for a list of 3,000 entries.
#[tokio::test]
async fn one_change_of_a_long_list_is_a_short_answer() {
    let published: Published<Peer> = Published::default();
    let entries = (0..3_000).map(|number| {
        Ok(Peer {
            host: format!("entry-{number}"),
            ..peer(number % 4)
        })
    });
    published.record(
        &read(Batch::Snapshot(entries.collect()), 10),
        Standing::Followed,
    );
    let changed = Batch::Changes(vec![Change::Put(peer(1))]);
    published.record(&read(changed, 11), Standing::Followed);
    let body = published.answer(&query(10)).await;
    assert!(body.len() <= 100, "{} bytes", body.len());
}

/// Guards against answers that grow beyond what electors with 10 Mbit/s can send to all followers
/// of a zone within a second: 300 hosts to 100 followers.
#[tokio::test]
async fn a_list_of_300_hosts_is_small() {
    let published: Published<Peer> = Published::default();
    let entries = (0..300).map(|number| {
        Ok(Peer {
            host: format!("entry-{number}"),
            ..peer(number % 4)
        })
    });
    let entries: Vec<Entry<Peer>> = entries.collect();
    published.record(&read(Batch::Snapshot(entries), 10), Standing::Followed);
    let body = published.answer(&query(9)).await;
    println!("{} bytes for 300 hosts", body.len());
    assert!(body.len() <= 12_500, "{} bytes", body.len());
}
