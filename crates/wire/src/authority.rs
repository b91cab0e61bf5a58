//! Authority over a shard: promises of named standbys, and release to a successor.

use std::time::Duration;

use flamingopost_core::authority;
use serde::{Deserialize, Serialize};

use crate::row::Row;

/// A controller tells a host that it is there, and may ask it not to claim the shard for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseRequest {
    /// The shard.
    pub shard: u16,
    /// Epoch of the asking authority.
    pub epoch: u32,
    /// Host of the asking controller.
    pub controller: String,
    /// Address of the controller's remote calls.
    pub rpc: String,
    /// Whether a promise is wanted.
    pub promise: bool,
    /// Revision of the controller's row.
    pub revision: u64,
    /// The row, which the standby must know should it claim later; absent when it has it.
    pub row: Option<Row>,
}

/// The host's answer. The promise runs from the moment the ask was *sent*.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The process that answers.
    pub incarnation: u64,
    /// Whether the host promises.
    pub given: bool,
    /// How long, in milliseconds.
    pub valid_ms: u64,
    /// The greatest epoch the host knows for the shard.
    pub epoch: u32,
    /// Revision up to which the host has the controller's row; 0 when it has none.
    pub revision: u64,
}

/// A successor asks a replaced controller to give up at once instead of waiting it out, and asks
/// others what they know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The shard.
    pub shard: u16,
    /// Epoch of the successor.
    pub epoch: u32,
}

/// The answer: the process holds no authority below the successor's epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// The process that answers; only the one that the replaced row named counts as released.
    pub incarnation: u64,
    /// Milliseconds for which leases that it granted may still run.
    pub leases_ms: u64,
    /// The epoch of which it knows all that was decided; 0 when there is none.
    pub witness: u32,
    /// The shard's row as it last knew it.
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
