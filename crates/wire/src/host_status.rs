//! Operators' HTTP: what an entry host tells of itself.

use serde::{Deserialize, Serialize};

use crate::knowledge::Controller;

/// `GET /v1/status` on an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Number that the process drew at its start.
    pub incarnation: u64,
    /// `running`, `draining` or `stopped`.
    pub phase: String,
    /// Configuration version in force; absent where there is none yet.
    pub version: Option<u64>,
    /// SHA-256 of its body, hexadecimal.
    pub digest: Option<String>,
    /// Highest configuration version heard of.
    pub heard: u64,
    /// Its lease of each shard.
    pub shards: Vec<Shard>,
    /// Services that it has served.
    pub services: Vec<Service>,
}

/// One lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The shard.
    pub shard: u16,
    /// Where its controller is; absent while that is not known.
    pub controller: Option<Controller>,
    /// Version of the view acted by, `EPOCH.CHANGE`.
    pub view: Option<String>,
    /// Milliseconds for which the lease still runs.
    pub lease_left_ms: u64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub service: String,
    /// Its shard.
    pub shard: u16,
    /// `open`, `lapsed`, `closed` or `unknown`.
    pub state: String,
    /// Its term, `EPOCH.COUNT`.
    pub term: Option<String>,
    /// The primary; absent while the term is closed.
    pub primary: Option<String>,
    /// Highest position acknowledged by this process, `EPOCH.COUNT/LOG`.
    pub acknowledged: Option<String>,
    /// Its servers, with the pool to each.
    pub servers: Vec<Server>,
}

/// One backend server and the pool of connections to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub server: String,
    /// Connections that this host may have open now.
    pub allotment: u16,
    /// Connections that are open.
    pub open: u16,
    /// Open connections that nobody uses.
    pub idle: usize,
    /// Requests that wait for one.
    pub waiting: usize,
    /// Position last heard of it, `EPOCH.COUNT/LOG`.
    pub position: Option<String>,
    /// Whether it receives no new work.
    pub leaving: bool,
}
