//! Index of rules by service and access, so that matching stays cheap with a thousand services.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::iter::Peekable;
use std::slice;
use std::sync::Arc;

use super::{Access, Choice, Request, Rule, Then};
use crate::fleet::Fleet;
use crate::key::ServiceKey;

/// The rules of one fleet by service and access.
///
/// A rule that names services is listed under each of them. A rule that names none is listed once,
/// for all services. A choice merges the two lists in the order of the rules, so memory grows with
/// the number of rules and not with rules times services.
#[derive(Debug, Clone)]
pub struct Index {
    fleet: Arc<Fleet>,
    by_service: BTreeMap<(ServiceKey, Access), Vec<usize>>,
    reads: AnyService,
    writes: AnyService,
}

/// Rules of one kind of access that apply to any service.
#[derive(Debug, Clone)]
struct AnyService {
    rules: Vec<usize>,
    fallback: Then,
}

impl Index {
    /// Creates the index of the rules of `fleet`.
    pub fn new(fleet: Arc<Fleet>) -> Index {
        let mut by_service: BTreeMap<(ServiceKey, Access), Vec<usize>> = BTreeMap::new();
        for (position, rule) in fleet.rules.iter().enumerate() {
            for access in accesses(rule) {
                for service in &rule.when.services {
                    by_service
                        .entry((*service, access))
                        .or_default()
                        .push(position);
                }
            }
        }
        Index {
            by_service,
            reads: AnyService::new(&fleet, Access::Read),
            writes: AnyService::new(&fleet, Access::Write),
            fleet,
        }
    }

    /// Returns the fleet of these rules.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Makes the same choice as [`super::choose`].
    ///
    /// ```
    /// use std::sync::Arc;
    /// use flamingopost_core::fleet::Fleet;
    /// use flamingopost_core::key::{CallerKey, ServiceKey};
    /// use flamingopost_core::rule::{Index, Request};
    /// use flamingopost_core::statement;
    ///
    /// let index = Index::new(Arc::new(Fleet::default()));
    /// let statement = statement::classify("DELETE FROM bids");
    /// let (service, caller) = (ServiceKey::default(), CallerKey::default());
    /// let request = Request { service, caller, role: "clerk", statement: &statement };
    /// assert!(!index.choose(&request).then.repeatable);
    /// ```
    pub fn choose(&self, request: &Request<'_>) -> Choice<'_> {
        let access = request.statement.access();
        let any_service = self.any_service(access);
        let by_service = self.by_service.get(&(request.service, access));
        let mut candidates = Merge {
            left: by_service.map_or(&[][..], Vec::as_slice).iter().peekable(),
            right: any_service.rules.iter().peekable(),
        };
        match candidates.find(|position| self.fleet.rules[*position].when.matches(request)) {
            Some(position) => Choice {
                rule: Some(position),
                then: Cow::Borrowed(&self.fleet.rules[position].then),
            },
            None => Choice {
                rule: None,
                then: Cow::Borrowed(&any_service.fallback),
            },
        }
    }

    fn any_service(&self, access: Access) -> &AnyService {
        match access {
            Access::Read => &self.reads,
            Access::Write => &self.writes,
        }
    }
}

impl AnyService {
    fn new(fleet: &Fleet, access: Access) -> AnyService {
        let applies =
            |rule: &Rule| rule.when.services.is_empty() && accesses(rule).any(|own| own == access);
        let rules = fleet.rules.iter().enumerate();
        AnyService {
            rules: rules
                .filter(|(_, rule)| applies(rule))
                .map(|(position, _)| position)
                .collect(),
            fallback: fleet.default_then(access),
        }
    }
}

/// Returns the kinds of access that `rule` matches.
fn accesses(rule: &Rule) -> impl Iterator<Item = Access> + use<> {
    let wanted = rule.when.access;
    [Access::Read, Access::Write]
        .into_iter()
        .filter(move |access| wanted.is_none_or(|wanted| wanted == *access))
}

/// Merges two sorted lists of rule indexes.
struct Merge<'a> {
    left: Peekable<slice::Iter<'a, usize>>,
    right: Peekable<slice::Iter<'a, usize>>,
}

impl Iterator for Merge<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        let from_left = match (self.left.peek(), self.right.peek()) {
            (Some(left), Some(right)) => left < right,
            (left, _) => left.is_some(),
        };
        let next = if from_left {
            self.left.next()
        } else {
            self.right.next()
        };
        next.copied()
    }
}
