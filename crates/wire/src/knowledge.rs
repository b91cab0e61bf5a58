//! What one process tells another that has just started, or lost the platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The configuration in force and where controllers are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Configuration version; 0 when there is none yet.
    pub version: u64,
    /// SHA-256 of the body, hexadecimal.
    pub digest: String,
    /// The body in INI; absent when the asker already has this version or a newer one.
    pub body: Option<String>,
    /// Address of each shard's controller, with the epoch of its authority.
    pub controllers: BTreeMap<u16, Controller>,
}

/// Where a shard's controller is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Controller {
    /// Epoch of its authority.
    pub epoch: u32,
    /// Address of its remote calls.
    pub rpc: String,
}
