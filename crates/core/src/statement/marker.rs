//! The marker comment with which a caller gives a statement a tag, a key or limits.

use std::time::Duration;

/// Start of a marker's text, after the opening of the comment.
const PREFIX: &str = "flamingopost:";

/// Contents of a comment `/* flamingopost: tag=bid key=abc123 deadline_ms=200 max_age_ms=500 */` at
/// the start or the end of a query text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Marker {
    /// Tag of the request, which rules can match.
    pub tag: Option<String>,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Time within which the caller wants an answer.
    pub deadline: Option<Duration>,
    /// Greatest data age that the caller accepts.
    pub max_age: Option<Duration>,
    /// The first error in the marker. Such a request must be refused: if a misspelt key were
    /// ignored, a resubmission could run twice.
    pub error: Option<MarkerError>,
}

/// An error in a marker.
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
        /// The invalid value.
        value: String,
    },
    /// {0} is empty
    Empty(String),
}

impl std::error::Error for MarkerError {}

/// Splits `sql` into its marker and the remaining text.
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

// A text that ends with a comment ends outside of any literal, so the last "/*" opens that comment.
fn trailing(sql: &str) -> Option<(&str, &str)> {
    let end = sql.trim_end_matches(|c: char| c.is_whitespace() || c == ';');
    let comment = end.strip_suffix("*/")?;
    let (body, text) = comment.rsplit_once("/*")?;
    Some((marker_text(text)?, body))
}

/// Returns the text after the prefix of a marker, or `None` for any other comment.
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
    /// Sets the field that `pair` names.
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

/// Sets `field`, unless it is set already.
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
