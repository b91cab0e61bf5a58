//! State that a process sends to another that has just started or cannot reach the platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The configuration in force and the addresses of controllers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Configuration version; 0 if there is none yet.
    pub version: u64,
    /// SHA-256 of the body, hexadecimal.
    pub digest: String,
    /// The body in INI; absent if the requesting process has this version or a newer one.
    pub body: Option<String>,
    /// Controller of each shard.
    pub controllers: BTreeMap<u16, Controller>,
    /// The responding control process; absent in responses of entry hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process: Option<Process>,
    /// RPC addresses of other control processes known to the responding one, by host.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub peers: BTreeMap<String, String>,
}

/// A control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Host of the process.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// RPC address of the process.
    pub rpc: String,
    /// Address of the process's HTTP server for operators.
    pub admin: String,
    /// Random number that the process drew at its start.
    pub incarnation: u64,
}

/// Address of a shard's controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Controller {
    /// Epoch of the controller's authority.
    pub epoch: u32,
    /// RPC address of the controller.
    pub rpc: String,
}
