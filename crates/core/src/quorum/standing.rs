//! What a host says of its place in the electorate.

use super::Number;

/// What a host says of itself with each heartbeat and each answer to one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// The electorate that it has adopted.
    pub number: Number,
    /// Whether its process knows what a former process on its host may have confirmed. Only then does
    /// it extend leases.
    pub is_caught_up: bool,
    /// Whether a majority has answered it under this electorate, so that it knows all changes that
    /// were confirmed under earlier ones.
    pub is_settled: bool,
}
