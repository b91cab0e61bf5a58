//! One statement of a query text.

use std::collections::BTreeSet;

use super::Action;
use crate::rule::Access;

/// One statement of a query text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// What it does to its transaction or session.
    pub action: Action,
    /// Whether it may write.
    pub access: Access,
    /// Tables it touches.
    pub tables: BTreeSet<String>,
    /// What it leaves on the connection it runs on.
    pub session_state: SessionState,
}

/// What a statement leaves on its connection after its transaction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionState {
    /// Nothing.
    #[default]
    Unchanged,
    /// Settings or prepared statements, which can be repeated on another connection.
    Tracked,
    /// What no other connection can be given: temporary tables, channels, advisory locks, held
    /// cursors, or something unknown. The session has to keep this connection.
    Pinned,
}
