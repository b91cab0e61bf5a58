//! The statements in a text, and what kind each one is.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

use super::error::Error;
use super::translate::{quote, translate};

/// One statement.
#[derive(Debug)]
pub(crate) struct Statement {
    pub(crate) kind: Kind,
    /// The text for the engine.
    pub(crate) sql: String,
    /// The original, without white space and comments.
    pub(crate) tokens: Vec<Token>,
    /// The greatest number of a `$N`.
    pub(crate) parameters: usize,
    /// How long `pg_sleep` is asked to sleep.
    pub(crate) sleep: Option<Argument>,
}

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Kind {
    /// `SELECT` and kin; the engine knows whether it writes.
    Query,
    /// A `SELECT` that locks rows.
    LockingQuery,
    /// A change of data or schema, and the table it is about.
    Write(String),
    /// The making of a temporary table, which only its session sees.
    Temporary(String),
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Savepoint(String),
    RollbackTo(String),
    Release(String),
    Set(Setting),
    Show(String),
    Discard,
    Deallocate(Option<String>),
    /// `PREPARE`, with the text that it prepares.
    Prepare {
        name: String,
        text: String,
    },
    /// `EXECUTE` of what a `PREPARE` or a `Parse` message has named.
    Execute {
        name: String,
        arguments: Vec<Argument>,
    },
    CopyIn {
        table: String,
        columns: Option<String>,
    },
    CopyOut {
        query: String,
    },
    Group(Call),
    Empty,
}

/// A change of a session parameter.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Setting {
    pub(crate) name: String,
    /// `None` gives it its default.
    pub(crate) value: Option<String>,
    /// Whether it ends with the transaction.
    pub(crate) local: bool,
}

/// A function of the group contract and its arguments.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Call {
    pub(crate) function: Function,
    pub(crate) arguments: Vec<Argument>,
}

/// A function of the group contract, or one by which servers of a group talk to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Function {
    Status,
    Promote,
    Follow,
    Wait,
    Spans,
    Log,
}

/// An argument written out or bound.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Argument {
    Text(String),
    Null,
    /// The parameter with this index, from 0.
    Bound(usize),
}

const FUNCTIONS: [(&str, Function); 6] = [
    ("group_status", Function::Status),
    ("group_promote", Function::Promote),
    ("group_follow", Function::Follow),
    ("group_wait", Function::Wait),
    ("group_spans", Function::Spans),
    ("group_log", Function::Log),
];

impl Function {
    pub(crate) fn name(self) -> &'static str {
        FUNCTIONS
            .iter()
            .find(|(_, function)| *function == self)
            .map_or("", |(name, _)| name)
    }
}

/// Splits `text` into its statements.
pub(crate) fn parse(text: &str) -> Result<Vec<Statement>, Error> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text)
        .tokenize()
        .map_err(|error| Error::Syntax(error.to_string()))?;
    let tokens: Vec<Token> = tokens
        .into_iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    tokens
        .split(|token| *token == Token::SemiColon)
        .filter(|part| !part.is_empty())
        .map(|part| Statement::new(part.to_vec()))
        .collect()
}

/// The text of a word, in lower case unless it is quoted.
pub(crate) fn word(token: Option<&Token>) -> Option<String> {
    match token {
        Some(Token::Word(word)) if word.quote_style.is_none() => Some(word.value.to_lowercase()),
        Some(Token::Word(word)) => Some(word.value.clone()),
        _ => None,
    }
}

pub(crate) fn is_word(token: Option<&Token>, text: &str) -> bool {
    word(token).as_deref() == Some(text)
}

/// The index of `$N`, from 0.
pub(crate) fn placeholder(token: &Token) -> Option<usize> {
    match token {
        Token::Placeholder(text) => {
            let number: usize = text.strip_prefix('$')?.parse().ok()?;
            number.checked_sub(1)
        }
        _ => None,
    }
}

