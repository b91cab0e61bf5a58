//! Output on standard output: tables for people, JSON for scripts.

use std::io::{self, Write};

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::error::Error;

pub mod fleet_tables;
pub mod host_tables;
pub mod metrics_tables;

/// Returns an empty table with the column titles `headings`.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(headings);
    table
}

/// Prints `value` as JSON if `json` is set, otherwise as the text that `to_text` returns.
pub fn print<T: Serialize>(
    json: bool,
    value: &T,
    to_text: impl FnOnce(&T) -> String,
) -> Result<(), Error> {
    let text = match json {
        true => serde_json::to_string(value).map_err(|error| Error::Output(error.into()))?,
        false => to_text(value),
    };
    print_lines(&text)
}

/// Prints `text` without trailing spaces on its lines.
fn print_lines(text: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    for line in text.trim_end().lines() {
        match writeln!(out, "{}", line.trim_end()) {
            // The reader, for example `head`, has closed the pipe.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => break,
            written => written.map_err(Error::Output)?,
        }
    }
    Ok(())
}

/// Returns the text of `value`, or `-` if it is absent.
pub fn or_dash<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or_else(|| "-".to_owned(), T::to_string)
}

/// Joins the tables that have rows, separated by blank lines.
fn join_tables<const COUNT: usize>(tables: [Table; COUNT]) -> String {
    let filled = tables.iter().filter(|table| !table.is_empty());
    let texts: Vec<String> = filled.map(Table::to_string).collect();
    texts.join("\n\n")
}
