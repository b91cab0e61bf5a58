//! Changes of primary as a host hears of them: what is held meanwhile, and what counts no more.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::succession::FencingToken;
use flamingopost_core::term::Term;

use super::{Meant, Service, State};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{self, Ended};

/// A primary that is about to leave serves until shortly before its successor leads. What it
/// acknowledges within this time before, its successor might not have received: many times the
/// way between zones.
const HANDOVER: Duration = Duration::from_millis(60);

/// How long nothing is sent to a primary that is being replaced, if no successor shows.
const HOLD: Duration = Duration::from_millis(1_600);

/// The newest replacement of a primary that a host has heard of.
#[derive(Debug)]
pub(super) struct Replacement {
    /// The newest term that was known when it was ordered; no primary of that term or one before
    /// is relied on any more.
    term: Term,
    /// Token of the order.
    token: u64,
    successor: peer::Server,
    /// How far that one had received the log, by its own word.
    had: Position,
    /// From when on nothing is sent to the primary.
    from: Duration,
    /// From when on nothing that it answers counts.
    over: Duration,
    heard: Duration,
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
pub(super) struct Ordered {
    /// The newest term that was known then.
    before: Term,
    /// How far the server had received the log, by its own word.
    had: Position,
}

impl Ordered {
    /// Whether the server was ordered to lead `term` without a log: no other had one.
    pub(super) fn was_empty(&self, term: Term) -> bool {
        term.number() == self.before.number() + 1 && self.had.log == 0
    }

    /// Whether a log that reaches `position` cannot be that of the server in the term that it was
    /// ordered to lead: it had received more before, and numbers go on across terms.
    pub(super) fn is_short(&self, position: Position) -> bool {
        let ordered = position.term.number() == self.before.number() + 1;
        ordered && position.log > 0 && position.log <= self.had.log
    }
}

impl<C: Codec> State<C> {
    /// Whether another server is believed to lead a term that is not over.
    fn is_succeeded(&self, server: ServerKey) -> bool {
        let leader = self.dispatch.leader().filter(|leader| *leader != server);
        leader.is_some_and(|leader| !self.leader.is_term_ended(leader))
    }

    /// What needs the primary waits for its successor from `from` on, and no longer than `until`.
    ///
    /// What is held for the check of the primary goes on being held, reads of some age as well: a host that is
    /// told of an order before the check would otherwise read at a primary that may have lost its log.
    fn hold_for_successor(&mut self, from: Duration, until: Duration, now: Duration) {
        let unchecked = self.unchecked.take().filter(|it| now < it.until);
        let from = unchecked.map_or(from, |unchecked| unchecked.from);
        let hold = dispatch::Hold { from, until };
        match unchecked {
            Some(_) => self.dispatch.hold_with_reads(hold),
            None => self.dispatch.hold(hold),
        }
        self.held = Some(hold);
    }

    fn term_began(&mut self, start: &peer::TermStart) {
        let known = self.ordered.entry(start.server.clone()).or_default();
        if known.before <= start.before() {
            *known = Ordered {
                before: start.before(),
                had: start.had(),
            };
        }
    }
}

impl<C: Codec> Service<C> {
    /// Another host says where a term began.
    pub fn term_began(&self, start: &peer::TermStart) {
        self.state.borrow_mut().term_began(start);
    }

    /// Where the newest term began that was ordered, as far as is known.
    pub fn newest_term_start(&self) -> Option<peer::TermStart> {
        let state = self.state.borrow();
        let newest = state.ordered.iter().max_by_key(|(_, it)| it.before);
        newest.map(|(id, it)| peer::TermStart::new(id.clone(), it.before, it.had))
    }

    /// For how long a primary still serves whose successor is ordered now, if it is alive and about
    /// to leave: no longer where another order may be out.
    pub fn serves_until_relieved(&self) -> Duration {
        match self.state.borrow().held {
            Some(_) => Duration::ZERO,
            None => self.site.promotion().saturating_sub(HANDOVER),
        }
    }

    /// The primary's successor may be ordered without this host's knowledge: what needs the primary is held
    /// until a server is seen to lead.
    pub fn hold_for_unheard_order(&self) {
        let from = self.site.now();
        let mut state = self.state.borrow_mut();
        if state.held.is_some() {
            return;
        }
        state.orders.record_complete();
        state.hold_for_successor(from, from + HOLD, from);
    }

