//! Assigns services to hosts, and a number of server connections to each host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use flamingopost_core::dispatch::{Allotment, Serving};

use super::derived::{Capacity, Homes, Rank};
use super::{Fleet, Peers, Rendezvous};
use crate::codec::Codec;

/// Connections to each server that a host should have if it serves a service for its zone.
const CONNECTIONS_PER_SERVING_HOST: usize = 5;

/// Hosts per server slot above which a service is crowded. Each host has at least one request
/// running at a server, whatever the server's capacity. Above this ratio these requests alone
/// overflow the server's queue and it refuses requests, because no host can narrow its window any
/// further.
const CROWDED_HOSTS_PER_SLOT: usize = 6;

/// Number of hosts that follow a service even if they do not serve it. They are the first ones to act
/// when its primary has to be replaced.
const DECIDING_HOSTS: u32 = 9;

/// Number of hosts that serve a service for their zones, over all zones, per server slot. This is
/// enough for most of them to remain when one is lost, and few enough for their windows to reflect
/// the server's capacity.
const SERVING_HOSTS_PER_SLOT: usize = 2;

impl<C: Codec> Fleet<C> {
    /// Returns the hosts of this zone that serve `service` for the whole zone, in order of
    /// preference, or `None` if each host serves it for itself.
    ///
    /// With more hosts than server connections, most hosts would be refused and all would reconnect
    /// all the time. With many more hosts than server slots, a server's queue overflows: with 65
    /// hosts and servers with 5 slots, one in eight requests to a service was refused for the rest
    /// of a day after its replicas had lagged for a few seconds.
    pub fn serving_hosts(&self, service: &str) -> Option<Rc<[ServingHost]>> {
        let connections = usize::from(self.configured(service)?.connections);
        let slots = self.slots(service);
        let per_zone = self.serving_hosts_per_zone(Capacity { connections, slots });
        self.derived
            .serving(service, per_zone, || self.choose_homes(service, per_zone))
    }

    /// Chooses the hosts of this zone that serve `service`, `per_zone` of them.
    fn choose_homes(&self, service: &str, per_zone: Option<usize>) -> Homes {
        let Some(count) = per_zone else {
            return Homes::every_host();
        };
        let peers = self.peers.borrow();
        self.derived.count_examined(peers.by_host.len());
        let order = Rendezvous::of(service);
        let all = peers.by_host.values().map(|(_, peer)| peer);
        let mut hosts: Vec<(u64, ServingHost)> = all
            .filter(|peer| peer.zone == self.site.zone)
            .map(|peer| {
                let place = order.place(&peer.host, peers.weight(peer));
                (place, ServingHost::Remote(peer.address))
            })
            .collect();
        hosts.push((self.own_place(order, &peers), ServingHost::Local));
        hosts.sort_by_key(|(order, _)| *order);
        hosts.truncate(count);
        Homes::chosen(count, hosts)
    }

    /// Returns how many hosts of each zone serve a service whose servers have `capacity`, or `None`
    /// if each host serves it for itself.
    fn serving_hosts_per_zone(&self, capacity: Capacity) -> Option<usize> {
        let Capacity { connections, slots } = capacity;
        let peers = self.peers.borrow();
        let crowded =
            slots.is_some_and(|slots| peers.by_host.len() > slots * CROWDED_HOSTS_PER_SLOT);
        if peers.by_host.len() < connections && !crowded {
            return None;
        }
        let by_connections = connections / CONNECTIONS_PER_SERVING_HOST;
        let by_slots = slots.map_or(by_connections, |slots| slots * SERVING_HOSTS_PER_SLOT);
        drop(peers);
        Some((by_connections.min(by_slots) / self.zones()).max(1))
    }

