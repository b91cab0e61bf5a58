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
    /// Who answers; absent where an entry host does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process: Option<Process>,
    /// Other control processes that the answering one knows, by host.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub peers: BTreeMap<String, String>,
}

/// A control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Its host.
    pub host: String,
    /// The host's availability zone.
    pub zone: String,
    /// Address of its remote calls.
    pub rpc: String,
    /// Address of its HTTP for operators.
    pub admin: String,
    /// Number that it drew at its start.
    pub incarnation: u64,
}

/// Where a shard's controller is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Controller {
    /// Epoch of its authority.
    pub epoch: u32,
    /// Address of its remote calls.
    pub rpc: String,
}
