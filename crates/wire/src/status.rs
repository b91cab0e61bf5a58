//! Status of a fleet, for operators.

use serde::{Deserialize, Serialize};

/// Status of a fleet as known to one controller or to all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Services.
    pub services: Vec<Service>,
    /// Controllers of shards.
    pub controllers: Vec<Controller>,
}

/// Process of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Random number that the process drew at its start.
    pub incarnation: u64,
    /// Configuration version in force at the host.
    pub config: u64,
    /// Membership state: joining, live, suspect, gone or leaving.
    pub state: String,
    /// Minimum remaining validity of the host's leases of all shards, in milliseconds.
    pub lease_left_ms: u64,
    /// Number of connections allotted to the host, over all servers.
    pub connections: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub service: String,
    /// Shard of the service.
    pub shard: u16,
    /// Newest term of the service, `EPOCH.COUNT`.
    pub term: String,
    /// The primary; absent while the term is closed.
    pub primary: Option<String>,
    /// `open`, or what the promotion in progress waits for.
    pub state: String,
    /// Backend servers of the service.
    pub servers: Vec<Server>,
    /// Acknowledged writes lost by promotions.
    pub lost: Vec<Loss>,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server.
    pub server: String,
    /// Availability zone of the server.
    pub zone: String,
    /// Role that the server reports; absent while it does not respond.
    pub role: Option<String>,
    /// Replication position of the server, `EPOCH.COUNT/LOG`.
    pub position: Option<String>,
    /// Maximum staleness of the server's data, in milliseconds.
    pub age_ms: Option<u64>,
    /// Sources that report the server as leaving.
    pub leaving: Vec<String>,
}

/// Acknowledged writes that a promotion lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The term that was opened without the writes.
    pub term: String,
    /// Highest acknowledged position, `EPOCH.COUNT/LOG`.
    pub acknowledged: String,
    /// Log position at which the new term begins.
    pub start: u64,
}

/// A shard's controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Controller {
    /// The shard.
    pub shard: u16,
    /// Epoch of the controller's authority.
    pub epoch: u32,
    /// Host of the controller.
    pub host: String,
    /// Hosts that may take over the shard.
    pub standbys: Vec<String>,
}

/// Result of an order for a planned promotion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Ordered {
    /// it has begun
    Begun,
    /// no shard led here has such a service
    NoSuchService,
    /// a promotion of the service is under way already
    UnderWay,
    /// no replica is fit to lead now
    NoCandidate,
}

/// Request of `POST /v1/claim`: takes over a shard whose controller and standbys are all gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The shard.
    pub shard: u16,
    /// Hosts that the operator has confirmed to be gone: the controller and all standbys named in
    /// the shard's row.
    pub gone: std::collections::BTreeSet<String>,
}

/// Result of a claim by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Claimed {
    /// The process has begun to claim the shard.
    Begun,
    /// The process already controls the shard.
    Leads,
    /// The shard does not exist.
    NoSuchShard,
    /// The request does not name all of these hosts as gone, and each could still take over or
    /// continue.
    Named {
        /// The controller and the standbys of the row.
        hosts: std::collections::BTreeSet<String>,
    },
}
