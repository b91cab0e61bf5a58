//! A fleet of a given size, as one of its hosts knows it, without a network.

// Each test and example uses only a part of this module.
#![allow(dead_code)]

pub mod no_store;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flamingopost_core::clock::Manual;
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::leader::Role;
use flamingopost_core::position::Position;
use flamingopost_proxy::codec::{Codec, Error};
use flamingopost_proxy::fleet::Fleet;
use flamingopost_proxy::message::{Answer, Code, Command, Request, Status, Transaction};
use flamingopost_proxy::peer::PROTOCOL;
use flamingopost_proxy::platform::{
    Backend, Configuration, Entry, Peer, Revision, Service, Strength,
};
use flamingopost_proxy::route::{Consistency, Route};
use flamingopost_proxy::site::Site;
use tokio::task::LocalSet;

/// Number of services.
pub const SERVICES: usize = 8;
/// Number of servers of each service.
const SERVERS: usize = 3;
/// Number of availability zones.
const ZONES: usize = 4;

/// One host of each zone is strong among this many hosts of the fleet.
const STRONG_EACH: usize = 20 * ZONES;
/// Strength of a strong host.
pub const STRONG: Strength = Strength(1_000);
/// Strength of the other hosts.
pub const WEAK: Strength = Strength(120);

/// A codec of no protocol, for code that sends and receives nothing.
pub struct NoProtocol;

impl Codec for NoProtocol {
    fn request(_: &mut BytesMut) -> Result<Option<Request>, Error> {
        Ok(None)
    }

    fn answer(_: &mut BytesMut) -> Result<Option<Answer>, Error> {
        Ok(None)
    }

    fn status(_: &Bytes) -> Result<Status, Error> {
        Err(Error::MissingField)
    }

    fn startup(_: &mut BytesMut, _: &str, _: &str, _: &str) {}

