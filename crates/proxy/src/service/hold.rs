//! Replacement of a primary as seen by this host: which statements are held meanwhile, and which
//! answers are ignored.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::quorum::Handover;
use flamingopost_core::succession::FencingToken;
use flamingopost_core::term::Term;

use super::{ResolvedServer, Service, State};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{self, EndedTerm};

/// How long after the last statement was sent to a leaving primary its answers are accepted, and the
/// order waits. Many times the latency between zones. A statement that takes longer is in doubt.
pub const HANDOVER_MARGIN: Duration = Duration::from_millis(60);

/// Longest time that nothing is sent to a primary that is being replaced, if no successor appears.
pub(super) const SUCCESSOR_HOLD: Duration = Duration::from_millis(1_600);

/// A hold is not renewed if that makes it longer by less than this.
const MIN_RENEWAL: Duration = Duration::from_millis(200);

/// The newest replacement of a primary that this host knows of.
#[derive(Debug)]
pub(super) struct Replacement {
    /// The newest term known when the replacement was ordered. No primary of this term or an
    /// earlier one is relied on any more.
    ended_term: Term,
    /// Token of the promotion order.
    pub(super) token: u64,
    successor: peer::Server,
    /// Position up to which the successor reported to have received the log.
    successor_position: Position,
    /// Time from which nothing is sent to the primary.
    pub(super) hold_from: Duration,
    /// Time from which the primary's answers are ignored.
    pub(super) ignore_from: Duration,
    /// What is known of the successor, if the primary is used until it leads.
    pub(super) handover: Option<Handover>,
    /// When this host has learned of it.
    pub(super) learned_at: Duration,
}

impl Replacement {
    /// Creates the record of a replacement that `ended` announces at `now`.
    fn announced(ended: &EndedTerm, now: Duration) -> Replacement {
        let hold_from = now + ended.serves();
        let ignore_from = match ended.serves().is_zero() {
            true => now,
            false => hold_from + HANDOVER_MARGIN,
        };
        Replacement {
            ended_term: ended.term(),
            token: ended.token,
            successor: ended.successor.clone(),
            successor_position: ended.received(),
            hold_from,
            ignore_from,
            handover: None,
            learned_at: now,
        }
    }

    /// Returns the newest term known when the replacement was ordered.
    pub(super) fn ended_term(&self) -> Term {
        self.ended_term
    }

    /// Returns the server that was ordered to become primary.
    pub(super) fn successor(&self) -> &peer::Server {
        &self.successor
    }

    /// Returns for how long hosts that do not watch the successor use the primary.
    fn remaining_service_time(&self, now: Duration) -> Duration {
        match self.handover {
            Some(_) => Duration::ZERO,
            None => self.hold_from.saturating_sub(now),
        }
    }

    /// Reports whether `ended` describes the same order, or an earlier announcement of it.
    pub(super) fn is_of(&self, ended: &EndedTerm) -> bool {
        let own = (self.ended_term, self.token, &self.successor);
        own == (ended.term(), ended.token, &ended.successor)
    }
}

/// Log position of a server when it was ordered to become primary. Kept for each server, since
/// later orders name other servers.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct PromotionRecord {
    /// The newest term known when the promotion was ordered.
    previous_term: Term,
    /// Position up to which the server reported to have received the log.
    received: Position,
}

impl PromotionRecord {
    /// Reports whether the server was ordered to lead `term` with an empty log, because no other
    /// server had a log.
    pub(super) fn was_empty(&self, term: Term) -> bool {
        self.start_of(term) == Some(0)
    }

    /// Returns the number of the last entry that the server had received when it was ordered to
    /// lead `term`, if the order was for that term.
    pub(super) fn start_of(&self, term: Term) -> Option<u64> {
        let is_ordered = term > self.previous_term && term == self.previous_term.successor();
        is_ordered.then_some(self.received.log)
    }

    /// Reports whether a log that ends at `position` cannot be the log of the server in the term
    /// that it was ordered to lead: it had already received more, and log numbers continue across
    /// terms.
    pub(super) fn is_behind_promotion(&self, position: Position) -> bool {
        let start = self.start_of(position.term);
        position.log > 0 && start.is_some_and(|start| position.log <= start)
    }
}

