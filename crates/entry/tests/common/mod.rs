//! A small fleet and an entry host's shared state, for tests.
#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use flamingopost_core::clock::Clock;
use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::{Caller, Customer, Fleet, Server, Service, Zone};
use flamingopost_daemon::stop::Stop;
use flamingopost_entry::adopted::Adopted;
use flamingopost_entry::auth::scram;
use flamingopost_entry::shared::Shared;

pub const PASSWORD: &str = "pond-side";
pub const SALT: &[u8] = b"0123456789abcdef";

/// Services `consignment-ledger` and `auction-ledger`; caller `clerk` may use the first only.
pub fn fleet(names: &mut Directory) -> Fleet {
    let zone = names.zones.intern("dumdum");
    let customer = names.customers.intern("sundarban");
    let ledger = names.services.intern("consignment-ledger");
    let auction = names.services.intern("auction-ledger");
    let clerk = names.callers.intern("clerk");
    let mut fleet = Fleet {
        shards: 1,
        ..Fleet::default()
    };
    let region = "kolkata".to_owned();
    fleet.zones.insert(zone, Zone { region });
    fleet.customers.insert(customer, Customer { weight: 1 });
    for (service, name) in [(ledger, "ledger-a"), (auction, "auction-a")] {
        let server = names.servers.intern(name);
        let facts = Service {
            customer,
            shard: 0,
            servers: BTreeSet::from([server]),
            first_primary: server,
        };
        fleet.services.insert(service, facts);
        fleet.servers.insert(server, server_in(service, zone));
    }
    let caller = Caller {
        verifier: scram::verifier(PASSWORD, SALT),
        customer,
        role: "depot".to_owned(),
        services: BTreeSet::from([ledger]),
    };
    fleet.callers.insert(clerk, caller);
    fleet
}

fn server_in(
    service: flamingopost_core::key::ServiceKey,
    zone: flamingopost_core::key::ZoneKey,
) -> Server {
    Server {
        service,
        zone,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 2,
        connections: 16,
        connect_cost: std::time::Duration::from_millis(12),
        leaving: false,
    }
}

/// A host with the fleet in force at version 1.
pub fn shared(clock: Arc<dyn Clock>) -> Arc<Shared> {
    let shared = Shared::new(clock, Stop::default());
    let fleet = shared.intern(fleet);
    shared.adopt(adopted(1, fleet));
    Arc::new(shared)
}

pub fn adopted(version: u64, fleet: Fleet) -> Adopted {
    Adopted {
        version,
        digest: String::new(),
        body: Arc::from(""),
        fleet: Arc::new(fleet),
    }
}

pub fn map<K: Ord, V>(pairs: impl IntoIterator<Item = (K, V)>) -> BTreeMap<K, V> {
    pairs.into_iter().collect()
}
