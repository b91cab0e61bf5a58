//! SQL templates: statements with placeholders that each operation fills in.

use std::fmt::Write;

use displaydoc::Display;

/// A statement with placeholders in braces.
///
/// ```
/// use flamingopost_load::template::{Fill, Template};
///
/// let template: Template = "SELECT '{token}' AS token, price FROM lots WHERE lot = {random 200}"
///     .parse()
///     .unwrap();
/// let fill = Fill { token: "k1".into(), random: 31, ..Fill::default() };
/// assert_eq!(
///     template.text(&fill),
///     "SELECT 'k1' AS token, price FROM lots WHERE lot = 31"
/// );
/// assert_eq!(
///     template.prepared(),
///     "SELECT $1 AS token, price FROM lots WHERE lot = $2"
/// );
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Template {
    pieces: Vec<Piece>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Piece {
    Text(String),
    Slot(Slot),
    /// A placeholder between single quotes.
    Quoted(Slot),
}

/// What a placeholder stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// `{key}`: the operation's unique key, the same in every attempt.
    Key,
    /// `{token}`: unique for each attempt; an answer has to carry it back.
    Token,
    /// `{session}`: the session's name.
    Session,
    /// `{run}`: the run's name, with which the names of its sessions and keys begin.
    Run,
    /// `{sequence}`: the operation's number in its session, from 1.
    Sequence,
    /// `{pair}`: key of a transaction that some session started before.
    Pair,
    /// `{register}`: number of a register under test.
    Register,
    /// `{value}`: a value that no other operation writes.
    Value,
    /// `{random N}`: a number below N.
    Random(u64),
}

impl Slot {
    /// Whether the placeholder is a number; else it is text.
    pub fn is_number(self) -> bool {
        match self {
            Slot::Sequence | Slot::Register | Slot::Value | Slot::Random(_) => true,
            Slot::Key | Slot::Token | Slot::Session | Slot::Run | Slot::Pair => false,
        }
    }
}

/// Values for the placeholders of one attempt.
#[derive(Debug, Clone, Default)]
pub struct Fill {
    /// `{key}`
    pub key: String,
    /// `{token}`
    pub token: String,
    /// `{session}`
    pub session: String,
    /// `{run}`
    pub run: String,
    /// `{sequence}`
    pub sequence: i64,
    /// `{pair}`
    pub pair: String,
    /// `{register}`
    pub register: i64,
    /// `{value}`
    pub value: i64,
    /// The draw behind `{random N}`, which takes it modulo N.
    pub random: u64,
}

impl Fill {
    fn text(&self, slot: Slot) -> String {
        match slot {
            Slot::Key => self.key.clone(),
            Slot::Token => self.token.clone(),
            Slot::Session => self.session.clone(),
            Slot::Run => self.run.clone(),
            Slot::Pair => self.pair.clone(),
            Slot::Sequence | Slot::Register | Slot::Value | Slot::Random(_) => {
                self.number(slot).to_string()
            }
        }
    }

    fn number(&self, slot: Slot) -> i64 {
        match slot {
            Slot::Sequence => self.sequence,
            Slot::Register => self.register,
            Slot::Value => self.value,
            Slot::Random(below) => (self.random % below) as i64,
            Slot::Key | Slot::Token | Slot::Session | Slot::Run | Slot::Pair => 0,
        }
    }

    /// The value of `slot` as a parameter of a prepared statement.
    pub fn parameter(&self, slot: Slot) -> Parameter {
        if slot.is_number() {
            Parameter::Number(self.number(slot))
        } else {
            Parameter::Text(self.text(slot))
        }
    }
}

/// A parameter of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parameter {
    /// `int8`
    Number(i64),
    /// `text`
    Text(String),
}

/// Why a template is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// `{{{0}}}` is no placeholder: use key, token, session, run, sequence, pair, register, value or random N
    Unknown(String),
    /// a `{{` is not closed
    Unclosed,
}

impl std::error::Error for Error {}

impl std::str::FromStr for Template {
    type Err = Error;

    fn from_str(text: &str) -> Result<Template, Error> {
        let mut pieces = Vec::new();
        let mut rest = text;
        while let Some((before, after)) = rest.split_once('{') {
            let (name, tail) = after.split_once('}').ok_or(Error::Unclosed)?;
            let slot = slot(name)?;
            match (before.strip_suffix('\''), tail.strip_prefix('\'')) {
                (Some(before), Some(tail)) => {
                    pieces.push(Piece::Text(before.to_owned()));
                    pieces.push(Piece::Quoted(slot));
                    rest = tail;
                }
                _ => {
                    pieces.push(Piece::Text(before.to_owned()));
                    pieces.push(Piece::Slot(slot));
                    rest = tail;
                }
            }
        }
        pieces.push(Piece::Text(rest.to_owned()));
        Ok(Template { pieces })
    }
}

fn slot(name: &str) -> Result<Slot, Error> {
    let unknown = || Error::Unknown(name.to_owned());
    match name {
        "key" => Ok(Slot::Key),
        "token" => Ok(Slot::Token),
        "session" => Ok(Slot::Session),
        "run" => Ok(Slot::Run),
        "sequence" => Ok(Slot::Sequence),
        "pair" => Ok(Slot::Pair),
        "register" => Ok(Slot::Register),
        "value" => Ok(Slot::Value),
        _ => match name.strip_prefix("random ").map(str::parse) {
            Some(Ok(below)) if below > 0 => Ok(Slot::Random(below)),
            _ => Err(unknown()),
        },
    }
}

impl Template {
    /// The placeholders in order.
    pub fn slots(&self) -> impl Iterator<Item = Slot> + '_ {
        self.pieces.iter().filter_map(|piece| match piece {
            Piece::Slot(slot) | Piece::Quoted(slot) => Some(*slot),
            Piece::Text(_) => None,
        })
    }

    /// The statement as text, for the simple protocol.
    pub fn text(&self, fill: &Fill) -> String {
        self.pieces
            .iter()
            .map(|piece| match piece {
                Piece::Text(text) => text.clone(),
                Piece::Slot(slot) => fill.text(*slot),
                Piece::Quoted(slot) => format!("'{}'", fill.text(*slot)),
            })
            .collect()
    }

    /// The statement with `$1`, `$2`, ... in place of the placeholders and their quotes.
    pub fn prepared(&self) -> String {
        let mut sql = String::new();
        let mut number = 0;
        for piece in &self.pieces {
            match piece {
                Piece::Text(text) => sql.push_str(text),
                Piece::Slot(_) | Piece::Quoted(_) => {
                    number += 1;
                    let _ = write!(sql, "${number}");
                }
            }
        }
        sql
    }
}
