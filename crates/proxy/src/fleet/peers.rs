//! The other entry hosts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::HostKey;

use super::derived::Moved;
use super::unusable_entries::{HOSTS, peer_id};
use super::{Fleet, Peers, SMALL_FLEET_HOSTS};
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::{Change, Entry, Peer};

/// Maximum number of entries of a list that are logged one by one, which is that of a small fleet. A
/// longer list is logged in one line with its length.
const MAX_HOST_LINES: usize = SMALL_FLEET_HOSTS;

impl<C: Codec> Fleet<C> {
    /// Applies a complete list of hosts.
    ///
    /// A host missing from a store that was just restored announced itself after the backup was
    /// taken, and will do so again. It stays listed, which guards against a majority that is
    /// counted without it.
    pub fn apply_host_list(&self, entries: Vec<Entry<Peer>>) {
        let named: BTreeSet<&str> = entries.iter().map(peer_id).collect();
        let copied = self.epochs.borrow().may_store_be_stale(self.site.now());
        let missing: Vec<String> = {
            let peers = self.peers.borrow();
            let known = peers.by_host.keys().filter(|_| !copied);
            let missing = known.filter(|host| !named.contains(host.as_str()));
            missing.cloned().collect()
        };
        let gone = missing.into_iter().map(Change::Removed);
        let rest = entries.into_iter().map(Change::from);
        self.update_hosts(gone.chain(rest).collect());
    }

    /// Applies changes of the list of hosts.
    pub fn apply_host_changes(&self, changes: Vec<Change<Peer>>) {
        if !changes.is_empty() {
            self.update_hosts(changes);
        }
    }

    /// Applies changes and then recomputes what depends on the list. That is done once for all
    /// changes, since it iterates over all hosts and a starting host receives an entry of each of
    /// them.
    fn update_hosts(&self, changes: Vec<Change<Peer>>) {
        let puts = changes.iter().filter(|it| matches!(it, Change::Put(_)));
        let (puts, changed) = (puts.count(), changes.len());
        let mut moved = Vec::with_capacity(changed);
        for change in changes {
            moved.extend(self.apply_host_change(change, puts <= MAX_HOST_LINES));
        }
        self.derived.count_examined(changed);
        if puts > MAX_HOST_LINES {
            let hosts = self.peers.borrow().by_host.len();
            self.site.log(&Event::PeersListed { puts, hosts });
        }
        let was_weighted = self.weigh_hosts();
        match was_weighted == self.peers.borrow().is_weighted {
            true => self.derived.update(&moved),
            false => self.derived.clear(),
        }
        self.update_contacts();
        self.forget_sources();
        self.allot_connections();
    }

    /// Applies one change of the list of hosts. An entry is logged only if `logs_put`. Returns what
    /// has changed, if anything.
    fn apply_host_change(&self, change: Change<Peer>, logs_put: bool) -> Vec<Moved> {
        match change {
            Change::Put(peer) if peer.host == self.site.host => Vec::new(),
            Change::Put(peer) => self.put_host(peer, logs_put),
            // A known host stays listed, because it has not withdrawn. Dropping it would lower the
            // number of hosts that form a majority while it may still be part of one.
            Change::Unusable(unusable) => {
                self.report_unusable(HOSTS, &unusable);
                Vec::new()
            }
            Change::Removed(host) => self.remove_host(host).into_iter().collect(),
        }
    }

    /// Determines whether tasks are shared out by strength. Returns whether they were before.
    fn weigh_hosts(&self) -> bool {
        let mut peers = self.peers.borrow_mut();
        let mut others = peers.by_host.values();
        let is_weighted =
            self.site.strength.is_some() && others.all(|(_, peer)| peer.strength.is_some());
        std::mem::replace(&mut peers.is_weighted, is_weighted)
    }

    fn put_host(&self, peer: Peer, logs_put: bool) -> Vec<Moved> {
        self.reported_faults.borrow_mut().clear(HOSTS, &peer.host);
        if logs_put {
            self.site.log(&Event::PeerListed {
                host: peer.host.clone(),
                zone: peer.zone.clone(),
                address: peer.address,
            });
        }
        let mut peers = self.peers.borrow_mut();
        let known = peers.by_host.get(&peer.host).cloned();
        let key = match &known {
            Some((_, known)) if *known == peer => return Vec::new(),
            Some((key, _)) => *key,
            None => peers.keys.insert(peer.address),
        };
        peers.keys[key] = peer.address;
        let now = self.site.now();
        peers.listed_at.entry(key).or_insert(now);
        let mut moved: Vec<Moved> = Vec::new();
        moved.extend(known.map(|(_, former)| self.moved(&peers, &former, false)));
        moved.push(self.moved(&peers, &peer, true));
        peers.by_host.insert(peer.host.clone(), (key, peer));
        moved
    }

    /// Returns the change of the list that adds or removes `peer`.
    fn moved(&self, peers: &Peers, peer: &Peer, is_listed: bool) -> Moved {
        Moved {
            host: peer.host.clone(),
            strength: peers.weight(peer),
            is_listed,
            in_own_zone: peer.zone == self.site.zone,
        }
    }

    fn remove_host(&self, host: String) -> Option<Moved> {
        let mut peers = self.peers.borrow_mut();
        let (key, peer) = peers.by_host.remove(&host)?;
        peers.heartbeats.remove(&key);
        peers.listed_at.remove(&key);
        peers.no_shares.remove(key);
        peers.keys.remove(key);
        let moved = self.moved(&peers, &peer, false);
        drop(peers);
        self.site.log(&Event::PeerGone { host });
        Some(moved)
    }

    /// Returns the key of a listed host.
    pub fn peer(&self, host: &str) -> Option<HostKey> {
        let peers = self.peers.borrow();
        peers.by_host.get(host).map(|(key, _)| *key)
    }

    /// Returns the key and the entry of a listed host.
    pub fn find_peer(&self, host: &str) -> Option<(HostKey, Peer)> {
        self.peers.borrow().by_host.get(host).cloned()
    }

    /// Reports whether `host` is listed.
    pub fn is_listed(&self, host: HostKey) -> bool {
        self.peers.borrow().keys.contains_key(host)
    }

    /// Returns the other hosts.
    pub fn peers(&self) -> Rc<[(HostKey, Peer)]> {
        let list = || {
            let peers = self.peers.borrow();
            self.derived.count_examined(peers.by_host.len());
            peers.by_host.values().cloned().collect()
        };
        self.derived.peers(list)
    }

    /// Returns how many entries of hosts this host has iterated over: a measure of the work that
    /// grows with the fleet.
    pub fn examined_hosts(&self) -> u64 {
        self.derived.examined()
    }

    /// Returns the earliest time at which this host may order a change of primary, as far as that
    /// depends on entries that a restored store may lack. Hosts in `gone` are not waited for.
    ///
    /// Elections call this many times a second for each service, and the list of hosts may be long.
    /// So the list is only iterated over if a delay is possible.
    pub fn orders_from(&self, gone: &BTreeSet<HostKey>) -> Duration {
        let epochs = self.epochs.borrow();
        if !epochs.may_delay_orders(self.site.now()) {
            return Duration::ZERO;
        }
        let peers = self.peers.borrow();
        let keys = peers.by_host.values().map(|(key, _)| *key);
        epochs.orders_allowed_from(&keys.filter(|key| !gone.contains(key)).collect())
    }

    /// Returns the other hosts with which this one exchanges heartbeats: all of a small fleet, or the
    /// electors.
    pub fn electors(&self) -> Rc<[(HostKey, Peer)]> {
        Rc::clone(&self.electors.borrow())
    }
}
