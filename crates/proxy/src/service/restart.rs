//! Servers that have started again: whether what they claim to be is believed.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::Hold;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::succession::RETURN_TIMEOUT;
use flamingopost_core::term::Term;

use super::{Known, Missing, Service, State};
use crate::back::Target;
use crate::codec::Codec;
use crate::peer;

/// Which start of a server is listed, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The one that it has heard of, or the first.
    Known,
    /// A newer one than the one under this key.
    Again(ServerKey),
}

/// How a server came back.
#[derive(Debug, Clone, Copy)]
pub(super) struct Back {
    /// Its former start.
    pub former: ServerKey,
    /// How far the service's log was seen to reach at that moment.
    pub extent: Position,
    /// The newest term that was known.
    pub term: Term,
}

/// Which server another host means, as far as this one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Meant {
    /// The start that is listed here.
    Listed(ServerKey),
    /// One before that, which is over.
    Former,
    /// One after that: the other host has read more of the list.
    Newer,
    /// No server of the service.
    Unknown,
}

/// How long after a server is believed to lead it is asked what it is, at the latest: as soon as each
/// other server has shown, on a connection of its own, what it has. That takes a few round trips between
/// zones, and the tens of milliseconds that a server takes for a new connection.
const LOOK_AGAIN: Duration = Duration::from_millis(150);

/// Longest time that a host sends nothing to a server that it believes to lead and has not checked: until
/// the check, and as much again for its answer.
const UNCHECKED: Duration = Duration::from_millis(350);

/// What a host checks once of a server that it believes to lead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Check {
    /// Whether it has the service's log, from this moment on.
    Due(Duration),
    /// The same, and it was asked.
    Asked(Duration),
    /// Nothing any more.
    #[default]
    Done,
}

impl<C: Codec> Service<C> {
    /// Weighs whether a server may lead whose log reaches `position`, as it said to a question or
    /// on a connection of `sent`.
    ///
    /// A primary that has lost its log goes on claiming to lead, and the list may say for seconds
    /// what its former start was. Its own first word on a new connection is older than any
    /// statement there: a position below what some server had shown before the question is that
    /// of another log.
    pub(super) fn weigh(self: &Rc<Self>, server: ServerKey, position: Position, sent: Duration) {
        let mut state = self.state.borrow_mut();
        if state.dispatch.leader() == Some(server)
            && let Check::Due(due) | Check::Asked(due) = state.check
            && sent >= due
        {
            state.checked(position, self.site.now());
        }
        let doubted = state.leader.is_distrusted(server);
        let leads = state.leader.primary() == Some(server);
        let short = state.is_short(server, position);
        if doubted && state.extent.proves(position) && !short {
            state.leader.trust(server);
        } else if leads
            && (short || state.extent.lacks(position, sent) || state.may_be_empty(server, position))
        {
            drop(state);
            self.doubt_log(server, position);
        } else if leads && position.log > 0 {
            state.has_written(server);
        }
    }

    /// The server that is believed to lead, where it has not been looked at since it was.
    ///
    /// Guards against an empty primary on a host that has just started, and believed the first one
    /// in the list before it had heard what the others hold.
    ///
    /// It is asked once. Each question takes a connection, and with it a slot for tens of
    /// milliseconds: 65 hosts that asked a server with 5 slots until it answered within 200 ms kept
    /// it from ever answering, and nobody wrote to the service for the rest of the day.
    pub fn take_unchecked(&self) -> Option<Target> {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let Check::Due(due) = state.check else {
            return None;
        };
        let known = state.servers.get(&state.dispatch.leader()?)?;
        let target = known.target.clone();
        if now < due && !state.all_shown() {
            return None;
        }
        state.check = Check::Asked(due.min(now));
        Some(target)
    }

    /// What servers that have started again have to have received before they count like others
    /// in an election.
    pub fn marks(&self) -> BTreeMap<ServerKey, Position> {
        let state = self.state.borrow();
        let known = state.servers.iter();
        known
            .filter_map(|(key, known)| Some((*key, known.back?.extent)))
            .collect()
    }

    /// The former start of each server that has started again.
    pub fn former(&self) -> BTreeMap<ServerKey, ServerKey> {
        let state = self.state.borrow();
        let known = state.servers.iter();
        known
            .filter_map(|(key, known)| Some((*key, known.back?.former)))
            .collect()
    }

    /// Servers whose claims to lead are not believed.
    pub fn doubted(&self) -> BTreeSet<ServerKey> {
        let state = self.state.borrow();
        let keys = state.servers.keys().copied();
        keys.filter(|key| state.leader.is_distrusted(*key))
            .collect()
    }

