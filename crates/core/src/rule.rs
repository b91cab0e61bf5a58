//! When-then rules: how a request is to be treated.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::key::{CallerKey, ClassKey, ServiceKey};
use crate::statement::{Marker, Statement};

mod index;

pub use index::Index;

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

/// What a write must have reached before it is acknowledged; the greater asks for more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ack {
    /// The primary.
    Primary,
    /// The primary and at least one replica.
    Replica,
}

/// What rules are matched against.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The service it was sent to.
    pub service: ServiceKey,
    /// Who sent it.
    pub caller: CallerKey,
    /// That caller's role.
    pub role: &'a str,
    /// What it asks.
    pub statement: &'a Statement,
}

/// The treatment chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice<'a> {
    /// Place of the rule that applies in the fleet's list; `None` where no rule matches.
    pub rule: Option<usize>,
    /// The treatment.
    pub then: Cow<'a, Then>,
}

impl Choice<'_> {
    /// The deadline, which a caller may shorten and never lengthen.
    ///
    /// ```
    /// use std::borrow::Cow;
    /// use std::time::Duration;
    /// use flamingopost_core::fleet::Fleet;
    /// use flamingopost_core::rule::{Access, Choice};
    /// use flamingopost_core::statement::Marker;
    ///
    /// let then = Fleet::default().default_then(Access::Read);
    /// let choice = Choice { rule: None, then: Cow::Owned(then) };
    /// let asked = Marker { deadline: Some(Duration::from_millis(50)), ..Marker::default() };
    /// assert_eq!(choice.deadline(&asked), Duration::from_millis(50));
    /// assert_eq!(choice.deadline(&Marker::default()), Duration::from_secs(1));
    /// ```
    pub fn deadline(&self, marker: &Marker) -> Duration {
        let limit = self.then.deadline;
        marker.deadline.map_or(limit, |asked| asked.min(limit))
    }

    /// The greatest data age, which a caller may lower and never raise.
    pub fn max_age(&self, marker: &Marker) -> Option<Duration> {
        match (self.then.max_age, marker.max_age) {
            (Some(limit), Some(asked)) => Some(limit.min(asked)),
            (limit, asked) => limit.or(asked),
        }
    }
}

impl When {
    /// Whether every condition holds for `request`.
    ///
    /// ```
    /// use flamingopost_core::key::{CallerKey, ServiceKey};
    /// use flamingopost_core::rule::{Access, Request, When};
    /// use flamingopost_core::statement;
    ///
    /// let statement = statement::classify("SELECT price FROM lots");
    /// let (service, caller) = (ServiceKey::default(), CallerKey::default());
    /// let request = Request { service, caller, role: "buyer", statement: &statement };
    /// let reads = When { access: Some(Access::Read), ..When::default() };
    /// assert!(reads.matches(&request));
    /// ```
    pub fn matches(&self, request: &Request<'_>) -> bool {
        let statement = request.statement;
        condition_holds(&self.services, &request.service)
            && self
                .access
                .is_none_or(|access| access == statement.access())
            && condition_holds(&self.callers, &request.caller)
            && (self.roles.is_empty() || self.roles.contains(request.role))
            && self.matches_tag(statement.tag())
            && self.matches_tables(statement)
    }

    /// Whether every request that `other` matches is matched by this one too.
    ///
    /// ```
    /// use flamingopost_core::rule::{Access, When};
    ///
    /// let reads = When { access: Some(Access::Read), ..When::default() };
    /// assert!(When::default().covers(&reads));
    /// assert!(!reads.covers(&When::default()));
    /// ```
    pub fn covers(&self, other: &When) -> bool {
        is_covered(&other.services, &self.services)
            && is_covered(&other.callers, &self.callers)
            && is_covered(&other.roles, &self.roles)
            && is_covered(&other.tags, &self.tags)
            && is_covered(&other.tables, &self.tables)
            && self
                .access
                .is_none_or(|access| other.access == Some(access))
    }

    fn matches_tag(&self, tag: Option<&str>) -> bool {
        self.tags.is_empty() || tag.is_some_and(|tag| self.tags.contains(tag))
    }

    fn matches_tables(&self, statement: &Statement) -> bool {
        if self.tables.is_empty() {
            return true;
        }
        let touched = statement.tables();
        match statement.access() {
            Access::Read => !touched.is_empty() && touched.is_subset(&self.tables),
            Access::Write => !touched.is_disjoint(&self.tables),
        }
    }
}

fn condition_holds<K: Ord>(condition: &BTreeSet<K>, key: &K) -> bool {
    condition.is_empty() || condition.contains(key)
}

fn is_covered<K: Ord>(inner: &BTreeSet<K>, outer: &BTreeSet<K>) -> bool {
    outer.is_empty() || (!inner.is_empty() && inner.is_subset(outer))
}

/// The first rule of `fleet` that matches `request`, or the default treatment
/// ([`Fleet::default_then`]). It looks at every rule; [`Index`] does the same with fewer.
///
/// ```
/// use flamingopost_core::fleet::Fleet;
/// use flamingopost_core::key::{CallerKey, ServiceKey};
/// use flamingopost_core::rule::{self, Request};
/// use flamingopost_core::statement;
///
/// let statement = statement::classify("SELECT 1");
/// let (service, caller) = (ServiceKey::default(), CallerKey::default());
/// let request = Request { service, caller, role: "member", statement: &statement };
/// let fleet = Fleet::default();
/// let choice = rule::choose(&fleet, &request);
/// assert_eq!(choice.rule, None);
/// assert!(choice.then.repeatable);
/// ```
pub fn choose<'a>(fleet: &'a Fleet, request: &Request<'_>) -> Choice<'a> {
    let found = fleet
        .rules
        .iter()
        .position(|rule| rule.when.matches(request));
    match found {
        Some(position) => Choice {
            rule: Some(position),
            then: Cow::Borrowed(&fleet.rules[position].then),
        },
        None => Choice {
            rule: None,
            then: Cow::Owned(fleet.default_then(request.statement.access())),
        },
    }
}
