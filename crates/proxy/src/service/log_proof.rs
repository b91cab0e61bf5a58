//! Verification that a primary without writes in its term has a log.
//!
//! A primary shows only the start of its term until something is written in it, and so does one
//! that has lost its log since then. Hosts that are already running detect the loss because their
//! connections break. Hosts that have started since then ask the primary whether it holds the first
//! entry, which is in every log that is not empty.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::ServerState;
use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::position::Position;
use flamingopost_core::succession::PriorOrders;
use flamingopost_core::term::Term;

use super::{ServerEntry, Service, State};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::peer;

/// Evidence that a host still needs before it believes a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingEvidence {
    /// None.
    Nothing,
    /// Whether a successor was ordered before this host started.
    Orders,
    /// Whether anything was ever written: no server that could show it can be reached.
    Record,
    /// Whether the primary's log is empty: something has been written to the service.
    Proof,
    /// Where the primary's term began: an older term has reached the number of its last write.
    TermStart,
}

impl<C: Codec> Service<C> {
    /// Returns the evidence needed before `server`, which reports `status`, is believed to lead.
    pub fn missing_evidence(&self, server: ServerKey, status: &Status) -> MissingEvidence {
        let state = self.state.borrow();
        match state.leader.primary() == Some(server) && status.role == Role::Primary {
            true => state.missing_evidence(status.received),
            false => MissingEvidence::Nothing,
        }
    }

    /// Returns the evidence about its log needed before `server`, which reports `status`, is
    /// believed to lead.
    pub fn missing_log_evidence(&self, server: ServerKey, status: &Status) -> MissingEvidence {
        let state = self.state.borrow();
        match state.leader.primary() == Some(server) && status.role == Role::Primary {
            true => state.missing_log_evidence(status.received),
            false => MissingEvidence::Nothing,
        }
    }

    /// Records that a primary of the newest term has written nothing in it, if `status`, which it was
    /// asked for at `sent`, shows that: its log ends with an entry of an older term, from where its own term begins. Returns whether that is
    /// the case.
    ///
    /// Guards against a successor that is taken for a server without its log, because it lacks what its
    /// promotion has rolled back. Two replicas were ordered in turn, 18 times in 3 s, while callers only
    /// read. A server that has lost its log shows no entry.
    pub(super) fn record_older_log(
        &self,
        server: ServerKey,
        status: &Status,
        sent: Duration,
    ) -> bool {
        let received = status.received;
        let mut state = self.state.borrow_mut();
        let is_newest = status.role == Role::Primary && status.term >= state.freshness.term();
        if !is_newest || received.log == 0 || received.term >= status.term {
            return false;
        }
        let Some(entry) = state.servers.get(&server) else {
            return false;
        };
        let (id, was_empty) = (entry.target.id.clone(), entry.found_empty);
        let before = status.term.predecessor();
        state.record_term_start(&peer::TermStart::new(id, before, received));
        if !was_empty {
            state.leader.trust(server);
        }
        state.record_checked_position(server, received, sent);
        true
    }

    /// Records that this host has received all promotion orders known to a host that would know of
    /// one.
    pub fn record_orders_known(&self) {
        let mut state = self.state.borrow_mut();
        if state.prior_orders == PriorOrders::AllKnown {
            return;
        }
        state.prior_orders.record_complete();
        state.recheck_leader(self.site.now());
        self.failover_notify.notify_one();
    }

