//! Revocation of leases: a controller closes terms at a lease holder.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::view::{Shard, Version};

/// Closes the terms that the new view shows as closed. The lease holder adopts the view and
/// acknowledges no writes of those terms from then on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The shard.
    pub shard: u16,
    /// The shard's new view.
    pub view: Shard,
    /// Configuration version in force at the controller.
    pub config: u64,
}

/// The lease holder's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// Incarnation of the lease holder.
    pub incarnation: u64,
    /// Version of the view in force at the holder: the one sent, or a newer one.
    pub version: Version,
    /// Highest position that the holder has ever acknowledged, `EPOCH.COUNT/LOG`, by service.
    pub acknowledged: BTreeMap<String, String>,
    /// Configuration version in force at the holder.
    pub config: u64,
}
