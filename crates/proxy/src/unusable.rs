//! Entries of the platform's store that cannot be used.

use crate::fault::Fault;
use crate::platform::Revision;

/// An entry that names nothing which this host could use; the others of its table hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// Name of the entry.
    pub id: String,
    /// What is wrong with it.
    pub fault: Fault,
    /// Version that the entry gives itself, where it has one that can be read.
    pub version: Option<u64>,
    /// It was last changed here.
    pub revision: Revision,
}
