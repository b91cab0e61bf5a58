//! Orders to replace a primary that were given before this host started.

use crate::term::Term;

/// Tracks whether a service's primary may be about to be replaced by an order that this host does
/// not know.
///
/// Hosts notify each other of an order when it is given. A host that starts between an order and
/// its effect learns of it from hosts that were running then. When all hosts have started since,
/// only the claim in the store shows it.
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
/// assert!(!orders.shows_newer_term(first));
/// orders.record_complete();
/// assert!(!orders.may_replace(first));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum PriorOrders {
    /// This host has just started and has asked neither other hosts nor the store.
    #[default]
    Unknown,
    /// As [`PriorOrders::Unknown`], except that the newest claim in the store is on replacing the
    /// primary of this term.
    Claimed(Term),
    /// This host knows all orders.
    AllKnown,
}

impl PriorOrders {
    /// Records the claims in the store: `newest` is the newest term whose primary some host has
    /// claimed to replace.
    pub fn record_claim(&mut self, newest: Option<Term>) {
        if *self == PriorOrders::Unknown {
            *self = newest.map_or(PriorOrders::AllKnown, PriorOrders::Claimed);
        }
    }

    /// Records that this host knows all orders: a host that was running before has answered, or
    /// some order has taken effect.
    pub fn record_complete(&mut self) {
        *self = PriorOrders::AllKnown;
    }

    /// Reports whether the store's claims show that a term after `term` has begun: some host has
    /// claimed to replace the primary of that one.
    pub fn shows_newer_term(self, term: Term) -> bool {
        match self {
            PriorOrders::Claimed(claimed) => term < claimed,
            PriorOrders::Unknown | PriorOrders::AllKnown => false,
        }
    }

    /// Reports whether the primary of `term` may be about to be replaced.
    pub fn may_replace(self, term: Term) -> bool {
        match self {
            PriorOrders::Unknown => true,
            PriorOrders::Claimed(claimed) => term <= claimed,
            PriorOrders::AllKnown => false,
        }
    }
}
