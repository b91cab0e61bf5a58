//! The primary while this host does not know whether a successor was ordered before it started.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::succession::{ClaimRecord, Finding, UnheardOrder};
use flamingopost_core::term::Term;

use super::{Service, State};
use crate::codec::Codec;

/// End of the hold during a search, which is not limited in time.
const SEARCH_HOLD_END: Duration = Duration::MAX;

impl<C: Codec> Service<C> {
    /// Holds what needs `server`, the primary of `term`, and starts the search for an order that
    /// replaced it. Returns `None` if that search is already going on, or if the term was announced
    /// to end: the primary is then given up unless its successor appears in time.
    pub fn start_search(&self, server: ServerKey, term: Term) -> Option<UnheardOrder> {
        if self.state.borrow().leader.is_term_ended(server) {
            self.hold_for_unknown_order();
            return None;
        }
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let current = state.unheard_order.filter(|it| it.term() >= term);
        let search = current.unwrap_or(UnheardOrder::new(term, now));
        state.unheard_order = Some(search);
        // Only the result of the search ends the hold. After a pause of the process, a hold of
        // limited length would be over before the search has concluded.
        state.hold_for_successor(now, SEARCH_HOLD_END);
        current.is_none().then_some(search)
    }

    /// Evaluates what `search` has found so far on the primary `server`, and ends it once that is
    /// conclusive. Returns `None` if the search has ended otherwise: `server` is not the primary of
    /// that term any more, or its successor was ordered meanwhile.
    pub fn conclude_search(
        self: &Rc<Self>,
        search: UnheardOrder,
        server: ServerKey,
        confirmed_at: Option<Duration>,
        claims: ClaimRecord,
    ) -> Option<Finding> {
        let now = self.site.now();
        if !self.state.borrow().is_searched(search, server) {
            self.abandon_search(search);
            return None;
        }
        let state = self.state.borrow();
        let finding = state.evaluate(search, confirmed_at, claims, now);
        drop(state);
        match finding {
            Finding::Pending | Finding::Inconclusive => {}
            Finding::NotReplaced => self.keep_primary(search),
            Finding::Replaced => self.give_up_primary(search),
        }
        Some(finding)
    }

    /// Ends a search whose result does not matter any more. The next primary is checked anew.
    fn abandon_search(self: &Rc<Self>, search: UnheardOrder) {
        let ends_hold = {
            let mut state = self.state.borrow_mut();
            if state.unheard_order != Some(search) {
                return;
            }
            state.unheard_order = None;
            // The hold for a successor that was ordered meanwhile has replaced that of the search.
            state
                .successor_hold
                .is_some_and(|hold| hold.until == SEARCH_HOLD_END)
        };
        if ends_hold {
            self.end_hold("another primary is checked");
        }
    }

    /// Relies on the primary after no successor was found, unless it still has to be checked for its
    /// log.
    pub fn keep_primary(self: &Rc<Self>, search: UnheardOrder) {
        let now = self.site.now();
        {
            let mut state = self.state.borrow_mut();
            // A search for the term that an order has begun is over as well.
            if state
                .unheard_order
                .is_none_or(|it| it.term() < search.term())
            {
                return;
            }
            state.unheard_order = None;
            state.prior_orders.record_complete();
            state.recheck_leader(now);
        }
        self.end_hold("no server follows a newer primary");
        self.failover_notify.notify_one();
    }

    /// Reports whether there is a primary, and this host knows of every order to replace it.
    pub fn knows_prior_orders(&self) -> bool {
        let state = self.state.borrow();
        let has_primary = state.dispatch.leader().is_some();
        has_primary && !state.may_be_replaced(state.freshness.term())
    }

    /// Stops relying on the primary. The hosts look for its successor, and order one if there is
    /// none.
    fn give_up_primary(self: &Rc<Self>, search: UnheardOrder) {
        {
            let mut state = self.state.borrow_mut();
            if state.unheard_order != Some(search) {
                return;
            }
            state.unheard_order = None;
            state.prior_orders.record_complete();
            let newest = state.leader.newest_term();
            state.freshness.record_term(newest);
            state.leader.record_order(search.term(), None);
            state.leader.give_up_ended_terms();
        }
        self.end_hold("another server was seen to lead a newer term");
        self.refresh_leader();
    }
}

impl<C: Codec> State<C> {
    /// Reports whether an order that this host does not know may replace the primary of `term`. It
    /// does not if the primary leads by the newest order that this host has heard of.
    pub(super) fn may_be_replaced(&self, term: Term) -> bool {
        self.prior_orders.may_replace(term) && !self.leads_as_ordered()
    }

    /// Reports whether the believed primary is the successor that was ordered last, and leads.
    fn leads_as_ordered(&self) -> bool {
        let (Some(leader), Some(order)) = (self.dispatch.leader(), &self.replacement) else {
            return false;
        };
        self.is_same_start(leader, order.successor())
            && self.leader.term_led(leader) > order.ended_term()
    }

    /// Reports whether `search` still concerns the believed primary, `server`.
    fn is_searched(&self, search: UnheardOrder, server: ServerKey) -> bool {
        self.unheard_order == Some(search)
            && self.dispatch.leader() == Some(server)
            && self.leader.term_led(server) <= search.term()
            && !self.leader.is_term_ended(server)
    }

    fn evaluate(
        &self,
        search: UnheardOrder,
        confirmed_at: Option<Duration>,
        claims: ClaimRecord,
        now: Duration,
    ) -> Finding {
        let term = search.term();
        // Another host or the store has told meanwhile.
        if !self.may_be_replaced(term) {
            return Finding::NotReplaced;
        }
        let claims = match self.prior_orders.shows_newer_term(term) {
            true => ClaimRecord::Newer,
            false => claims,
        };
        search.decide(self.leader.newest_term(), confirmed_at, claims, now)
    }
}