    /// How far the log has been seen to reach, at whichever server.
    pub fn furthest(&self) -> Position {
        self.state.borrow().extent.furthest()
    }

    /// Another host has seen the log reach `position`.
    ///
    /// Where this is the first word of any write, a primary that was believed before is asked what it
    /// has: it showed an empty log, which may have been a lost one.
    pub fn told(&self, position: Position) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let was_written = state.extent.is_written();
        state.vouch.record_term(position.term);
        state.extent.record_position(position, now);
        if !was_written && state.extent.is_written() && state.dispatch.leader().is_some() {
            state.check = Check::Due(now);
            self.alarm.notify_one();
        }
    }

    /// A server as other hosts are told of it.
    pub fn named(&self, server: ServerKey) -> Option<peer::Server> {
        let state = self.state.borrow();
        let known = state.servers.get(&server)?;
        let id = known.target.id.clone();
        Some(peer::Server::new(id, known.incarnation))
    }

    /// The server that another host means.
    pub fn meant(&self, server: &peer::Server) -> Meant {
        let Some(key) = self.find(&server.id) else {
            return Meant::Unknown;
        };
        let state = self.state.borrow();
        let listed = state.servers.get(&key).map(|known| known.incarnation);
        match listed.cmp(&Some(server.incarnation())) {
            Ordering::Less => Meant::Newer,
            Ordering::Equal => Meant::Listed(key),
            Ordering::Greater => Meant::Former,
        }
    }

    /// Whether a server may lack what the service's log holds.
    pub fn is_doubted(&self, server: ServerKey) -> bool {
        self.state.borrow().leader.is_distrusted(server)
    }
}

impl Check {
    /// Another server is believed to lead from `now` on.
    pub(super) fn after(now: Duration) -> Check {
        Check::Due(now + LOOK_AGAIN)
    }
}

impl<C: Codec> State<C> {
    /// What `position`, shown by `server`, says of its data: the start of a term nothing, unless it
    /// leads that term or nothing was ever written, since an empty log shows it as well; and nothing
    /// what was written to a log that may be empty otherwise.
    ///
    /// Guards against reads that need the start of a term: each server takes its log to contain
    /// that, and one that has lost its log would answer from nothing.
    pub(super) fn holds(&self, server: ServerKey, position: Position) -> Position {
        let leads = self.dispatch.leader() == Some(server) && self.unchecked.is_none();
        let whole = position.log > 0 || leads || !self.extent.is_written();
        match whole && !self.leader.is_distrusted(server) {
            true => position,
            false => Position::default(),
        }
    }

    /// Whether the check that is due later can be made now: nothing more will be shown.
    pub(super) fn may_check(&self) -> bool {
        matches!(self.check, Check::Due(_)) && self.all_shown()
    }

    /// Whether each other server has shown what it has since this one was believed to lead.
    pub(super) fn all_shown(&self) -> bool {
        let mut others = self.others().peekable();
        // With no other server there is nobody to show that the log has held more.
        others.peek().is_some() && others.all(|(_, known)| known.shown)
    }

    /// The servers beside the one that is believed to lead.
    pub(super) fn others(&self) -> impl Iterator<Item = (ServerKey, &Known)> {
        let leader = self.dispatch.leader();
        let servers = self.servers.iter().map(|(key, known)| (*key, known));
        servers.filter(move |(key, _)| Some(*key) != leader)
    }

    /// Another server is believed to lead, which is checked a moment later.
    ///
    /// Guards against an empty primary on hosts that have all just started: none of them knows how
    /// far the log had got, and until the check they wrote to it. So what needs a primary that a host did
    /// not expect waits for the check. Reads of some age as well: they may need no more than the start of its
    /// term, which servers take every log to contain.
    pub(super) fn check_leader(&mut self, now: Duration) {
        self.check = Check::after(now);
        self.weighed = None;
        self.servers
            .values_mut()
            .for_each(|known| known.shown = false);
        let Some(leader) = self.dispatch.leader() else {
            return;
        };
        if self.is_expected(leader) {
            return;
        }
        if self.may_hold_for_check() {
            let until = now + UNCHECKED;
            let hold = Hold { from: now, until };
            self.unchecked = Some(hold);
            self.dispatch.hold_with_reads(hold);
        } else if let Some(hold) = self.dispatch.held() {
            self.dispatch.hold_with_reads(hold);
        }
    }

