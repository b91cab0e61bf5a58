//! A pause before a change of primary.

use std::time::Duration;

/// When nothing is sent to a primary that is being replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// From when on.
    pub from: Duration,
    /// Until when, if no other server leads before.
    pub until: Duration,
}
