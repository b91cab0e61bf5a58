//! The electorate that this host has adopted, and the one that should follow it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::HostKey;
use flamingopost_core::quorum::{Electorate, GONE_TIMEOUT, Group, HEARTBEAT_INTERVAL, Quorum};

use super::{Fleet, Rendezvous};
use crate::codec::Codec;
use crate::platform::{Peer, Strength};

/// Number of electors in a large fleet. All hosts exchange heartbeats with them, so the number of
/// messages that a host sends does not depend on the size of the fleet. They are spread over the
/// availability zones. The number is odd so that a split cannot tie.
const MAX_ELECTORS: usize = 7;

/// An elector of a large fleet that has sent nothing for this long is replaced by another host. Until then
/// a cut that divides the other electors may leave no part with a majority. A small fleet waits for longer,
/// since it has no other host to replace one with.
const REPLACED_AFTER: Duration = Duration::from_secs(2);

impl<C: Codec> Fleet<C> {
    /// Returns the electorate that this host has adopted.
    pub fn electorate(&self) -> Option<Electorate> {
        self.electorate.borrow().clone()
    }

    /// Adopts `electorate` if it is newer than the present one. Returns whether it was.
    pub fn adopt_electorate(&self, electorate: &Electorate) -> bool {
        let groups = self.groups(electorate);
        let adopt = |quorum: &mut Quorum, now| quorum.adopt(electorate, groups, now).then_some(now);
        let Some(now) = self.with_quorum(adopt) else {
            return false;
        };
        *self.electorate.borrow_mut() = Some(electorate.clone());
        let since = self.elector_since.get().unwrap_or(now);
        let is_elector = electorate.includes(&self.site.host);
        self.elector_since.set(is_elector.then_some(since));
        self.update_contacts();
        true
    }

    /// Returns the electors of `electorate` and of the one before, as seen by this host.
    fn groups(&self, electorate: &Electorate) -> [Group; 2] {
        let peers = self.peers.borrow();
        let key = |name: &str| Some(peers.by_host.get(name)?.0);
        let group = |names| Group::new(names, &self.site.host, key);
        [group(&electorate.electors), group(&electorate.former)]
    }

    /// Determines with which hosts this one exchanges heartbeats, after a change of the list of hosts or
    /// of the electorate.
    pub(super) fn update_contacts(&self) {
        let is_small = self.is_small();
        let electorate = self.electorate.borrow();
        let electors = match electorate.as_ref() {
            Some(electorate) => &electorate.electors | &electorate.former,
            None => self.elect(|_| true),
        };
        let peers = self.peers();
        let contacts = peers
            .iter()
            .filter(|(_, peer)| is_small || electors.contains(&peer.host));
        let contacts: Vec<(HostKey, Peer)> = contacts.cloned().collect();
        let keys = contacts.iter().map(|(key, _)| *key).collect();
        *self.electors.borrow_mut() = contacts.into();
        let groups = electorate.as_ref().map(|it| self.groups(it));
        let now = self.site.now();
        let mut quorum = self.quorum.borrow_mut();
        quorum.set_elector(electors.contains(&self.site.host));
        quorum.set_hosts(keys, now);
        if let Some(groups) = groups {
            quorum.set_groups(groups);
        }
        drop(quorum);
        self.contact_due.notify_one();
    }

    /// Returns the names of the hosts that should be electors. One that has sent nothing for
    /// [`GONE_TIMEOUT`], or [`REPLACED_AFTER`] in a large fleet, is left out, since it may have been removed
    /// without notice, and one that this host does not hear is not added: electors that have heard for
    /// different times would else add and leave out the same host in turn.
    pub fn desired_electors(&self) -> BTreeSet<String> {
        let now = self.site.now();
        // Hosts of a large fleet send heartbeats to electors only.
        let (heard_since, gone_after) = match self.is_small() {
            true => (Some(Duration::ZERO), GONE_TIMEOUT),
            false => (self.elector_since.get(), REPLACED_AFTER),
        };
        let electorate = self.electorate.borrow();
        let electors: Option<BTreeSet<HostKey>> = electorate.as_ref().map(|electorate| {
            let keys = electorate.electors.iter().filter_map(|it| self.peer(it));
            keys.collect()
        });
        self.elect(|key| match &electors {
            Some(electors) if !electors.contains(&key) => self.is_heard(key),
            _ => {
                let last = self.last_heard(key).max(heard_since.unwrap_or(now));
                now < last + gone_after
            }
        })
    }

    /// Reports whether this host has been an elector for `time`, so that all others send heartbeats to it.
    /// In a small fleet all do from the start.
    pub fn has_been_elector_for(&self, time: Duration) -> bool {
        let now = self.site.now();
        let since = self.elector_since.get();
        self.is_small() || since.is_some_and(|since| now >= since + time)
    }

    /// Reports whether `host` has sent a heartbeat within the time of two, or is this host.
    pub fn hears(&self, host: &str) -> bool {
        host == self.site.host || self.peer(host).is_some_and(|key| self.is_heard(key))
    }

    /// Reports whether a host has sent a heartbeat within the time of two.
    fn is_heard(&self, key: HostKey) -> bool {
        let now = self.site.now();
        let heartbeat = self.peers.borrow().heartbeats.get(&key).copied();
        heartbeat.is_some_and(|at| now < at + HEARTBEAT_INTERVAL * 2)
    }

    /// Returns when a host has last sent something to this one, or was first listed.
    fn last_heard(&self, key: HostKey) -> Duration {
        let now = self.site.now();
        let age = self.quorum.borrow().age(key, now);
        let message = age.map(|age| now.saturating_sub(age));
        let peers = self.peers.borrow();
        let heartbeat = peers.heartbeats.get(&key).copied();
        let listed = peers.listed_at.get(&key).copied();
        message.max(heartbeat).max(listed).unwrap_or_default()
    }

    /// Returns the names of the electors among the listed hosts that are `eligible` and this host.
    fn elect(&self, eligible: impl Fn(HostKey) -> bool) -> BTreeSet<String> {
        let peers = self.peers();
        let eligible = peers.iter().filter(|(key, _)| eligible(*key));
        let own = self.site.host.as_str();
        if self.is_small() {
            let names = eligible.map(|(_, peer)| peer.host.clone());
            return names.chain([own.to_owned()]).collect();
        }
        self.derived.count_examined(peers.len());
        // Orders the hosts of each zone by strength and hash, then takes one host of each zone in
        // turn.
        let listed = self.peers.borrow();
        let own_strength = self.site.strength.filter(|_| listed.is_weighted);
        let hosts = eligible.map(|(_, peer)| {
            let zone = peer.zone.as_str();
            (zone, peer.host.as_str(), listed.weight(peer))
        });
        type Place<'a> = (Reverse<Option<Strength>>, u64, &'a str);
        let mut zones: BTreeMap<&str, Vec<Place<'_>>> = BTreeMap::new();
        let electors = Rendezvous::of("electors");
        let own = (self.site.zone.as_str(), own, own_strength);
        for (zone, host, strength) in hosts.chain([own]) {
            let place = electors.place(host, strength);
            let zone = zones.entry(zone).or_default();
            zone.push((Reverse(strength), place, host));
        }
        let mut order: Vec<(usize, &str)> = Vec::new();
        for hosts in zones.values_mut() {
            hosts.sort_unstable();
            let places = hosts.iter().enumerate();
            order.extend(places.map(|(place, (_, _, host))| (place, *host)));
        }
        order.sort_by_key(|(place, _)| *place);
        order.truncate(MAX_ELECTORS);
        order.iter().map(|(_, host)| (*host).to_owned()).collect()
    }
}