    /// The primary is being replaced, as `ended` says; whether that is news.
    ///
    /// Statements that need it are held for its successor. From then on no server is relied on that
    /// leads the term that has ended, however well it looks: the order may be carried out late.
    pub fn end_term(&self, ended: &Ended) -> bool {
        let now = self.site.now();
        let successor = self.listed_as(&ended.successor);
        let mut state = self.state.borrow_mut();
        let known = state.replacement.as_ref();
        if known.is_some_and(|it| (it.term, it.token) >= (ended.term(), ended.token)) {
            return false;
        }
        let serves = ended.serves();
        let from = now + serves;
        let over = match serves.is_zero() {
            true => now,
            false => from + HANDOVER,
        };
        state.replacement = Some(Replacement {
            term: ended.term(),
            token: ended.token,
            successor: ended.successor.clone(),
            had: ended.had(),
            from,
            over,
            heard: now,
        });
        let id = ended.successor.id.clone();
        state.term_began(&peer::TermStart::new(id, ended.term(), ended.had()));
        state.leader.record_order(ended.term(), successor);
        let leads = state.dispatch.leader();
        let is_done = state.vouch.term() > ended.term() || leads.is_some() && leads == successor;
        if is_done {
            return true;
        }
        state.hold_for_successor(from, now + HOLD, now);
        true
    }

    /// The newest replacement of the primary, for hosts that may not have heard of it, if this host
    /// has heard of it within `age`.
    pub fn ended(&self, age: Duration) -> Option<Ended> {
        let now = self.site.now();
        let state = self.state.borrow();
        let known = state.replacement.as_ref()?;
        let serves = known.from.saturating_sub(now);
        (now <= known.heard + age).then(|| {
            let successor = (known.successor.clone(), known.had);
            Ended::new(
                self.name.clone(),
                known.term,
                known.token,
                successor,
                serves,
            )
        })
    }

    /// The store has answered what was sent at `sent`: nobody has claimed to replace the primary.
    pub fn unclaimed(&self, sent: Duration) {
        self.state.borrow_mut().store_lease.renew(sent);
    }

    /// Whether this host may rely on the primary for what the store has said.
    pub fn is_unclaimed(&self) -> bool {
        let now = self.site.now();
        self.state.borrow().store_lease.holds_lease(now)
    }

    /// The newest token under which an order for the service was given, as far as is known.
    pub fn newest_order(&self) -> Option<FencingToken> {
        let state = self.state.borrow();
        state
            .replacement
            .as_ref()
            .map(|known| FencingToken(known.token))
    }

    /// Whether what `server` answers as a primary does not count: its term is over.
    ///
    /// Guards against a replaced primary that goes on leading its own term: its answers look like
    /// those of a primary. The position in them does not tell, since a server that has just been
    /// promoted shows one of the old term until it has caught up with its own log. A primary that is
    /// about to leave may serve on for a while; its successor may lead before that is over, by an order
    /// that this host has not heard of.
    pub fn is_past(&self, server: ServerKey) -> bool {
        let now = self.site.now();
        let state = self.state.borrow();
        let known = state.replacement.as_ref();
        let relieved = known.is_some_and(|known| now >= known.over);
        let succeeded = state.is_succeeded(server);
        let led = state.leader.term_led(server);
        state.leader.is_term_ended(server) && (relieved || succeeded || led < state.vouch.term())
    }

    /// A write was acknowledged; it is logged if the primary is being replaced meanwhile.
    pub fn acknowledged(&self, id: &[u8], position: Option<Position>) {
        let now = self.site.now();
        let held = self.state.borrow().held;
        if held.is_none_or(|hold| now < hold.from) {
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
        let held = self.state.borrow().held;
        if held.is_some_and(|hold| now >= hold.until) {
            self.end_hold("its time is over");
            self.disown();
        }
    }

    /// No successor has shown. The old primary is not relied on again all the same: the order may
    /// still be carried out. With nobody left that leads, hosts look for the successor and order
    /// one again.
    fn disown(self: &Rc<Self>) {
        self.state.borrow_mut().leader.give_up_ended_terms();
        self.refresh();
    }

    fn listed_as(&self, server: &peer::Server) -> Option<ServerKey> {
        match self.meant(server) {
            Meant::Listed(server) => Some(server),
            Meant::Former | Meant::Newer | Meant::Unknown => None,
        }
    }

    /// Notes that statements for the primary are held no longer, and `why`.
    pub(super) fn end_hold(&self, why: &'static str) {
        let Some(hold) = self.state.borrow_mut().held.take() else {
            return;
        };
        self.site.log(&Event::HoldEnded {
            service: self.name.clone(),
            why,
            millis: self.site.now().saturating_sub(hold.from).as_millis(),
        });
    }
}
