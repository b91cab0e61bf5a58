//! Values of keys: times, numbers, addresses, choices.

use std::fmt;
use std::time::Duration;

/// Longest time that a key may give.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// What a key wants to see.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expected {
    /// A time.
    Time,
    /// A whole number up to a greatest one.
    Number {
        /// The greatest.
        max: u64,
    },
    /// An address.
    Address,
    /// One of some words.
    OneOf(Vec<&'static str>),
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// One or more names.
    List,
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expected::Time => f.write_str("a time with its unit, such as 500us, 200ms, 5s or 1m"),
            Expected::Number { max } => write!(f, "a whole number from 1 to {max}"),
            Expected::Address => f.write_str("an address IP:PORT, such as 10.0.3.7:5432"),
            Expected::OneOf(words) => write!(f, "one of: {}", words.join(", ")),
            Expected::Name => f.write_str("a name of letters, digits, `-`, `_` and `.`"),
            Expected::List => f.write_str("one or more names with commas between them"),
        }
    }
}

const UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];

/// Reads a time such as `200ms`.
pub(super) fn time(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let (_, micros) = UNITS.iter().find(|(name, _)| *name == unit.trim())?;
    let time = Duration::from_micros(number.checked_mul(*micros)?);
    (time <= MAX_TIME).then_some(time)
}

/// Writes a time as [`time`] reads it, in the greatest unit that keeps it whole.
pub(super) fn format_time(time: Duration) -> String {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let whole = |(_, size): &&(&str, u64)| micros > 0 && micros.is_multiple_of(*size);
    let (unit, size) = UNITS.iter().rev().find(whole).unwrap_or(&UNITS[0]);
    format!("{}{unit}", micros / size)
}

/// Whether `text` can be a name.
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(allowed)
}

/// The words of a list.
pub(super) fn list_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|word| !word.is_empty())
}

/// The known word nearest to `wrong`, if one is near enough to be meant.
pub(super) fn nearest<'a>(wrong: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let similarity = |word: &str| strsim::jaro_winkler(wrong, word);
    known
        .into_iter()
        .map(|word| (similarity(word), word))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, word)| word.to_owned())
}

/// Likeness from which a word may have been meant.
const MIN_SIMILARITY: f64 = 0.75;
