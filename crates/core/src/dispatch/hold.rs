//! A pause of requests to the primary while it is being replaced.

use std::time::Duration;

/// The period in which requests that need the primary are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Start of the period.
    pub from: Duration,
    /// End of the period, unless a new primary is known earlier.
    pub until: Duration,
}
