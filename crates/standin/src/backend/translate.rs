//! PostgreSQL statements in the engine's dialect.

use sqlparser::tokenizer::Token;

use super::error::Error;
use super::sql::{is_word, lock_clause, placeholder, word};

/// `name` as an identifier of the engine.
pub(crate) fn quote(name: &str) -> String {
    format!("\"{}\"", name.replace('"', "\"\""))
}

/// The statement in the engine's dialect.
pub(crate) fn translate(tokens: &[Token]) -> Result<String, Error> {
    let end = lock_clause(tokens).unwrap_or(tokens.len());
    let tokens = &tokens[..end];
    let mut out: Vec<String> = Vec::with_capacity(tokens.len());
    let mut index = 0;
    if is_word(tokens.first(), "truncate") {
        index = if is_word(tokens.get(1), "table") {
            2
        } else {
            1
        };
        out.push("DELETE FROM".to_owned());
    }
    if is_word(tokens.first(), "table") {
        index = 1;
        out.push("SELECT * FROM".to_owned());
    }
    while let Some(token) = tokens.get(index) {
        index += match token {
            Token::DoubleColon => cast(&mut out, &tokens[index + 1..])?,
            Token::Placeholder(_) => {
                let number = placeholder(token)
                    .ok_or_else(|| Error::Syntax(format!("at or near \"{token}\"")))?;
                out.push(format!("?{}", number + 1));
                1
            }
            Token::Word(_) => push_word(&mut out, &tokens[index..]),
            Token::DollarQuotedString(text) => {
                out.push(format!("'{}'", text.value.replace('\'', "''")));
                1
            }
            Token::EscapedStringLiteral(text) => {
                out.push(format!("'{}'", text.replace('\'', "''")));
                1
            }
            other => {
                out.push(other.to_string());
                1
            }
        };
    }
    Ok(out.join(" "))
}

/// Translates a word; returns how many tokens it took.
fn push_word(out: &mut Vec<String>, tokens: &[Token]) -> usize {
    let text = word(tokens.first()).unwrap_or_default();
    let calls_nothing =
        tokens.get(1) == Some(&Token::LParen) && tokens.get(2) == Some(&Token::RParen);
    match text.as_str() {
        "public" if tokens.get(1) == Some(&Token::Period) => 2,
        "bigserial" | "serial" | "serial8" | "serial4" => {
            out.push("INTEGER".to_owned());
            1
        }
        "ilike" => {
            out.push("LIKE".to_owned());
            1
        }
        // In parentheses, because the engine takes an expression as a default only so.
        "now" if calls_nothing => {
            out.push("(now())".to_owned());
            3
        }
        "current_timestamp" | "localtimestamp" | "transaction_timestamp" => {
            out.push("(now())".to_owned());
            if calls_nothing { 3 } else { 1 }
        }
        "current_user" | "session_user" => {
            out.push("'flamingopost'".to_owned());
            1
        }
        _ => {
            out.extend(tokens.first().map(Token::to_string));
            1
        }
    }
}

/// Wraps what was written last into the cast to the type that `rest` begins with.
fn cast(out: &mut Vec<String>, rest: &[Token]) -> Result<usize, Error> {
    let name = word(rest.first()).ok_or_else(|| Error::Syntax("at or near \"::\"".to_owned()))?;
    let mut used = 2;
    if name == "double" || name == "character" {
        used += 1;
    }
    if rest.get(used - 1) == Some(&Token::LParen) {
        let close = rest.iter().position(|token| *token == Token::RParen);
        used = close.map_or(used, |index| index + 2);
    }
    if rest.get(used - 1) == Some(&Token::LBracket) {
        return Err(Error::Unsupported("an array".to_owned()));
    }
    let operand = last_operand(out);
    let cast = match name.as_str() {
        "int" | "integer" | "int2" | "int4" | "int8" | "bigint" | "smallint" => {
            format!("cast_int8({operand})")
        }
        "float8" | "float4" | "real" | "double" | "numeric" | "decimal" => {
            format!("cast_float8({operand})")
        }
        "bool" | "boolean" => format!("cast_bool({operand})"),
        "bytea" => format!("CAST({operand} AS BLOB)"),
        _ => format!("CAST({operand} AS TEXT)"),
    };
    out.push(cast);
    Ok(used)
}

/// Takes the last operand off `out`: one word, or a parenthesis with the function before it.
fn last_operand(out: &mut Vec<String>) -> String {
    let Some(last) = out.pop() else {
        return String::new();
    };
    let mut parts = vec![last];
    if parts[0] == ")" {
        let mut depth = 1;
        while depth > 0
            && let Some(part) = out.pop()
        {
            match part.as_str() {
                ")" => depth += 1,
                "(" => depth -= 1,
                _ => {}
            }
            parts.push(part);
        }
        let is_function = out.last().is_some_and(|part| {
            let mut letters = part.chars();
            let named = letters.all(|letter| letter.is_alphanumeric() || letter == '_');
            let keyword = ["select", "in", "and", "or", "not", "values", "where"];
            named && !keyword.contains(&part.to_lowercase().as_str())
        });
        if is_function && let Some(part) = out.pop() {
            parts.push(part);
        }
    }
    while out.last().is_some_and(|part| part == ".") {
        parts.extend(out.pop());
        parts.extend(out.pop());
    }
    parts.reverse();
    parts.join(" ")
}
