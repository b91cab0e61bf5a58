//! What a host does next about the electorate.

use std::time::Duration;

/// What a host does next about the electorate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Record in the store that the electorate is in force.
    Renew,
    /// Record the next electorate in the store, with the consent of the one in force.
    Change,
    /// Record a new electorate in the store in place of one that cannot consent any more.
    Replace(Evidence),
}

/// What shows that an electorate is not in force any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Evidence {
    /// most electors have started again and know nothing of what they have confirmed
    Forgotten,
    /// the store has not been told for longer than a lease may last without it that the electorate is in force
    Unrenewed,
}

/// What a host knows of the next electorate and of the store's record of the present one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prospect {
    /// Number of hosts whose turn comes first.
    pub rank: u32,
    /// Whether other hosts than the present electors should decide, and most of them are heard.
    pub is_change_due: bool,
    /// Since when this host has known that the store has the record that it still has.
    pub unchanged_since: Option<Duration>,
}
