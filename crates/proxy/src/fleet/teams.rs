//! Teams: who may call, how much each may ask, and which hosts grant it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use flamingopost_core::digest::Digest;
use flamingopost_core::key::{HostKey, TeamKey};
use flamingopost_core::limit::Limit;
use slotmap::Key as _;

use super::{Fleet, rendezvous_hash};
use crate::codec::Codec;

/// A host that may grant the operations of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grantor {
    /// This host.
    Local,
    /// Another host, which receives messages at this address.
    Remote(HostKey, SocketAddr),
}

impl<C: Codec> Fleet<C> {
    /// Returns the team of a caller of `database` whose API key has the digest `key`. It is the null
    /// key if the caller needs none and has none.
    pub fn authenticate(&self, database: &str, key: &Digest) -> Option<TeamKey> {
        let configuration = self.configuration()?;
        let Some(teams) = &configuration.teams else {
            return Some(TeamKey::default());
        };
        if let Some(name) = teams.find(key) {
            return Some(self.site.team(name));
        }
        let route = configuration.routes.get(database)?;
        route.anonymous.then(TeamKey::default)
    }

    /// Reports whether any team has a limit.
    pub fn has_limits(&self) -> bool {
        let configuration = self.configuration();
        let teams = configuration.as_ref().and_then(|it| it.teams.as_ref());
        teams.is_some_and(|it| it.limited_teams().next().is_some())
    }

    /// Reports whether callers belong to teams.
    pub fn has_teams(&self) -> bool {
        let configuration = self.configuration();
        configuration.is_some_and(|it| it.teams.is_some())
    }

    /// Returns the limit of the team called `name`, if it has one.
    pub fn limit(&self, name: &str) -> Option<Limit> {
        self.configuration()?.teams.as_ref()?.limit(name)
    }

    /// Returns the label of `team` in metrics, or `None` if it is no team.
    pub fn team_label(&self, team: TeamKey) -> Option<String> {
        if team.is_null() {
            return None;
        }
        let configuration = self.configuration()?;
        let teams = configuration.teams.as_ref()?;
        Some(teams.label(&self.site.client_name(team)).to_owned())
    }

    /// Applies the limits of the configuration, and forgets the teams that it no longer limits.
    pub(super) fn apply_limits(&self) {
        let configuration = self.configuration();
        let teams = configuration.as_ref().and_then(|it| it.teams.as_ref());
        let limited = teams.into_iter().flat_map(|teams| {
            let names = teams.limited_teams();
            names.filter_map(|name| Some((self.site.team(name), teams.limit(name)?)))
        });
        let limited: BTreeMap<TeamKey, Limit> = limited.collect();
        self.limits.set_limits(&limited, self.site.now());
        self.sources
            .borrow_mut()
            .retain(|team, _| limited.contains_key(team));
    }

    /// Returns the hosts that may grant operations of the team called `name`, in the order in which
    /// one replaces the other. All hosts compute the same order.
    ///
    /// They are the electors, which exchange heartbeats with all hosts, so that hosts agree on which
    /// of them is silent.
    pub fn grantors(&self, name: &str) -> Rc<[Grantor]> {
        self.derived.grantors(name, || self.order_grantors(name))
    }

    fn order_grantors(&self, name: &str) -> Rc<[Grantor]> {
        let electors = self.electors.borrow();
        let mut grantors: Vec<(u64, Grantor)> = electors
            .iter()
            .map(|(key, peer)| {
                let order = rendezvous_hash(name, &peer.host);
                (order, Grantor::Remote(*key, peer.address))
            })
            .collect();
        if self.quorum.borrow().is_elector() {
            let order = rendezvous_hash(name, &self.site.host);
            grantors.push((order, Grantor::Local));
        }
        grantors.sort_by_key(|(order, _)| *order);
        grantors.into_iter().map(|(_, grantor)| grantor).collect()
    }

    /// Records a heartbeat of `host`.
    pub fn record_heartbeat(&self, host: HostKey) {
        let now = self.site.now();
        self.peers.borrow_mut().heartbeats.insert(host, now);
        let silent = |team, since| self.silent_hosts(team, since, now);
        self.limits.record_contact(host, silent, now);
    }
}
