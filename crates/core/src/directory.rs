//! The interned names of a fleet.

use crate::key::{CallerKey, ClassKey, CustomerKey, HostKey, ServerKey, ServiceKey, ZoneKey};
use crate::names::Names;

/// Every name that the process has seen, by kind.
///
/// A name keeps its key for the lifetime of the process, so keys stay valid across configuration
/// versions.
///
/// ```
/// use flamingopost_core::directory::Directory;
///
/// let mut directory = Directory::default();
/// let key = directory.services.intern("auction-ledger");
/// assert_eq!(directory.services.name(key), Some("auction-ledger"));
/// assert_eq!(directory.services.intern("auction-ledger"), key);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// Services.
    pub services: Names<ServiceKey>,
    /// Backend servers; names are unique in the whole fleet.
    pub servers: Names<ServerKey>,
    /// Entry hosts.
    pub hosts: Names<HostKey>,
    /// Availability zones.
    pub zones: Names<ZoneKey>,
    /// Customers.
    pub customers: Names<CustomerKey>,
    /// Callers.
    pub callers: Names<CallerKey>,
    /// Classes.
    pub classes: Names<ClassKey>,
}
