//! Authority over a shard: which single process may grant leases and order promotions.
//!
//! The shard's row in the table service names the controller and a few standbys. Another process
//! becomes the controller only by a compare-and-set of that row. A controller relies on one of two
//! proofs that the row still names it:
//!
//! - a read of the row, valid for [`timing::AUTHORITY_DURATION`] from the moment the read was
//!   *sent*;
//! - while the table service is unavailable, promises of *all* named standbys not to claim the
//!   shard, each valid for [`timing::PROMISE_DURATION`] from the moment its heartbeat was *sent*.
//!
//! A restarted standby does not remember whether it claimed before. Its promise therefore counts
//! only if a read sent after its first answer still named the controller, or if the promise of its
//! earlier process was still running when the heartbeat was sent.
//!
//! A named standby claims only after its own promise has lapsed, which invalidates the second
//! proof. After its compare-and-set it waits [`timing::AUTHORITY_DURATION`], which invalidates the
//! first. A host that the row does not name claims only once the row has been unchanged for
//! [`timing::ORPHAN_TIMEOUT`], which is also the longest time that a controller relies on promises
//! alone.
//!
//! A *witness* of an epoch is a process that knows every decision made under that epoch.
//!
//! [`timing::AUTHORITY_DURATION`]: crate::timing::AUTHORITY_DURATION
//! [`timing::ORPHAN_TIMEOUT`]: crate::timing::ORPHAN_TIMEOUT
//! [`timing::PROMISE_DURATION`]: crate::timing::PROMISE_DURATION

#[path = "authority_holder.rs"]
mod holder;
#[path = "authority_standby.rs"]
mod standby;

use std::time::Duration;

pub use holder::{RowWrite, ShardAuthority};
pub use standby::{Claim, ClaimOutcome, Standby};

use crate::row::Row;

/// A controller's heartbeat to a host, which may ask the host not to claim the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Epoch of the sender's authority.
    pub epoch: u32,
    /// Whether the controller asks for a promise not to claim.
    pub wants_promise: bool,
    /// Revision of the controller's row.
    pub revision: u64,
    /// The row, unless the host is known to have this revision.
    pub row: Option<Row>,
}

/// The answer to an [`Heartbeat`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// Incarnation of the answering process.
    pub incarnation: u64,
    /// Whether the host promises not to claim.
    pub given: bool,
    /// How long the promise is valid. The controller counts from when it sent its heartbeat.
    pub valid: Duration,
    /// The greatest epoch that the host knows.
    pub epoch: u32,
    /// The newest revision of the controller's row that the host has.
    pub revision: u64,
}

/// A host's answer to a successor that asked it to release the shard.
///
/// A controller that answers has given up its authority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// Incarnation of the answering process. Only the replaced process knows which leases it
    /// granted.
    pub incarnation: u64,
    /// How long leases that it granted, or itself had to wait out, may still run.
    pub leases: Duration,
    /// The epoch of which this process is a witness, or 0 if there is none.
    pub witnessed_epoch: u32,
    /// The newest row that this process knows.
    pub row: Option<Row>,
}
