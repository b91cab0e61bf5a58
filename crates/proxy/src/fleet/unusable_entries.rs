//! Entries that cannot be read, and entries of servers whose service is not configured yet.

use crate::codec::Codec;
use crate::event::Event;
use crate::fault::{Fault, quote};
use crate::fleet::Fleet;
use crate::meter;
use crate::platform::{Backend, Entry, Peer};
use crate::unusable::UnusableEntry;

/// Tables of the store that may contain unusable entries.
pub(super) const CONFIGURATION: &str = "configuration";
pub(super) const SERVERS: &str = "servers";
pub(super) const HOSTS: &str = "hosts";
const CLAIMS: &str = "claims";

impl<C: Codec> Fleet<C> {
    /// Reports a configuration that cannot be read. The one in force stays.
    pub fn refuse_configuration(&self, unusable: &UnusableEntry) {
        if !self.record_fault(CONFIGURATION, unusable) {
            return;
        }
        let version = unusable.version.map(|version| version.to_string());
        self.site.log(&Event::ConfigurationRefused {
            version: version.unwrap_or_else(|| "unknown".to_owned()),
            kept: self.version(),
            fault: unusable.fault.to_string(),
            revision: unusable.revision,
        });
    }

    /// Keeps the entry of a server whose service is in no configuration, for a later one that
    /// contains it. Until then nothing connects to the server, since only the operators define
    /// services.
    pub(super) fn set_aside(&self, backend: Backend) {
        if self.version() > 0 {
            let unusable = UnusableEntry {
                id: backend.id.clone(),
                fault: Fault::Service(quote(&backend.service)),
                version: None,
                revision: backend.revision,
            };
            self.report_unusable(SERVERS, &unusable);
        }
        self.mark_missing(&backend.id);
        let mut unnamed = self.unconfigured.borrow_mut();
        unnamed.insert(backend.id.clone(), backend);
    }

    /// Reports an entry of `table` that cannot be used, once for each of its faults.
    pub(super) fn report_unusable(&self, table: &'static str, unusable: &UnusableEntry) {
        if self.record_fault(table, unusable) {
            self.site.log(&Event::Spoilt {
                table,
                id: quote(&unusable.id),
                fault: unusable.fault.to_string(),
                revision: unusable.revision,
            });
        }
    }

    /// Reports a claim that cannot be read, or another record that is kept with the claims.
    pub fn report_unusable_claim(&self, unusable: &UnusableEntry) {
        self.report_unusable(CLAIMS, unusable);
    }

    /// Records and counts the fault of an entry. Returns whether it was not recorded before.
    fn record_fault(&self, table: &'static str, unusable: &UnusableEntry) -> bool {
        let is_new = self.reported_faults.borrow_mut().record(table, unusable);
        if is_new {
            meter::unusable_entry(table, unusable.fault.label());
        }
        is_new
    }

    /// Reports whether the configuration in force contains the service `name`.
    pub(super) fn has_service(&self, name: &str) -> bool {
        let configuration = self.configuration.borrow();
        configuration
            .as_ref()
            .is_some_and(|it| it.has_service(name))
    }
}

/// Returns the server id of an entry.
pub(super) fn backend_id(entry: &Entry<Backend>) -> &str {
    match entry {
        Ok(backend) => &backend.id,
        Err(unusable) => &unusable.id,
    }
}

/// Returns the host name of an entry.
pub(super) fn peer_id(entry: &Entry<Peer>) -> &str {
    match entry {
        Ok(peer) => &peer.host,
        Err(unusable) => &unusable.id,
    }
}
