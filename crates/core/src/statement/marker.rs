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
    pub mistake: Option<Mistake>,
}

/// Why a marker cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Mistake {
    /// `{0}` is not NAME=VALUE
    NotAPair(String),
    /// `{0}` is none of tag, key, deadline_ms, max_age_ms
    UnknownName(String),
    /// `{0}` is given twice
    Twice(String),
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

impl std::error::Error for Mistake {}

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
    Some((marked(text)?, body))
}

// A text that ends in a comment ends outside of any literal, so the last "/*" opens that comment.
fn trailing(sql: &str) -> Option<(&str, &str)> {
    let end = sql.trim_end_matches(|c: char| c.is_whitespace() || c == ';');
    let comment = end.strip_suffix("*/")?;
    let (body, text) = comment.rsplit_once("/*")?;
    Some((marked(text)?, body))
}

fn marked(comment: &str) -> Option<&str> {
    comment.trim_start().strip_prefix(PREFIX)
}

fn read(text: &str) -> Marker {
    let mut marker = Marker::default();
    for pair in text.split_ascii_whitespace() {
        if let Err(mistake) = marker.take(pair) {
            marker.mistake.get_or_insert(mistake);
        }
    }
    marker
}

impl Marker {
    fn take(&mut self, pair: &str) -> Result<(), Mistake> {
        let (name, value) = pair
            .split_once('=')
            .ok_or_else(|| Mistake::NotAPair(pair.to_owned()))?;
        if value.is_empty() {
            return Err(Mistake::Empty(name.to_owned()));
        }
        match name {
            "tag" => put(&mut self.tag, name, value.to_owned()),
            "key" => put(&mut self.key, name, value.to_owned()),
            "deadline_ms" => put(&mut self.deadline, name, milliseconds(name, value)?),
            "max_age_ms" => put(&mut self.max_age, name, milliseconds(name, value)?),
            _ => Err(Mistake::UnknownName(name.to_owned())),
        }
    }
}

fn put<T>(place: &mut Option<T>, name: &str, value: T) -> Result<(), Mistake> {
    if place.is_some() {
        return Err(Mistake::Twice(name.to_owned()));
    }
    *place = Some(value);
    Ok(())
}

fn milliseconds(name: &str, value: &str) -> Result<Duration, Mistake> {
    let number = value.parse().map_err(|_| Mistake::NotMilliseconds {
        name: name.to_owned(),
        value: value.to_owned(),
    })?;
    Ok(Duration::from_millis(number))
}
