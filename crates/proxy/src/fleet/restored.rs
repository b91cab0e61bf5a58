//! Entries of servers in a store that was restored from a backup a few seconds old.

use super::Fleet;
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::Backend;
use crate::service::Source;

impl<C: Codec> Fleet<C> {
    /// Applies an entry that may come from the backup.
    ///
    /// Guards against new work for servers that have left or are leaving: the backup lists them as
    /// they were before they announced it. A running server rewrites its entry within two seconds,
    /// and the list is read again after that.
    pub(super) fn put_restored(&self, mut backend: Backend) {
        if self.has_dropped(&backend) {
            self.site.log(&Event::CopyIgnored {
                service: backend.service.clone(),
                server: backend.id.clone(),
            });
            return;
        }
        backend.leaving |= self.is_leaving(&backend);
        match self.has_service(&backend.service) {
            true => self.put_server(&backend, Source::Copy),
            false => self.set_aside(backend),
        }
    }

    /// Reports whether the incarnation that `backend` describes was dropped from the list.
    fn has_dropped(&self, backend: &Backend) -> bool {
        let servers = self.servers.borrow();
        let dropped = servers.dropped.get(&backend.id);
        let is_listed = servers.by_id.contains_key(&backend.id);
        !is_listed && dropped.is_some_and(|(start, _)| *start >= backend.incarnation)
    }

    /// Reports whether the incarnation that `backend` describes has announced that it is leaving.
    fn is_leaving(&self, backend: &Backend) -> bool {
        let servers = self.servers.borrow();
        let listed = servers.by_id.get(&backend.id);
        listed.is_some_and(|listed| listed.leaving && listed.incarnation == backend.incarnation)
    }
}
