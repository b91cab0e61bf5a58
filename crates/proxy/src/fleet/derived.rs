//! What follows from the list of hosts, kept until the list changes.
//!
//! Elections, sessions and requests for operations of teams ask for it many times a second, and
//! each answer sorts or hashes the names of all hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use flamingopost_core::key::HostKey;

use super::{Grantor, Rendezvous, ServingHost};
use crate::platform::{Peer, Strength};

/// Maximum number of teams whose grantors are kept. Names of teams also arrive from other hosts.
const MAX_GRANTOR_ORDERS: usize = 1_024;

/// Other hosts.
type Peers = Rc<[(HostKey, Peer)]>;

/// A result for each service, and the capacity of its servers for which it holds.
type ByService<T> = RefCell<BTreeMap<String, (Capacity, T)>>;

/// Results that depend on the list of hosts.
#[derive(Debug, Default)]
pub(super) struct Derived {
    zones: RefCell<Option<usize>>,
    peers: RefCell<Option<Peers>>,
    ranks: RefCell<BTreeMap<String, Rank>>,
    grantors: RefCell<BTreeMap<String, Rc<[Grantor]>>>,
    serving: RefCell<BTreeMap<String, Homes>>,
    holders: ByService<Rc<[SocketAddr]>>,
    /// Number of entries of hosts that were iterated over.
    examined: Cell<u64>,
}

/// The capacity of a service's servers, on which the number of its serving hosts depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Capacity {
    /// Connections that each server accepts.
    pub connections: usize,
    /// Requests that each server runs concurrently, or `None` while no server is listed.
    pub slots: Option<usize>,
}

/// This host's place among the hosts for a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rank {
    /// The hash of this host.
    pub own: u64,
    /// Number of other hosts that come before this one.
    pub before: u32,
}

/// The hosts of this zone that serve a service.
#[derive(Debug)]
pub(super) struct Homes {
    /// How many hosts of a zone serve the service, or `None` if each serves it for itself.
    per_zone: Option<usize>,
    chosen: Option<Rc<[ServingHost]>>,
    /// A host with a greater hash would not be one of them, and is none.
    last: u64,
}

impl Homes {
    /// Each host serves the service for itself.
    pub fn every_host() -> Homes {
        Homes {
            per_zone: None,
            chosen: None,
            last: 0,
        }
    }

    /// The first `per_zone` hosts of the zone, with their hashes in ascending order.
    pub fn chosen(per_zone: usize, hosts: Vec<(u64, ServingHost)>) -> Homes {
        let last = hosts.last().filter(|_| hosts.len() == per_zone);
        Homes {
            per_zone: Some(per_zone),
            last: last.map_or(u64::MAX, |(order, _)| *order),
            chosen: Some(hosts.into_iter().map(|(_, host)| host).collect()),
        }
    }
}

/// A host that is added to the list of hosts, or removed from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Moved {
    pub host: String,
    /// The strength with which the host is placed, if it counts.
    pub strength: Option<Strength>,
    /// Whether the host is added, or else removed.
    pub is_listed: bool,
    /// Whether it is in the zone of this host.
    pub in_own_zone: bool,
}

impl Derived {
    /// Drops all results, because hosts are ordered in another way.
    pub fn clear(&self) {
        self.ranks.take();
        self.serving.take();
        self.update(&[]);
    }

    /// Brings the results up to date after `changes` of the list of hosts.
    ///
    /// What exists for each service is updated by the hosts that have changed. Computing it anew
    /// would iterate over all hosts for each service, while hosts that are restarted one after the
    /// other change the list all the time.
    pub fn update(&self, changes: &[Moved]) {
        self.zones.take();
        self.peers.take();
        self.grantors.take();
        self.holders.take();
        for (what, rank) in self.ranks.borrow_mut().iter_mut() {
            let order = Rendezvous::of(what);
            for change in changes {
                if order.place(&change.host, change.strength) >= rank.own {
                    continue;
                }
                rank.before = match change.is_listed {
                    true => rank.before + 1,
                    false => rank.before - 1,
                };
            }
        }
        let local: Vec<&Moved> = changes.iter().filter(|it| it.in_own_zone).collect();
        self.serving.borrow_mut().retain(|service, homes| {
            let order = Rendezvous::of(service);
            let affects =
                |change: &&Moved| order.place(&change.host, change.strength) <= homes.last;
            homes.per_zone.is_none() || !local.iter().any(affects)
        });
    }

    /// Counts that the entries of `hosts` were iterated over.
    pub fn count_examined(&self, hosts: usize) {
        let hosts = u64::try_from(hosts).unwrap_or(u64::MAX);
        self.examined.set(self.examined.get().saturating_add(hosts));
    }

    /// Returns how many entries of hosts were iterated over.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Returns the number of zones.
    pub fn zones(&self, count: impl FnOnce() -> usize) -> usize {
        *self.zones.borrow_mut().get_or_insert_with(count)
    }

    /// Returns the other hosts.
    pub fn peers(&self, list: impl FnOnce() -> Peers) -> Peers {
        Rc::clone(self.peers.borrow_mut().get_or_insert_with(list))
    }

    /// Returns this host's rank for the task `what`.
    pub fn rank(&self, what: &str, count: impl FnOnce() -> Rank) -> u32 {
        let known = self.ranks.borrow().get(what).copied();
        let rank = known.unwrap_or_else(|| {
            let rank = count();
            self.ranks.borrow_mut().insert(what.to_owned(), rank);
            rank
        });
        rank.before
    }

    /// Returns the grantors of `team` in order.
    pub fn grantors(&self, team: &str, order: impl FnOnce() -> Rc<[Grantor]>) -> Rc<[Grantor]> {
        if let Some(known) = self.grantors.borrow().get(team) {
            return Rc::clone(known);
        }
        let ordered = order();
        let mut grantors = self.grantors.borrow_mut();
        if grantors.len() >= MAX_GRANTOR_ORDERS {
            grantors.clear();
        }
        grantors.insert(team.to_owned(), Rc::clone(&ordered));
        ordered
    }

    /// Returns the addresses of the other hosts that hold connections to the servers of `service`,
    /// which have `capacity`.
    pub fn holders(
        &self,
        service: &str,
        capacity: Capacity,
        choose: impl FnOnce() -> Rc<[SocketAddr]>,
    ) -> Rc<[SocketAddr]> {
        if let Some((at, chosen)) = self.holders.borrow().get(service)
            && *at == capacity
        {
            return Rc::clone(chosen);
        }
        let chosen = choose();
        let kept = (capacity, Rc::clone(&chosen));
        self.holders.borrow_mut().insert(service.to_owned(), kept);
        chosen
    }

    /// Returns the hosts of this zone that serve `service`, `per_zone` of them.
    pub fn serving(
        &self,
        service: &str,
        per_zone: Option<usize>,
        choose: impl FnOnce() -> Homes,
    ) -> Option<Rc<[ServingHost]>> {
        if let Some(known) = self.serving.borrow().get(service)
            && known.per_zone == per_zone
        {
            return known.chosen.clone();
        }
        let homes = choose();
        let chosen = homes.chosen.clone();
        self.serving.borrow_mut().insert(service.to_owned(), homes);
        chosen
    }
}
