//! Limits on how much a team may ask of all entry hosts together.
//!
//! One host, the grantor of the team, keeps a token bucket with the team's rate and burst. Hosts
//! whose callers belong to the team ask it for operations ahead of need, so that callers do not
//! wait for a round trip. An operation that was granted and not used within
//! [`OPERATION_LIFETIME`] expires and goes back to the bucket.
//!
//! A host that gets no answer cannot know what the others use. So each answer also grants a share of
//! the rate and of the burst, in proportion to the host's demand, which the host may use on its own
//! while the grantor is silent. The grantor reserves the bursts of all shares in its bucket. It takes
//! the share of a silent host off its bucket and off the rate at which it refills it, from before
//! the host may use its share until the share has expired, and settles the account once the host
//! asks again. So the sum over all hosts stays within the limit, whether they are in contact or not.
//!
//! In a large fleet, hosts of an availability zone obtain a team's operations from one host of their
//! zone, its zone grantor, which lends them from its account: granted operations, and those of its
//! share while the grantor is silent. To the grantor it is a host with the demand of its zone. A
//! share is thus divided into one piece per zone.
//!
//! The module performs no input or output.

use std::time::Duration;

mod account;
mod average;
mod borrower;
mod grantor;
mod lender;
mod retry;
mod route;
mod silent;
mod turn;

pub use account::{Account, Admission, Loan};
pub use borrower::Borrower;
pub use grantor::Grantor;
pub use lender::Lender;
pub use route::{Lenders, Source};
pub use silent::{NoShares, silent_fraction};
pub use turn::{grants_since, passed_over_since};

/// How long a host may use operations that it was granted, from when it asked for them. Whatever is
/// granted in one window may be used in the next for this long, so it has to be a small part of the
/// window over which operators measure a limit, which is seconds.
pub const OPERATION_LIFETIME: Duration = Duration::from_millis(500);

/// Time without an answer, from when the newest message was sent that the grantor has answered, after
/// which a host uses its share. Hosts and grantors exchange heartbeats twice in this time.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without an answer after which a lender counts as silent. Several round trips between zones.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which an operation that waits to be borrowed is left to the account of its own host,
/// which asks the grantor.
pub const BORROW_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a share may be used without an answer. It outlasts most partitions. The share of a host
/// that is gone for good is unavailable to the others for this long.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(60);

/// Time without a sign of life of a grantor after which the next host in order takes its place.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How much a team may ask of all entry hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Operations per second.
    pub per_second: u32,
    /// Operations beyond the rate that may come at once.
    pub burst: u32,
}

/// A host's request for operations of one team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Identifies the process that asks. A new process of the same host holds nothing.
    pub incarnation: u64,
    /// When it was sent, by the clock of the asking host.
    pub sent: Duration,
    /// Operations to grant.
    pub wanted: u32,
    /// Granted operations that have expired unused since the process started.
    pub returned: u32,
    /// Operations per second that callers ask of the host.
    pub demand: f64,
    /// The share that the host holds.
    pub share: Share,
    /// The term of the grantor that granted the share; 0 if it holds none.
    pub issuer: u32,
    /// Operations that the host has admitted from its shares since the process started.
    pub used: u32,
}

/// What a host may use of a limit while the grantor is silent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Operations per second.
    pub rate: f64,
    /// Operations beyond the rate, once.
    pub burst: f64,
}

/// Returns by how much a count has increased since `former`, or `None` if it went backwards: the
/// asking host has started to count anew.
fn increase(count: u32, former: u32) -> Option<u32> {
    let increase = count.wrapping_sub(former);
    (increase <= i32::MAX.unsigned_abs()).then_some(increase)
}

impl Share {
    /// Returns the part of the share that remains when `limit` replaces `former`. A higher limit
    /// does not raise it.
    fn lowered(self, former: Limit, limit: Limit) -> Share {
        let part = |new: u32, old: u32| (f64::from(new) / f64::from(old.max(1))).min(1.0);
        Share {
            rate: self.rate * part(limit.per_second, former.per_second),
            burst: self.burst * part(limit.burst, former.burst),
        }
    }
}

/// Answer to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// When the request was sent, by the clock of the asking host.
    pub sent: Duration,
    /// Operations that are granted.
    pub granted: u32,
    /// The share of the host from now on.
    pub share: Share,
    /// The term of the grantor.
    pub issuer: u32,
    /// Time until the next operation may be granted, if fewer were granted than wanted.
    pub retry_after: Duration,
}

/// A request to borrow operations of one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// Identifies the process that asks.
    pub incarnation: u64,
    /// When it was sent, by the clock of the borrower.
    pub sent: Duration,
    /// Operations for which callers wait.
    pub needed: u32,
    /// Operations to lend ahead of need.
    pub ahead: u32,
    /// Operations that callers have asked for since the last request that was answered.
    pub arrived: u32,
    /// Operations that this lender has lent and that have expired unused since the process started.
    pub returned: u32,
}

/// Answer to a [`LoanRequest`]. Each contains the time from the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoanAnswer {
    /// The lender has decided.
    Lent {
        /// When the request was sent, by the clock of the borrower.
        sent: Duration,
        /// Operations that are lent.
        operations: u32,
        /// How long they may be used, from when the request was sent.
        lifetime: Duration,
        /// Time until the next operation may be lent, if fewer were lent than needed.
        retry_after: Duration,
        /// The part of the demand that the lender can admit.
        part: f64,
    },
    /// The lender asks the grantor, and will answer again.
    Wait {
        /// When the request was sent, by the clock of the borrower.
        sent: Duration,
        /// Time within which it will.
        time: Duration,
    },
    /// The lender has neither contact with the grantor nor a share.
    Unavailable {
        /// When the request was sent, by the clock of the borrower.
        sent: Duration,
    },
}

impl LoanAnswer {
    /// Returns when the request was sent.
    pub fn sent(&self) -> Duration {
        match self {
            LoanAnswer::Lent { sent, .. }
            | LoanAnswer::Wait { sent, .. }
            | LoanAnswer::Unavailable { sent } => *sent,
        }
    }
}
