//! Authority over a shard: promises of the standbys, and release to a successor.

use std::time::Duration;

use flamingopost_core::authority;
use serde::{Deserialize, Serialize};

use crate::row::Row;

/// Heartbeat of a controller to a host. It may ask the host for a promise not to claim the shard
/// for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseRequest {
    /// The shard.
    pub shard: u16,
    /// Epoch of the controller's authority.
    pub epoch: u32,
    /// Host of the controller.
    pub controller: String,
    /// RPC address of the controller.
    pub rpc: String,
    /// Whether the controller requests a promise.
    pub promise: bool,
    /// Revision of the controller's row.
    pub revision: u64,
    /// The controller's row, which a standby needs in order to claim the shard later; absent if the
    /// host already has this revision.
    pub row: Option<Row>,
}

/// The host's response. The promise runs from the moment the request was *sent*.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// Incarnation of the responding process.
    pub incarnation: u64,
    /// Whether the host gives the promise.
    pub given: bool,
    /// Duration of the promise, in milliseconds.
    pub valid_ms: u64,
    /// Highest epoch of the shard known to the host.
    pub epoch: u32,
    /// Revision of the controller's row known to the host; 0 if it has none.
    pub revision: u64,
}

/// Request of a successor. It asks the replaced controller to release its authority at once, so
/// that the successor does not have to wait until it expires, and asks other processes what they
/// know of the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The shard.
    pub shard: u16,
    /// Epoch of the successor.
    pub epoch: u32,
}

/// The response: the process holds no authority below the successor's epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// Incarnation of the responding process. Only the process named by the replaced row counts as
    /// released.
    pub incarnation: u64,
    /// Milliseconds for which leases that the process granted may still be valid.
    pub leases_ms: u64,
    /// Epoch whose decisions are all known to the process; 0 if there is none.
    pub witness: u32,
    /// The shard's row as last known to the process.
    pub row: Option<Row>,
}

impl From<authority::Promise> for Promise {
    fn from(promise: authority::Promise) -> Promise {
        Promise {
            incarnation: promise.incarnation,
            given: promise.given,
            valid_ms: to_millis(promise.valid),
            epoch: promise.epoch,
            revision: promise.revision,
        }
    }
}

impl From<&Promise> for authority::Promise {
    fn from(promise: &Promise) -> authority::Promise {
        authority::Promise {
            incarnation: promise.incarnation,
            given: promise.given,
            valid: Duration::from_millis(promise.valid_ms),
            epoch: promise.epoch,
            revision: promise.revision,
        }
    }
}

fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