    /// Returns the addresses of the other hosts that may have more than one connection to each
    /// server of `service`: its serving hosts in all zones, or all hosts if each serves it for
    /// itself.
    ///
    /// Guards against messages to the whole fleet from each of its hosts while servers are at their
    /// connection limit.
    pub fn connection_holders(&self, service: &str) -> Rc<[SocketAddr]> {
        let Some(configured) = self.configured(service) else {
            return Rc::default();
        };
        let capacity = Capacity {
            connections: usize::from(configured.connections),
            slots: self.slots(service),
        };
        self.derived.holders(service, capacity, || {
            let count = self.serving_hosts_per_zone(capacity);
            let peers = self.peers.borrow();
            let order = Rendezvous::of(service);
            let own = (&self.site.zone, self.own_place(order, &peers));
            let mut zones: BTreeMap<&String, Vec<(u64, Option<SocketAddr>)>> = BTreeMap::new();
            zones.entry(own.0).or_default().push((own.1, None));
            self.derived.count_examined(peers.by_host.len());
            for (_, peer) in peers.by_host.values() {
                let order = order.place(&peer.host, peers.weight(peer));
                let zone = zones.entry(&peer.zone).or_default();
                zone.push((order, Some(peer.address)));
            }
            let serving = zones.into_values().flat_map(|mut hosts| {
                hosts.sort_by_key(|(order, _)| *order);
                hosts.into_iter().take(count.unwrap_or(usize::MAX))
            });
            serving.filter_map(|(_, address)| address).collect()
        })
    }

    /// Reports whether this host itself sends statements to the servers of `service`.
    pub fn serves(&self, service: &str) -> bool {
        let homes = self.serving_hosts(service);
        homes.is_none_or(|homes| homes.contains(&ServingHost::Local))
    }

    /// Returns the place of this host in `order`.
    fn own_place(&self, order: Rendezvous, peers: &Peers) -> u64 {
        let strength = self.site.strength.filter(|_| peers.is_weighted);
        order.place(&self.site.host, strength)
    }

    /// Reports whether this host follows `service` even without requests for it: it serves the service
    /// or is among the first to decide on its primary.
    pub fn follows(&self, service: &str) -> bool {
        self.knows_hosts() && (self.serves(service) || self.rank(service) < DECIDING_HOSTS)
    }

    /// Returns how many requests each server of `service` runs concurrently, or `None` while no
    /// server is listed.
    fn slots(&self, service: &str) -> Option<usize> {
        self.find_service(service)?.slots().map(usize::from)
    }

    /// Returns the number of availability zones that have hosts.
    fn zones(&self) -> usize {
        self.derived.zones(|| {
            let peers = self.peers.borrow();
            self.derived.count_examined(peers.by_host.len());
            let zones = peers.by_host.values().map(|(_, peer)| peer.zone.as_str());
            let mut zones: BTreeSet<&str> = zones.collect();
            zones.insert(&self.site.zone);
            zones.len()
        })
    }

    /// Recomputes the connection allotment of all services, and starts to follow those that this host
    /// now serves or decides on.
    pub(super) fn allot_connections(&self) {
        let has_teams = self.has_teams();
        for service in self.services() {
            service.set_allotment(self.allotment(&service.name));
            service.set_has_teams(has_teams);
            if self.follows(&service.name) {
                service.start_following();
            }
        }
    }

    /// Returns how many connections this host may have to each server of `service`.
    ///
    /// A host that has not read the list of hosts cannot tell its share. Each of 83 hosts that
    /// started at once took itself for the only one and kept opening four connections to each
    /// server, which left none to the serving hosts.
    pub(super) fn allotment(&self, service: &str) -> Allotment {
        let configured = self.configured(service);
        let Some(configured) = configured.filter(|_| self.knows_hosts()) else {
            return Allotment::NOT_SERVING;
        };
        let (hosts, serving) = match self.serving_hosts(service) {
            None => (self.peers.borrow().by_host.len() + 1, Serving::All),
            Some(homes) if homes.contains(&ServingHost::Local) => {
                (homes.len() * self.zones(), Serving::Chosen)
            }
            Some(_) => return Allotment::NOT_SERVING,
        };
        let hosts = u16::try_from(hosts).unwrap_or(u16::MAX);
        Allotment::new(configured.connections, hosts, serving)
    }

    /// Returns this host's rank for a task named `what`, which is the number of hosts that come
    /// before it.
    ///
    /// The order differs by `what`, so that one lost host is not the first for every task.
    pub fn rank(&self, what: &str) -> u32 {
        self.derived.rank(what, || {
            let order = Rendezvous::of(what);
            let peers = self.peers.borrow();
            let own = self.own_place(order, &peers);
            self.derived.count_examined(peers.by_host.len());
            let hosts = peers.by_host.values().map(|(_, peer)| peer);
            let before = hosts.filter(|it| order.place(&it.host, peers.weight(it)) < own);
            let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
            Rank { own, before }
        })
    }
}

/// A host that serves a service for this host's availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingHost {
    /// This host.
    Local,
    /// Another host, which answers its peers at this address.
    Remote(SocketAddr),
}
