//! The other entry hosts, and which of them are asked by all.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::HostKey;

use super::strangers::{HOSTS, peer_id};
use super::{Fleet, spread};
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::{Change, Entry, Peer};

/// In larger fleets so many hosts, spread over the availability zones, are asked by all: what a
/// host sends stays the same however many there are. Odd, so that halves cannot tie.
const ELECTORS: usize = 7;

impl<C: Codec> Fleet<C> {
    /// Takes a whole list of hosts.
    ///
    /// Hosts that are missing where the store was just restored have announced themselves after the
    /// copy was taken, and do so again. Guards against majorities that are counted without them.
    pub fn list_peers(&self, entries: Vec<Entry<Peer>>) {
        let named: BTreeSet<&str> = entries.iter().map(peer_id).collect();
        let copied = self.epochs.borrow().may_store_be_stale(self.site.now());
        let missing: Vec<String> = {
            let peers = self.peers.borrow();
            let known = peers.by_host.keys().filter(|_| !copied);
            let missing = known.filter(|host| !named.contains(host.as_str()));
            missing.cloned().collect()
        };
        let gone = missing.into_iter().map(Change::Gone);
        let rest = entries.into_iter().map(Change::from);
        self.take_peers(gone.chain(rest).collect());
    }

    /// Takes changes of the list of hosts.
    pub fn change_peers(&self, changes: Vec<Change<Peer>>) {
        if !changes.is_empty() {
            self.take_peers(changes);
        }
    }

    /// Takes changes, and works out what follows from the list once for all of them: that walks over
    /// all hosts, and a host that starts is told of each.
    fn take_peers(&self, changes: Vec<Change<Peer>>) {
        for change in changes {
            self.change_peer(change);
        }
        let (electors, takes_part) = self.elect();
        let others = electors.iter().map(|(key, _)| *key).collect();
        *self.electors.borrow_mut() = electors;
        let now = self.site.now();
        {
            let mut quorum = self.quorum.borrow_mut();
            quorum.set_elector(takes_part);
            quorum.set_hosts(others, now);
        }
        self.contact_due.notify_one();
        self.allot();
    }

    fn change_peer(&self, change: Change<Peer>) {
        match change {
            Change::Put(peer) if peer.host == self.site.host => {}
            Change::Put(peer) => {
                self.told.borrow_mut().mended(HOSTS, &peer.host);
                self.site.log(&Event::PeerListed {
                    host: peer.host.clone(),
                    zone: peer.zone.clone(),
                    address: peer.address,
                });
                let mut peers = self.peers.borrow_mut();
                let key = match peers.by_host.get(&peer.host) {
                    Some((key, _)) => *key,
                    None => peers.keys.insert(()),
                };
                peers.by_host.insert(peer.host.clone(), (key, peer));
            }
            // A host that is known stays: it has not withdrawn, and without it fewer hosts would
            // be a majority than without its word may be one.
            Change::Spoilt(unusable) => self.spoilt(HOSTS, &unusable),
            Change::Gone(host) => {
                let mut peers = self.peers.borrow_mut();
                if let Some((key, _)) = peers.by_host.remove(&host) {
                    peers.keys.remove(key);
                    drop(peers);
                    self.site.log(&Event::PeerGone { host });
                }
            }
        }
    }

    /// The key of a host that is listed.
    pub fn peer(&self, host: &str) -> Option<HostKey> {
        let peers = self.peers.borrow();
        peers.by_host.get(host).map(|(key, _)| *key)
    }

    /// The other hosts.
    pub fn peers(&self) -> Vec<(HostKey, Peer)> {
        self.peers.borrow().by_host.values().cloned().collect()
    }

    /// From when on this host may order a change of primary, as far as that depends on what a restored
    /// store may lack; hosts in `gone` are not waited for.
    ///
    /// Elections ask this many times a second for each service, and the list of hosts may be long: it is
    /// walked only where a wait may be left.
    pub fn orders_from(&self, gone: &BTreeSet<HostKey>) -> Duration {
        let epochs = self.epochs.borrow();
        if !epochs.may_delay_orders(self.site.now()) {
            return Duration::ZERO;
        }
        let peers = self.peers.borrow();
        let keys = peers.by_host.values().map(|(key, _)| *key);
        epochs.orders_allowed_from(&keys.filter(|key| !gone.contains(key)).collect())
    }

    /// The other hosts whose majority counts.
    pub fn electors(&self) -> Vec<(HostKey, Peer)> {
        self.electors.borrow().clone()
    }

    /// The other hosts whose majority counts, and whether this one is of their number.
    fn elect(&self) -> (Vec<(HostKey, Peer)>, bool) {
        let peers = self.peers();
        if self.is_small() {
            return (peers, true);
        }
        // Each zone's hosts in an order of their own, then one of each zone after the other.
        let mut zones: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
        let own = (self.site.zone.as_str(), self.site.host.as_str());
        let hosts = peers
            .iter()
            .map(|(_, peer)| (peer.zone.as_str(), peer.host.as_str()));
        for (zone, host) in hosts.chain([own]) {
            let order = spread("electors", host);
            zones.entry(zone).or_default().push((order, host));
        }
        let mut order: Vec<(usize, &str)> = Vec::new();
        for hosts in zones.values_mut() {
            hosts.sort_unstable();
            order.extend(
                hosts
                    .iter()
                    .enumerate()
                    .map(|(place, (_, host))| (place, *host)),
            );
        }
        order.sort_by_key(|(place, _)| *place);
        order.truncate(ELECTORS);
        let elected = |host: &str| order.iter().any(|(_, elected)| *elected == host);
        let takes_part = elected(&self.site.host);
        let chosen = peers.iter().filter(|(_, peer)| elected(&peer.host));
        (chosen.cloned().collect(), takes_part)
    }
}
