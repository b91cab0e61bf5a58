//! PriorOrders that were given before a host started.

use crate::term::Term;

/// Whether a service's primary may be about to be replaced by an order that this host has not heard of.
///
/// Hosts tell each other of an order as it is given. One that starts between an order and its effect hears
/// of it from hosts that ran then; where all have started since, only the claim in the store tells.
///
/// ```
/// use flamingopost_core::succession::PriorOrders;
/// use flamingopost_core::term::Term;
///
/// let mut orders = PriorOrders::default();
/// let (first, second) = (Term::from_number(1), Term::from_number(2));
/// assert!(orders.may_replace(first));
/// orders.record_claim(Some(first));
/// assert!(orders.may_replace(first), "its change is claimed");
/// assert!(!orders.may_replace(second), "the change has taken effect");
/// orders.record_complete();
/// assert!(!orders.may_replace(first));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum PriorOrders {
    /// This host has just started and asked nobody.
    #[default]
    Unknown,
    /// The same; the newest claim in the store is on the change of the primary of this term.
    Claimed(Term),
    /// None that this host has not heard of.
    AllKnown,
}

impl PriorOrders {
    /// `newest` is the newest term for the change of whose primary the store has a claim.
    pub fn record_claim(&mut self, newest: Option<Term>) {
        if *self == PriorOrders::Unknown {
            *self = newest.map_or(PriorOrders::AllKnown, PriorOrders::Claimed);
        }
    }

    /// A host that would know of an order has told what it knows, or any order has taken effect.
    pub fn record_complete(&mut self) {
        *self = PriorOrders::AllKnown;
    }

    /// Whether the primary of `term` may be about to be replaced.
    pub fn may_replace(self, term: Term) -> bool {
        match self {
            PriorOrders::Unknown => true,
            PriorOrders::Claimed(claimed) => term <= claimed,
            PriorOrders::AllKnown => false,
        }
    }
}
