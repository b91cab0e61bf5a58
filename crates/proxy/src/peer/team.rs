//! Requests for operations of teams, and their grants.

use std::time::Duration;

use flamingopost_core::limit::{Grant, Request, Share};
use serde::{Deserialize, Serialize};

/// A request for operations of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRequest {
    /// Name of the team.
    pub team: String,
    wanted: u32,
    returned: u32,
    /// In thousandths of an operation per second.
    demand: u32,
    share: WireShare,
    issuer: u32,
    used: u32,
}

impl TeamRequest {
    /// Creates the message of `request` for the team called `team`.
    pub fn new(team: String, request: &Request) -> TeamRequest {
        TeamRequest {
            team,
            wanted: request.wanted,
            returned: request.returned,
            demand: thousandths(request.demand),
            share: request.share.into(),
            issuer: request.issuer,
            used: request.used,
        }
    }

    /// Returns the request of the process `incarnation`, which sent it at `sent`.
    pub fn request(&self, incarnation: u64, sent: u64) -> Request {
        Request {
            incarnation,
            sent: Duration::from_nanos(sent),
            wanted: self.wanted,
            returned: self.returned,
            demand: f64::from(self.demand) / THOUSAND,
            share: self.share.into(),
            issuer: self.issuer,
            used: self.used,
        }
    }
}

/// A grant of operations to a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// Name of the team.
    pub team: String,
    granted: u32,
    share: WireShare,
    issuer: u32,
    /// In milliseconds.
    retry_after: u32,
}

impl TeamGrant {
    /// Creates the message of `grant` for the team called `team`.
    pub fn new(team: String, grant: &Grant) -> TeamGrant {
        let retry_after = u32::try_from(grant.retry_after.as_millis());
        TeamGrant {
            team,
            granted: grant.granted,
            share: grant.share.into(),
            issuer: grant.issuer,
            retry_after: retry_after.unwrap_or(u32::MAX),
        }
    }

    /// Returns the answer to the request that was sent at `sent`.
    pub fn grant(&self, sent: u64) -> Grant {
        Grant {
            sent: Duration::from_nanos(sent),
            granted: self.granted,
            share: self.share.into(),
            issuer: self.issuer,
            retry_after: Duration::from_millis(u64::from(self.retry_after)),
        }
    }
}

/// A share of a limit, in thousandths of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct WireShare {
    rate: u32,
    burst: u32,
}

impl From<Share> for WireShare {
    fn from(share: Share) -> WireShare {
        WireShare {
            rate: thousandths(share.rate),
            burst: thousandths(share.burst),
        }
    }
}

impl From<WireShare> for Share {
    fn from(share: WireShare) -> Share {
        Share {
            rate: f64::from(share.rate) / THOUSAND,
            burst: f64::from(share.burst) / THOUSAND,
        }
    }
}

/// Scale of rates in messages.
pub(super) const THOUSAND: f64 = 1_000.0;

/// Converts a rate to thousandths, rounded down: a host must not hold more than it was granted.
pub(super) fn thousandths(rate: f64) -> u32 {
    // The cast saturates.
    (rate * THOUSAND) as u32
}
