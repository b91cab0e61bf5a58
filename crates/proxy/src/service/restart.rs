//! Servers that have restarted, and the check of a primary before it is believed.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::Hold;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::succession::RETURN_TIMEOUT;
use flamingopost_core::term::Term;

use super::{MissingEvidence, ServerEntry, Service, State};
use crate::codec::Codec;
use crate::peer;
use crate::server_connection::Target;

/// Which incarnation of a server is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The known one, or the first.
    Known,
    /// A newer one; contains the key of the previous incarnation.
    Restarted(ServerKey),
}

/// State at the moment when a server was found to have restarted.
#[derive(Debug, Clone, Copy)]
pub(super) struct RestartRecord {
    /// Key of the server's previous incarnation.
    pub former_key: ServerKey,
    /// The furthest position of the service's log seen so far.
    pub log_extent: Position,
    /// The newest known term.
    pub term: Term,
}

/// The server that another host refers to, as resolved by this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResolvedServer {
    /// The incarnation that is listed here.
    Listed(ServerKey),
    /// An earlier incarnation, which has ended.
    Former,
    /// A later incarnation: the other host has a newer server list.
    Newer,
    /// Not a server of the service.
    Unknown,
}

/// Latest time after which a newly believed primary is asked for its status. The check is made
/// earlier, once every other server has shown its position on a connection to it. That takes a few
/// round trips between zones, plus the tens of milliseconds that a server needs for a new
/// connection.
const CHECK_DELAY: Duration = Duration::from_millis(150);

/// Longest time that a host sends nothing to a believed but unchecked primary. By then, a server
/// that has the log would have come back. The end of this time proves nothing, so it is long.
const CHECK_HOLD_MAX: Duration = RETURN_TIMEOUT;

/// Shortest pause before the check of a primary that did not answer is repeated. Each attempt takes
/// a slot of a server that may be busy, so pauses grow with the time that the check has taken.
const MIN_CHECK_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause before the check of a primary is repeated.
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(2);

/// Longest time that a host sends nothing to an unchecked primary if it relays requests to other
/// hosts.
const UNSERVED_CHECK_HOLD: Duration = Duration::from_millis(350);

/// State of the one-time check of a believed primary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum PrimaryCheck {
    /// The check whether it has the service's log is due from this time on.
    Due(Duration),
    /// The check was due from this time on, and the status query has been sent.
    Asked(Duration),
    /// The check was due from `due` on, was not answered, and is repeated from `retry_at` on.
    Repeat { due: Duration, retry_at: Duration },
    /// No check is pending.
    #[default]
    Done,
}

impl<C: Codec> Service<C> {
    /// Checks whether a server with the log position `position`, reported by a status query or a
    /// new connection at `sent`, may lead.
    ///
    /// A primary that has lost its log continues to claim to lead, and the server list may show its
    /// previous incarnation for seconds. The first position that a server shows on a new connection
    /// predates all statements sent on it: a position below what any server had shown before the
    /// request belongs to a different log.
    pub(super) fn check_log(
        self: &Rc<Self>,
        server: ServerKey,
        position: Position,
        sent: Duration,
    ) {
        let mut state = self.state.borrow_mut();
        state.record_checked_position(server, position, sent);
        let distrusted = state.leader.is_distrusted(server);
        let leads = state.leader.primary() == Some(server);
        let short = state.lacks_received_entries(server, position);
        if distrusted && state.proves_log(server, position) {
            state.leader.trust(server);
        } else if leads
            && (short
                || state.log_extent.lacks(position, sent)
                || state.may_have_lost_log(server, position))
        {
            drop(state);
            self.report_lost_log(server, position);
        } else if leads && position.log > 0 && !state.contradicts_older_terms(server, position) {
            state.record_own_write(server);
        }
    }

    /// Returns the believed primary if its check is due, and marks the check as sent.
    ///
    /// Guards against an empty primary on a host that has just started, and believed the first
    /// primary in the list before it learned what the other servers hold.
    ///
    /// The primary is asked again only after a pause, and only while requests are held for the
    /// answer. Each request takes a connection, and with it a slot for tens of milliseconds: 65
    /// hosts that repeated the request without a pause until a server with 5 slots answered within
    /// 200 ms kept it from ever answering, and no writes reached the service for the rest of the
    /// day.
    pub fn take_due_check(&self) -> Option<Target> {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let due = match state.check {
            PrimaryCheck::Due(due) if now >= due || state.all_others_shown() => due.min(now),
            PrimaryCheck::Repeat { due, retry_at } if now >= retry_at => due,
            _ => return None,
        };
        let entry = state.servers.get(&state.dispatch.leader()?)?;
        let target = entry.target.clone();
        state.check = PrimaryCheck::Asked(due);
        Some(target)
    }

