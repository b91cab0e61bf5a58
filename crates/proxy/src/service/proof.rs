//! Whether a primary that shows no write of its term has a log at all.
//!
//! A primary shows the start of its term until something is written in it, and so does one that has
//! lost its log since. Hosts that run know the difference by their connections, which break. Those that
//! have started since ask it whether it holds the first entry, which every log holds but an empty one.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::{Hold, Standing};
use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::position::Position;
use flamingopost_core::succession::PriorOrders;
use flamingopost_core::term::Term;

use super::{Known, Service, State};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;

/// Longest time that a host which has just started sends nothing to a primary of which it has to find
/// out whether its log is empty: a call to the store and some questions to a busy server.
const PROOF: Duration = Duration::from_secs(1);

/// What a host has to find out before it believes a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// Nothing.
    Nothing,
    /// Whether its successor was ordered before this host started.
    Orders,
    /// Whether anything was ever written: no server that could show it is heard.
    Record,
    /// Whether its log is empty: something was written at some time.
    Proof,
}

impl<C: Codec> Service<C> {
    /// What has to be found out before `server` is believed to lead, which says `status`.
    pub fn missing(&self, server: ServerKey, status: &Status) -> Missing {
        let state = self.state.borrow();
        match state.leader.primary() == Some(server) && status.role == Role::Primary {
            true => state.missing(status.received),
            false => Missing::Nothing,
        }
    }

    /// A host that would know of an order has told this one what it knows.
    pub fn told_of_orders(&self) {
        let mut state = self.state.borrow_mut();
        if state.orders == PriorOrders::AllKnown {
            return;
        }
        state.orders.record_complete();
        state.weigh_again(self.site.now());
        self.alarm.notify_one();
    }

    /// The newest term for the change of whose primary the store has a claim, if any.
    pub fn told_of_claims(&self, newest: Option<Term>) {
        let mut state = self.state.borrow_mut();
        if state.orders != PriorOrders::Unknown {
            return;
        }
        state.orders.record_claim(newest);
        state.weigh_again(self.site.now());
        self.alarm.notify_one();
    }

    /// Whether some server was seen to hold anything.
    pub fn is_seen(&self) -> bool {
        self.state.borrow().extent.has_position()
    }

    /// The store's record says whether something was ever written.
    pub fn recorded(&self, is_written: bool) {
        let mut state = self.state.borrow_mut();
        match is_written {
            true => state.extent.record_written(),
            false => state.end_check(),
        }
    }

    /// `server` was asked on a new connection whether its log holds anything, which shows `position`.
    pub(super) fn examined(
        self: &Rc<Self>,
        server: ServerKey,
        position: Position,
        has_entries: bool,
    ) {
        let leads = {
            let mut state = self.state.borrow_mut();
            if let Some(known) = state.servers.get_mut(&server) {
                known.blank = !has_entries;
            }
            state.leader.primary() == Some(server)
        };
        if leads {
            self.proved(server, position, has_entries);
        }
    }

    /// `server`, which claims to lead at `position`, was asked whether its log holds anything.
    pub fn proved(self: &Rc<Self>, server: ServerKey, position: Position, has_entries: bool) {
        let was_empty = self.state.borrow().was_ordered_empty(server);
        if has_entries || was_empty {
            let mut state = self.state.borrow_mut();
            state.proved = Some(server);
            if state.missing(position) != Missing::Orders {
                state.end_check();
            }
            return;
        }
        let is_seen = {
            let mut state = self.state.borrow_mut();
            state.distrust(server, self.site.now());
            state.extent.has_position()
        };
        self.site.log(&Event::LogEmpty {
            service: self.name.clone(),
            server: self.name_of(Some(server)),
            position,
            evidence: match is_seen {
                true => "other servers have shown entries",
                false => "the store's record says that it was written to",
            },
        });
        self.refresh();
    }
}

impl<C: Codec> State<C> {
    /// What has to be found out before a primary is believed that shows `position`.
    ///
    /// Guards against the loss of a whole log: all hosts started anew beside a primary that had lost its
    /// log in a term without writes, believed it and wrote to it; all that had been acknowledged before was
    /// gone when the others followed it.
    ///
    /// And against the loss of what is written to a primary whose successor is ordered already: all hosts
    /// started anew in the time between, and what the primary acknowledged in its last milliseconds its
    /// successor had not received.
    pub(super) fn missing(&self, position: Position) -> Missing {
        if self
            .orders
            .may_replace(self.vouch.term().max(position.term))
        {
            Missing::Orders
        } else if position.log > 0 {
            Missing::Nothing
        } else if self.extent.is_written() {
            Missing::Proof
        } else if self.lacks_witness() {
            Missing::Record
        } else {
            Missing::Nothing
        }
    }

    /// Whether `server` leads a term that it was ordered to lead without a log.
    ///
    /// Guards against a service without a primary for good where all servers have lost their logs: each one that
    /// is ordered would be found empty and replaced by the next.
    pub(super) fn was_ordered_empty(&self, server: ServerKey) -> bool {
        let Some(known) = self.servers.get(&server) else {
            return false;
        };
        let ordered = self.ordered.get(&known.target.id);
        let led = self.leader.term_led(server);
        ordered.is_some_and(|ordered| ordered.was_empty(led))
    }

    /// Whether a server that is not heard may hold what the primary lacks: it cannot be reached, or is not
    /// tried since it leaves, or is down and no longer listed, as may be where the primary is the only one.
    ///
    /// One that has only not answered yet is no reason to ask the store: while a whole fleet starts, that
    /// would be a call for each host and service.
    fn lacks_witness(&self) -> bool {
        let mut others = self.others().peekable();
        let is_alone = others.peek().is_none();
        is_alone || others.any(|(key, known)| !known.shown && self.is_unheard(key, known))
    }

    /// Whether nothing is heard of a server: it cannot be reached, or it leaves.
    fn is_unheard(&self, key: ServerKey, known: &Known) -> bool {
        let server = self.dispatch.servers().get(&key);
        let leaves = server.is_none_or(|server| server.standing == Standing::Leaving);
        leaves || known.contact.is_failing()
    }

    /// What needs a primary that this host did not expect waits until it is known to have a log.
    pub(super) fn wait_for_proof(&mut self, now: Duration) {
        let Some(hold) = self.unchecked else {
            return;
        };
        let until = hold.until.max(now + PROOF);
        let longer = Hold { until, ..hold };
        self.unchecked = Some(longer);
        if self.dispatch.held() == Some(hold) {
            self.dispatch.hold_with_reads(longer);
        }
    }
}
