//! What a query text does, without its marker.

use std::collections::BTreeSet;

use sqlparser::ast;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::visit;
use super::{Action, Part, SessionState};
use crate::rule::Access;

/// What a query text does, without its marker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape {
    /// Whether any part may write.
    pub access: Access,
    /// Tables that its parts touch.
    pub tables: BTreeSet<String>,
    /// Its parts in order.
    pub parts: Vec<Part>,
}

impl Shape {
    /// Whether the parser knew every part.
    pub fn is_known(&self) -> bool {
        let mut parts = self.parts.iter();
        parts.all(|part| part.action != Action::Unknown)
    }
}

/// Reads the shape of `body`, which has no marker any more.
pub(super) fn read(body: &str) -> Shape {
    let parts = match Parser::parse_sql(&PostgreSqlDialect {}, body) {
        Ok(statements) => statements.iter().map(visit::part).collect(),
        Err(_) => vec![unknown(body)],
    };
    Shape {
        access: access(&parts),
        tables: parts
            .iter()
            .flat_map(|part| part.tables.iter().cloned())
            .collect(),
        parts,
    }
}

fn access(parts: &[Part]) -> Access {
    let access = parts.iter().map(|part| part.access).max();
    access.unwrap_or(Access::Read)
}

fn unknown(body: &str) -> Part {
    Part {
        action: Action::Unknown,
        access: Access::Write,
        tables: BTreeSet::new(),
        session_state: unknown_state(body),
    }
}

// What the parser does not know may leave anything on its connection: without the pin, the next
// caller there would find a stranger's settings or locks. Only text that begins like a change of
// rows or a look at them, and names none of the ways in which these keep state, goes without; a
// grammar that lags behind the servers' would otherwise pin sessions until connections run out.
fn unknown_state(body: &str) -> SessionState {
    let text = body.trim().trim_end_matches(';').to_ascii_lowercase();
    let word = text.split(|c: char| !c.is_ascii_alphabetic()).next();
    let plain = word.is_some_and(|word| PLAIN_VERBS.contains(&word));
    let text = text.strip_prefix("insert into").unwrap_or(&text);
    let keeps = text.contains(';') || STATE_KEYWORDS.iter().any(|word| text.contains(word));
    match plain && !keeps {
        true => SessionState::Unchanged,
        false => SessionState::Pinned,
    }
}

const PLAIN_VERBS: [&str; 6] = ["select", "insert", "update", "delete", "with", "table"];
const STATE_KEYWORDS: [&str; 4] = ["advisory", "set_config", "temp", "into"];

/// A name with its schema, as the server folds it.
pub(super) fn full_name(name: &ast::ObjectName) -> String {
    let words: Vec<String> = name.0.iter().map(name_part).collect();
    words.join(".")
}

/// Name of a setting or table as rules and callers write it.
pub(super) fn object_name(name: &ast::ObjectName) -> String {
    let full = full_name(name);
    match full.strip_prefix("public.") {
        Some(bare) => bare.to_owned(),
        None => full,
    }
}

fn name_part(part: &ast::ObjectNamePart) -> String {
    part.as_ident()
        .map(folded)
        .unwrap_or_else(|| part.to_string())
}

/// Schema of what lives as long as its connection.
pub(super) const TEMPORARY_SCHEMA: &str = "pg_temp.";

/// An identifier as the server folds it.
pub(super) fn folded(ident: &ast::Ident) -> String {
    match ident.quote_style {
        Some(_) => ident.value.clone(),
        None => ident.value.to_lowercase(),
    }
}