    /// Records that an attempt to check `server` has ended, with or without an answer.
    ///
    /// Guards against a primary that lost its log and does not answer its check in time: once the
    /// hold on statements had expired, the host wrote to it, and everything acknowledged before was
    /// lost.
    pub fn finish_check(&self, server: ServerKey) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if let PrimaryCheck::Asked(due) = state.check
            && state.dispatch.leader() == Some(server)
            && state.check_hold.is_some()
        {
            let lasted = now.saturating_sub(due);
            let retry_at = now + lasted.clamp(MIN_CHECK_PAUSE, MAX_CHECK_PAUSE);
            state.check = PrimaryCheck::Repeat { due, retry_at };
        }
    }

    /// Ends the hold for the check of the primary after [`UNSERVED_CHECK_HOLD`], on a host that
    /// relays requests to hosts that check the primary.
    ///
    /// Guards against checks by all hosts of a large fleet: they took the slots of the servers.
    pub fn end_unserved_check_hold(&self) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if state
            .check_hold
            .is_some_and(|hold| now >= hold.from + UNSERVED_CHECK_HOLD)
        {
            state.check = PrimaryCheck::Done;
            state.end_check_hold();
        }
    }

    /// Returns the position that each restarted server must have received before it counts like any
    /// other server in an election.
    pub fn required_positions(&self) -> BTreeMap<ServerKey, Position> {
        let state = self.state.borrow();
        let entries = state.servers.iter();
        entries
            .filter_map(|(key, entry)| Some((*key, entry.restart?.log_extent)))
            .collect()
    }

    /// Returns the previous incarnation of each server that has restarted.
    pub fn former_starts(&self) -> BTreeMap<ServerKey, ServerKey> {
        let state = self.state.borrow();
        let entries = state.servers.iter();
        entries
            .filter_map(|(key, entry)| Some((*key, entry.restart?.former_key)))
            .collect()
    }

    /// Returns the servers whose claims to lead are not believed.
    pub fn distrusted(&self) -> BTreeSet<ServerKey> {
        let state = self.state.borrow();
        let keys = state.servers.keys().copied();
        keys.filter(|key| state.leader.is_distrusted(*key))
            .collect()
    }

    /// Returns the furthest log position seen at any server.
    pub fn furthest_position(&self) -> Position {
        self.state.borrow().log_extent.furthest()
    }

    /// Records that another host has seen the log reach `position`.
    ///
    /// If this is the first evidence of any write, a primary that is already believed is checked
    /// again: it showed an empty log, which may have been a lost one.
    pub fn record_peer_position(&self, position: Position) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let was_written = state.log_extent.is_written();
        state.freshness.record_term(position.term);
        state.log_extent.record_position(position, now);
        if !was_written && state.log_extent.is_written() && state.dispatch.leader().is_some() {
            state.is_log_checked = false;
            state.check = PrimaryCheck::Due(now);
            self.failover_notify.notify_one();
        }
    }

    /// Returns the form in which a server is identified to other hosts.
    pub fn to_peer_server(&self, server: ServerKey) -> Option<peer::Server> {
        let state = self.state.borrow();
        let entry = state.servers.get(&server)?;
        let id = entry.target.id.clone();
        Some(peer::Server::new(id, entry.incarnation))
    }

    /// Resolves the server that another host refers to.
    pub fn resolve_server(&self, server: &peer::Server) -> ResolvedServer {
        let Some(key) = self.find_server(&server.id) else {
            return ResolvedServer::Unknown;
        };
        let state = self.state.borrow();
        let listed = state.servers.get(&key).map(|entry| entry.incarnation);
        match listed.cmp(&Some(server.incarnation())) {
            Ordering::Less => ResolvedServer::Newer,
            Ordering::Equal => ResolvedServer::Listed(key),
            Ordering::Greater => ResolvedServer::Former,
        }
    }

    /// Reports whether a server may lack entries of the service's log.
    pub fn is_distrusted(&self, server: ServerKey) -> bool {
        self.state.borrow().leader.is_distrusted(server)
    }
}

impl PrimaryCheck {
    /// Returns the check of a primary that is believed from `now` on.
    pub(super) fn due_after(now: Duration) -> PrimaryCheck {
        PrimaryCheck::Due(now + CHECK_DELAY)
    }

    /// Returns the time from which the primary's position counts for the pending check.
    fn due(self) -> Option<Duration> {
        match self {
            PrimaryCheck::Due(due) | PrimaryCheck::Asked(due) => Some(due),
            PrimaryCheck::Repeat { due, .. } => Some(due),
            PrimaryCheck::Done => None,
        }
    }
}

