//! Types of parameters and columns that the engine does not declare.

use std::collections::BTreeMap;

use pgwire::api::Type;
use rusqlite::types::{Value, ValueRef};
use rusqlite::{Connection, Result};
use sqlparser::tokenizer::Token;

use super::sql::{self, Kind, Statement};
use super::value;

/// Types of the columns of all tables that a statement names, by column.
type Columns = BTreeMap<String, Type>;

/// The type of each parameter: as the caller said, else as its surroundings say, else text.
pub(crate) fn parameters(engine: &Connection, statement: &Statement, given: &[u32]) -> Vec<Type> {
    let count = statement.parameters.max(given.len());
    let mut types: Vec<Option<Type>> = vec![None; count];
    for (slot, oid) in types.iter_mut().zip(given) {
        *slot = Type::from_oid(*oid).filter(|kind| *kind != Type::UNKNOWN);
    }
    if types.iter().any(Option::is_none) {
        let columns = columns_of(engine, &statement.tokens);
        let mut listed = insert_list(&statement.tokens);
        if listed.is_empty()
            && let Kind::Write(table) = &statement.kind
        {
            listed = ordered_columns(engine, table).unwrap_or_default();
        }
        guess(&statement.tokens, &columns, &listed, &mut types);
    }
    types
        .into_iter()
        .map(|kind| kind.unwrap_or(Type::TEXT))
        .collect()
}

fn columns_of(engine: &Connection, tokens: &[Token]) -> Columns {
    let mut columns = Columns::new();
    let mut names: Vec<String> = tokens
        .iter()
        .filter_map(|token| sql::word(Some(token)))
        .collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        // A word that is no table has no columns.
        let _ = add_columns(engine, &name, &mut columns);
    }
    columns
}

fn add_columns(engine: &Connection, table: &str, columns: &mut Columns) -> Result<()> {
    let mut statement =
        engine.prepare_cached("SELECT name, type FROM pragma_table_info(?1) ORDER BY cid")?;
    let mut rows = statement.query([table])?;
    while let Some(row) = rows.next()? {
        let name: String = row.get(0)?;
        let declared: String = row.get(1)?;
        columns.insert(name.to_lowercase(), value::declared(&declared));
    }
    Ok(())
}

/// The columns of `table` in their order, for an `INSERT` that lists none.
fn ordered_columns(engine: &Connection, table: &str) -> Result<Vec<String>> {
    let mut statement =
        engine.prepare_cached("SELECT lower(name) FROM pragma_table_info(?1) ORDER BY cid")?;
    let names = statement.query_map([table], |row| row.get(0))?;
    names.collect()
}

fn guess(tokens: &[Token], columns: &Columns, listed: &[String], types: &mut [Option<Type>]) {
    let mut depth: usize = 0;
    let mut place = 0;
    for (index, token) in tokens.iter().enumerate() {
        match token {
            Token::LParen => {
                depth += 1;
                place = if depth == 1 { 0 } else { place };
            }
            Token::RParen => depth = depth.saturating_sub(1),
            Token::Comma if depth == 1 => place += 1,
            _ => {}
        }
        let Some(slot) = sql::placeholder(token).and_then(|number| types.get_mut(number)) else {
            continue;
        };
        if slot.is_some() {
            continue;
        }
        *slot = from_cast(tokens, index)
            .or_else(|| from_neighbours(tokens, index, columns))
            .or_else(|| {
                let name = listed.get(place).filter(|_| depth == 1)?;
                columns.get(name).cloned()
            });
    }
}

/// The columns between the parentheses of `INSERT INTO table (...)`.
fn insert_list(tokens: &[Token]) -> Vec<String> {
    if !sql::is_word(tokens.first(), "insert") {
        return Vec::new();
    }
    let values = tokens
        .iter()
        .position(|token| sql::is_word(Some(token), "values"))
        .unwrap_or(0);
    let open = tokens[..values]
        .iter()
        .position(|token| *token == Token::LParen);
    let Some(open) = open else {
        return Vec::new();
    };
    tokens[open..values]
        .iter()
        .filter_map(|token| sql::word(Some(token)))
        .collect()
}

fn from_cast(tokens: &[Token], index: usize) -> Option<Type> {
    match tokens.get(index + 1) {
        Some(Token::DoubleColon) => Some(value::declared(&sql::word(tokens.get(index + 2))?)),
        _ => None,
    }
}

