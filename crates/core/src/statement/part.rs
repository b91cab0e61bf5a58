//! One statement of a query text.

use std::collections::BTreeSet;

use super::Action;
use crate::rule::Access;

/// One statement of a query text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// What it does to its transaction or session.
    pub action: Action,
    /// Whether it reads, or may write.
    pub access: Access,
    /// Tables it touches.
    pub tables: BTreeSet<String>,
    /// What state it leaves on its connection.
    pub session_state: SessionState,
}

/// State that a statement leaves on its connection after its transaction, ordered by how strongly
/// it binds the session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionState {
    /// Nothing.
    #[default]
    Unchanged,
    /// Parameters or prepared statements, which can be replayed on another connection.
    Tracked,
    /// State that cannot be replayed on another connection: temporary tables, channels, advisory
    /// locks, held cursors, or unknown state. The session has to keep its connection.
    Pinned,
}
