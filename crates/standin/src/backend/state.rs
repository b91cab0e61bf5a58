//! What a server knows of its group: its term, its role and its log.

use std::net::SocketAddr;

use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use tokio::time::Instant;

use super::error::GroupError;
use super::log::Log;

/// Age of data that were never proved to be young: a year.
const NEVER_MS: i64 = 365 * 24 * 3600 * 1000;

/// Whether a server takes writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Primary,
    Replica,
}

impl Role {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Role::Primary => "primary",
            Role::Replica => "replica",
        }
    }
}

/// State of one server in its group.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) role: Role,
    /// Number of the greatest term known; `None` before the first one.
    pub(crate) term: Option<i64>,
    pub(crate) log: Log,
    /// Data are being rebuilt; no connection is served.
    pub(crate) rebuilding: bool,
    /// Whom a replica follows.
    pub(crate) primary: Option<SocketAddr>,
    /// When a replica was last proved to have all that its primary had; `None` before the first
    /// proof. A server that comes back empty, or with what an old term wrote, has none.
    pub(crate) caught_up: Option<Instant>,
}

/// What a promotion changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Promotion {
    /// The server leads a term that it did not lead before.
    Taken,
    /// It led that term already.
    Kept,
}

impl State {
    pub(crate) fn new() -> State {
        State {
            role: Role::Replica,
            term: None,
            log: Log::default(),
            rebuilding: false,
            primary: None,
            caught_up: None,
        }
    }

    /// Makes the server lead `term`, once.
    pub(crate) fn promote(
        &mut self,
        term: i64,
        reach: Option<Position>,
    ) -> Result<Promotion, GroupError> {
        if self.role == Role::Primary && self.term == Some(term) {
            return Ok(Promotion::Kept);
        }
        // A term has one primary: whoever follows that of `term` may not lead it as well.
        if let Some(known) = self.term
            && known >= term
        {
            return Err(GroupError::Term(known));
        }
        if let Some(position) = reach
            && !self.log.contains(position)
        {
            return Err(GroupError::Behind(position.to_string()));
        }
        self.term = Some(term);
        self.role = Role::Primary;
        self.primary = None;
        Ok(Promotion::Taken)
    }

    /// Makes the server follow the primary of `term`. Tells whether it led before.
    pub(crate) fn follow(&mut self, primary: SocketAddr, term: i64) -> Result<Role, GroupError> {
        if let Some(known) = self.term {
            let leads_it = self.role == Role::Primary && known == term;
            if known > term || leads_it {
                return Err(GroupError::Term(known));
            }
        }
        let before = self.role;
        self.term = Some(term);
        self.role = Role::Replica;
        self.primary = Some(primary);
        if before == Role::Primary {
            self.caught_up = None;
        }
        Ok(before)
    }

    /// How old the data may be, in milliseconds.
    pub(crate) fn age_ms(&self) -> i64 {
        match self.role {
            Role::Primary => 0,
            Role::Replica => self
                .caught_up
                .map_or(NEVER_MS, |at| at.elapsed().as_millis() as i64),
        }
    }

    /// Number of the term, 0 before the first one.
    pub(crate) fn term_number(&self) -> i64 {
        self.term.unwrap_or(0)
    }

    pub(crate) fn position(&self) -> Position {
        self.log.position()
    }

    /// Whether an entry of `term` may be appended by this server.
    pub(crate) fn leads(&self, term: Term) -> bool {
        self.role == Role::Primary && self.term == Some(term.number())
    }
}
