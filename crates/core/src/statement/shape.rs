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
    /// Whether all parts only read, or any part may write.
    pub access: Access,
    /// Tables that its parts touch.
    pub tables: BTreeSet<String>,
    /// Its parts in order.
    pub parts: Vec<Part>,
}

impl Shape {
    /// Reports whether every part was parsed and recognized.
    pub fn is_known(&self) -> bool {
        let mut parts = self.parts.iter();
        parts.all(|part| part.action != Action::Unknown)
    }
}

/// Parses `body`, a query text without its marker.
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

// Returns the session state of a text that cannot be parsed. It may leave any state on its
// connection: without the pin, the next caller on it would run under another session's settings or
// locks. Only a text that begins like a query or a change of rows, and mentions nothing with which
// these keep state, is not pinned. Otherwise a grammar that lags behind that of the servers would
// pin sessions until no connections are left.
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

/// First words of queries and changes of rows.
const PLAIN_VERBS: [&str; 6] = ["select", "insert", "update", "delete", "with", "table"];
/// Substrings of functions and clauses that leave state on a connection.
const STATE_KEYWORDS: [&str; 4] = ["advisory", "set_config", "temp", "into"];

/// Returns a name with its schema, folded to lower case as the server does.
pub(super) fn full_name(name: &ast::ObjectName) -> String {
    let words: Vec<String> = name.0.iter().map(name_part).collect();
    words.join(".")
}

/// Returns the name of a setting or table without the schema `public`, as rules and callers write
/// it.
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

/// Prefix of names in the schema of temporary objects.
pub(super) const TEMPORARY_SCHEMA: &str = "pg_temp.";

/// Returns an identifier, folded to lower case unless it is quoted, as the server does.
pub(super) fn folded(ident: &ast::Ident) -> String {
    match ident.quote_style {
        Some(_) => ident.value.clone(),
        None => ident.value.to_lowercase(),
    }
}