fn from_neighbours(tokens: &[Token], index: usize, columns: &Columns) -> Option<Type> {
    let before = |steps: usize| tokens.get(index.checked_sub(steps)?);
    if ["limit", "offset"]
        .iter()
        .any(|text| sql::is_word(before(1), text))
    {
        return Some(Type::INT8);
    }
    if before(1) == Some(&Token::LParen) && sql::is_word(before(2), "pg_sleep") {
        return Some(Type::FLOAT8);
    }
    let column = |token: Option<&Token>| columns.get(&sql::word(token)?).cloned();
    let number = |token: Option<&Token>| match token {
        Some(Token::Number(text, _)) if text.contains('.') => Some(Type::FLOAT8),
        Some(Token::Number(..)) => Some(Type::INT8),
        _ => None,
    };
    if before(1).is_some_and(is_operator)
        && let Some(kind) = column(before(2)).or_else(|| number(before(2)))
    {
        return Some(kind);
    }
    let after = |steps: usize| tokens.get(index + steps);
    if after(1).is_some_and(is_operator)
        && let Some(kind) = column(after(2)).or_else(|| number(after(2)))
    {
        return Some(kind);
    }
    // `column IN ($1, $2)` and `column BETWEEN $1 AND $2`: the nearest column to the left.
    let listing = tokens[..index].iter().rposition(|token| {
        sql::is_word(Some(token), "in") || sql::is_word(Some(token), "between")
    })?;
    let near = index - listing <= 2 * types_in_list(&tokens[listing..index]) + 4;
    near.then(|| column(tokens.get(listing.checked_sub(1)?)))?
}

fn types_in_list(tokens: &[Token]) -> usize {
    tokens.iter().filter_map(sql::placeholder).count()
}

fn is_operator(token: &Token) -> bool {
    matches!(
        token,
        Token::Eq
            | Token::Neq
            | Token::Lt
            | Token::Gt
            | Token::LtEq
            | Token::GtEq
            | Token::Plus
            | Token::Minus
            | Token::Mul
            | Token::Div
    )
}

/// One column of a result.
#[derive(Debug, Clone)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) kind: Type,
}

/// The columns of the engine's statement `sql`. Types of expressions are those of the first row
/// that a read gives for `parameters`, else those of the columns inside them, else text.
pub(crate) fn columns(
    engine: &Connection,
    statement: &Statement,
    parameters: &[Value],
) -> Result<Vec<Column>> {
    let mut prepared = engine.prepare_cached(&statement.sql)?;
    let mut columns = Vec::new();
    let mut open = false;
    for column in prepared.columns() {
        let kind = column.decl_type().map(value::declared);
        open |= kind.is_none();
        columns.push((column_name(column.name()), kind, column.name().to_owned()));
    }
    if open && prepared.readonly() {
        let known = parameters.iter().chain(std::iter::repeat(&Value::Null));
        let known = known.take(prepared.parameter_count());
        let mut rows = prepared.query(rusqlite::params_from_iter(known))?;
        if let Ok(Some(row)) = rows.next() {
            for (index, (_, kind, _)) in columns.iter_mut().enumerate() {
                let value = row.get_ref(index).unwrap_or(ValueRef::Null);
                *kind = kind.take().or_else(|| value::natural(value));
            }
        }
    }
    for (_, kind, text) in &mut columns {
        let lower = text.to_lowercase();
        let truth = ["exists", "not ", "cast_bool"];
        if truth.iter().any(|start| lower.starts_with(start)) {
            *kind = Some(Type::BOOL);
        }
    }
    let known = match columns.iter().any(|(_, kind, _)| kind.is_none()) {
        true => columns_of(engine, &statement.tokens),
        false => Columns::new(),
    };
    let columns = columns.into_iter().map(|(name, kind, text)| Column {
        kind: kind.unwrap_or_else(|| kind_of_expression(&text, &statement.tokens, &known)),
        name,
    });
    Ok(columns.collect())
}

/// The name PostgreSQL would give the column: that of the function, or `?column?`.
fn column_name(text: &str) -> String {
    let text = text.trim_start_matches(['(', ' ']);
    let name: String = text
        .chars()
        .take_while(|letter| letter.is_alphanumeric() || *letter == '_')
        .collect();
    let rest = text[name.len()..].trim_start();
    let is_function = rest.starts_with('(') && !name.is_empty();
    if rest.is_empty() && !name.starts_with(|letter: char| letter.is_numeric()) {
        return text.to_owned();
    }
    match name.to_lowercase().as_str() {
        "cast_int8" => "int8".to_owned(),
        "cast_float8" => "float8".to_owned(),
        "cast_bool" => "bool".to_owned(),
        lower if is_function => lower.to_owned(),
        _ => "?column?".to_owned(),
    }
}

/// The type of an aggregate over NULLs: that of the one column it is over.
fn kind_of_expression(text: &str, tokens: &[Token], known: &Columns) -> Type {
    let has = |name: &str| text.to_lowercase().contains(name);
    if has("count") || has("cast_int8") || has("length") {
        return Type::INT8;
    }
    if has("avg") || has("cast_float8") {
        return Type::FLOAT8;
    }
    let aggregate = ["max", "min", "sum", "coalesce", "abs"];
    let inner = tokens.windows(3).find_map(|part| {
        let named = aggregate
            .iter()
            .any(|name| sql::is_word(part.first(), name));
        let opens = part.get(1) == Some(&Token::LParen);
        let column = sql::word(part.get(2)).filter(|_| named && opens)?;
        known.get(&column).cloned()
    });
    inner.unwrap_or(Type::TEXT)
}