impl Statement {
    fn new(tokens: Vec<Token>) -> Result<Statement, Error> {
        let parameters = tokens
            .iter()
            .filter_map(placeholder)
            .map(|index| index + 1)
            .max()
            .unwrap_or(0);
        let sleep = call(&tokens, "pg_sleep").and_then(|mut arguments| arguments.pop());
        let kind = kind(&tokens)?;
        let sql = match kind {
            Kind::Query | Kind::LockingQuery | Kind::Write(_) | Kind::Temporary(_) => {
                translate(&tokens)?
            }
            _ => String::new(),
        };
        Ok(Statement {
            kind,
            sql,
            tokens,
            parameters,
            sleep,
        })
    }

    /// The statement of an empty text.
    pub(crate) fn empty() -> Statement {
        Statement {
            kind: Kind::Empty,
            sql: String::new(),
            tokens: Vec::new(),
            parameters: 0,
            sleep: None,
        }
    }

    /// The command tag, without a count.
    pub(crate) fn tag(&self) -> String {
        let first = word(self.tokens.first()).unwrap_or_default();
        match (&self.kind, first.as_str()) {
            (Kind::Set(_), "select") => "SELECT".to_owned(),
            (Kind::Set(_), "reset") => "RESET".to_owned(),
            (_, "create" | "drop" | "alter") => {
                let second = self
                    .tokens
                    .iter()
                    .filter_map(|token| word(Some(token)))
                    .skip(1)
                    .find(|word| !matches!(word.as_str(), "temp" | "temporary" | "unique"))
                    .unwrap_or_default();
                format!("{first} {second}").to_uppercase()
            }
            (_, "truncate") => "TRUNCATE TABLE".to_owned(),
            (_, "start") => "BEGIN".to_owned(),
            (_, "end") => "COMMIT".to_owned(),
            (_, "abort") => "ROLLBACK".to_owned(),
            (_, "discard") => "DISCARD ALL".to_owned(),
            (_, "with") => self.tag_of_with().to_owned(),
            (_, "values" | "table") => "SELECT".to_owned(),
            (_, other) => other.to_uppercase(),
        }
    }

    fn tag_of_with(&self) -> &'static str {
        let has = |text| self.tokens.iter().any(|token| is_word(Some(token), text));
        if has("insert") {
            "INSERT"
        } else if has("update") {
            "UPDATE"
        } else if has("delete") {
            "DELETE"
        } else {
            "SELECT"
        }
    }
}

fn kind(tokens: &[Token]) -> Result<Kind, Error> {
    let first = word(tokens.first()).unwrap_or_default();
    let at = |index: usize| word(tokens.get(index)).unwrap_or_default();
    let kind = match first.as_str() {
        "select" | "with" | "values" | "explain" | "table" => query_kind(tokens),
        "insert" | "replace" => Kind::Write(table_after(tokens, "into")),
        "update" => Kind::Write(table_at(tokens, 1)),
        "delete" => Kind::Write(table_after(tokens, "from")),
        "create" if matches!(at(1).as_str(), "temp" | "temporary") => {
            Kind::Temporary(table_after(tokens, "table"))
        }
        "create" | "alter" | "drop" => Kind::Write(table_after(tokens, "table")),
        "truncate" => Kind::Write(table_at(tokens, if at(1) == "table" { 2 } else { 1 })),
        "begin" | "start" => Kind::Begin {
            read_only: tokens
                .windows(2)
                .any(|pair| is_word(pair.first(), "read") && is_word(pair.get(1), "only")),
        },
        "commit" | "end" => Kind::Commit,
        "rollback" | "abort" => match tokens.iter().position(|token| is_word(Some(token), "to")) {
            Some(_) => Kind::RollbackTo(word(tokens.last()).unwrap_or_default()),
            None => Kind::Rollback,
        },
        "savepoint" => Kind::Savepoint(at(1)),
        "release" => Kind::Release(word(tokens.last()).unwrap_or_default()),
        "set" => set_kind(tokens)?,
        "reset" => Kind::Set(Setting {
            name: at(1),
            value: None,
            local: false,
        }),
        "show" => Kind::Show(show_name(tokens)),
        "discard" => Kind::Discard,
        "deallocate" => match word(tokens.last()) {
            Some(name) if name != "all" => Kind::Deallocate(Some(name)),
            _ => Kind::Deallocate(None),
        },
        "prepare" => Kind::Prepare {
            name: at(1),
            text: prepared_text(tokens)?,
        },
        "execute" => Kind::Execute {
            name: at(1),
            arguments: call(tokens, &at(1)).unwrap_or_default(),
        },
        "copy" => copy_kind(tokens)?,
        "listen" | "unlisten" | "notify" | "declare" | "fetch" | "lock" | "grant" | "revoke"
        | "vacuum" | "analyze" | "do" | "call" | "merge" => {
            return Err(Error::Unsupported(first.to_uppercase()));
        }
        _ => {
            let near = tokens.first().map(Token::to_string).unwrap_or_default();
            return Err(Error::Syntax(format!("at or near \"{near}\"")));
        }
    };
    Ok(kind)
}

