//! Lease renewal: the heartbeat of an entry host, and what it gets in return.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::suspicion;
use serde::{Deserialize, Serialize};

use crate::view::{Shard, Version};

/// One entry host asks one shard's controller to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The shard.
    pub shard: u16,
    /// The host's name.
    pub host: String,
    /// Number that a process draws at its start, so a restart is not the same holder.
    pub incarnation: u64,
    /// The host's availability zone.
    pub zone: String,
    /// Address of the host's own remote calls, for revocation and pushes.
    pub rpc: String,
    /// Configuration version in force at the host.
    pub config: u64,
    /// View version the host acts by; absent at its start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// What the host saw of each backend server since its last renewal.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub reports: BTreeMap<String, Report>,
    /// Connections the host wants to each backend server.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub demand: BTreeMap<String, u16>,
    /// Whether the host is about to stop and gives up its lease and its connections.
    #[serde(default, skip_serializing_if = "is_default")]
    pub stopping: bool,
}

/// What one host saw of one backend server. All absent: it answers, and nothing is wrong.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Answers received, probes included.
    #[serde(default, skip_serializing_if = "is_default")]
    pub answers: u32,
    /// Connections refused, broken or timed out.
    #[serde(default, skip_serializing_if = "is_default")]
    pub failures: u32,
    /// Those of them that were refused or broken, which a server that is merely slow does not do.
    #[serde(default, skip_serializing_if = "is_default")]
    pub broken: u32,
    /// Milliseconds since the last answer; absent when there never was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
    /// Last known position, `EPOCH.COUNT/LOG`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<String>,
}

/// The controller's answer. The lease runs from the moment the host *sent* the renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Version of the view that the lease covers.
    pub version: Version,
    /// How long, in milliseconds; 0 when nothing is granted.
    pub valid_ms: u64,
    /// The view, when it is newer than the one the host named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<Shard>,
    /// Connections the host may open to each backend server, for as long as the lease runs.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub allotment: BTreeMap<String, u16>,
    /// Connections that the host may keep beyond its lease, by backend server, so that a zone
    /// that is cut off from its controller goes on serving.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub floors: BTreeMap<String, Floor>,
    /// Whether operators want the host to take nothing new and end.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drain: bool,
    /// Highest configuration version the controller knows.
    pub config: u64,
}

/// Connections that outlast a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// How many.
    pub connections: u16,
    /// How long from the moment the host *sent* the renewal, in milliseconds.
    pub valid_ms: u64,
}

/// Why a renewal is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The controller's address, where the refusing process knows a better one.
    pub redirect: Option<String>,
    /// Highest configuration version the refusing process knows.
    pub config: u64,
}

/// What a renewal leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reply {
    /// A lease.
    Granted(Grant),
    /// This process does not lead the shard, or its authority has run out.
    Refused(Refusal),
}

/// What is usual stays out of messages, which every host sends several times a second.
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
