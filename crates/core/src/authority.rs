//! Authority over a shard: which one process may grant leases and order promotions.
//!
//! The row of the shard in the table service names the controller and a few standbys, and only a
//! compare-and-set of it makes another process the controller. Two things tell a controller that
//! the row still names it:
//!
//! - a read of the row, for [`timing::AUTHORITY_DURATION`] from the moment the read was *sent*;
//! - with the table service gone, promises of *all* named standbys not to claim, each for
//!   [`timing::PROMISE_DURATION`] from the moment it was *asked*.
//!
//! A standby that was restarted does not remember whether it claimed before, so its promise counts
//! only if a read sent after its first answer still named the controller, or if the promise of its
//! earlier process was still running when it was asked.
//!
//! A named standby claims only when its own promise has lapsed, so from then on the second does
//! not hold; after its compare-and-set it waits [`timing::AUTHORITY_DURATION`], so the first does not hold
//! either. A host that the row does not name waits until the row has been unchanged for
//! [`timing::ORPHAN_TIMEOUT`], which is also the longest that a controller goes on by promises alone.

#[path = "authority_holder.rs"]
mod holder;
#[path = "authority_standby.rs"]
mod standby;

use std::time::Duration;

pub use holder::{RowWrite, ShardAuthority};
pub use standby::{Claim, ClaimOutcome, Standby};

use crate::row::Row;

/// A controller tells a host that it is there, and may ask it not to claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Epoch of the asking authority.
    pub epoch: u32,
    /// Whether a promise is wanted.
    pub wants_promise: bool,
    /// Revision of the controller's row.
    pub revision: u64,
    /// The row, where the host is not known to have it.
    pub row: Option<Row>,
}

/// The answer to an [`Heartbeat`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// The process that answers.
    pub incarnation: u64,
    /// Whether the host promises not to claim.
    pub given: bool,
    /// How long the promise runs, counted by the asker from the sending of its ask.
    pub valid: Duration,
    /// The greatest epoch that the host knows.
    pub epoch: u32,
    /// Revision up to which the host has the asking authority's row.
    pub revision: u64,
}

/// A replaced controller's answer to its successor: it has given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// The process that answers. Only the replaced one knows which leases it granted.
    pub incarnation: u64,
    /// How long leases that it granted, or had to wait out itself, may still run.
    pub leases: Duration,
    /// The epoch of which it knows all that was decided; 0 when there is none.
    pub witnessed_epoch: u32,
    /// What it knows of the shard.
    pub row: Option<Row>,
}
