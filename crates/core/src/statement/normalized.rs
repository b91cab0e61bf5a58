//! Cache keys of query texts: the text without the values of its literals.
//!
//! Callers that write values into their texts send a new text with each request, which would have
//! to be parsed each time. The classification of a query or a change of data never depends on these
//! values, so texts that differ only in them share one cache entry.

use std::borrow::Cow;

/// Statements whose classification does not depend on their literals, unlike that of a `SET`.
const VERBS: [&str; 5] = ["SELECT", "INSERT", "UPDATE", "DELETE", "WITH"];

/// Returns the cache key of `text`. This is the text itself if a literal may matter, or if the ends
/// of its literals cannot be found without parsing.
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

/// Returns the offset of the first literal of `text`, or `None` if there is none, or if the text
/// has quoted names, escapes, comments or dollar quotes.
///
/// Without these, every apostrophe opens or closes a literal. A text with any of them is its own
/// key: if the end of a literal were found in the wrong place, two different statements could share
/// a key, and the second would be treated like the first.
fn first_literal(text: &str) -> Option<usize> {
    let mut first = None;
    let mut quotes = 0;
    let mut previous = b' ';
    for (position, byte) in text.bytes().enumerate() {
        match (previous, byte) {
            (_, b'"' | b'\\' | b'`' | b';') | (b'-', b'-') | (b'/', b'*') => return None,
            (b'$', next) if !next.is_ascii_digit() => return None,
            (_, b'\'') => {
                quotes += 1;
                first = first.or(Some(position));
            }
            (_, b'0'..=b'9') if !is_word_byte(previous) => first = first.or(Some(position)),
            _ => {}
        }
        previous = byte;
    }
    first.filter(|_| quotes % 2 == 0 && previous != b'$')
}

/// Returns the offset of the next literal of `text`, which follows the byte `previous`.
fn literal_start(text: &str, previous: Option<u8>) -> Option<usize> {
    let mut previous = previous.unwrap_or(b' ');
    text.bytes().position(|byte| {
        let starts = byte == b'\'' || (byte.is_ascii_digit() && !is_word_byte(previous));
        previous = byte;
        starts
    })
}

/// Skips the literal at the start of `text` and returns the rest. A placeholder for the literal is
/// appended to `key`.
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

/// Reports whether `text` starts with one of [`VERBS`].
fn starts_with_verb(text: &str) -> bool {
    let text = text.trim_start();
    let word = text.split(|c: char| !c.is_ascii_alphabetic()).next();
    let word = word.unwrap_or_default();
    VERBS.iter().any(|verb| verb.eq_ignore_ascii_case(word))
}

/// Reports whether `byte` can be part of an identifier.
fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$') || !byte.is_ascii()
}
