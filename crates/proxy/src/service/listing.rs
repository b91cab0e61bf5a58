//! Updates of a service from the platform's server list.

use std::collections::BTreeMap;
use std::rc::Rc;

use flamingopost_core::dispatch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::succession::Contact;

use super::{Allotment, RestartSignal, ServerEntry, Service, Start, restart};
use crate::codec::Codec;
use crate::platform::Backend;
use crate::server_connection::Target;

/// Origin of an entry in the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The server itself, as far as is known.
    Server,
    /// A copy from which the store was restored.
    Copy,
}

impl<C: Codec> Service<C> {
    /// Records that the platform lists `backend` under `key`, which identifies one incarnation of
    /// the server.
    pub fn add_server(
        self: &Rc<Self>,
        key: ServerKey,
        backend: &Backend,
        start: Start,
        source: Source,
    ) {
        {
            let mut state = self.state.borrow_mut();
            if !state.servers.contains_key(&key) {
                state.await_new_server(self.site.now());
            }
            let local = backend.zone == self.site.zone;
            let mut server = dispatch::Server::new(local, backend.slots, 0, 1, 1);
            server.set_allotment(state.allotment);
            if backend.leaving {
                server.leave(self.site.leaving_until());
            }
            state.dispatch.insert(key, server);
            // The role in a copy may be one that the server had before it was replaced.
            if source == Source::Server || !state.servers.contains_key(&key) {
                state
                    .leader
                    .record_listing(key, backend.role, backend.revision.0);
            }
            let target = Target {
                server: key,
                address: backend.address,
                id: backend.id.clone(),
                service: self.name.clone(),
            };
            let restart = match start {
                Start::Known => None,
                Start::Restarted(former_key) => Some(restart::RestartRecord {
                    former_key,
                    log_extent: state.log_extent.furthest(),
                    term: state.freshness.term(),
                }),
            };
            let entry = state.servers.entry(key).or_insert_with(|| ServerEntry {
                target: target.clone(),
                incarnation: backend.incarnation,
                restart_signal: RestartSignal::default(),
                restart,
                connections_broke: false,
                found_empty: false,
                has_shown_position: false,
                contact: Contact::default(),
                outstanding: BTreeMap::new(),
            });
            entry.target = target;
            if start != Start::Known && backend.role == Role::Primary {
                state.leader.distrust(key);
            }
        }
        self.refresh_leader();
    }

    /// Records that the server under `key` has restarted: requests in flight to it will not be
    /// answered.
    pub fn end_incarnation(self: &Rc<Self>, key: ServerKey) {
        if let Some(entry) = self.state.borrow().servers.get(&key) {
            entry.restart_signal.raise();
        }
        self.remove_server(key);
    }

    /// Records that the platform no longer lists the server.
    ///
    /// The server may still be running, cut off from the platform: answers to requests in flight
    /// are awaited, and open transactions continue to their end.
    pub fn remove_server(self: &Rc<Self>, key: ServerKey) {
        let next = {
            let mut state = self.state.borrow_mut();
            state.leader.remove_server(key);
            state.servers.remove(&key);
            state.dispatch.remove(key)
        };
        self.apply(next);
        self.refresh_leader();
    }

    /// Sets whether callers belong to teams.
    pub fn set_has_teams(&self, has_teams: bool) {
        self.state.borrow_mut().dispatch.set_has_teams(has_teams);
    }

    /// Updates the number of connections that this host may open.
    pub fn set_allotment(&self, allotment: Allotment) {
        self.require_tick();
        let mut state = self.state.borrow_mut();
        state.allotment = allotment;
        let keys: Vec<ServerKey> = state.servers.keys().copied().collect();
        for key in keys {
            if let Some(server) = state.dispatch.server_mut(key) {
                server.set_allotment(allotment);
            }
        }
    }
}
