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
//! The module performs no input or output.

use std::time::Duration;

mod account;
mod grantor;
mod turn;

pub use account::{Account, Admission};
pub use grantor::Grantor;
pub use turn::{grants_since, passed_over_since};

/// How long a host may use operations that it was granted, from when it asked for them. Whatever is
/// granted in one window may be used in the next for this long, so it has to be a small part of the
/// window over which operators measure a limit, which is seconds.
pub const OPERATION_LIFETIME: Duration = Duration::from_millis(500);

/// Time without an answer, from when the newest message was sent that the grantor has answered, after
/// which a host uses its share. Hosts and grantors exchange heartbeats twice in this time.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

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
