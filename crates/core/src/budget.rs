//! How a backend server's connection limit is shared out over entry hosts.
//!
//! A controller keeps one [`server_budget::ServerBudget`] a server, an entry host one [`host_budget::HostBudget`]. Grants
//! are leases: a host that vanished keeps its connections until its lease ends, and a host that
//! can no longer renew closes its own in time. See the design note on limits.

pub mod host_budget;
pub mod server_budget;

use std::time::Duration;

/// What a controller lets one host open to one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Grant {
    /// Connections for as long as the host's lease runs.
    pub leased: u16,
    /// Connections out of `leased` that the host may keep much longer, so that a zone that is
    /// cut off from its controller goes on serving.
    pub floor: u16,
    /// How long the floor holds, from the moment the host *sent* its renewal.
    pub floor_valid: Duration,
}
