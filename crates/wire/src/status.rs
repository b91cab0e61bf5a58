//! The state of a fleet, for operators.

use serde::{Deserialize, Serialize};

/// What one controller, or all of them together, see.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Services.
    pub services: Vec<Service>,
    /// Controllers of shards.
    pub controllers: Vec<Controller>,
}

/// An entry host's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Number that the process drew at its start.
    pub incarnation: u64,
    /// Configuration version in force there.
    pub config: u64,
    /// Whether it takes part: joining, live, suspect, gone or leaving.
    pub state: String,
    /// Milliseconds for which its lease still runs at least; the least of its shards.
    pub lease_left_ms: u64,
    /// Connections allotted to it, all servers together.
    pub connections: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub service: String,
    /// Its shard.
    pub shard: u16,
    /// Its newest term, `EPOCH.COUNT`.
    pub term: String,
    /// The primary; absent while the term is closed.
    pub primary: Option<String>,
    /// `open`, or what its promotion waits for.
    pub state: String,
    /// Its servers.
    pub servers: Vec<Server>,
    /// What promotions lost.
    pub lost: Vec<Loss>,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub server: String,
    /// Its availability zone.
    pub zone: String,
    /// What it believes to be; absent while it does not answer.
    pub role: Option<String>,
    /// How far its data reach, `EPOCH.COUNT/LOG`.
    pub position: Option<String>,
    /// How old its data may be, in milliseconds.
    pub age_ms: Option<u64>,
    /// Who calls it leaving.
    pub leaving: Vec<String>,
}

/// Acknowledged writes that a promotion could not keep.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The term that began without them.
    pub term: String,
    /// The highest position that was acknowledged, `EPOCH.COUNT/LOG`.
    pub acknowledged: String,
    /// Where the new term begins.
    pub start: u64,
}

/// A shard's controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Controller {
    /// The shard.
    pub shard: u16,
    /// Epoch of its authority.
    pub epoch: u32,
    /// Its host.
    pub host: String,
    /// Hosts that would take over.
    pub standbys: Vec<String>,
}

/// What an ordered promotion led to.
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

/// `POST /v1/claim`: takes over a shard of which nobody is left who could.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The shard.
    pub shard: u16,
    /// The hosts that the operator has made sure are gone: the controller and all standbys of the
    /// shard's row.
    pub gone: std::collections::BTreeSet<String>,
}

/// What came of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Claimed {
    /// This process claims the shard now.
    Begun,
    /// This process leads it already.
    Leads,
    /// There is no such shard.
    NoSuchShard,
    /// These hosts could still take over or go on; they are not all named as gone.
    Named {
        /// The controller and the standbys of the row.
        hosts: std::collections::BTreeSet<String>,
    },
}
