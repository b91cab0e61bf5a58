//! When-then rules: how a request is to be treated.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::key::{CallerKey, ClassKey, ServiceKey};

/// One when-then rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Its name in the configuration.
    pub name: String,
    /// Line of the configuration on which it starts, from 1.
    pub line: usize,
    /// What a request must be for the rule to match; every condition present must hold.
    pub when: When,
    /// How a matching request is treated.
    pub then: Then,
}

/// Conditions on a request. An absent or empty condition always holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct When {
    /// The service is one of these.
    pub services: BTreeSet<ServiceKey>,
    /// The caller is one of these.
    pub callers: BTreeSet<CallerKey>,
    /// The caller's role is one of these.
    pub roles: BTreeSet<String>,
    /// The statement reads, or writes.
    pub access: Option<Access>,
    /// The statement carries one of these tags.
    pub tags: BTreeSet<String>,
    /// The statement touches at least one of these tables, and if it is a read, no others.
    pub tables: BTreeSet<String>,
}

/// Whether a statement can change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write, or nothing is known about it.
    Write,
}

/// How a request is treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Then {
    /// Which servers may answer it.
    pub target: Target,
    /// Greatest age of the data it may be answered from; `None` where a session's own writes
    /// are the only bound.
    pub max_age: Option<Duration>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time within which it has to be answered.
    pub deadline: Duration,
    /// Its class.
    pub class: ClassKey,
    /// How often it may be tried again, within the retry budget.
    pub retries: u8,
    /// After which wait a second copy is sent elsewhere, within the hedge budget.
    pub hedge: Option<Duration>,
    /// Most requests a second that one entry host lets through under this rule.
    pub rate: Option<u32>,
    /// What a write must have reached before it is acknowledged.
    pub ack: Ack,
    /// Why requests are refused, where they are.
    pub refuse: Option<String>,
}

/// Which servers may answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The primary only.
    Primary,
    /// A replica that satisfies session and age, else the primary.
    Replica,
}

/// What a write must have reached before it is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ack {
    /// The primary.
    Primary,
    /// The primary and at least one replica.
    Replica,
}