impl<C: Codec> State<C> {
    /// Returns the position that is proven to be in the data of `server`, which has shown
    /// `position`.
    ///
    /// The start of a term proves nothing unless the server leads that term or nothing was ever
    /// written, since a server with an empty log shows it as well. Writes to a log that may
    /// otherwise be empty prove nothing either.
    ///
    /// Guards against reads that only need the start of a term: each server assumes that its log
    /// contains it, so a server that has lost its log would answer from an empty one.
    pub(super) fn proven_position(&self, server: ServerKey, position: Position) -> Position {
        let leads = self.dispatch.leader() == Some(server) && self.check_hold.is_none();
        let whole = position.log > 0 || leads || !self.log_extent.is_written();
        match whole && !self.leader.is_distrusted(server) {
            true => position,
            false => Position::default(),
        }
    }

    /// Postpones a check that has begun, because a server is new to the list and may show more of
    /// the log than the primary.
    pub(super) fn await_new_server(&mut self, now: Duration) {
        if let PrimaryCheck::Asked(_) | PrimaryCheck::Repeat { .. } = self.check {
            self.check = PrimaryCheck::due_after(now);
        }
    }

    /// Reports whether a pending check can be made early because nothing more will be shown.
    pub(super) fn can_check_now(&self) -> bool {
        matches!(self.check, PrimaryCheck::Due(_)) && self.all_others_shown()
    }

    /// Reports whether every other server has shown its position since the current primary was
    /// believed to lead.
    pub(super) fn all_others_shown(&self) -> bool {
        let mut others = self.others().peekable();
        // Without another server, nothing can show that the log held more.
        others.peek().is_some() && others.all(|(_, entry)| entry.has_shown_position)
    }

