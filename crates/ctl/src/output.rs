//! Tables for people, JSON for scripts.

use std::io::{self, Write};

use comfy_table::{Table, presets};
use serde::Serialize;
use serde_json::Value;

use crate::error::Error;

/// A table with `headings`.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(headings);
    table
}

/// Prints `value` as JSON, or else the text that `human` makes of it.
pub fn print<T: Serialize>(
    json: bool,
    value: &T,
    human: impl FnOnce(&T) -> String,
) -> Result<(), Error> {
    let text = match json {
        true => serde_json::to_string(value).map_err(|error| Error::Output(error.into()))?,
        false => human(value),
    };
    lines(&text)
}

/// Prints a text without the blanks that end its lines.
fn lines(text: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    for line in text.trim_end().lines() {
        match writeln!(out, "{}", line.trim_end()) {
            // The reader, `head` for instance, has seen enough.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => break,
            written => written.map_err(Error::Output)?,
        }
    }
    Ok(())
}

/// A text for what may be absent.
pub fn or_dash<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or_else(|| "-".to_owned(), T::to_string)
}

/// Every leaf of `value` with its path.
pub fn leaves(value: &Value) -> Table {
    let mut rows = table(&["key", "value"]);
    add_leaves(&mut rows, String::new(), value);
    rows
}

fn add_leaves(rows: &mut Table, path: String, value: &Value) {
    let below = |name: &str| match path.is_empty() {
        true => name.to_owned(),
        false => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                add_leaves(rows, below(name), field);
            }
        }
        Value::Array(items) if items.iter().any(|item| item.is_object()) => {
            for (place, item) in items.iter().enumerate() {
                add_leaves(rows, below(&place.to_string()), item);
            }
        }
        leaf => {
            rows.add_row([path, leaf_text(leaf)]);
        }
    }
}

fn leaf_text(leaf: &Value) -> String {
    match leaf {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let words: Vec<String> = items.iter().map(leaf_text).collect();
            words.join(", ")
        }
        other => other.to_string(),
    }
}