impl<C: Codec> State<C> {
    /// Reports whether another server is the believed primary of a term that has not ended.
    fn has_successor(&self, server: ServerKey) -> bool {
        let leader = self.dispatch.leader().filter(|leader| *leader != server);
        leader.is_some_and(|leader| !self.leader.is_term_ended(leader))
    }

    /// Holds statements for the primary until its successor leads, from `from` until `until` at the
    /// latest.
    ///
    /// Statements that are held for the check of the primary stay held, including bounded-staleness
    /// reads. Otherwise a host that learns of an order before the check would read from a primary
    /// that may have lost its log.
    pub(super) fn hold_for_successor(&mut self, from: Duration, until: Duration) {
        self.successor_hold = Some(dispatch::Hold { from, until });
        self.apply_holds();
    }

    /// Reports whether the believed primary is newly known to lead a term that has not ended.
    ///
    /// Guards against a successor that is believed by its list entry before it has shown its term: it
    /// led before, and the entry was that of its earlier term. Statements were held until the wait for
    /// a successor was over, and the successor was given up like the primary that it has replaced.
    pub(super) fn has_primary_shown_new_term(&mut self) -> bool {
        let leader = self.dispatch.leader();
        let has_ended = self.has_ended(leader);
        let had_ended = std::mem::replace(&mut self.has_primary_ended, has_ended);
        let succeeds = self.is_successor(leader) && self.is_awaited(leader);
        had_ended && succeeds && self.unheard_order.is_none()
    }

    /// Reports whether all terms that `server` is known to lead have ended.
    pub(super) fn has_ended(&self, server: Option<ServerKey>) -> bool {
        server.is_some_and(|server| self.leader.is_term_ended(server))
    }

    /// Holds statements for the primary for as long as its check or its successor requires it.
    ///
    /// Guards against writes to a primary without its log: the hold for an order that this host had
    /// not heard of took the place of the one for the check, and ended first.
    pub(super) fn apply_holds(&mut self) {
        match (self.check_hold, self.successor_hold) {
            (Some(check), Some(successor)) => self.dispatch.hold_with_reads(dispatch::Hold {
                from: check.from.min(successor.from),
                until: check.until.max(successor.until),
            }),
            (Some(check), None) => self.dispatch.hold_with_reads(check),
            (None, Some(successor)) => self.dispatch.hold(successor),
            (None, None) => {
                if let Some(hold) = self.dispatch.current_hold() {
                    self.dispatch.release(hold);
                }
            }
        }
    }

    /// Reports whether statements need not wait for another server than `leader`: no order is awaited, or the
    /// newest one names `leader`.
    ///
    /// Guards against writes at a server that an earlier order has promoted: the newest order is still to be
    /// carried out, and its successor lacks what that server acknowledges until then.
    pub(super) fn is_awaited(&self, leader: Option<ServerKey>) -> bool {
        let Some(awaited) = &self.awaited_successor else {
            return true;
        };
        let entry = leader.and_then(|leader| self.servers.get(&leader));
        entry.is_some_and(|entry| entry.target.id == *awaited)
    }

    fn end_successor_hold(&mut self) -> Option<dispatch::Hold> {
        self.awaited_successor = None;
        let ended = self.successor_hold.take();
        self.apply_holds();
        ended
    }

    pub(super) fn record_term_start(&mut self, start: &peer::TermStart) {
        let promotion = self.promotions.entry(start.server.clone()).or_default();
        if promotion.previous_term <= start.before() {
            *promotion = PromotionRecord {
                previous_term: start.before(),
                received: start.received(),
            };
        }
    }
}

impl<C: Codec> Service<C> {
    /// Records where a term began, as reported by another host.
    pub fn record_term_start(&self, start: &peer::TermStart) {
        let mut state = self.state.borrow_mut();
        state.record_term_start(start);
        state.recheck_leader(self.site.now());
    }

    /// Returns the start of the newest term that was ordered, if known.
    pub fn newest_term_start(&self) -> Option<peer::TermStart> {
        let state = self.state.borrow();
        let newest = state
            .promotions
            .iter()
            .max_by_key(|(_, promotion)| promotion.previous_term);
        newest.map(|(id, last)| peer::TermStart::new(id.clone(), last.previous_term, last.received))
    }

