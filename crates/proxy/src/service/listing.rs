//! Servers as the platform lists them.

use std::collections::BTreeMap;
use std::rc::Rc;

use flamingopost_core::dispatch::{self, Standing};
use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::succession::Contact;

use super::{Allotment, Known, Life, Service, Start, restart};
use crate::back::Target;
use crate::codec::Codec;
use crate::platform::Backend;

/// Whose word an entry of the list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The server's, as far as is known.
    Server,
    /// That of a copy from which the store was restored.
    Copy,
}

impl<C: Codec> Service<C> {
    /// The platform lists `backend` under `key`, which stands for one of its starts.
    pub fn listed(
        self: &Rc<Self>,
        key: ServerKey,
        backend: &Backend,
        start: Start,
        source: Source,
    ) {
        {
            let mut state = self.state.borrow_mut();
            let Allotment { base, fair, most } = state.allotment;
            let local = backend.zone == self.site.zone;
            let mut server = dispatch::Server::new(local, backend.slots, base, fair, most);
            if backend.leaving {
                server.standing = Standing::Leaving;
            }
            state.dispatch.insert(key, server);
            // The role in a copy is one that the server may have had before it was replaced.
            if source == Source::Server || !state.servers.contains_key(&key) {
                state
                    .leader
                    .record_listing(key, backend.role, backend.changed.0);
            }
            let target = Target {
                server: key,
                address: backend.address,
                id: backend.id.clone(),
                service: self.name.clone(),
            };
            let back = match start {
                Start::Known => None,
                Start::Again(former) => Some(restart::Back {
                    former,
                    extent: state.extent.furthest(),
                    term: state.vouch.term(),
                }),
            };
            let known = state.servers.entry(key).or_insert_with(|| Known {
                target: target.clone(),
                incarnation: backend.incarnation,
                life: Life::default(),
                back,
                broke: false,
                blank: false,
                shown: false,
                contact: Contact::default(),
                outstanding: BTreeMap::new(),
            });
            known.target = target;
            if start != Start::Known && backend.role == Role::Primary {
                state.leader.distrust(key);
            }
        }
        self.refresh();
    }

    /// The server under `key` has started again: what is on its way there gets no answer any more.
    pub fn restarted(self: &Rc<Self>, key: ServerKey) {
        if let Some(known) = self.state.borrow().servers.get(&key) {
            known.life.end();
        }
        self.unlisted(key);
    }

    /// The platform no longer lists the server. It may still be at work, cut off from the platform:
    /// what is on its way there is awaited, and open transactions go on to their end.
    pub fn unlisted(self: &Rc<Self>, key: ServerKey) {
        let next = {
            let mut state = self.state.borrow_mut();
            state.leader.remove_server(key);
            state.servers.remove(&key);
            state.dispatch.remove(key)
        };
        self.apply(next);
        self.refresh();
    }

    /// The connections that this host may have have changed.
    pub fn allot(&self, allotment: Allotment) {
        let mut state = self.state.borrow_mut();
        state.allotment = allotment;
        let keys: Vec<ServerKey> = state.servers.keys().copied().collect();
        for key in keys {
            if let Some(server) = state.dispatch.server_mut(key) {
                server.base = allotment.base;
                server.fair = allotment.fair;
                server.most = allotment.most;
            }
        }
    }
}
