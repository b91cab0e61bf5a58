//! The hosts that lend operations of a team, and those that are silent.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::key::{HostKey, TeamKey};
use flamingopost_core::limit::{Source, silent_fraction};

use super::rendezvous::spread;
use super::{Fleet, rendezvous_hash};
use crate::codec::Codec;

/// Time without a heartbeat after which a host counts as silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// How long the list of silent hosts is used once it was computed.
const SILENT_VALIDITY: Duration = Duration::from_millis(50);

/// Number of hosts of its own zone that a host asks for operations, one after the other. If the
/// first has gone silent, the second takes over. In a partition between hosts, the third holds no
/// share either, but the first of another zone may.
const ZONE_CHOICES: usize = 2;

/// Where this host obtains operations of a team.
#[derive(Debug, Clone)]
pub(super) struct TeamSources {
    /// In order of preference. Empty in a small fleet.
    sources: Vec<Source>,
    /// The hosts that zones ask first. This host is not among them.
    first: Vec<HostKey>,
    /// Number of zones.
    zones: usize,
}

impl<C: Codec> Fleet<C> {
    /// Returns where this host obtains operations of `team`, in order of preference. It is empty if
    /// hosts ask the grantor themselves.
    ///
    /// Each operation asks for it, and the list of hosts may be long. So it is computed once for
    /// each list of hosts.
    pub fn sources(&self, team: TeamKey) -> Vec<Source> {
        self.with_sources(team, |it| it.sources.clone())
    }

    fn with_sources<T>(&self, team: TeamKey, read: impl FnOnce(&TeamSources) -> T) -> T {
        let mut cached = self.sources.borrow_mut();
        read(cached.entry(team).or_insert_with(|| self.order(team)))
    }

    /// Returns the order of the hosts that `team` leads to. All hosts of a zone compute the same
    /// order.
    fn order(&self, team: TeamKey) -> TeamSources {
        if self.is_small() {
            return TeamSources {
                sources: Vec::new(),
                first: Vec::new(),
                zones: 1,
            };
        }
        let name = self.site.client_name(team);
        let peers = self.peers.borrow();
        let mut zones: BTreeMap<&str, Vec<(u64, Source)>> = BTreeMap::new();
        let others = peers.by_host.values().map(|(key, peer)| {
            let order = spread(rendezvous_hash(&name, &peer.host));
            (peer.zone.as_str(), (order, Source::Lender(*key)))
        });
        let order = spread(rendezvous_hash(&name, &self.site.host));
        let own = (self.site.zone.as_str(), (order, Source::Own));
        for (zone, host) in others.chain([own]) {
            zones.entry(zone).or_default().push(host);
        }
        zones.values_mut().for_each(|hosts| hosts.sort_unstable());
        // Zones follow in another order for each team, so that one does not lend for all.
        let mut order: Vec<&str> = zones.keys().copied().collect();
        order.sort_by_key(|zone| {
            let is_own = *zone == self.site.zone;
            (Reverse(is_own), spread(rendezvous_hash(&name, zone)))
        });
        let mut sources = Vec::new();
        for zone in order {
            let count = match zone == self.site.zone {
                true => ZONE_CHOICES,
                false => 1,
            };
            let hosts = zones[zone].iter().take(count);
            sources.extend(hosts.map(|(_, source)| *source));
        }
        let first = zones.values().filter_map(|hosts| hosts.first());
        let first = first.filter_map(|(_, source)| match source {
            Source::Lender(host) => Some(*host),
            Source::Own => None,
        });
        TeamSources {
            sources,
            first: first.collect(),
            zones: zones.len(),
        }
    }

    /// Forgets the orders of hosts, because the list of hosts has changed.
    pub(super) fn forget_sources(&self) {
        self.sources.borrow_mut().clear();
        let peers = self.peers.borrow();
        self.limits
            .retain_lenders(|host| peers.keys.contains_key(host));
    }

    /// Returns the address at which `host` receives messages.
    pub fn peer_address(&self, host: HostKey) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        peers.keys.get(host).copied()
    }

    /// Records that `host` holds no share of any team.
    pub fn record_no_shares(&self, host: HostKey) {
        let now = self.site.now();
        self.peers.borrow_mut().no_shares.record(host, now);
    }

    /// Returns the fraction of all hosts that have sent this host no heartbeat for [`SILENT_AFTER`]
    /// and may hold shares of `team` that were granted before `since`.
    ///
    /// Each heartbeat and each request may ask for it, and the list of hosts may be long. So the
    /// silent ones are computed once in [`SILENT_VALIDITY`].
    pub fn silent_hosts(&self, team: TeamKey, since: Duration, now: Duration) -> f64 {
        let (count, hosts, silent) = {
            let mut peers = self.peers.borrow_mut();
            let valid = |at: Duration| now < at + SILENT_VALIDITY;
            if peers.silent.as_ref().is_none_or(|(_, at)| !valid(*at)) {
                let heard = |host: &HostKey| {
                    let at = peers.heartbeats.get(host);
                    at.is_some_and(|at| now < *at + SILENT_AFTER)
                };
                let hosts = peers.by_host.values().map(|(host, _)| *host);
                let silent = hosts.filter(|host| !heard(host)).collect();
                peers.silent = Some((silent, now));
            }
            let silent = peers.silent.iter().flat_map(|(silent, _)| silent);
            let may_hold = silent.filter(|host| !peers.no_shares.holds_none(**host, since));
            let may_hold: Vec<HostKey> = may_hold.copied().collect();
            (may_hold.len(), peers.by_host.len() + 1, may_hold)
        };
        if count == 0 {
            return 0.0;
        }
        self.with_sources(team, |it| {
            let first = it.first.iter().filter(|host| silent.contains(host)).count();
            silent_fraction((count, hosts), (first, it.zones))
        })
    }
}