    /// Returns for how long statements are still sent to a primary whose term was announced to end, by
    /// hosts that do not watch its successor.
    pub fn remaining_service_time(&self) -> Duration {
        let now = self.site.now();
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref();
        replacement.map_or(Duration::ZERO, |it| it.remaining_service_time(now))
    }

    /// Reports whether this host knows of the end of a term that `ended` describes, or of a newer
    /// one.
    pub fn knows_end(&self, ended: &EndedTerm) -> bool {
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref();
        replacement.is_some_and(|it| (it.ended_term, it.token) >= (ended.term(), ended.token))
    }

    /// Holds statements for as long after the order that `ended` describes as if it had not been
    /// announced before. Returns whether that is much longer, or another server is awaited.
    pub fn renew_hold(&self, ended: &EndedTerm) -> bool {
        let until = self.site.now() + SUCCESSOR_HOLD;
        let mut state = self.state.borrow_mut();
        let replacement = state.replacement.as_ref();
        let is_newest =
            replacement.is_some_and(|it| (it.ended_term, it.token) == (ended.term(), ended.token));
        let Some(hold) = state.successor_hold.filter(|_| is_newest) else {
            return false;
        };
        let named = Some(ended.successor.id.clone());
        let is_renamed = std::mem::replace(&mut state.awaited_successor, named.clone()) != named;
        let Some(hold) = hold.extended(until, MIN_RENEWAL) else {
            return is_renamed;
        };
        state.hold_for_successor(hold.from, hold.until);
        true
    }

    /// Holds statements for the primary until a server is seen to lead, because its successor may
    /// have been ordered without this host's knowledge.
    pub fn hold_for_unknown_order(&self) {
        let from = self.site.now();
        let mut state = self.state.borrow_mut();
        if state.successor_hold.is_some() {
            return;
        }
        state.hold_for_successor(from, from + SUCCESSOR_HOLD);
        self.require_tick();
    }

    /// Records that the primary is being replaced, as described by `ended`. Returns whether that
    /// was new.
    ///
    /// Statements for the primary are held for its successor. From then on, no server that leads
    /// the ended term is relied on, even if it appears healthy: the order may be carried out late.
    pub fn end_term(&self, ended: &EndedTerm) -> bool {
        let now = self.site.now();
        let successor = self.resolve_listed(&ended.successor);
        let mut state = self.state.borrow_mut();
        let replacement = state.replacement.as_ref();
        // The successor that is ordered may have received more than when the end of the term was
        // announced, or be another server that has.
        let order = (ended.term(), ended.token, ended.received());
        if replacement
            .is_some_and(|known| (known.ended_term, known.token, known.successor_position) >= order)
        {
            return false;
        }
        let handed_over = state
            .replacement
            .take()
            .filter(|known| known.handover.is_some() && known.is_of(ended));
        let is_handed_over = handed_over.is_some();
        state.replacement = Some(match handed_over {
            Some(known) => Replacement {
                successor_position: ended.received(),
                ..known
            },
            None => Replacement::announced(ended, now),
        });
        let id = ended.successor.id.clone();
        state.record_term_start(&peer::TermStart::new(
            id.clone(),
            ended.term(),
            ended.received(),
        ));
        state.leader.record_order(ended.term(), successor);
        let leads = state.dispatch.leader();
        let is_leading = leads.is_some() && leads == successor;
        let is_done = state.freshness.term() > ended.term() || is_leading;
        if state.successor_hold.is_some() || !is_done {
            state.awaited_successor = Some(id);
        }
        if is_done {
            let succeeds = is_leading && state.is_successor(leads) && state.unheard_order.is_none();
            drop(state);
            if succeeds {
                self.end_hold("the ordered server was seen to lead before its order was heard of");
            }
            return true;
        }
        if !is_handed_over {
            state.hold_for_successor(now + ended.serves(), now + SUCCESSOR_HOLD);
        }
        self.require_tick();
        true
    }

    /// Returns the newest replacement of the primary that this host knows of, to inform hosts that
    /// may not know of it.
    pub fn newest_replacement(&self) -> Option<EndedTerm> {
        let now = self.site.now();
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref()?;
        let serves_for = replacement.remaining_service_time(now);
        let successor = (
            replacement.successor.clone(),
            replacement.successor_position,
        );
        Some(EndedTerm::new(
            self.name.clone(),
            replacement.ended_term,
            replacement.token,
            successor,
            serves_for,
        ))
    }