    fn command(_: &mut BytesMut, _: &Command<'_>) {}

    fn row(_: &mut BytesMut, _: &[u8]) {}

    fn complete(_: &mut BytesMut, _: Option<&[u8]>) {}

    fn error(_: &mut BytesMut, _: Code, _: &[u8]) {}

    fn ready(_: &mut BytesMut, _: Transaction, _: Option<Position>) {}
}

/// Calls `work` where tasks can be started. They never run, so nothing is sent.
pub fn without_tasks<T>(work: impl FnOnce() -> T) -> T {
    let tasks = LocalSet::new();
    let _entered = tasks.enter();
    work()
}

/// Returns the entry of host `number`.
pub fn peer(number: usize) -> Peer {
    Peer {
        host: format!("entry-{number:03}"),
        zone: format!("zone-{}", number % ZONES),
        address: address(10_000 + number),
        strength: None,
        protocol: 1,
    }
}

/// Returns the entry of host `number`, which is one of the few strong ones or a weak one.
pub fn weighed_peer(number: usize) -> Peer {
    let strength = match number % STRONG_EACH < ZONES {
        true => STRONG,
        false => WEAK,
    };
    Peer {
        strength: Some(strength),
        ..peer(number)
    }
}

/// Returns a fleet of `hosts` hosts that have announced their strength, and `services` services, as
/// known to host `number`.
pub fn weighed_fleet(hosts: usize, services: usize, number: usize) -> Fleet<NoProtocol> {
    let strength = weighed_peer(number).strength;
    let fleet = unlisted_of((185, 2), services, number, strength);
    let list = (0..hosts).map(|number| Ok(weighed_peer(number)));
    fleet.apply_host_list(list.collect());
    fleet
}

/// Returns the list of `hosts` hosts as the store returns it.
pub fn host_list(hosts: usize) -> Vec<Entry<Peer>> {
    (0..hosts).map(|number| Ok(peer(number))).collect()
}

/// Returns the name of service `number`, which is also the name of its database.
pub fn service(number: usize) -> String {
    format!("service-{number}")
}

/// Returns version `version` of the configuration, with `connections` per server.
pub fn configuration(version: u64, connections: u16) -> Configuration {
    configuration_of(version, connections, SERVICES)
}

/// Returns version `version` of the configuration of `services` services.
pub fn configuration_of(version: u64, connections: u16, services: usize) -> Configuration {
    let routes = (0..services).map(|number| {
        let route = Route {
            service: service(number),
            consistency: Consistency::Primary,
            timeout: Duration::from_millis(800),
            goal: Duration::from_millis(150),
            priority: 0,
            anonymous: false,
        };
        (service(number), route)
    });
    let synchronous = false;
    let settings = Service {
        connections,
        synchronous,
    };
    Configuration {
        version,
        routes: routes.collect(),
        services: (0..services)
            .map(|number| (service(number), settings))
            .collect(),
        teams: None,
        transaction_idle: Duration::from_secs(3),
    }
}

/// Returns the list of servers, each with `slots`.
pub fn server_list(slots: u16) -> Vec<Entry<Backend>> {
    server_list_of(slots, SERVICES)
}

/// Returns the list of the servers of `services` services.
pub fn server_list_of(slots: u16, services: usize) -> Vec<Entry<Backend>> {
    let server = |number: usize| Backend {
        id: format!("server-{number}"),
        incarnation: Incarnation(1),
        service: service(number / SERVERS),
        address: address(20_000 + number),
        zone: format!("zone-{}", number % SERVERS),
        slots,
        leaving: false,
        role: match number % SERVERS {
            0 => Role::Primary,
            _ => Role::Replica,
        },
        revision: Revision(1),
    };
    let servers = (0..services * SERVERS).map(|number| Ok(server(number)));
    servers.collect()
}

/// Returns a fleet of `hosts` hosts as known to host `number`.
pub fn fleet(hosts: usize, number: usize) -> Fleet<NoProtocol> {
    let fleet = unlisted(number);
    fleet.apply_host_list(host_list(hosts));
    fleet
}

/// Returns a fleet of `hosts` hosts and `services` services, whose servers are as small as those of
/// large fleets, as known to host `number`.
pub fn fleet_of(hosts: usize, services: usize, number: usize) -> Fleet<NoProtocol> {
    let fleet = unlisted_of((185, 2), services, number, None);
    fleet.apply_host_list(host_list(hosts));
    fleet
}

/// Returns the entry of host `number` of a current build, which receives messages at `address`.
pub fn current_peer(number: usize, address: SocketAddr) -> Peer {
    let protocol = PROTOCOL;
    Peer {
        address,
        protocol,
        ..peer(number)
    }
}

/// Returns what host `number` knows before it has read the list of hosts.
pub fn unlisted(number: usize) -> Fleet<NoProtocol> {
    unlisted_of((56, 4), SERVICES, number, None)
}

/// Returns the same for `services` services whose servers have these connections and slots.
fn unlisted_of(
    (connections, slots): (u16, u16),
    services: usize,
    number: usize,
    strength: Option<Strength>,
) -> Fleet<NoProtocol> {
    let fleet = Fleet::new(Rc::new(site(number).with_strength(strength)));
    let configuration = configuration_of(1, connections, services);
    fleet.adopt(configuration.into(), Duration::ZERO);
    fleet.apply_server_list(server_list_of(slots, services));
    fleet
}

/// Returns the state of host `number` that its parts share.
pub fn site(number: usize) -> Site {
    let own = peer(number);
    let clock = Arc::new(Manual::default());
    Site::new(own.host, own.zone, clock)
}

/// Returns the elected hosts by name as seen by `fleet`, which is that of host `number`.
pub fn elected(fleet: &Fleet<NoProtocol>, number: usize) -> Vec<String> {
    let electors = fleet.electors();
    let mut names: Vec<String> = electors.iter().map(|(_, peer)| peer.host.clone()).collect();
    if fleet.with_quorum(|quorum, _| quorum.is_elector()) {
        names.push(peer(number).host);
    }
    names.sort();
    names
}

/// Returns the addresses of the hosts that serve `service` for the zone of host `number`, in order.
pub fn serving(fleet: &Fleet<NoProtocol>, number: usize, service: &str) -> Option<Vec<SocketAddr>> {
    use flamingopost_proxy::fleet::ServingHost;
    let hosts = fleet.serving_hosts(service)?;
    let addresses = hosts.iter().map(|host| match host {
        ServingHost::Local => peer(number).address,
        ServingHost::Remote(address) => *address,
    });
    Some(addresses.collect())
}

/// Returns how many of `hosts` hosts serve each service.
pub fn serving_counts(hosts: usize) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for number in 0..hosts {
        let fleet = fleet(hosts, number);
        for service in (0..SERVICES).map(service) {
            *counts.entry(service.clone()).or_default() += usize::from(fleet.serves(&service));
        }
    }
    counts
}

fn address(port: usize) -> SocketAddr {
    let port = u16::try_from(port).expect("a port");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
