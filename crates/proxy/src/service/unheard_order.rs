//! The primary while this host does not know whether a successor was ordered before it started.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::succession::{ClaimRecord, Finding, UnheardOrder};
use flamingopost_core::term::Term;

use super::{Service, State};
use crate::codec::Codec;

impl<C: Codec> Service<C> {
    /// Holds what needs the primary of `term`, and starts the search for an order that replaced it.
    /// Returns `None` if no search is needed, or one is already going on.
    pub fn start_search(self: &Rc<Self>, term: Term) -> Option<UnheardOrder> {
        let now = self.site.now();
        let current = self.state.borrow().unheard_order;
        if let Some(former) = current.filter(|it| it.term() < term) {
            // The order that was searched for has taken effect.
            self.keep_primary(former);
            return None;
        }
        let mut state = self.state.borrow_mut();
        let search = current.unwrap_or(UnheardOrder::new(term, now));
        state.unheard_order = Some(search);
        if state.successor_hold.is_none() {
            // Only the result of the search ends the hold. After a pause of the process, a hold of
            // limited length would be over before the search has concluded.
            state.hold_for_successor(now, Duration::MAX);
        }
        current.is_none().then_some(search)
    }

    /// Evaluates what `search` has found so far, and ends it once that is conclusive.
    pub fn conclude_search(
        self: &Rc<Self>,
        search: UnheardOrder,
        confirmed_at: Option<Duration>,
        claims: ClaimRecord,
    ) -> Finding {
        let now = self.site.now();
        let state = self.state.borrow();
        let finding = state.evaluate(search, confirmed_at, claims, now);
        drop(state);
        match finding {
            Finding::Pending | Finding::Inconclusive => {}
            Finding::NotReplaced => self.keep_primary(search),
            Finding::Replaced => self.give_up_primary(search),
        }
        finding
    }

    /// Relies on the primary after no successor was found, unless it still has to be checked for its
    /// log.
    pub fn keep_primary(self: &Rc<Self>, search: UnheardOrder) {
        let now = self.site.now();
        {
            let mut state = self.state.borrow_mut();
            if state.unheard_order != Some(search) {
                return;
            }
            state.unheard_order = None;
            state.prior_orders.record_complete();
            state.recheck_leader(now);
        }
        self.end_hold("no server follows a newer primary");
        self.failover_notify.notify_one();
    }

    /// Reports whether this host knows of every order to replace the primary, if there is one.
    pub fn knows_prior_orders(&self) -> bool {
        let state = self.state.borrow();
        let has_primary = state.dispatch.leader().is_some();
        let term = state.freshness.term();
        !has_primary || !state.prior_orders.may_replace(term)
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
    fn evaluate(
        &self,
        search: UnheardOrder,
        confirmed_at: Option<Duration>,
        claims: ClaimRecord,
        now: Duration,
    ) -> Finding {
        let term = search.term();
        let leader = self.dispatch.leader();
        let led = leader.map_or(term, |leader| self.leader.term_led(leader));
        // Another host or the store has told meanwhile, or a successor leads.
        if !self.prior_orders.may_replace(term) || led > term {
            return Finding::NotReplaced;
        }
        let claims = match self.prior_orders.shows_newer_term(term) {
            true => ClaimRecord::Newer,
            false => claims,
        };
        search.decide(self.leader.newest_term(), confirmed_at, claims, now)
    }
}
