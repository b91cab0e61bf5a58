//! Classification of statements for routing, rules and pooling.
//!
//! The text is parsed by `sqlparser`. A text that it cannot parse, and a call of a function that is
//! not known to only read, counts as a write: a wrong guess then sends a read to the primary, but
//! never a write to a replica.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::rule::Access;

mod action;
mod cache;
mod function;
mod marker;
mod normalized;
mod part;
mod shape;
mod visit;

pub use action::Action;
pub use cache::Cache;
pub use marker::{Marker, MarkerError};
pub use part::{Part, SessionState};
pub use shape::Shape;

/// A classified query text, which may consist of several statements.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// What the SQL does. A [`Cache`] shares it between equal texts.
    pub shape: Arc<Shape>,
    /// What the caller asks in the marker comment.
    pub marker: Marker,
}

impl Statement {
    /// Returns [`Access::Write`] if any part may write.
    pub fn access(&self) -> Access {
        self.shape.access
    }

    /// Returns the tables that its parts touch, in lower case unless quoted, without the schema
    /// `public`.
    pub fn tables(&self) -> &BTreeSet<String> {
        &self.shape.tables
    }

    /// Returns its parts in order: several for a simple query of several statements, none for an
    /// empty text.
    pub fn parts(&self) -> &[Part] {
        &self.shape.parts
    }

    /// Returns the tag of its marker.
    pub fn tag(&self) -> Option<&str> {
        self.marker.tag.as_deref()
    }

    /// Returns the statement with `tag` if its marker has no tag, else unchanged.
    ///
    /// ```
    /// use flamingopost_core::statement;
    ///
    /// let plain = statement::classify("SELECT 1");
    /// assert_eq!(plain.with_default_tag(Some("view")).tag(), Some("view"));
    /// let marked = statement::classify("/* flamingopost: tag=bid */ SELECT 1");
    /// assert_eq!(marked.with_default_tag(Some("view")).tag(), Some("bid"));
    /// ```
    pub fn with_default_tag(&self, tag: Option<&str>) -> Cow<'_, Statement> {
        match (tag, &self.marker.tag) {
            (Some(tag), None) => {
                let mut tagged = self.clone();
                tagged.marker.tag = Some(tag.to_owned());
                Cow::Owned(tagged)
            }
            _ => Cow::Borrowed(self),
        }
    }

    /// Returns the action of its part, if it has exactly one.
    pub fn action(&self) -> Option<&Action> {
        match self.parts() {
            [part] => Some(&part.action),
            _ => None,
        }
    }

    /// Returns the state that it leaves on its connection: the most binding state of its parts.
    pub fn session_state(&self) -> SessionState {
        let parts = self.parts().iter();
        parts
            .map(|part| part.session_state)
            .max()
            .unwrap_or_default()
    }
}

/// Classifies a query text, including its marker comment.
///
/// ```
/// use flamingopost_core::rule::Access;
/// use flamingopost_core::statement;
///
/// let read = statement::classify("SELECT price FROM lots WHERE id = $1");
/// assert_eq!(read.access(), Access::Read);
/// assert!(read.tables().contains("lots"));
///
/// let bid = statement::classify("/* flamingopost: tag=bid key=abc123 */ INSERT INTO bids VALUES (1)");
/// assert_eq!(bid.access(), Access::Write);
/// assert_eq!(bid.tag(), Some("bid"));
/// assert_eq!(bid.marker.key.as_deref(), Some("abc123"));
/// ```
pub fn classify(sql: &str) -> Statement {
    let (marker, body) = marker::split(sql);
    Statement {
        shape: Arc::new(shape::read(body)),
        marker,
    }
}