    /// Forgets which orders are known, so that the primary is checked anew before it is used.
    pub fn forget_prior_orders(&self) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        state.prior_orders = PriorOrders::default();
        state.require_check(now);
        drop(state);
        self.require_tick();
        self.failover_notify.notify_one();
    }

    /// Records the newest term for which the store has a claim to replace the primary, if any.
    pub fn record_claims(&self, newest: Option<Term>) {
        let mut state = self.state.borrow_mut();
        if state.prior_orders != PriorOrders::Unknown {
            return;
        }
        state.prior_orders.record_claim(newest);
        state.recheck_leader(self.site.now());
        self.failover_notify.notify_one();
    }

    /// Reports whether this host knows of any write to the service.
    pub fn is_written(&self) -> bool {
        self.state.borrow().log_extent.is_written()
    }

    /// Reports whether any server has shown a log entry.
    pub fn has_seen_entries(&self) -> bool {
        self.state.borrow().log_extent.has_position()
    }

    /// Applies the store's record of whether anything was ever written to the service.
    pub fn apply_store_record(&self, is_written: bool) {
        let mut state = self.state.borrow_mut();
        match is_written {
            true => state.log_extent.record_written(),
            false => state.record_log_checked(self.site.now()),
        }
    }

    /// Records whether the log of `server`, which shows `position`, has any entry, as reported on a
    /// new connection.
    pub(super) fn record_examination(
        self: &Rc<Self>,
        server: ServerKey,
        position: Position,
        has_entries: bool,
    ) {
        let leads = {
            let mut state = self.state.borrow_mut();
            if let Some(entry) = state.servers.get_mut(&server) {
                entry.found_empty = !has_entries;
            }
            state.leader.primary() == Some(server)
        };
        if leads {
            self.record_log_check(server, position, has_entries);
        }
    }

    /// Records whether the log of `server`, which claims to lead at `position`, has any entry. An
    /// empty log tells nothing while it is not known whether the service was written to.
    pub fn record_log_check(
        self: &Rc<Self>,
        server: ServerKey,
        position: Position,
        has_entries: bool,
    ) {
        let was_empty = self.state.borrow().was_promoted_empty(server);
        if has_entries || was_empty {
            let mut state = self.state.borrow_mut();
            state.proven_primary = Some(server);
            if state.dispatch.leader() == Some(server) {
                state.primary_position = Some(position);
                state.record_log_checked(self.site.now());
            }
            return;
        }
        if !self.state.borrow().log_extent.is_written() {
            return;
        }
        let is_seen = {
            let mut state = self.state.borrow_mut();
            state.distrust(server, self.site.now());
            if let Some(entry) = state.servers.get_mut(&server) {
                entry.found_empty = true;
            }
            state.log_extent.has_position()
        };
        self.site.log(&Event::LogEmpty {
            service: self.name.clone(),
            server: self.name_of(Some(server)),
            position,
            evidence: match is_seen {
                true => "other servers have shown entries",
                false => "the store records earlier writes",
            },
        });
        self.refresh_leader();
    }
}

impl<C: Codec> State<C> {
    /// Returns the evidence needed before a primary that shows `position` is believed.
    ///
    /// Guards against the loss of a whole log: all hosts were restarted while the primary had lost
    /// its log in a term without writes. They believed it and wrote to it, and everything
    /// acknowledged before was lost when the other servers followed it.
    ///
    /// Also guards against the loss of writes to a primary whose successor has already been
    /// ordered: all hosts were restarted in the interval between, and the successor had not
    /// received what the primary acknowledged in its last milliseconds.
    ///
    /// A write that another host made on an empty log is no evidence of the log. Where its number
    /// was reached in an older term already, the start of the newer term is needed. Nobody may know
    /// it, so the primary is not replaced for that.
    pub(super) fn missing_evidence(&self, position: Position) -> MissingEvidence {
        if self.may_be_replaced(self.freshness.term().max(position.term)) {
            MissingEvidence::Orders
        } else {
            self.missing_log_evidence(position)
        }
    }

    /// Returns the evidence about its log needed before a primary that shows `position` is
    /// believed.
    fn missing_log_evidence(&self, position: Position) -> MissingEvidence {
        if self.is_contradicted(position) {
            MissingEvidence::TermStart
        } else if position.log > 0 || self.is_log_checked {
            MissingEvidence::Nothing
        } else if self.log_extent.is_written() {
            MissingEvidence::Proof
        } else if self.may_have_unseen_entries() {
            MissingEvidence::Record
        } else {
            MissingEvidence::Nothing
        }
    }

    /// Reports whether the believed primary cannot be shown to have the service's log by
    /// `position`, since older terms have shown more.
    fn is_contradicted(&self, position: Position) -> bool {
        let leader = self.dispatch.leader();
        leader.is_some_and(|leader| self.contradicts_older_terms(leader, position))
    }

    /// Reports whether `server` leads a term that it was ordered to lead with an empty log.
    ///
    /// Guards against a service that never gets a primary again after all its servers have lost
    /// their logs: each promoted server would be found empty and replaced by the next.
    pub(super) fn was_promoted_empty(&self, server: ServerKey) -> bool {
        let Some(entry) = self.servers.get(&server) else {
            return false;
        };
        let promotion = self.promotions.get(&entry.target.id);
        let led = self.leader.term_led(server);
        promotion.is_some_and(|promotion| promotion.was_empty(led))
    }

    /// Reports whether a server that cannot be heard may hold entries that the primary lacks: it is
    /// unreachable, or not contacted because it is leaving, or down and no longer listed, which is
    /// possible if the primary is the only listed server.
    ///
    /// A server that has merely not answered yet is no reason to ask the store: while a whole fleet
    /// starts, that would be one call per host and service.
    fn may_have_unseen_entries(&self) -> bool {
        let mut others = self.others().peekable();
        let is_alone = others.peek().is_none();
        is_alone
            || others
                .any(|(key, entry)| !entry.has_shown_position && self.is_unavailable(key, entry))
    }

    /// Reports whether a server is unreachable or leaving.
    fn is_unavailable(&self, key: ServerKey, entry: &ServerEntry) -> bool {
        let server = self.dispatch.servers().get(&key);
        let leaves = server.is_none_or(|server| server.state == ServerState::Leaving);
        leaves || entry.contact.is_failing()
    }
}
