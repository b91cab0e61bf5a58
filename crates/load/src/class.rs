//! Classes of requests.

use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::template::Template;

/// A class of requests of a run.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its service, where that is not the one that the targets name.
    pub service: Option<String>,
    /// What its requests do.
    pub kind: Kind,
    /// Its part of all arrivals, relative to the other classes' shares.
    pub share: u32,
    /// What one request served in time is worth.
    pub weight: u32,
    /// Time within which a request has to be answered.
    pub deadline: Duration,
    /// How often a request is submitted at most, each time through another entry host.
    pub attempts: u32,
    /// How statements are sent.
    pub protocol: Protocol,
    /// Whether the statements run inside an explicit transaction, which only the primary takes.
    pub transaction: bool,
    /// For [`Kind::Own`]: the class whose writes the reading must show.
    pub sees: Option<String>,
    /// The statements, in order.
    pub statements: Vec<Template>,
}

/// What a request does, which decides how it is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Writes once under its key.
    Write,
    /// Writes two rows under its key in one transaction.
    Transaction,
    /// Reads; data may be as old as the rules allow.
    Read,
    /// Reads what the same session wrote: the column `own` holds the highest sequence seen.
    Own,
    /// Reads both rows of a transaction: columns `first` and `second` count them.
    Pair,
    /// Writes a register.
    RegisterWrite,
    /// Reads a register at the primary: the column `value`.
    RegisterRead,
}

impl Kind {
    /// Whether the request changes data.
    pub fn writes(self) -> bool {
        match self {
            Kind::Write | Kind::Transaction | Kind::RegisterWrite => true,
            Kind::Read | Kind::Own | Kind::Pair | Kind::RegisterRead => false,
        }
    }

    /// Whether the request's key must be found in the final tables exactly when it took effect.
    pub fn keyed(self) -> bool {
        matches!(self, Kind::Write | Kind::Transaction)
    }
}

/// use write, transaction, read, own, pair, register-write or register-read
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct UnknownKind;

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Kind, UnknownKind> {
        match text {
            "write" => Ok(Kind::Write),
            "transaction" => Ok(Kind::Transaction),
            "read" => Ok(Kind::Read),
            "own" => Ok(Kind::Own),
            "pair" => Ok(Kind::Pair),
            "register-write" => Ok(Kind::RegisterWrite),
            "register-read" => Ok(Kind::RegisterRead),
            _ => Err(UnknownKind),
        }
    }
}

/// How statements are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// One message with the whole text.
    Simple,
    /// Parsed once a connection, bound and executed each time.
    Prepared,
}

/// use simple or prepared
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct UnknownProtocol;

impl FromStr for Protocol {
    type Err = UnknownProtocol;

    fn from_str(text: &str) -> Result<Protocol, UnknownProtocol> {
        match text {
            "simple" => Ok(Protocol::Simple),
            "prepared" => Ok(Protocol::Prepared),
            _ => Err(UnknownProtocol),
        }
    }
}
