//! Which hosts serve a service, and how many connections each of them may have.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Fleet;
use crate::codec::Codec;
use crate::service::Allotment;

/// Hosts keep this part of a server's connections open, as a divisor. When hosts lose power,
/// servers go on counting their connections for some seconds: the other part lets all hosts in
/// that start meanwhile. With all of them kept open, nobody was served for two seconds after such
/// a restart.
const KEPT_PART: u16 = 2;

/// Connections to one server that a host keeps open at most: one for each of the few statements
/// that a fraction of a core can have in flight.
const BASE_MOST: u16 = 4;

/// All hosts together use at most this part of a server's connections, in percent; shares are rounded
/// up. What is left is for a fleet that starts again: servers count the connections of hosts without
/// power for some seconds, and with all of them in use nobody reached a primary for a second more.
const USED_PERCENT: u32 = 75;

/// Connections that a host which serves a service for its zone should have to each server.
const HOME_CONNECTIONS: usize = 5;

/// Each host has at least one request running at a server, whatever that bears. With more hosts
/// than this many times a server's slots, these alone overflow its queue, and it refuses rather
/// than serves: no host can narrow its window any further.
const CROWD: usize = 6;

/// Hosts that serve a service for their zones, together, for each slot of a server: enough that
/// the loss of one leaves most, few enough that their windows tell apart what a server bears.
const HOMES_PER_SLOT: usize = 2;

impl<C: Codec> Fleet<C> {
    /// The hosts of this zone that serve `service` for all of its hosts, best first; `None` where
    /// each host serves for itself.
    ///
    /// With more hosts than a server accepts connections, most would be refused and all would
    /// connect anew all the time. With many more than it has slots, its queue overflows: of 65
    /// hosts before servers with 5 slots, one request in eight of a service was refused for the
    /// rest of a day after its replicas had been behind for some seconds.
    pub fn homes(&self, service: &str) -> Option<Vec<Home>> {
        let connections = usize::from(self.configured(service)?.connections);
        let slots = self.slots(service);
        let peers = self.peers.borrow();
        let crowded = slots.is_some_and(|slots| peers.by_host.len() > slots * CROWD);
        if peers.by_host.len() < connections && !crowded {
            return None;
        }
        let by_connections = connections / HOME_CONNECTIONS;
        let by_slots = slots.map_or(by_connections, |slots| slots * HOMES_PER_SLOT);
        let count = (by_connections.min(by_slots) / self.zones()).max(1);
        let all = peers.by_host.values().map(|(_, peer)| peer);
        let mut hosts: Vec<(u64, Home)> = all
            .filter(|peer| peer.zone == self.site.zone)
            .map(|peer| (spread(service, &peer.host), Home::Peer(peer.address)))
            .collect();
        hosts.push((spread(service, &self.site.host), Home::Here));
        hosts.sort_by_key(|(order, _)| *order);
        let homes = hosts.into_iter().take(count);
        Some(homes.map(|(_, home)| home).collect())
    }

    /// Whether this host sends statements to the servers of `service` itself.
    pub fn serves(&self, service: &str) -> bool {
        let homes = self.homes(service);
        homes.is_none_or(|homes| homes.contains(&Home::Here))
    }

    /// Requests that each server of `service` runs at once; `None` while none is listed.
    fn slots(&self, service: &str) -> Option<usize> {
        self.named(service)?.slots().map(usize::from)
    }

    /// Availability zones that have hosts.
    fn zones(&self) -> usize {
        let peers = self.peers.borrow();
        let zones = peers.by_host.values().map(|(_, peer)| peer.zone.as_str());
        let mut zones: BTreeSet<&str> = zones.collect();
        zones.insert(&self.site.zone);
        zones.len()
    }

    /// Gives all services their connections anew.
    pub(super) fn allot(&self) {
        for service in self.services() {
            service.set_allotment(self.allotment(&service.name));
        }
    }

    /// How many connections this host may have to each server of `service`.
    pub(super) fn allotment(&self, service: &str) -> Allotment {
        let Some(configured) = self.configured(service) else {
            return Allotment {
                base: 0,
                fair: 1,
                most: 1,
            };
        };
        let hosts = match self.homes(service) {
            None => self.peers.borrow().by_host.len() + 1,
            Some(homes) if homes.contains(&Home::Here) => homes.len() * self.zones(),
            // Others serve it; a single connection is left for when none of them can be reached.
            Some(_) => {
                return Allotment {
                    base: 0,
                    fair: 1,
                    most: 1,
                };
            }
        };
        let hosts = u16::try_from(hosts).unwrap_or(u16::MAX);
        let base = (configured.connections / KEPT_PART / hosts).clamp(1, BASE_MOST);
        let most = share(configured.connections, hosts);
        let fair = (configured.connections / hosts).clamp(1, most);
        Allotment { base, fair, most }
    }

    /// How many hosts come before this one when `what` has to be done by one of them.
    ///
    /// The order differs by `what`, so that one lost host does not come first everywhere.
    pub fn rank(&self, what: &str) -> u32 {
        let own = spread(what, &self.site.host);
        let peers = self.peers.borrow();
        let before = peers.by_host.keys().filter(|host| spread(what, host) < own);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }
}

/// The part of `connections` that each of `hosts` may use.
fn share(connections: u16, hosts: u16) -> u16 {
    let used = u32::from(connections) * USED_PERCENT / 100;
    let share = used.div_ceil(u32::from(hosts).max(1)).max(1);
    u16::try_from(share).unwrap_or(u16::MAX)
}

/// Where a service is served for this host's availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Home {
    /// By this host.
    Here,
    /// By the host that answers others at this address.
    Peer(SocketAddr),
}

/// FNV-1a: the same number on every host, for any pair of names.
pub(super) fn spread(what: &str, host: &str) -> u64 {
    let bytes = what.bytes().chain(host.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