    /// Returns the server that was announced as the successor of the newest term's primary, if any.
    pub fn announced_successor(&self) -> Option<ServerKey> {
        let newest = self.newest_term();
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref();
        let successor = replacement.filter(|it| it.ended_term >= newest)?;
        let successor = successor.successor.clone();
        drop(state);
        self.resolve_listed(&successor)
    }

    /// Records the store's answer to a request sent at `sent`: no host has claimed the right to
    /// replace the primary.
    pub fn record_no_claims(&self, sent: Duration) {
        self.state.borrow_mut().store_lease.renew(sent);
    }

    /// Reports whether this host may rely on the primary because of the store's answer.
    pub fn holds_store_lease(&self) -> bool {
        let now = self.site.now();
        self.state.borrow().store_lease.holds_lease(now)
    }

    /// Returns the newest known token of a promotion order for the service.
    pub fn newest_order(&self) -> Option<FencingToken> {
        let state = self.state.borrow();
        state
            .replacement
            .as_ref()
            .map(|replacement| FencingToken(replacement.token))
    }

    /// Reports whether the answers of `server` as a primary must be ignored because its term has
    /// ended.
    ///
    /// Guards against a replaced primary that continues to lead its own term and whose answers look
    /// like those of a primary. The position in them is no evidence: a server that has just been
    /// promoted shows a position of the old term until it has applied its own log. A primary that
    /// is about to leave may continue to serve for a while; its successor may lead before that
    /// ends, because of an order that this host does not know of.
    pub fn is_superseded(&self, server: ServerKey) -> bool {
        let now = self.site.now();
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref();
        let replaced = replacement.is_some_and(|replacement| now >= replacement.ignore_from);
        let succeeded = state.has_successor(server);
        let led = state.leader.term_led(server);
        state.leader.is_term_ended(server)
            && (replaced || succeeded || led < state.freshness.term())
    }

    /// Logs the acknowledgement of a write if the primary is being replaced.
    pub fn record_acknowledgement(&self, id: &[u8], position: Option<Position>) {
        let now = self.site.now();
        let hold = self.state.borrow().successor_hold;
        if hold.is_none_or(|hold| now < hold.from) {
            return;
        }
        self.site.log(&Event::AcknowledgedDuring {
            service: self.name.clone(),
            id: String::from_utf8_lossy(id).into_owned(),
            position: position.map_or_else(|| "-".to_owned(), |position| position.to_string()),
        });
    }

    /// Ends holds that have expired.
    pub(super) fn tick_hold(self: &Rc<Self>, now: Duration) {
        let check = self.state.borrow().check_hold;
        if let Some(hold) = check.filter(|hold| now >= hold.until) {
            self.state.borrow_mut().end_check_hold();
            if self.leader().is_some() {
                self.log_hold_end(hold, "the primary's log could not be checked in time");
            }
        }
        let hold = self.state.borrow().successor_hold;
        if hold.is_some_and(|hold| now >= hold.until) {
            self.end_hold("no successor appeared in time");
            self.disown_primary();
        }
    }

    /// Stops relying on the old primary after no successor has appeared. It is still not trusted
    /// again, since the order may yet be carried out. Without a primary, the hosts look for the
    /// successor and order a promotion again.
    fn disown_primary(self: &Rc<Self>) {
        self.state.borrow_mut().leader.give_up_ended_terms();
        self.refresh_leader();
    }

    fn resolve_listed(&self, server: &peer::Server) -> Option<ServerKey> {
        match self.resolve_server(server) {
            ResolvedServer::Listed(server) => Some(server),
            ResolvedServer::Former | ResolvedServer::Newer | ResolvedServer::Unknown => None,
        }
    }

    /// Ends the hold on statements for the primary, and logs the reason `why`.
    pub(super) fn end_hold(&self, why: &'static str) {
        let ended = self.state.borrow_mut().end_successor_hold();
        if let Some(hold) = ended {
            self.log_hold_end(hold, why);
        }
    }

    fn log_hold_end(&self, hold: dispatch::Hold, why: &'static str) {
        self.site.log(&Event::HoldEnded {
            service: self.name.clone(),
            why,
            millis: self.site.now().saturating_sub(hold.from).as_millis(),
        });
    }
}
