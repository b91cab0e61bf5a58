//! Which entries have been called unusable already.

use std::collections::BTreeMap;

use crate::fault::Fault;
use crate::unusable::UnusableEntry;

/// Entries that are remembered. Another writer may put any number of them into a table; beyond
/// this, all are forgotten, and told once more when they are read the next time.
const MAX_REMEMBERED: usize = 1_024;

/// Which entries have been called unusable, and why.
///
/// Guards against a line and a count for each reading: an entry that stays as it is comes again
/// with each whole reading of its table, and one that somebody writes anew each second, with each
/// of these changes. What is compared is the fault and the version that the entry gives itself,
/// and not the content, which changes with every count in it.
#[derive(Debug, Default)]
pub struct ReportedFaults {
    faults: BTreeMap<(&'static str, String), (Fault, Option<u64>)>,
}

impl ReportedFaults {
    /// Whether it has not been told yet that entry `unusable` of `table` has this fault.
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

    /// Entry `id` of `table` can be used: should it turn bad again, that is news.
    pub fn clear(&mut self, table: &'static str, id: &str) {
        self.faults.remove(&(table, id.to_owned()));
    }

    /// The one entry of `table` can be used.
    pub fn clear_table(&mut self, table: &'static str) {
        self.faults.retain(|(of, _), _| *of != table);
    }
}
