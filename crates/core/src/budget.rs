//! Connection budgets: how the connection limit of a backend server is shared among entry hosts.
//!
//! A controller keeps one [`server_budget::ServerBudget`] for each server, and an entry host one
//! [`host_budget::HostBudget`]. Grants are leases: a host that vanished keeps its connections until
//! its lease ends, and a host that can no longer renew closes its connections in time. See the
//! design note on limits.

pub mod host_budget;
pub mod server_budget;

use std::time::Duration;

/// The connections to one server that a controller grants to one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Grant {
    /// Number of connections while the host's lease is valid.
    pub leased: u16,
    /// Number of connections out of `leased` that the host may keep much longer, so that a zone
    /// that is cut off from its controller goes on serving.
    pub floor: u16,
    /// Validity of the floor, from the moment at which the host *sent* its renewal.
    pub floor_valid: Duration,
}
