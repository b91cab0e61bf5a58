//! Lease renewal: the heartbeat of an entry host and the controller's response.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::suspicion;
use serde::{Deserialize, Serialize};

use crate::view::{Shard, Version};

/// Request of an entry host to a shard's controller to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The shard.
    pub shard: u16,
    /// Name of the host.
    pub host: String,
    /// Random number that the process drew at its start. It makes a restarted host a different
    /// lease holder.
    pub incarnation: u64,
    /// Availability zone of the host.
    pub zone: String,
    /// RPC address of the host, for revocations and pushed views.
    pub rpc: String,
    /// Configuration version in force at the host.
    pub config: u64,
    /// Version of the view in force at the host; absent at its start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Observations of each backend server since the last renewal.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub reports: BTreeMap<String, Report>,
    /// Number of connections that the host requests, by backend server.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub demand: BTreeMap<String, u16>,
    /// Whether the host is about to stop and releases its lease and its connections.
    #[serde(default, skip_serializing_if = "is_default")]
    pub stopping: bool,
}

/// Observations of one backend server by one host. Without any values, the server responds and has
/// no failures.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of responses received, including those to probes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub answers: u32,
    /// Number of connections refused, broken or timed out.
    #[serde(default, skip_serializing_if = "is_default")]
    pub failures: u32,
    /// Number of those that were refused or broken. A server that is merely slow causes none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub broken: u32,
    /// Milliseconds since the last response; absent if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
    /// Last known replication position, `EPOCH.COUNT/LOG`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<String>,
}

/// A granted lease. It runs from the moment the host *sent* the renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Version of the view that the lease covers.
    pub version: Version,
    /// Duration of the lease, in milliseconds; 0 if nothing is granted.
    pub valid_ms: u64,
    /// The view; absent if the host's is not older.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<Shard>,
    /// Number of connections that the host may have while the lease is valid, by backend server.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub allotment: BTreeMap<String, u16>,
    /// Connections that the host may keep after its lease has expired, by backend server, so that
    /// an availability zone that is partitioned from its controller continues to serve.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub floors: BTreeMap<String, Floor>,
    /// Whether operators are draining the host: it accepts no new work and then stops.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drain: bool,
    /// Highest configuration version known to the controller.
    pub config: u64,
}

/// Connections that outlast a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// Number of connections.
    pub connections: u16,
    /// Validity from the moment the host *sent* the renewal, in milliseconds.
    pub valid_ms: u64,
}

/// Refusal of a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Address of the controller, if the refusing process knows a better one.
    pub redirect: Option<String>,
    /// Highest configuration version known to the refusing process.
    pub config: u64,
}

/// Response to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reply {
    /// The lease is granted.
    Granted(Grant),
    /// The process does not control the shard, or its authority has expired.
    Refused(Refusal),
}

/// Reports whether a field has its default and is left out of the message. Every host sends
/// renewals several times a second.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl From<&Report> for suspicion::Report {
    fn from(report: &Report) -> suspicion::Report {
        suspicion::Report {
            failures: report.failures,
            broken: report.broken,
            silent: report.silent_ms.map(Duration::from_millis),
        }
    }
}
