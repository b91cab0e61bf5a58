//! The list of backend servers.

use std::collections::BTreeSet;

use super::unusable_entries::{SERVERS, backend_id};
use super::{DROPPED_RETENTION, Fleet, Servers, UNLISTED_GRACE};
use crate::codec::Codec;
use crate::event::Event;
use crate::platform::{Backend, Change, Entry};
use crate::service::Source;

impl<C: Codec> Fleet<C> {
    /// Applies a complete list of servers. Servers that are not in it count as missing.
    ///
    /// The list of a restored store may be outdated. It undoes nothing that was known before, until
    /// servers have rewritten their entries.
    pub fn apply_server_list(&self, entries: Vec<Entry<Backend>>) {
        let named: BTreeSet<&str> = entries.iter().map(backend_id).collect();
        let missing: Vec<String> = {
            let (servers, unconfigured) = (self.servers.borrow(), self.unconfigured.borrow());
            let known = servers.by_id.keys().chain(unconfigured.keys());
            let known = known.chain(servers.unreadable.keys());
            let missing = known.filter(|id| !named.contains(id.as_str()));
            missing.cloned().collect()
        };
        for id in missing {
            self.apply_server_change(Change::Removed(id));
        }
        let copied = self.epochs.borrow().may_store_be_stale(self.site.now());
        for entry in entries {
            match Change::from(entry) {
                Change::Put(backend) if copied => self.put_restored(backend),
                change => self.apply_server_change(change),
            }
        }
        if self.server_list_read_in.get().is_none() {
            let epoch = self.epochs.borrow().store_epoch();
            self.server_list_read_in.set(Some(epoch));
            self.contact_due.notify_one();
        }
    }

    /// Reports whether `id` is that of a listed server, and not the name of this host.
    ///
    /// Guards against a host that takes itself, or another host, for a server, because an entry names its
    /// address: statements would go round in circles.
    pub fn is_server(&self, id: &[u8]) -> bool {
        let id = std::str::from_utf8(id).ok();
        id.is_some_and(|id| id != self.site.host && self.servers.borrow().by_id.contains_key(id))
    }

    /// Applies one change of the list of servers.
    pub fn apply_server_change(&self, change: Change<Backend>) {
        match change {
            Change::Put(backend) if self.has_service(&backend.service) => {
                self.put_server(&backend, Source::Server);
            }
            Change::Put(backend) if self.is_former(&backend) => {}
            Change::Put(backend) => self.set_aside(backend),
            Change::Unusable(unusable) => {
                self.report_unusable(SERVERS, &unusable);
                let since = self.servers.borrow().unreadable.get(&unusable.id).copied();
                self.mark_missing(&unusable.id);
                let since = since.unwrap_or(self.site.now());
                let mut servers = self.servers.borrow_mut();
                servers.unreadable.insert(unusable.id, since);
            }
            Change::Removed(id) => self.mark_missing(&id),
        }
    }

    /// Marks server `id` as missing, because its entry disappeared or can no longer be used.
    ///
    /// Both may be temporary: entries of running servers expire, and a server rewrites its entry if
    /// somebody else has overwritten it. So the server stays in use for [`UNLISTED_GRACE`], which
    /// is within the time for which a leaving server still serves. If it were dropped immediately,
    /// a primary would lose its transactions and be replaced although its entry is valid again one
    /// heartbeat later.
    pub(super) fn mark_missing(&self, id: &str) {
        self.unconfigured.borrow_mut().remove(id);
        let now = self.site.now();
        let mut servers = self.servers.borrow_mut();
        servers.unreadable.remove(id);
        if let Some(listed) = servers.by_id.get_mut(id) {
            listed.missing_since.get_or_insert(now);
        }
    }

    /// Drops servers that have been missing for [`UNLISTED_GRACE`]. While the list is unreadable,
    /// no server is known to be missing, so the grace starts over.
    pub fn drop_missing_servers(&self, list_unreadable: bool) {
        let now = self.site.now();
        let mut lapsed = Vec::new();
        {
            let mut servers = self.servers.borrow_mut();
            let Servers {
                keys,
                by_id,
                dropped,
                ..
            } = &mut *servers;
            dropped.retain(|_, (_, at)| now < *at + DROPPED_RETENTION);
            by_id.retain(|id, entry| {
                let Some(missing_since) = &mut entry.missing_since else {
                    return true;
                };
                if list_unreadable {
                    *missing_since = now;
                    return true;
                }
                if now < *missing_since + UNLISTED_GRACE {
                    return true;
                }
                keys.remove(entry.key);
                lapsed.push((
                    id.clone(),
                    entry.key,
                    entry.service.clone(),
                    now - *missing_since,
                ));
                dropped.insert(id.clone(), (entry.incarnation, now));
                false
            });
        }
        for (server, key, service, since) in lapsed {
            self.site.log(&Event::Unlisted {
                service: service.clone(),
                server,
                millis: since.as_millis(),
            });
            self.service_or_new(&service).remove_server(key);
        }
    }

    /// Adds a server to the list, or updates it, unless the entry is of a former incarnation.
    pub(super) fn put_server(&self, backend: &Backend, source: Source) {
        self.reported_faults
            .borrow_mut()
            .clear(SERVERS, &backend.id);
        self.unconfigured.borrow_mut().remove(&backend.id);
        self.servers.borrow_mut().unreadable.remove(&backend.id);
        let Some((key, start)) = self.resolve_incarnation(backend) else {
            return;
        };
        self.site.log(&Event::Listed {
            service: backend.service.clone(),
            server: backend.id.clone(),
            address: backend.address,
            role: backend.role,
            leaving: backend.leaving,
            revision: backend.revision,
        });
        let service = self.service_or_new(&backend.service);
        let slots = service.slots();
        service.add_server(key, backend, start, source);
        // The set of serving hosts depends on the number of request slots.
        if service.slots() != slots {
            service.set_allotment(self.allotment(&service.name));
            if self.follows(&service.name) {
                service.start_following();
            }
        }
    }
}
