//! The key under which a cache keeps a text: the text without the values of its literals.
//!
//! Callers that write values into their texts send a new text with each request, and would have
//! each parsed. What a query or a change of data does never depends on those values, so texts
//! that differ in nothing else share one entry.

use std::borrow::Cow;

/// Statements of which no literal says what they do; that of a `SET` does, for instance.
const VERBS: [&str; 5] = ["SELECT", "INSERT", "UPDATE", "DELETE", "WITH"];

/// The key of `text`: itself where a literal may matter or its ends cannot be told by one look.
pub(super) fn cache_key(text: &str) -> Cow<'_, str> {
    if !starts_with_verb(text) {
        return Cow::Borrowed(text);
    }
    let text = text.trim_end_matches(|c: char| c == ';' || c.is_whitespace());
    let Some(first) = first_literal(text) else {
        return Cow::Borrowed(text);
    };
    let mut key = String::with_capacity(text.len());
    let mut rest = text;
    let mut next = Some(first);
    while let Some(start) = next {
        let (before, literal) = rest.split_at(start);
        key.push_str(before);
        rest = skip_literal(literal, &mut key);
        next = literal_start(rest, key.as_bytes().last().copied());
    }
    key.push_str(rest);
    Cow::Owned(key)
}

/// Where the first literal of `text` starts; `None` where there is none, or where the text has
/// quoted names, escapes, comments or dollar quotes.
///
/// Without these every apostrophe opens or closes a literal. A text with any of them is its own
/// key, since a wrong end of a literal would give two different statements one key, and the second
/// would be treated as the first.
fn first_literal(text: &str) -> Option<usize> {
    let mut first = None;
    let mut quotes = 0;
    let mut previous = b' ';
    for (place, byte) in text.bytes().enumerate() {
        match (previous, byte) {
            (_, b'"' | b'\\' | b'`' | b';') | (b'-', b'-') | (b'/', b'*') => return None,
            (b'$', next) if !next.is_ascii_digit() => return None,
            (_, b'\'') => {
                quotes += 1;
                first = first.or(Some(place));
            }
            (_, b'0'..=b'9') if !is_word_byte(previous) => first = first.or(Some(place)),
            _ => {}
        }
        previous = byte;
    }
    first.filter(|_| quotes % 2 == 0 && previous != b'$')
}

/// Where the next literal of `text` starts, which stands behind the byte `previous`.
fn literal_start(text: &str, previous: Option<u8>) -> Option<usize> {
    let mut previous = previous.unwrap_or(b' ');
    text.bytes().position(|byte| {
        let starts = byte == b'\'' || (byte.is_ascii_digit() && !is_word_byte(previous));
        previous = byte;
        starts
    })
}

/// What follows the literal that `text` starts with; `key` is given one that stands for it.
fn skip_literal<'a>(text: &'a str, key: &mut String) -> &'a str {
    match text.strip_prefix('\'') {
        Some(tail) => {
            key.push_str("''");
            tail.split_once('\'').map_or("", |(_, rest)| rest)
        }
        None => {
            key.push('0');
            text.trim_start_matches(|c: char| c.is_ascii_digit())
        }
    }
}

fn starts_with_verb(text: &str) -> bool {
    let text = text.trim_start();
    let word = text.split(|c: char| !c.is_ascii_alphabetic()).next();
    let word = word.unwrap_or_default();
    VERBS.iter().any(|verb| verb.eq_ignore_ascii_case(word))
}

fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$') || !byte.is_ascii()
}