/// What follows `AS` in a `PREPARE`.
fn prepared_text(tokens: &[Token]) -> Result<String, Error> {
    let start = tokens
        .iter()
        .position(|token| is_word(Some(token), "as"))
        .ok_or_else(|| Error::Syntax("PREPARE needs AS".to_owned()))?;
    let texts: Vec<String> = tokens[start + 1..].iter().map(Token::to_string).collect();
    Ok(texts.join(" "))
}

fn query_kind(tokens: &[Token]) -> Kind {
    for (name, function) in FUNCTIONS {
        if let Some(arguments) = call(tokens, name) {
            return Kind::Group(Call {
                function,
                arguments,
            });
        }
    }
    if let Some(arguments) = call(tokens, "set_config")
        && let [Argument::Text(name), Argument::Text(value), rest @ ..] = arguments.as_slice()
    {
        return Kind::Set(Setting {
            name: name.clone(),
            value: Some(value.clone()),
            local: rest == [Argument::Text("true".to_owned())],
        });
    }
    if let Some(arguments) = call(tokens, "current_setting")
        && let [Argument::Text(name), ..] = arguments.as_slice()
    {
        return Kind::Show(name.clone());
    }
    if lock_clause(tokens).is_some() {
        return Kind::LockingQuery;
    }
    Kind::Query
}

/// Where `FOR UPDATE` or `FOR SHARE` begins.
pub(crate) fn lock_clause(tokens: &[Token]) -> Option<usize> {
    tokens.windows(2).position(|pair| {
        is_word(pair.first(), "for")
            && ["update", "share", "no", "key"]
                .iter()
                .any(|text| is_word(pair.get(1), text))
    })
}

/// The arguments of the call of function `name`, if there is one.
fn call(tokens: &[Token], name: &str) -> Option<Vec<Argument>> {
    let start = tokens
        .windows(2)
        .position(|pair| is_word(pair.first(), name) && pair.get(1) == Some(&Token::LParen))?;
    let mut arguments = Vec::new();
    let mut sign = "";
    for token in &tokens[start + 2..] {
        match token {
            Token::RParen => break,
            Token::Minus => sign = "-",
            Token::Number(number, _) => arguments.push(Argument::Text(format!("{sign}{number}"))),
            Token::SingleQuotedString(text) => arguments.push(Argument::Text(text.clone())),
            Token::Word(word) if word.value.eq_ignore_ascii_case("true") => {
                arguments.push(Argument::Text("true".to_owned()));
            }
            Token::Word(word) if word.value.eq_ignore_ascii_case("false") => {
                arguments.push(Argument::Text("false".to_owned()));
            }
            Token::Word(word) if word.value.eq_ignore_ascii_case("null") => {
                arguments.push(Argument::Null);
            }
            Token::Comma => sign = "",
            _ => arguments.extend(placeholder(token).map(Argument::Bound)),
        }
    }
    Some(arguments)
}

