//! Revocation: a controller closes terms at a lease holder.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::view::{Shard, Version};

/// Closes what the new view shows as closed. The holder adopts the view and from then on
/// acknowledges no write of those terms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The shard.
    pub shard: u16,
    /// Its new view.
    pub view: Shard,
    /// Configuration version in force at the controller.
    pub config: u64,
}

/// The holder's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Version of the view that the holder acts by now; the one sent, or a newer one.
    pub version: Version,
    /// By service: the highest position the holder ever acknowledged, `EPOCH.COUNT/LOG`.
    pub acknowledged: BTreeMap<String, String>,
    /// Configuration version in force at the holder.
    pub config: u64,
}