    /// Returns all servers except the believed primary.
    pub(super) fn others(&self) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        let leader = self.dispatch.leader();
        let servers = self.servers.iter().map(|(key, entry)| (*key, entry));
        servers.filter(move |(key, _)| Some(*key) != leader)
    }

    /// Schedules the check of a newly believed primary.
    ///
    /// Guards against an empty primary on hosts that have all just started: none of them knows the
    /// extent of the log, and they wrote to the primary before the check. Statements for a primary
    /// that this host did not expect are therefore held until the check. So are bounded-staleness
    /// reads: they may only need the start of the primary's term, which servers assume to be in
    /// every log.
    ///
    /// A primary that does not succeed another one, because its term has ended, gets nothing that
    /// was held for the check of the previous one either.
    pub(super) fn schedule_leader_check(&mut self, succeeds: bool, now: Duration) {
        self.check = PrimaryCheck::due_after(now);
        self.is_log_checked = false;
        self.primary_position = None;
        self.servers
            .values_mut()
            .for_each(|entry| entry.has_shown_position = false);
        let leader = self.dispatch.leader();
        self.check_hold = match leader.is_some_and(|leader| !self.is_expected(leader)) {
            true => Some(check_hold(now)),
            false => self.check_hold.filter(|_| !succeeds),
        };
        self.apply_holds();
    }

    /// Holds statements for the primary until it is checked, which is due now.
    pub(super) fn require_check(&mut self, now: Duration) {
        if self.dispatch.leader().is_none() {
            return;
        }
        self.check = PrimaryCheck::Due(now);
        self.primary_position = None;
        self.check_hold = Some(check_hold(now));
        self.apply_holds();
    }

    /// Reports whether `leader` was previously found to have the service's log, or was ordered to
    /// lead while this host was running: hosts that order a promotion choose a server that has the
    /// log.
    ///
    /// A server whose log has been found empty since then is not expected, as it may lead without
    /// its log.
    ///
    /// A host that has just started may learn of an old order, and the server list may still show
    /// the incarnation that was ordered long after that one has ended.
    fn is_expected(&self, leader: ServerKey) -> bool {
        if self
            .servers
            .get(&leader)
            .is_some_and(|entry| entry.found_empty)
        {
            return false;
        }
        let Some(proven) = self.proven_primary else {
            return false;
        };
        let replacement = self.replacement.as_ref();
        proven == leader
            || replacement
                .is_some_and(|replacement| self.is_same_start(leader, replacement.successor()))
    }

    /// Reports whether `key` stands for the incarnation of a server that `server` names.
    pub(super) fn is_same_start(&self, key: ServerKey, server: &peer::Server) -> bool {
        let entry = self.servers.get(&key);
        entry.is_some_and(|entry| {
            entry.target.id == server.id && entry.incarnation == server.incarnation()
        })
    }

    /// Checks the primary again at its last shown position, because missing evidence may have
    /// become available.
    pub(super) fn recheck_leader(&mut self, now: Duration) {
        let Some(position) = self.primary_position else {
            return;
        };
        match self.missing_evidence(position) {
            MissingEvidence::Nothing => self.record_leader_position(position),
            MissingEvidence::Orders => {}
            MissingEvidence::Record | MissingEvidence::Proof | MissingEvidence::TermStart => {
                self.check = PrimaryCheck::Due(now);
            }
        }
    }

    /// Records that `server` has shown the log position `position` in answer to a request sent at `sent`,
    /// if it is the believed primary and was asked for its check.
    pub(super) fn record_checked_position(
        &mut self,
        server: ServerKey,
        position: Position,
        sent: Duration,
    ) {
        let is_check = self.check.due().is_some_and(|due| sent >= due);
        if is_check && self.dispatch.leader() == Some(server) {
            self.record_leader_position(position);
        }
    }

    /// Records that the believed primary has shown the log position `position`.
    fn record_leader_position(&mut self, position: Position) {
        self.primary_position = Some(position);
        match (self.missing_evidence(position), self.check) {
            (MissingEvidence::Nothing, _) => {
                self.check = PrimaryCheck::Done;
                self.primary_position = None;
                self.proven_primary = self.dispatch.leader();
                self.end_check_hold();
            }
            // The sender of the status query goes on to gather the remaining evidence, and asks
            // again while statements are held for it.
            (_, PrimaryCheck::Asked(_)) if self.check_hold.is_none() => {
                self.check = PrimaryCheck::Done;
            }
            _ => {}
        }
    }

    /// Records that the log of the believed primary has entries, or that nothing was ever written to
    /// the service. The hold on statements ends unless an order may be unknown.
    pub(super) fn record_log_checked(&mut self, now: Duration) {
        self.is_log_checked = true;
        self.recheck_leader(now);
    }

    /// Records that `server` has shown the log position `position`.
    ///
    /// If this is the first entry seen in any log, a primary that shows only the start of its term
    /// is checked again.
    pub(super) fn record_position(&mut self, server: ServerKey, position: Position, now: Duration) {
        if position.log > 0
            && let Some(entry) = self.servers.get_mut(&server)
        {
            entry.found_empty = false;
        }
        let was_seen = self.log_extent.has_position();
        self.log_extent.record_position(position, now);
        let leader = self.dispatch.leader();
        let by_other = leader.is_some_and(|leader| leader != server);
        if !was_seen
            && self.log_extent.has_position()
            && by_other
            && position.term < self.freshness.term()
        {
            self.is_log_checked = false;
            self.check = PrimaryCheck::Due(now);
        }
    }

    /// Releases the statements held for the check of the believed primary.
    pub(super) fn end_check_hold(&mut self) {
        if self.check_hold.take().is_some() {
            self.apply_holds();
        }
    }

    /// Reports whether `leader` leads for a reason other than having come back in the term that it
    /// led before.
    ///
    /// Guards against writes to a primary that restarts with its log after its successor has been
    /// ordered: the successor lacks what the old primary acknowledges until the successor leads.
    /// The server list shows it as the primary during that time, so held statements stay held.
    ///
    /// Also guards against sending held statements to a primary that was replaced long before,
    /// while no other server seems to lead for a moment. This host refuses to rely on it, so
    /// statements moved back and forth, with 25 changes of the believed primary within 100 ms.
    pub(super) fn is_successor(&self, leader: Option<ServerKey>) -> bool {
        let Some(leader) = leader.filter(|leader| !self.leader.is_term_ended(*leader)) else {
            return false;
        };
        let entry = self.servers.get(&leader);
        let restart = entry.and_then(|entry| entry.restart);
        restart.is_none_or(|restart| self.freshness.term() > restart.term)
    }

    /// Trusts the only remaining server of a service, which would never be replaced, after the time
    /// that other servers need to come back.
    ///
    /// A host that has just started cannot know whether there are other servers: the list entry of
    /// a server that is down has expired.
    pub(super) fn trust_only_server(&mut self, now: Duration) {
        if self.servers.len() > 1 {
            self.single_server_since = None;
            return;
        }
        let since = *self.single_server_since.get_or_insert(now);
        if now < since + RETURN_TIMEOUT {
            return;
        }
        for server in self.servers.keys() {
            self.leader.trust(*server);
        }
    }
}

/// Returns the hold for a check of a primary that begins at `now`.
fn check_hold(now: Duration) -> Hold {
    Hold {
        from: now,
        until: now + CHECK_HOLD_MAX,
    }
}
