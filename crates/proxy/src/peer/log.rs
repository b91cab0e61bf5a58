//! How far logs reach, as hosts report it to each other.

use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use serde::{Deserialize, Serialize};

use super::{Server, WirePosition, bounded};

/// How far the log of a service has been seen to reach on any of its servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// The service.
    pub service: String,
    /// The furthest position seen.
    pub furthest: WirePosition,
    /// Where the newest term that was ordered began, if known.
    pub term_start: Option<TermStart>,
    /// Servers whose claim to be the primary is not trusted.
    pub doubted: Vec<Server>,
    /// Servers that were seen to lead.
    pub led: Vec<LedTerm>,
}

/// The newest term that a server was seen to lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedTerm {
    /// The server.
    pub server: Server,
    #[serde(deserialize_with = "bounded::term")]
    term: i64,
}

impl LedTerm {
    /// Creates the record that `server` was seen to lead `term`.
    pub fn new(server: Server, term: Term) -> LedTerm {
        let term = term.number();
        LedTerm { server, term }
    }

    /// Returns the term.
    pub fn term(&self) -> Term {
        Term::from_number(self.term)
    }
}

/// The position of a server's log when it was ordered to lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// Id of the server.
    pub server: String,
    /// The newest term known at that time.
    #[serde(deserialize_with = "bounded::term")]
    before: i64,
    /// How far the server had received the log, as reported by itself.
    #[serde(rename = "had")]
    received: WirePosition,
}

impl TermStart {
    /// Creates the record that `server` had received the log up to `received` when it was ordered
    /// to lead after term `before`.
    pub fn new(server: String, before: Term, received: Position) -> TermStart {
        TermStart {
            server,
            before: before.number(),
            received: received.into(),
        }
    }

    /// Returns the newest term known at that time.
    pub fn before(&self) -> Term {
        Term::from_number(self.before)
    }

    /// Returns how far the server had received the log, as reported by itself.
    pub fn received(&self) -> Position {
        self.received.into()
    }
}
