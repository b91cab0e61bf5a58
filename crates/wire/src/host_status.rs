//! HTTP for operators: the status of an entry host.

use serde::{Deserialize, Serialize};

use crate::knowledge::Controller;

/// Response of `GET /v1/status` on an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Random number that the process drew at its start.
    pub incarnation: u64,
    /// `running`, `draining` or `stopped`.
    pub phase: String,
    /// Configuration version in force; absent if there is none yet.
    pub version: Option<u64>,
    /// SHA-256 of the configuration's body, hexadecimal.
    pub digest: Option<String>,
    /// Highest configuration version that the host knows of.
    pub heard: u64,
    /// The host's lease of each shard.
    pub shards: Vec<Shard>,
    /// Services that the host has served.
    pub services: Vec<Service>,
}

/// Lease of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The shard.
    pub shard: u16,
    /// The shard's controller; absent while it is unknown.
    pub controller: Option<Controller>,
    /// Version of the view in force, `EPOCH.CHANGE`.
    pub view: Option<String>,
    /// Remaining validity of the lease, in milliseconds.
    pub lease_left_ms: u64,
}

/// Status of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub service: String,
    /// Shard of the service.
    pub shard: u16,
    /// `open`, `lapsed`, `closed` or `unknown`.
    pub state: String,
    /// Term of the service, `EPOCH.COUNT`.
    pub term: Option<String>,
    /// The primary; absent while the term is closed.
    pub primary: Option<String>,
    /// Highest position acknowledged by this process, `EPOCH.COUNT/LOG`.
    pub acknowledged: Option<String>,
    /// Backend servers of the service and the connection pool of each.
    pub servers: Vec<Server>,
}

/// A backend server and its connection pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server.
    pub server: String,
    /// Number of connections that this host may have open now.
    pub allotment: u16,
    /// Number of open connections.
    pub open: u16,
    /// Number of open connections that are idle.
    pub idle: usize,
    /// Number of requests that wait for a connection.
    pub waiting: usize,
    /// Last known replication position, `EPOCH.COUNT/LOG`.
    pub position: Option<String>,
    /// Whether the server is being drained and receives no new work.
    pub leaving: bool,
}
