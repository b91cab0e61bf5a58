//! Which start of a server an entry of the list speaks of.

use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::key::ServerKey;

use super::{Fleet, Listed, Servers};
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::Backend;
use crate::service::Start;

/// Which start of a server an entry of the list speaks of.
enum Sighting {
    /// The one that is known, or the first.
    Known(ServerKey),
    /// A newer one, or the same as a server of another service.
    Newer { key: ServerKey, before: Listed },
    /// One before the one that is known.
    Former(Incarnation),
}

impl Listed {
    fn new(key: ServerKey, backend: &Backend) -> Listed {
        Listed {
            key,
            incarnation: backend.incarnation,
            service: backend.service.clone(),
            gone: None,
            leaving: backend.leaving,
        }
    }
}

impl<C: Codec> Fleet<C> {
    /// The key of the start that `backend` speaks of, which it lists; `None` for a former one.
    ///
    /// Guards against what was known of a former start: a key stands for one start of a server, and
    /// connections, positions, lag, window, contact and roles are kept by it, so that they go with
    /// it. An entry that comes late, by a store that answers from the past, changes nothing.
    pub(super) fn take_in(&self, backend: &Backend) -> Option<(ServerKey, Start)> {
        match self.sight(backend) {
            Sighting::Known(key) => Some((key, Start::Known)),
            Sighting::Newer { key, before } => {
                self.service(&before.service).end_incarnation(before.key);
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
            Sighting::Former(newest) => {
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

    fn sight(&self, backend: &Backend) -> Sighting {
        let mut servers = self.servers.borrow_mut();
        let Servers { keys, by_id, .. } = &mut *servers;
        let Some(listed) = by_id.get_mut(&backend.id) else {
            let key = keys.insert(backend.id.clone());
            by_id.insert(backend.id.clone(), Listed::new(key, backend));
            return Sighting::Known(key);
        };
        if backend.incarnation < listed.incarnation {
            return Sighting::Former(listed.incarnation);
        }
        listed.gone = None;
        listed.leaving = backend.leaving;
        if backend.incarnation == listed.incarnation && backend.service == listed.service {
            return Sighting::Known(listed.key);
        }
        keys.remove(listed.key);
        let key = keys.insert(backend.id.clone());
        let before = std::mem::replace(listed, Listed::new(key, backend));
        Sighting::Newer { key, before }
    }

    /// Whether `backend` speaks of a start before the one that is listed.
    pub(super) fn is_former(&self, backend: &Backend) -> bool {
        let servers = self.servers.borrow();
        let listed = servers.by_id.get(&backend.id);
        listed.is_some_and(|listed| backend.incarnation < listed.incarnation)
    }
}