fn table_after(tokens: &[Token], keyword: &str) -> String {
    let found = tokens
        .iter()
        .position(|token| is_word(Some(token), keyword));
    found.map_or_else(String::new, |index| table_at(tokens, index + 1))
}

fn table_at(tokens: &[Token], start: usize) -> String {
    let mut index = start;
    while ["if", "not", "exists", "only"]
        .iter()
        .any(|text| is_word(tokens.get(index), text))
    {
        index += 1;
    }
    if tokens.get(index + 1) == Some(&Token::Period) {
        index += 2;
    }
    word(tokens.get(index)).unwrap_or_default()
}

fn set_kind(tokens: &[Token]) -> Result<Kind, Error> {
    let local = is_word(tokens.get(1), "local");
    let start = if local || is_word(tokens.get(1), "session") {
        2
    } else {
        1
    };
    let set = |name: &str, value: &[Token]| {
        Kind::Set(Setting {
            name: name.to_owned(),
            value: Some(texts(value)).filter(|value| !value.eq_ignore_ascii_case("default")),
            local,
        })
    };
    match word(tokens.get(start)).as_deref() {
        Some("transaction" | "characteristics") => {
            return Ok(set("transaction", &tokens[start + 1..]));
        }
        Some("time") => return Ok(set("timezone", &tokens[start + 2..])),
        _ => {}
    }
    let end = tokens
        .iter()
        .position(|token| *token == Token::Eq || is_word(Some(token), "to"))
        .ok_or_else(|| Error::Syntax("SET needs = or TO".to_owned()))?;
    let name: String = tokens[start..end]
        .iter()
        .map(|token| word(Some(token)).unwrap_or_else(|| token.to_string()))
        .collect();
    Ok(set(&name, &tokens[end + 1..]))
}

fn show_name(tokens: &[Token]) -> String {
    match word(tokens.get(1)).as_deref() {
        Some("time") => "timezone".to_owned(),
        Some("transaction") => "transaction_isolation".to_owned(),
        _ => tokens[1..]
            .iter()
            .map(|token| word(Some(token)).unwrap_or_else(|| token.to_string()))
            .collect(),
    }
}

fn texts(tokens: &[Token]) -> String {
    let parts: Vec<String> = tokens
        .iter()
        .map(|token| match token {
            Token::SingleQuotedString(text) => text.clone(),
            Token::Word(word) => word.value.clone(),
            other => other.to_string(),
        })
        .collect();
    parts.join(" ").replace(" ,", ",").replace("- ", "-")
}

fn copy_kind(tokens: &[Token]) -> Result<Kind, Error> {
    let outward = tokens
        .windows(2)
        .position(|pair| is_word(pair.first(), "to") && is_word(pair.get(1), "stdout"));
    let inward = tokens
        .windows(2)
        .position(|pair| is_word(pair.first(), "from") && is_word(pair.get(1), "stdin"));
    let end = outward
        .or(inward)
        .ok_or_else(|| Error::Unsupported("COPY with a file or program".to_owned()))?;
    let plain = ["csv", "binary", "delimiter", "null", "header"];
    if tokens[end..]
        .iter()
        .any(|token| plain.iter().any(|text| is_word(Some(token), text)))
    {
        return Err(Error::Unsupported(
            "COPY in a format other than text".to_owned(),
        ));
    }
    if tokens.get(1) == Some(&Token::LParen) {
        let query = translate(&tokens[2..end - 1])?;
        return Ok(Kind::CopyOut { query });
    }
    let table = quote(&table_at(tokens, 1));
    let columns = tokens[1..end]
        .iter()
        .position(|token| *token == Token::LParen)
        .map(|start| translate(&tokens[start + 2..end - 1]))
        .transpose()?;
    if outward.is_some() {
        let columns = columns.unwrap_or_else(|| "*".to_owned());
        let query = format!("SELECT {columns} FROM {table}");
        return Ok(Kind::CopyOut { query });
    }
    Ok(Kind::CopyIn { table, columns })
}
