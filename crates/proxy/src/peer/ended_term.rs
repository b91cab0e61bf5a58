//! Changes of primaries, as hosts tell each other of them.

use std::time::Duration;

use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use serde::{Deserialize, Serialize};

use super::{Server, WirePosition, bounded};

/// Maximum size of the changes in one message, in bytes. The rest of the datagram is for its other
/// fields.
const MAX_PAGE_BYTES: usize = 900;

/// The term of a primary that is over: its successor is being ordered or already leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTerm {
    /// The service.
    pub service: String,
    /// The newest term known when the order was given.
    #[serde(deserialize_with = "bounded::term")]
    term: i64,
    /// Token of the order.
    pub token: u64,
    /// The server that was ordered to lead.
    pub successor: Server,
    /// How far the successor has received the log, as reported by itself.
    #[serde(rename = "had")]
    received: WirePosition,
    /// How long the primary still serves, in milliseconds. A leaving primary serves until shortly
    /// before its successor leads.
    serves: u32,
}

impl EndedTerm {
    /// Creates the record that `term` of `service` is over. Its primary serves for `serves` more,
    /// and `successor`, which has received the log up to the given position, was ordered to lead
    /// under `token`.
    pub fn new(
        service: String,
        term: Term,
        token: u64,
        (successor, received): (Server, Position),
        serves: Duration,
    ) -> EndedTerm {
        EndedTerm {
            service,
            term: term.number(),
            token,
            successor,
            received: received.into(),
            serves: u32::try_from(serves.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the newest term known when the order was given.
    pub fn term(&self) -> Term {
        Term::from_number(self.term)
    }

    /// Returns how far the successor has received the log, as reported by itself.
    pub fn received(&self) -> Position {
        self.received.into()
    }

    /// Returns how long the primary still serves.
    pub fn serves(&self) -> Duration {
        Duration::from_millis(u64::from(self.serves))
    }
}

/// Divides changes into pages that each fit into a message.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::incarnation::Incarnation;
/// use flamingopost_core::position::Position;
/// use flamingopost_core::term::Term;
/// use flamingopost_proxy::peer::{EndedTerm, Server, pages};
///
/// let change = |number: u64| {
///     let successor = Server::new(format!("server-{number}"), Incarnation(1));
///     let position = (successor, Position::default());
///     let term = Term::from_number(3);
///     EndedTerm::new(format!("service-{number}"), term, number, position, Duration::ZERO)
/// };
/// let changes: Vec<EndedTerm> = (0..333).map(change).collect();
/// let paged: Vec<EndedTerm> = pages(changes.clone()).into_iter().flatten().collect();
/// assert_eq!(paged, changes);
/// ```
pub fn pages(changes: Vec<EndedTerm>) -> Vec<Vec<EndedTerm>> {
    let mut pages: Vec<Vec<EndedTerm>> = Vec::new();
    let mut bytes = MAX_PAGE_BYTES;
    for change in changes {
        let size = postcard::experimental::serialized_size(&change).unwrap_or(MAX_PAGE_BYTES);
        bytes += size;
        match pages.last_mut() {
            Some(page) if bytes <= MAX_PAGE_BYTES => page.push(change),
            _ => {
                bytes = size;
                pages.push(vec![change]);
            }
        }
    }
    pages
}
