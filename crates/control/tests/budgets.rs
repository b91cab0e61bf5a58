//! Connection budgets of a controller, and floors that outlive it.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_control::budgets::{Budgets, Floors, Renewer, Server};
use flamingopost_control::floors;
use flamingopost_control::servers::RESERVED_CONNECTIONS;
use flamingopost_core::budget::Grant;
use flamingopost_core::budget::server_budget::HostInstance;
use flamingopost_core::directory::Directory;
use flamingopost_core::key::{ServerKey, ZoneKey};

const LIMIT: u16 = 18;
const LEASE: Duration = Duration::from_millis(2_500);

struct Names {
    directory: Directory,
    server: ServerKey,
    zone: ZoneKey,
    other_zone: ZoneKey,
}

fn names() -> Names {
    let mut directory = Directory::default();
    Names {
        server: directory.servers.intern("auction-ledger-1"),
        zone: directory.zones.intern("bole-hall"),
        other_zone: directory.zones.intern("akaki-hall"),
        directory,
    }
}

impl Names {
    fn budgets(&self) -> Budgets {
        let server = Server {
            connections: LIMIT,
            zone: self.zone,
        };
        let mut budgets = Budgets::default();
        budgets.configure(BTreeMap::from([(self.server, server)]));
        budgets.restart();
        budgets
    }

    fn host(&mut self, name: &str, zone: ZoneKey) -> Renewer {
        let holder = HostInstance {
            host: self.directory.hosts.intern(name),
            incarnation: 1,
        };
        Renewer {
            holder,
            zone,
            valid: LEASE,
        }
    }

    fn renew(&self, budgets: &mut Budgets, host: Renewer, demand: u16, at: u64) -> Grant {
        let demand = BTreeMap::from([(self.server, demand)]);
        let grants = budgets.renew(host, &demand, Duration::from_secs(at));
        grants[&self.server]
    }
}

/// Guards against granting a floor before it is persisted. If the controller dies in between, its
/// successor grants the same connection to another host, and the server refuses a connection of a
/// host in a partitioned zone.
#[test]
fn a_floor_is_granted_only_after_it_is_persisted() {
    let mut names = names();
    let mut budgets = names.budgets();
    budgets.load(Floors::new(), Duration::ZERO);
    let near = names.host("bole-1", names.zone);
    assert_eq!(names.renew(&mut budgets, near, 3, 1).floor, 0);
    let floors = budgets
        .unpersisted()
        .expect("the floor has to be persisted");
    assert_eq!(floors[&(names.server, near.holder)], 1);
    budgets.record_persisted(floors);
    assert_eq!(budgets.unpersisted(), None);
    let grant = names.renew(&mut budgets, near, 3, 2);
    assert_eq!(grant.floor, 1);
    assert!(grant.floor_valid > LEASE);
}

#[test]
fn hosts_of_other_zones_get_no_floor() {
    let mut names = names();
    let mut budgets = names.budgets();
    budgets.load(Floors::new(), Duration::ZERO);
    let far = names.host("akaki-1", names.other_zone);
    assert_eq!(names.renew(&mut budgets, far, 3, 1).floor, 0);
    assert_eq!(budgets.unpersisted(), None);
}

/// A controller that takes over while the store is down does not know which floors are in use. If
/// it granted the whole limit, hosts of a partitioned zone and the hosts that it serves would
/// together exceed the server's limit.
#[test]
fn connections_are_reserved_for_unread_floors() {
    let mut names = names();
    let mut budgets = names.budgets();
    let first = names.host("akaki-1", names.other_zone);
    let second = names.host("akaki-2", names.other_zone);
    names.renew(&mut budgets, first, LIMIT, 1);
    names.renew(&mut budgets, second, LIMIT, 1);
    // Grants shrink to their fair shares as the first leases end.
    let given: u16 = [first, second]
        .map(|host| names.renew(&mut budgets, host, LIMIT, 10).leased)
        .iter()
        .sum();
    assert!(given <= (LIMIT - RESERVED_CONNECTIONS) / 2, "{given}");
    let lost = names.host("bole-9", names.zone).holder;
    let kept = Floors::from([((names.server, lost), 2)]);
    budgets.load(kept, Duration::from_secs(20));
    let given: u16 = [first, second]
        .map(|host| names.renew(&mut budgets, host, LIMIT, 30).leased)
        .iter()
        .sum();
    assert!(given > (LIMIT - RESERVED_CONNECTIONS) / 2, "{given}");
    assert!(given <= LIMIT - RESERVED_CONNECTIONS - 2, "{given}");
}

#[test]
fn a_floors_row_round_trips() {
    let mut names = names();
    let holder = names.host("bole-1", names.zone).holder;
    let written = Floors::from([((names.server, holder), 1)]);
    let body = floors::encode(&written, &names.directory);
    let read = floors::decode(&body, &mut names.directory).unwrap();
    assert_eq!(read, written);
    assert!(floors::decode("[]", &mut names.directory).is_err());
}
