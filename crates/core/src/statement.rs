//! What a statement does, as far as routing, rules and pooling have to know.
//!
//! The text is parsed by `sqlparser`. What it cannot parse, and every function not known to only
//! read, counts as a write: a mistake then costs a replica's help and never a lost write.

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

/// One query text, classified.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// What its SQL does; shared between equal texts by a [`Cache`].
    pub shape: Arc<Shape>,
    /// What its marker comment asks.
    pub marker: Marker,
}

impl Statement {
    /// Whether any part may write.
    pub fn access(&self) -> Access {
        self.shape.access
    }

    /// Tables that its parts touch, in lower case unless quoted, without the schema `public`.
    pub fn tables(&self) -> &BTreeSet<String> {
        &self.shape.tables
    }

    /// Its parts in order: several for a simple query of several statements, none for an empty one.
    pub fn parts(&self) -> &[Part] {
        &self.shape.parts
    }

    /// The tag of its marker.
    pub fn tag(&self) -> Option<&str> {
        self.marker.tag.as_deref()
    }

    /// The statement with `tag`, where its marker has none.
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

    /// The one action of a text of one part.
    pub fn action(&self) -> Option<&Action> {
        match self.parts() {
            [part] => Some(&part.action),
            _ => None,
        }
    }

    /// What it leaves on its connection: the heaviest of its parts.
    pub fn session_state(&self) -> SessionState {
        let parts = self.parts().iter();
        parts
            .map(|part| part.session_state)
            .max()
            .unwrap_or_default()
    }
}

/// Classifies a query text, marker comment included.
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
