//! Remembers which unusable entries were already reported.

use std::collections::BTreeMap;

use crate::fault::Fault;
use crate::unusable::UnusableEntry;

/// Maximum number of remembered entries. Any writer of the store may add any number of them. Beyond
/// this, all are forgotten and reported again when they are next read.
const MAX_REMEMBERED: usize = 1_024;

/// Unusable entries that were already reported, with their faults.
///
/// Guards against a log line and a count on every read. An unchanged entry is read again with each
/// complete read of its table, and one that is rewritten every second with each of these changes.
/// An entry is compared by its fault and its own version rather than by its content, which changes
/// with every counter in it.
#[derive(Debug, Default)]
pub struct ReportedFaults {
    faults: BTreeMap<(&'static str, String), (Fault, Option<u64>)>,
}

impl ReportedFaults {
    /// Records the fault of an entry of `table`. Returns whether it was not recorded before.
    ///
    /// ```
    /// use flamingopost_proxy::fault::Fault;
    /// use flamingopost_proxy::platform::Revision;
    /// use flamingopost_proxy::reported_faults::ReportedFaults;
    /// use flamingopost_proxy::unusable::UnusableEntry;
    ///
    /// let mut faults = ReportedFaults::default();
    /// let id = "i-1".to_owned();
    /// let entry = UnusableEntry { id, fault: Fault::Syntax, version: None, revision: Revision(7) };
    /// assert!(faults.record("servers", &entry));
    /// assert!(!faults.record("servers", &entry));
    /// faults.clear("servers", "i-1");
    /// assert!(faults.record("servers", &entry));
    /// ```
    pub fn record(&mut self, table: &'static str, unusable: &UnusableEntry) -> bool {
        let key = (table, unusable.id.clone());
        let fault = (unusable.fault.clone(), unusable.version);
        if self.faults.get(&key) == Some(&fault) {
            return false;
        }
        if self.faults.len() >= MAX_REMEMBERED {
            self.faults.clear();
        }
        self.faults.insert(key, fault);
        true
    }

    /// Records that entry `id` of `table` is usable. A later fault is reported again.
    pub fn clear(&mut self, table: &'static str, id: &str) {
        self.faults.remove(&(table, id.to_owned()));
    }

    /// Records that the only entry of `table` is usable.
    pub fn clear_table(&mut self, table: &'static str) {
        self.faults.retain(|(of, _), _| *of != table);
    }
}
