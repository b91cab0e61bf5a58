//! The search for an order that replaced a primary without this host's knowledge.

use std::time::Duration;

use super::PROMOTION_TIMEOUT;
use crate::term::Term;

/// Time after which an order given before the search has taken effect. A promotion takes about a
/// second.
const ORDER_VISIBLE: Duration = Duration::from_millis(1_600);

/// How long a search goes on if not all servers answer. Servers that restart are back within some
/// seconds, and a service must be served again within 12 s of the restart of all hosts.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(6);

/// How long the servers' answers do not suffice while claims may be missing. A host that knows all
/// orders has reported it by then, if there is one.
const UNCLAIMED_TIMEOUT: Duration = PROMOTION_TIMEOUT.saturating_add(Duration::from_millis(500));

/// What the store shows of orders given before this host started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Every order was preceded by a claim that the store still has.
    Complete,
    /// The store was not available, or was restored from a copy, and claims may be missing.
    Incomplete,
    /// A change of the primary of a newer term is claimed, so that the term of this one is over.
    Newer,
}

/// What is known of a primary whose successor may have been ordered without this host's knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The search goes on. Nothing that needs the primary is sent.
    Pending,
    /// The primary was not replaced.
    NotReplaced,
    /// Another server leads or led a newer term.
    Replaced,
    /// No successor was found, but there may be one. The primary is ordered to lead, which makes no
    /// difference unless it was replaced.
    Inconclusive,
}

/// The search for the successor of a primary on a host that has just started, while no other host
/// can tell whether a successor was ordered.
///
/// A successor is one of the service's servers, and the others learn of its term when they follow
/// it. So if each of them answers and none knows a newer term, only a server that is no longer
/// listed may have been ordered, and the store's claims tell about that order. A server that does
/// not answer may be the successor, and is given the time in which servers come back.
///
/// Guards against writes to a replaced primary that keeps leading its term while its successor is
/// down, after all hosts have restarted: the successor takes over when it returns, and what the
/// replaced primary has acknowledged until then is lost.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::succession::{ClaimRecord, Finding, UnheardOrder};
/// use flamingopost_core::term::Term;
///
/// let at = Duration::from_secs;
/// let (term, next) = (Term::from_number(3), Term::from_number(4));
/// let search = UnheardOrder::new(term, at(0));
/// let claims = ClaimRecord::Complete;
/// let decide = |newest, asked, now| search.decide(newest, asked, claims, now);
/// assert_eq!(decide(next, None, at(1)), Finding::Replaced, "a server follows another one");
/// assert_eq!(decide(term, Some(at(1)), at(2)), Finding::Pending, "asked too early");
/// assert_eq!(decide(term, Some(at(2)), at(2)), Finding::NotReplaced);
/// assert_eq!(decide(term, None, at(5)), Finding::Pending, "a server does not answer");
/// assert_eq!(decide(term, None, at(6)), Finding::Inconclusive);
/// let finding = search.decide(term, Some(at(4)), ClaimRecord::Newer, at(4));
/// assert_eq!(finding, Finding::Pending, "its successor may come back");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnheardOrder {
    term: Term,
    since: Duration,
}

impl UnheardOrder {
    /// Starts the search for a successor of the primary of `term`.
    pub fn new(term: Term, now: Duration) -> UnheardOrder {
        UnheardOrder { term, since: now }
    }

    /// Returns the term of the primary.
    pub fn term(self) -> Term {
        self.term
    }

    /// Returns when the search began.
    pub fn since(self) -> Duration {
        self.since
    }

    /// Decides whether the primary was replaced. `newest` is the newest term that any server has
    /// reported, and `confirmed_at` the time at which all other servers that are listed were asked
    /// and reported that they follow in no newer term than the primary's.
    pub fn decide(
        self,
        newest: Term,
        confirmed_at: Option<Duration>,
        claims: ClaimRecord,
        now: Duration,
    ) -> Finding {
        let is_confirmed = confirmed_at.is_some_and(|asked| asked >= self.since + ORDER_VISIBLE);
        match claims {
            _ if newest > self.term => Finding::Replaced,
            ClaimRecord::Complete if is_confirmed => Finding::NotReplaced,
            ClaimRecord::Incomplete if is_confirmed && now >= self.since + UNCLAIMED_TIMEOUT => {
                Finding::Inconclusive
            }
            _ if now >= self.since + SEARCH_TIMEOUT => Finding::Inconclusive,
            _ => Finding::Pending,
        }
    }
}
