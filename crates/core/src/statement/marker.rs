//! The marker comment by which a caller says what a statement is.

use std::time::Duration;

const PREFIX: &str = "flamingopost:";

/// What a caller asks in `/* flamingopost: tag=bid key=abc123 deadline_ms=200 max_age_ms=500 */`
/// at the start or the end of a query text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Marker {
    /// What rules may match.
    pub tag: Option<String>,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Time within which the caller wants its answer.
    pub deadline: Option<Duration>,
    /// Greatest data age that the caller accepts.
    pub max_age: Option<Duration>,
    /// The first thing in it that cannot be understood. Such a request must be refused: a key
    /// passed over in silence would let a resubmission run twice.
    pub error: Option<MarkerError>,
}

/// Why a marker cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum MarkerError {
    /// `{0}` is not NAME=VALUE
    NotAPair(String),
    /// `{0}` is none of tag, key, deadline_ms, max_age_ms
    UnknownName(String),
    /// `{0}` is given twice
    Duplicate(String),
    /// {name}=`{value}` is not a whole number of milliseconds
    NotMilliseconds {
        /// The name.
        name: String,
        /// What stands there.
        value: String,
    },
    /// {0} is empty
    Empty(String),
}

impl std::error::Error for MarkerError {}

/// Splits `sql` into its marker and the rest.
pub(super) fn split(sql: &str) -> (Marker, &str) {
    if let Some((text, body)) = leading(sql) {
        return (read(text), body);
    }
    match trailing(sql) {
        Some((text, body)) => (read(text), body),
        None => (Marker::default(), sql),
    }
}

fn leading(sql: &str) -> Option<(&str, &str)> {
    let comment = sql.trim_start().strip_prefix("/*")?;
    let (text, body) = comment.split_once("*/")?;
    Some((marker_text(text)?, body))
}

// A text that ends in a comment ends outside of any literal, so the last "/*" opens that comment.
fn trailing(sql: &str) -> Option<(&str, &str)> {
    let end = sql.trim_end_matches(|c: char| c.is_whitespace() || c == ';');
    let comment = end.strip_suffix("*/")?;
    let (body, text) = comment.rsplit_once("/*")?;
    Some((marker_text(text)?, body))
}

fn marker_text(comment: &str) -> Option<&str> {
    comment.trim_start().strip_prefix(PREFIX)
}

fn read(text: &str) -> Marker {
    let mut marker = Marker::default();
    for pair in text.split_ascii_whitespace() {
        if let Err(error) = marker.set(pair) {
            marker.error.get_or_insert(error);
        }
    }
    marker
}

impl Marker {
    fn set(&mut self, pair: &str) -> Result<(), MarkerError> {
        let (name, value) = pair
            .split_once('=')
            .ok_or_else(|| MarkerError::NotAPair(pair.to_owned()))?;
        if value.is_empty() {
            return Err(MarkerError::Empty(name.to_owned()));
        }
        match name {
            "tag" => set_once(&mut self.tag, name, value.to_owned()),
            "key" => set_once(&mut self.key, name, value.to_owned()),
            "deadline_ms" => set_once(&mut self.deadline, name, milliseconds(name, value)?),
            "max_age_ms" => set_once(&mut self.max_age, name, milliseconds(name, value)?),
            _ => Err(MarkerError::UnknownName(name.to_owned())),
        }
    }
}

fn set_once<T>(field: &mut Option<T>, name: &str, value: T) -> Result<(), MarkerError> {
    if field.is_some() {
        return Err(MarkerError::Duplicate(name.to_owned()));
    }
    *field = Some(value);
    Ok(())
}

fn milliseconds(name: &str, value: &str) -> Result<Duration, MarkerError> {
    let number = value.parse().map_err(|_| MarkerError::NotMilliseconds {
        name: name.to_owned(),
        value: value.to_owned(),
    })?;
    Ok(Duration::from_millis(number))
}