    /// Whether `leader` was found to have the service's log before, or was ordered to lead while this host
    /// ran: those who order look for a server that has it.
    ///
    /// One that was found without a log since then may lead without it.
    ///
    /// A host that has just started may hear of an order of long ago, and the list may tell it of the start
    /// that was ordered, long after that one is over.
    fn is_expected(&self, leader: ServerKey) -> bool {
        if self.servers.get(&leader).is_some_and(|known| known.blank) {
            return false;
        }
        let Some(proved) = self.proved else {
            return false;
        };
        let replacement = self.replacement.as_ref();
        proved == leader || replacement.is_some_and(|it| self.is_start(leader, it.successor()))
    }

    /// Whether `key` stands for that start of a server which `server` names.
    fn is_start(&self, key: ServerKey, server: &peer::Server) -> bool {
        let known = self.servers.get(&key);
        known.is_some_and(|known| {
            known.target.id == server.id && known.incarnation == server.incarnation()
        })
    }

    /// Whether nothing is held for another reason, which would last longer.
    fn may_hold_for_check(&self) -> bool {
        let held = self.dispatch.held();
        held.is_none() || held == self.unchecked
    }

    /// What was missing may have been found out: the primary is weighed again by what it last showed.
    pub(super) fn weigh_again(&mut self, now: Duration) {
        let Some(position) = self.weighed else {
            return;
        };
        match self.missing(position) {
            Missing::Nothing => self.checked(position, now),
            Missing::Orders => {}
            Missing::Record | Missing::Proof => self.check = Check::Due(now),
        }
    }

    /// The server that is believed to lead has shown that its log reaches `position`.
    fn checked(&mut self, position: Position, now: Duration) {
        self.weighed = Some(position);
        match (self.missing(position), self.check) {
            (Missing::Nothing, _) => {
                self.check = Check::Done;
                self.weighed = None;
                self.proved = self.dispatch.leader();
                self.end_check();
            }
            // Who has asked goes on to find out the rest.
            (_, Check::Asked(_)) => {
                self.check = Check::Done;
                self.wait_for_proof(now);
            }
            (_, Check::Due(_) | Check::Done) => {}
        }
    }

    /// `server` has shown that its log reaches `position`.
    ///
    /// Where that is the first that was seen of any log, a primary that shows the start of its term is
    /// asked what it has.
    pub(super) fn showed(&mut self, server: ServerKey, position: Position, now: Duration) {
        if position.log > 0
            && let Some(known) = self.servers.get_mut(&server)
        {
            known.blank = false;
        }
        let was_seen = self.extent.has_position();
        self.extent.record_position(position, now);
        let leader = self.dispatch.leader();
        let by_other = leader.is_some_and(|leader| leader != server);
        if !was_seen && self.extent.has_position() && by_other && position.term < self.vouch.term()
        {
            self.check = Check::Due(now);
        }
    }

    /// The server that is believed to lead was checked: what was held for that goes on.
    pub(super) fn end_check(&mut self) {
        if let Some(hold) = self.unchecked.take() {
            self.dispatch.release(hold);
        }
    }

    /// Whether `leader` leads for another reason than that it came back in the term that it had led
    /// before.
    ///
    /// Guards against writes at a primary that starts again with its log while its successor is
    /// already ordered: what it acknowledges until that one leads, the successor lacks. The list
    /// shows it as the primary for as long as that takes, so what was held goes on being held.
    ///
    /// And against what was held going to a primary that was replaced long before, where nobody else
    /// seems to lead for a moment: this host refuses to rely on it, so statements went to and fro, with
    /// 25 changes of the primary that hosts believed in within 100 ms.
    pub(super) fn succeeds(&self, leader: Option<ServerKey>) -> bool {
        let Some(leader) = leader.filter(|leader| !self.leader.is_term_ended(*leader)) else {
            return false;
        };
        let known = self.servers.get(&leader);
        let back = known.and_then(|known| known.back);
        back.is_none_or(|back| self.vouch.term() > back.term)
    }

    /// Trusts the one server that a service has left, which nobody would ever replace, after the
    /// time in which others come back.
    ///
    /// A host that has just started cannot know whether there are others: the entry of one that is
    /// down has lapsed.
    pub(super) fn trust_the_last(&mut self, now: Duration) {
        if self.servers.len() > 1 {
            self.alone = None;
            return;
        }
        let since = *self.alone.get_or_insert(now);
        if now < since + RETURN_TIMEOUT {
            return;
        }
        for server in self.servers.keys() {
            self.leader.trust(*server);
        }
    }
}
