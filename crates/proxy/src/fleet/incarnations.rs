//! Matches entries of the server list to incarnations, the individual starts of a server.

use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::key::ServerKey;

use super::{Fleet, ListedServer, Servers};
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::Backend;
use crate::service::Start;

/// How an entry relates to the incarnation that is currently listed.
enum IncarnationMatch {
    /// The listed incarnation, or the first one of a new server.
    Known(ServerKey),
    /// A newer incarnation, or the same one under a different service.
    Newer {
        key: ServerKey,
        before: ListedServer,
    },
    /// An incarnation before the listed one. Contains the listed one.
    Former(Incarnation),
}

impl ListedServer {
    fn new(key: ServerKey, backend: &Backend) -> ListedServer {
        ListedServer {
            key,
            incarnation: backend.incarnation,
            service: backend.service.clone(),
            missing_since: None,
            leaving: backend.leaving,
        }
    }
}

impl<C: Codec> Fleet<C> {
    /// Lists the incarnation that `backend` describes and returns its key, or `None` for a former
    /// incarnation.
    ///
    /// Guards against using state of a former incarnation. Connections, positions, lag, window,
    /// contact and roles are stored under the key of one incarnation and are dropped with it. A
    /// late entry, from a store that answers with outdated data, changes nothing.
    pub(super) fn resolve_incarnation(&self, backend: &Backend) -> Option<(ServerKey, Start)> {
        match self.match_incarnation(backend) {
            IncarnationMatch::Known(key) => Some((key, Start::Known)),
            IncarnationMatch::Newer { key, before } => {
                self.service_or_new(&before.service)
                    .end_incarnation(before.key);
                if backend.incarnation == before.incarnation {
                    return Some((key, Start::Known));
                }
                self.site.log(&Event::Restarted {
                    service: backend.service.clone(),
                    server: backend.id.clone(),
                    before: before.incarnation.0,
                    after: backend.incarnation.0,
                });
                Some((key, Start::Restarted(before.key)))
            }
            IncarnationMatch::Former(newest) => {
                self.site.log(&Event::FormerStart {
                    service: backend.service.clone(),
                    server: backend.id.clone(),
                    former: backend.incarnation.0,
                    newest: newest.0,
                });
                None
            }
        }
    }

    /// Compares `backend` to the list, and lists its incarnation unless it is a former one.
    fn match_incarnation(&self, backend: &Backend) -> IncarnationMatch {
        let mut servers = self.servers.borrow_mut();
        let Servers { keys, by_id, .. } = &mut *servers;
        let Some(listed) = by_id.get_mut(&backend.id) else {
            let key = keys.insert(backend.id.clone());
            by_id.insert(backend.id.clone(), ListedServer::new(key, backend));
            return IncarnationMatch::Known(key);
        };
        if backend.incarnation < listed.incarnation {
            return IncarnationMatch::Former(listed.incarnation);
        }
        listed.missing_since = None;
        listed.leaving = backend.leaving;
        if backend.incarnation == listed.incarnation && backend.service == listed.service {
            return IncarnationMatch::Known(listed.key);
        }
        keys.remove(listed.key);
        let key = keys.insert(backend.id.clone());
        let before = std::mem::replace(listed, ListedServer::new(key, backend));
        IncarnationMatch::Newer { key, before }
    }

    /// Reports whether `backend` describes an incarnation before the listed one.
    pub(super) fn is_former(&self, backend: &Backend) -> bool {
        let servers = self.servers.borrow();
        let listed = servers.by_id.get(&backend.id);
        listed.is_some_and(|listed| backend.incarnation < listed.incarnation)
    }
}
