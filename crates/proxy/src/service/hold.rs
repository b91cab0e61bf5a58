//! Changes of primary as a host hears of them: what is held meanwhile, and what counts no more.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::succession::Grant;
use flamingopost_core::term::Term;

use super::{ResolvedServer, Service, State};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{self, Ended};

/// A primary that is about to leave serves until shortly before its successor leads. What it
/// acknowledges within this time before, its successor might not have received: many times the
/// way between zones.
const HANDOVER_MARGIN: Duration = Duration::from_millis(60);

/// How long nothing is sent to a primary that is being replaced, if no successor shows.
const SUCCESSOR_HOLD: Duration = Duration::from_millis(1_600);

/// The newest replacement of a primary that a host has heard of.
#[derive(Debug)]
pub(super) struct Replacement {
    /// The newest term that was known when it was ordered; no primary of that term or one before
    /// is relied on any more.
    ended_term: Term,
    /// Token of the order.
    token: u64,
    successor: peer::Server,
    /// How far that one had received the log, by its own word.
    successor_position: Position,
    /// From when on nothing is sent to the primary.
    hold_from: Duration,
    /// From when on nothing that it answers counts.
    ignore_from: Duration,
    heard_at: Duration,
}

impl Replacement {
    /// The server that was ordered to lead.
    pub(super) fn successor(&self) -> &peer::Server {
        &self.successor
    }
}

/// Where a server's log was when it was ordered to lead. Kept for each server, since later orders name
/// others.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct PromotionRecord {
    /// The newest term that was known then.
    previous_term: Term,
    /// How far the server had received the log, by its own word.
    received: Position,
}

impl PromotionRecord {
    /// Whether the server was ordered to lead `term` without a log: no other had one.
    pub(super) fn was_empty(&self, term: Term) -> bool {
        term.number() == self.previous_term.number() + 1 && self.received.log == 0
    }

    /// Whether a log that reaches `position` cannot be that of the server in the term that it was
    /// ordered to lead: it had received more before, and numbers go on across terms.
    pub(super) fn is_behind_promotion(&self, position: Position) -> bool {
        let ordered = position.term.number() == self.previous_term.number() + 1;
        ordered && position.log > 0 && position.log <= self.received.log
    }
}

impl<C: Codec> State<C> {
    /// Whether another server is believed to lead a term that is not over.
    fn has_successor(&self, server: ServerKey) -> bool {
        let leader = self.dispatch.leader().filter(|leader| *leader != server);
        leader.is_some_and(|leader| !self.leader.is_over(leader))
    }

    /// What needs the primary waits for its successor from `from` on, and no longer than `until`.
    ///
    /// What is held for the check of the primary goes on being held, reads of some age as well: a host that is
    /// told of an order before the check would otherwise read at a primary that may have lost its log.
    fn hold_for_successor(&mut self, from: Duration, until: Duration, now: Duration) {
        let unchecked = self.check_hold.take().filter(|it| now < it.until);
        let from = unchecked.map_or(from, |unchecked| unchecked.from);
        let hold = dispatch::Hold { from, until };
        match unchecked {
            Some(_) => self.dispatch.hold_with_reads(hold),
            None => self.dispatch.hold(hold),
        }
        self.successor_hold = Some(hold);
    }

    fn record_term_start(&mut self, start: &peer::TermStart) {
        let promotion = self.promotions.entry(start.server.clone()).or_default();
        if promotion.previous_term <= start.before() {
            *promotion = PromotionRecord {
                previous_term: start.before(),
                received: start.had(),
            };
        }
    }
}

impl<C: Codec> Service<C> {
    /// Another host says where a term began.
    pub fn record_term_start(&self, start: &peer::TermStart) {
        self.state.borrow_mut().record_term_start(start);
    }

    /// Where the newest term began that was ordered, as far as is known.
    pub fn newest_term_start(&self) -> Option<peer::TermStart> {
        let state = self.state.borrow();
        let newest = state
            .promotions
            .iter()
            .max_by_key(|(_, it)| it.previous_term);
        newest.map(|(id, it)| peer::TermStart::new(id.clone(), it.previous_term, it.received))
    }

    /// For how long a primary still serves whose successor is ordered now, if it is alive and about
    /// to leave: no longer where another order may be out.
    pub fn remaining_service_time(&self) -> Duration {
        match self.state.borrow().successor_hold {
            Some(_) => Duration::ZERO,
            None => self.site.promotion().saturating_sub(HANDOVER_MARGIN),
        }
    }

    /// The primary's successor may be ordered without this host's knowledge: what needs the primary is held
    /// until a server is seen to lead.
    pub fn hold_for_unknown_order(&self) {
        let from = self.site.now();
        let mut state = self.state.borrow_mut();
        if state.successor_hold.is_some() {
            return;
        }
        state.orders.heard();
        state.hold_for_successor(from, from + SUCCESSOR_HOLD, from);
    }

