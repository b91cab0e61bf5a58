//! Use of a primary while an order to replace it may be in transit that no running host has given.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::quorum::Handover;
use flamingopost_core::succession::LATE_EXECUTION_WINDOW;
use flamingopost_core::term::Term;

use super::{Service, State};
use crate::codec::Codec;
use crate::event::Event;

/// An order that a claim in the store names, and that the platform may still carry out.
///
/// Until it can no longer be, each use of the primary rests on an answer of the server that it names, as
/// with a leaving primary and its successor: a read on one that was asked for after the read arrived, and
/// the acknowledgement of a commit on one that shows the commit in that server's log.
#[derive(Debug)]
pub(super) struct OpenOrder {
    /// The term whose primary is to be replaced.
    term: Term,
    /// Id of the server that is to succeed it.
    successor: String,
    pub(super) handover: Handover,
    /// When it can no longer be carried out.
    until: Duration,
    /// Whether the primary of that term was seen to lead on.
    is_of_primary: bool,
    /// Whether the server does not answer. One that does not run is not promoted.
    is_unreachable: bool,
}

impl<C: Codec> State<C> {
    /// Returns the open order that binds uses of `server`, if there is one.
    pub(super) fn binding(&self, server: ServerKey) -> Option<&OpenOrder> {
        let order = self.open_order.as_ref()?;
        let entry = self.servers.get(&server)?;
        let is_past = self.freshness.term() > order.term && !order.is_of_primary;
        let binds = !is_past && !order.is_unreachable && entry.target.id != order.successor;
        binds.then_some(order)
    }
}

impl<C: Codec> Service<C> {
    /// Binds uses of the primary of `term` to the server with id `successor`, which a claim in the store
    /// names. Returns whether that is new.
    pub fn bind_to_order(&self, term: Term, successor: &str) -> bool {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let is_over = state.freshness.term() > term;
        if is_over || state.open_order.as_ref().is_some_and(|it| it.term >= term) {
            return false;
        }
        state.open_order = Some(OpenOrder {
            term,
            successor: successor.to_owned(),
            handover: Handover::default(),
            until: now + LATE_EXECUTION_WINDOW,
            is_of_primary: false,
            is_unreachable: false,
        });
        drop(state);
        self.site.log(&Event::OrderOpen {
            service: self.name.clone(),
            server: successor.to_owned(),
            term: term.number(),
        });
        true
    }

    /// Returns the server that an open order names, if it is listed.
    pub fn open_successor(&self) -> Option<ServerKey> {
        let id = {
            let state = self.state.borrow();
            state.open_order.as_ref()?.successor.clone()
        };
        self.find_server(&id)
    }

    /// Reports whether an order may be carried out that no running host has given.
    pub fn is_bound(&self) -> bool {
        self.state.borrow().open_order.is_some()
    }

    /// Reports whether uses of `server` rest on the server that an open order names.
    pub fn is_bound_at(&self, server: ServerKey) -> bool {
        self.state.borrow().binding(server).is_some()
    }

    /// Records that the server named by the open order, asked at `asked`, follows and has received the log
    /// up to `received`.
    pub fn record_open_follower(&self, asked: Duration, received: Position) {
        if let Some(order) = &mut self.state.borrow_mut().open_order {
            order.is_unreachable = false;
            order.handover.record_follower(asked, received);
        }
        self.handover_answered.notify_waiters();
    }

    /// Records that the server named by the open order does not answer.
    pub fn record_open_silence(&self) {
        if let Some(order) = &mut self.state.borrow_mut().open_order {
            order.is_unreachable = true;
        }
        self.handover_answered.notify_waiters();
    }

    /// Records that the server named by the open order leads: the order was carried out.
    pub fn record_order_carried_out(self: &Rc<Self>) {
        if let Some(order) = &mut self.state.borrow_mut().open_order {
            order.handover.record_lead();
        }
        self.handover_answered.notify_waiters();
        self.refresh_leader();
        self.state.borrow_mut().open_order = None;
    }

    /// Ends the binding once the order can no longer be carried out. Returns whether it has ended now. A
    /// claim on the primary of an earlier term tells of a change that has taken place.
    pub fn take_expired_binding(&self) -> bool {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let led = state.dispatch.leader().map(|it| state.leader.term_led(it));
        let newest = state.freshness.term();
        let Some(order) = &mut state.open_order else {
            return false;
        };
        order.is_of_primary |= led == Some(order.term);
        let is_past = newest > order.term && !order.is_of_primary;
        let is_expired = now >= order.until;
        if is_past || is_expired {
            state.open_order = None;
        }
        is_expired && !is_past
    }
}
