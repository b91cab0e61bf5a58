//! Changes of primaries that a host has learned of, and which of them other hosts have received.
//!
//! A host keeps its lease only while electors tell it of each change that they know. The changes of a
//! moment may be more than one message holds: hundreds of services change their primaries when a zone
//! is lost. So changes are numbered, sent in as many messages as it takes, and confirmed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::HostKey;

mod coverage;

pub use coverage::Coverage;

/// The newest change of each service, in the order in which this host learned of them.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::change_log::ChangeLog;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::names::Names;
///
/// let mut names: Names<HostKey> = Names::default();
/// let host = names.intern("entry-2");
/// let at = Duration::from_secs;
/// let mut log = ChangeLog::default();
/// log.record("ledger", at(1));
/// log.record("stock", at(2));
/// log.record("ledger", at(3));
/// assert_eq!(log.recent(at(0)), [(2, "stock"), (3, "ledger")]);
/// assert_eq!(log.recent(at(3)), [(3, "ledger")]);
/// assert_eq!(log.unconfirmed(host, 7), [(2, "stock"), (3, "ledger")]);
/// log.confirm(host, 7, 2);
/// assert_eq!(log.unconfirmed(host, 7), [(3, "ledger")]);
/// assert_eq!(log.unconfirmed(host, 8).len(), 2, "another process of the host");
/// ```
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Number of the newest change. The first one is 1.
    newest: u64,
    /// Service of each change, and when this host learned of it.
    changes: BTreeMap<u64, (String, Duration)>,
    /// Number of the newest change of each service.
    numbers: BTreeMap<String, u64>,
    confirmed: BTreeMap<HostKey, Confirmation>,
}

/// What a process of another host has confirmed.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    process: u64,
    /// Number of the change up to which it has received all.
    up_to: u64,
}

impl ChangeLog {
    /// Records that this host has learned at `now` of a change of the primary of `service`. It takes
    /// the place of an earlier one.
    pub fn record(&mut self, service: &str, now: Duration) {
        self.newest += 1;
        let former = self.numbers.insert(service.to_owned(), self.newest);
        if let Some(former) = former {
            self.changes.remove(&former);
        }
        let change = (service.to_owned(), now);
        self.changes.insert(self.newest, change);
    }

    /// Returns the changes that `process` of `host` has not confirmed, with their numbers in ascending
    /// order, however long ago this host learned of them.
    pub fn unconfirmed(&self, host: HostKey, process: u64) -> Vec<(u64, &str)> {
        let confirmation = self.confirmed.get(&host);
        let confirmation = confirmation.filter(|it| it.process == process);
        let confirmed = confirmation.map_or(0, |it| it.up_to);
        let newer = self.changes.range(confirmed.saturating_add(1)..);
        newer
            .map(|(number, (service, _))| (*number, service.as_str()))
            .collect()
    }

    /// Returns the changes learned of at `since` or later, with their numbers in ascending order.
    pub fn recent(&self, since: Duration) -> Vec<(u64, &str)> {
        let newest = self.changes.iter().rev();
        let recent = newest.take_while(|(_, (_, at))| *at >= since);
        let mut found: Vec<(u64, &str)> = recent
            .map(|(number, (service, _))| (*number, service.as_str()))
            .collect();
        found.reverse();
        found
    }

    /// Records that `process` of `host` has received all changes up to the one numbered `up_to`.
    /// Returns whether that was new.
    pub fn confirm(&mut self, host: HostKey, process: u64, up_to: u64) -> bool {
        let up_to = up_to.min(self.newest);
        let known = self.confirmed.get(&host);
        if known.is_some_and(|it| it.process == process && it.up_to >= up_to) {
            return false;
        }
        let confirmation = Confirmation { process, up_to };
        self.confirmed.insert(host, confirmation);
        true
    }

    /// Forgets what hosts have confirmed that are not `listed` any more.
    pub fn retain_hosts(&mut self, listed: impl Fn(HostKey) -> bool) {
        self.confirmed.retain(|host, _| listed(*host));
    }
}