    /// The primary is being replaced, as `ended` says; whether that is news.
    ///
    /// Statements that need it are held for its successor. From then on no server is relied on that
    /// leads the term that has ended, however well it looks: the order may be carried out late.
    pub fn end_term(&self, ended: &Ended) -> bool {
        let now = self.site.now();
        let successor = self.resolve_listed(&ended.successor);
        let mut state = self.state.borrow_mut();
        let replacement = state.replacement.as_ref();
        if replacement.is_some_and(|it| (it.ended_term, it.token) >= (ended.term(), ended.token)) {
            return false;
        }
        let serves = ended.serves();
        let hold_from = now + serves;
        let ignore_from = match serves.is_zero() {
            true => now,
            false => hold_from + HANDOVER_MARGIN,
        };
        state.replacement = Some(Replacement {
            ended_term: ended.term(),
            token: ended.token,
            successor: ended.successor.clone(),
            successor_position: ended.had(),
            hold_from,
            ignore_from,
            heard_at: now,
        });
        let id = ended.successor.id.clone();
        state.record_term_start(&peer::TermStart::new(id, ended.term(), ended.had()));
        state.leader.end(ended.term(), successor);
        let leads = state.dispatch.leader();
        let is_done = state.vouch.term() > ended.term() || leads.is_some() && leads == successor;
        if is_done {
            return true;
        }
        state.hold_for_successor(hold_from, now + SUCCESSOR_HOLD, now);
        true
    }

    /// The newest replacement of the primary, for hosts that may not have heard of it, if this host
    /// has heard of it within `age`.
    pub fn recent_replacement(&self, age: Duration) -> Option<Ended> {
        let now = self.site.now();
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref()?;
        let serves = replacement.hold_from.saturating_sub(now);
        (now <= replacement.heard_at + age).then(|| {
            let successor = (
                replacement.successor.clone(),
                replacement.successor_position,
            );
            Ended::new(
                self.name.clone(),
                replacement.ended_term,
                replacement.token,
                successor,
                serves,
            )
        })
    }

    /// The store has answered what was sent at `sent`: nobody has claimed to replace the primary.
    pub fn record_no_claims(&self, sent: Duration) {
        self.state.borrow_mut().store_lease.asked(sent);
    }

    /// Whether this host may rely on the primary for what the store has said.
    pub fn holds_store_lease(&self) -> bool {
        let now = self.site.now();
        self.state.borrow().store_lease.holds_lease(now)
    }

    /// The newest token under which an order for the service was given, as far as is known.
    pub fn newest_order(&self) -> Option<Grant> {
        let state = self.state.borrow();
        state
            .replacement
            .as_ref()
            .map(|replacement| Grant(replacement.token))
    }

    /// Whether what `server` answers as a primary does not count: its term is over.
    ///
    /// Guards against a replaced primary that goes on leading its own term: its answers look like
    /// those of a primary. The position in them does not tell, since a server that has just been
    /// promoted shows one of the old term until it has caught up with its own log. A primary that is
    /// about to leave may serve on for a while; its successor may lead before that is over, by an order
    /// that this host has not heard of.
    pub fn is_superseded(&self, server: ServerKey) -> bool {
        let now = self.site.now();
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref();
        let replaced = replacement.is_some_and(|replacement| now >= replacement.ignore_from);
        let succeeded = state.has_successor(server);
        let led = state.leader.term_led(server);
        state.leader.is_over(server) && (replaced || succeeded || led < state.vouch.term())
    }

    /// A write was acknowledged; it is logged if the primary is being replaced meanwhile.
    pub fn record_acknowledgement(&self, id: &[u8], position: Option<Position>) {
        let now = self.site.now();
        let hold = self.state.borrow().successor_hold;
        if hold.is_none_or(|hold| now < hold.from) {
            return;
        }
        self.site.log(&Event::AcknowledgedDuring {
            service: self.name.clone(),
            id: String::from_utf8_lossy(id).into_owned(),
            position: position.map_or_else(|| "-".to_owned(), |it| it.to_string()),
        });
    }

    /// Notes the end of a hold whose time is over.
    pub(super) fn tick_hold(self: &Rc<Self>, now: Duration) {
        let hold = self.state.borrow().successor_hold;
        if hold.is_some_and(|hold| now >= hold.until) {
            self.end_hold("its time is over");
            self.disown_primary();
        }
    }

    /// No successor has shown. The old primary is not relied on again all the same: the order may
    /// still be carried out. With nobody left that leads, hosts look for the successor and order
    /// one again.
    fn disown_primary(self: &Rc<Self>) {
        self.state.borrow_mut().leader.disown();
        self.refresh_leader();
    }

    fn resolve_listed(&self, server: &peer::Server) -> Option<ServerKey> {
        match self.resolve_server(server) {
            ResolvedServer::Listed(server) => Some(server),
            ResolvedServer::Former | ResolvedServer::Newer | ResolvedServer::Unknown => None,
        }
    }

    /// Notes that statements for the primary are held no longer, and `why`.
    pub(super) fn end_hold(&self, why: &'static str) {
        let Some(hold) = self.state.borrow_mut().successor_hold.take() else {
            return;
        };
        self.site.log(&Event::HoldEnded {
            service: self.name.clone(),
            why,
            millis: self.site.now().saturating_sub(hold.from).as_millis(),
        });
    }
}
