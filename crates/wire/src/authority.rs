//! Authority over a shard: promises of named standbys, and release to a successor.

use serde::{Deserialize, Serialize};

/// A controller asks a named standby not to claim the shard for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The shard.
    pub shard: u16,
    /// Epoch of the asking authority.
    pub epoch: u32,
    /// Host of the asking controller.
    pub controller: String,
    /// State of the shard that the standby must know should it claim later; JSON of the row.
    pub row: String,
}

/// The standby's answer. The promise runs from the moment the ask was *sent*.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// Whether the standby promises.
    pub given: bool,
    /// How long, in milliseconds.
    pub valid_ms: u64,
    /// The greatest epoch the standby knows for the shard.
    pub epoch: u32,
}

/// A successor asks a replaced controller to give up at once instead of waiting it out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The shard.
    pub shard: u16,
    /// Epoch of the successor.
    pub epoch: u32,
}

/// The replaced controller's answer: it holds no authority below the successor's epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// Milliseconds for which leases that it granted may still run.
    pub leases_ms: u64,
    /// State of the shard as it last knew it; JSON of the row.
    pub row: Option<String>,
}
