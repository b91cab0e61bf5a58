//! Log positions: how far a session's writes or a server's data extend.

use std::fmt;
use std::str::FromStr;

use crate::term::Term;

/// A position in a service's log: the term that wrote it and the log number.
///
/// Callers carry it between entry hosts in its text form, `EPOCH.COUNT/LOG`.
///
/// ```
/// use flamingopost_core::position::Position;
///
/// let position: Position = "3.7/18890".parse().unwrap();
/// assert_eq!(position.log, 18890);
/// assert_eq!(position.to_string(), "3.7/18890");
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The term under which the position was written.
    pub term: Term,
    /// Log number; it keeps counting across terms.
    pub log: u64,
}

/// `{0}` is not a log position: write it as EPOCH.COUNT/LOG, for example 3.7/18890
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct ParseError(pub String);

impl std::error::Error for ParseError {}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.log)
    }
}

impl FromStr for Position {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Position, ParseError> {
        let error = || ParseError(text.to_owned());
        let (term, log) = text.split_once('/').ok_or_else(error)?;
        let term = term.parse().map_err(|_| error())?;
        let log = log.parse().map_err(|_| error())?;
        Ok(Position { term, log })
    }
}
