//! Entries of the platform's store that cannot be used.

use crate::fault::Fault;
use crate::platform::Revision;

/// An entry that this host cannot use. The other entries of its table stay valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableEntry {
    /// Key of the entry.
    pub id: String,
    /// What is wrong with it.
    pub fault: Fault,
    /// The version in the entry, if it has one that can be read.
    pub version: Option<u64>,
    /// Revision of the newest change to the entry.
    pub revision: Revision,
}
