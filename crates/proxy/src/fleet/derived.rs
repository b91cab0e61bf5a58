//! What follows from the list of hosts, kept until the list changes.
//!
//! Elections, sessions and requests for operations of teams ask for it many times a second, and
//! each answer sorts or hashes the names of all hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use flamingopost_core::key::HostKey;

use super::{Grantor, ServingHost};
use crate::platform::Peer;

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
    ranks: RefCell<BTreeMap<String, u32>>,
    grantors: RefCell<BTreeMap<String, Rc<[Grantor]>>>,
    serving: ByService<Option<Rc<[ServingHost]>>>,
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

impl Derived {
    /// Drops all results, because the list of hosts has changed.
    pub fn clear(&self) {
        self.zones.take();
        self.peers.take();
        self.ranks.take();
        self.grantors.take();
        self.serving.take();
        self.holders.take();
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
    pub fn rank(&self, what: &str, count: impl FnOnce() -> u32) -> u32 {
        let known = self.ranks.borrow().get(what).copied();
        known.unwrap_or_else(|| {
            let rank = count();
            self.ranks.borrow_mut().insert(what.to_owned(), rank);
            rank
        })
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

    /// Returns the hosts that serve `service`, whose servers have `capacity`.
    pub fn serving(
        &self,
        service: &str,
        capacity: Capacity,
        choose: impl FnOnce() -> Option<Rc<[ServingHost]>>,
    ) -> Option<Rc<[ServingHost]>> {
        if let Some((at, chosen)) = self.serving.borrow().get(service)
            && *at == capacity
        {
            return chosen.clone();
        }
        let chosen = choose();
        let kept = (capacity, chosen.clone());
        self.serving.borrow_mut().insert(service.to_owned(), kept);
        chosen
    }
}
