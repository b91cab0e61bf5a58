//! Encoding and decoding of a shard's row.

use std::collections::{BTreeMap, BTreeSet};

use flamingopost_core::directory::Directory;
use flamingopost_core::position::Position;
use flamingopost_core::row::{Loss, Origin, Row, Service};
use flamingopost_core::term::Term;
use flamingopost_core::view::State;
use flamingopost_wire::row;

fn full(directory: &mut Directory) -> Row {
    let term = |count| Term { epoch: 2, count };
    let primary = directory.servers.intern("ledger-b");
    let mut open = Service::without_primary();
    open.state = State::Open {
        term: term(2),
        primary,
    };
    open.primary = Some(primary);
    open.history.open(term(0), 0);
    open.history.open(term(2), 90);
    let origin = |parent, start| Origin { parent, start };
    open.origins.insert(term(0), origin(None, 0));
    open.origins.insert(term(1), origin(Some(term(0)), 70));
    open.origins.insert(term(2), origin(Some(term(0)), 90));
    open.losses = BTreeSet::from([Loss {
        opened: term(2),
        start: 90,
        acknowledged: Some(Position {
            term: term(1),
            log: 95,
        }),
        complete: false,
    }]);
    let services = BTreeMap::from([
        (directory.services.intern("auction-ledger"), open),
        (
            directory.services.intern("lots"),
            Service::without_primary(),
        ),
    ]);
    Row {
        epoch: 3,
        revision: 41,
        controller: directory.hosts.intern("bole-hall-1"),
        incarnation: u64::MAX,
        standbys: BTreeSet::from([
            directory.hosts.intern("akaki-hall-1"),
            directory.hosts.intern("kality-hall-1"),
        ]),
        services,
    }
}

/// Guards against a shard without a controller: if the response to a claim is lost, and the row
/// read back differs from the written one because the JSON omits a field, the claim is never
/// recognised as successful.
#[test]
fn rows_round_trip_through_json() {
    let mut directory = Directory::default();
    let row = full(&mut directory);
    let body = serde_json::to_string(&row::Row::encode(&row, &directory).unwrap()).unwrap();
    let read: row::Row = serde_json::from_str(&body).unwrap();
    assert_eq!(read.decode(&mut directory), Ok(row));
}

/// Another process may have different keys for the same names.
#[test]
fn encoding_uses_names_instead_of_keys() {
    let mut directory = Directory::default();
    let row = full(&mut directory);
    let message = row::Row::encode(&row, &directory).unwrap();
    let mut other = Directory::default();
    other.hosts.intern("somebody-else");
    let decoded = message.decode(&mut other).unwrap();
    assert_eq!(row::Row::encode(&decoded, &other), Ok(message));
}

/// Guards against a second promotion because a malformed row is taken for one without a primary.
#[test]
fn malformed_rows_are_rejected() {
    let mut directory = Directory::default();
    let row = full(&mut directory);
    let message = row::Row::encode(&row, &directory).unwrap();
    let damage = |change: fn(&mut row::Service)| {
        let mut damaged = message.clone();
        change(damaged.services.get_mut("auction-ledger").unwrap());
        damaged.decode(&mut Directory::default()).is_err()
    };
    assert!(damage(|service| service.primary = None));
    assert!(damage(|service| service.term = "2".to_owned()));
    assert!(damage(
        |service| service.losses[0].acknowledged = Some("2.1".to_owned())
    ));
    let unknown = row::Row::encode(&row, &Directory::default());
    assert_eq!(unknown, Err(row::Error::NoName));
}
