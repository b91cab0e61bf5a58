//! The inquiry about a suspected primary: opinions of hosts, reports of servers, and the decision.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey};
use crate::leader::Role;
use crate::position::Position;
use crate::quorum::Closing;
use crate::term::Term;

use super::action::{Ground, Opinion, Report};
use super::contact::Trouble;
use super::leader_history::LeaderHistory;
use super::passed_over::{PassedOver, listed_servers};
use super::view::View;

/// When some hosts reach the primary and most do not, the change waits this long, since the network
/// path may heal sooner than a change takes.
pub const DIVIDED_DELAY: Duration = Duration::from_millis(1_000);

/// How long a host that reaches a primary whose port is closed to others has to object: several
/// round trips between zones.
pub const OBJECTION_TIMEOUT: Duration = Duration::from_millis(40);

/// A change waits this long for a better candidate, or for the opinions of more hosts: restarts and
/// partitions last some seconds.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum age of a server's report on which an order rests; equal to the silence that is tolerated
/// of a primary. Reports are younger when a claim is won at once. A host that waits for its turn,
/// or for the leases of other hosts to end, asks again.
pub const REPORT_AGE_MAX: Duration = super::SILENCE_MAX;

/// The answers of other hosts and of servers.
#[derive(Debug, Default, Clone)]
pub(super) struct Inquiry {
    pub(super) cause: Option<Trouble>,
    /// The primary when the inquiry began.
    pub(super) primary: Option<ServerKey>,
    /// The newest term that was known when the inquiry began.
    pub(super) term: Term,
    pub(super) started_at: Duration,
    pub(super) deadline: Duration,
    pub(super) opinions: BTreeMap<HostKey, Opinion>,
    pub(super) reports: BTreeMap<ServerKey, Report>,
    /// When servers were last asked for a report.
    pub(super) servers_asked_at: Duration,
    /// When servers had last been asked as each report arrived.
    pub(super) report_rounds: BTreeMap<ServerKey, Duration>,
    /// Servers that have answered an earlier request and not yet the last one.
    pub(super) unconfirmed: BTreeSet<ServerKey>,
    /// Whether servers that this host does not know may have the service's log.
    pub(super) may_lack_servers: bool,
    /// The server that earlier inquiries of this term have passed over.
    pub(super) passed_over: Option<PassedOver>,
    /// The furthest position that servers had reported when they were last asked again.
    pub(super) earlier_extent: Option<Position>,
    /// When this host won or renewed the claim.
    pub(super) claimed_at: Option<Duration>,
    /// Since when the store has had a claim on the change, of this host or of one that it was taken from.
    pub(super) claimed_since: Option<Duration>,
    /// The end of the primary's term, once it was announced.
    pub(super) closing: Option<Closing>,
}

/// The result of an inquiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    Pending,
    Keep,
    Replace,
}

impl Inquiry {
    /// Decides whether the primary is replaced.
    ///
    /// Hosts that do not answer may be on the primary's side of a partition and keep acknowledging
    /// writes there that a successor lacks. So more than half of the electors have to miss the
    /// primary.
    ///
    /// A primary that stepped down has a successor. Just after a change it is possible that no host
    /// knows the successor and all report that they miss a primary, so they are given time to learn
    /// of it.
    pub(super) fn decide(
        &self,
        trouble: Trouble,
        view: &View,
        history: &LeaderHistory,
        now: Duration,
    ) -> Decision {
        if self.sees_newer_leader(view) {
            return Decision::Keep;
        }
        let since = match trouble {
            // The primary began to leave during the inquiry.
            Trouble::Leaving => return Decision::Replace,
            Trouble::Absent { since } | Trouble::Refuses { since } | Trouble::Silent { since } => {
                since
            }
        };
        let refuses = matches!(trouble, Trouble::Refuses { .. });
        let timed_out = now >= self.deadline;
        let reaching = self.count(Opinion::Reaches);
        let majority = self.has_majority(view);
        let replaced = history.is_last_replaced(view);
        let all_answered = self.opinions.len() == view.peers.len() && !replaced;
        match (majority, reaching) {
            (true, 0) if timed_out || all_answered => Decision::Replace,
            // No process listens on the primary's port any more, so a host that has not answered
            // yet cannot know better.
            (true, 0) if refuses && now >= self.started_at + OBJECTION_TIMEOUT => Decision::Replace,
            (true, _) if timed_out && now >= since + DIVIDED_DELAY => Decision::Replace,
            _ if timed_out => Decision::Keep,
            _ => Decision::Pending,
        }
    }

    /// Reports whether the order rests on the claim of this host, because the primary has stepped down.
    pub(super) fn rests_on_claim(&self) -> bool {
        let closing = self.closing.as_ref();
        closing.is_some_and(|it| it.stepped_down_at().is_some())
    }

    /// Reports whether more than half of all hosts miss the primary.
    pub(super) fn has_majority(&self, view: &View) -> bool {
        let missing = self.count(Opinion::Fails) + 1;
        missing * 2 > view.peers.len() + 1
    }

    /// Records the status report of a server.
    pub(super) fn record_report(&mut self, server: ServerKey, report: Report) {
        self.unconfirmed.remove(&server);
        self.report_rounds.insert(server, self.servers_asked_at);
        self.reports.insert(server, report);
    }

    /// Drops the report of a server that may have lost its log since.
    pub(super) fn drop_report(&mut self, server: ServerKey) {
        self.unconfirmed.remove(&server);
        self.reports.remove(&server);
    }

    /// Returns the server with the longest log that any has reported, except the primary.
    fn longest_report(&self) -> Option<ServerKey> {
        let reports = self.reports.iter();
        let replicas = reports.filter(|(server, _)| self.primary != Some(**server));
        let longest = replicas.max_by_key(|(_, report)| report.received);
        longest.map(|(server, _)| *server)
    }

    /// Returns why `server` succeeds the primary, and which server has the longest log.
    pub(super) fn ground(&self, server: ServerKey, view: &View) -> Option<(Ground, ServerKey)> {
        let longest = self.longest_report()?;
        let has_less = self.received_position(server) < self.received_position(longest);
        let ground = match has_less {
            false => Ground::LongestLog,
            true if view.ordered_before == Some(server) => Ground::OrderedBefore,
            true if view.leaving.contains(&longest) => Ground::LongestLeaves,
            true if !self.has_confirmed(longest) => Ground::LongestSilent,
            true => Ground::LongestReplaced,
        };
        Some((ground, longest))
    }

    /// Returns the replication position that `server` has reported.
    pub(super) fn received_position(&self, server: ServerKey) -> Position {
        let report = self.reports.get(&server);
        report.map_or_else(Position::default, |report| report.received)
    }

    /// Starts another round of requests to servers. The earlier report of a server that does not
    /// answer again is a reason to wait for that server, but none to promote it.
    pub(super) fn ask_again(&mut self, now: Duration) {
        self.servers_asked_at = now;
        self.earlier_extent = self.reports.values().map(|it| it.received).max();
        self.unconfirmed = self.reports.keys().copied().collect();
    }

    /// Reports whether servers have to be asked again before one is promoted.
    ///
    /// Guards against the promotion of a server that has lost its log since it answered. The order
    /// does not name a start of the server, so it is carried out all the same and rolls back what
    /// the other servers have. In a test with servers that restarted one after the other, orders
    /// given without the store rested on reports that were 0.8 s old.
    ///
    /// A server that is asked again and does not answer may be restarting without its log, so it is
    /// asked until it answers, or [`RETURN_TIMEOUT`] has passed.
    pub(super) fn are_reports_outdated(&self, now: Duration) -> bool {
        now > self.servers_asked_at + REPORT_AGE_MAX
    }

    /// Reports whether `server` has received all that any server had when servers were asked before.
    /// The primary acknowledges further commits all the time, so no server has all that it has now.
    pub(super) fn has_caught_up(&self, server: ServerKey) -> bool {
        let extent = self.earlier_extent;
        extent.is_some_and(|extent| self.received_position(server) >= extent)
    }

    /// Reports whether servers have to be asked again because the primary may have acknowledged a
    /// commit since they were asked.
    pub(super) fn may_lack_commits(&self, view: &View) -> bool {
        view.synchronous && self.closing.is_some() && self.servers_asked_at < view.leases_end
    }

    /// Reports whether all candidates except the primary were asked for their reports at `since` or
    /// later.
    fn have_reported_since(&self, since: Duration, view: &View) -> bool {
        let others = view.candidates.iter();
        let others = others.filter(|it| !self.is_replaced_primary(**it, view));
        let mut rounds = others.map(|server| self.report_rounds.get(server));
        rounds.all(|round| round.is_some_and(|round| *round >= since))
    }

    /// Reports whether `server` has answered the last request.
    pub(super) fn has_confirmed(&self, server: ServerKey) -> bool {
        !self.unconfirmed.contains(&server)
    }

    /// Reports whether an order for `server` may rest on its report once a round of requests has
    /// ended. After [`RETURN_TIMEOUT`] any server is better than none.
    pub(super) fn may_rest_on(&self, server: ServerKey, now: Duration) -> bool {
        self.has_confirmed(server) || self.is_overdue(now)
    }

    /// Reports whether servers that have not answered again have had the time of a restart.
    fn is_overdue(&self, now: Duration) -> bool {
        now >= self.started_at + RETURN_TIMEOUT
    }

    /// Returns the server that this inquiry passes over if it promotes none. The time counts from the
    /// first inquiry in a row that has passed over the same server; one that it does not answer is no
    /// reason to wait again.
    ///
    /// A candidate that qualifies and was not ordered, for example under an outdated token, is not
    /// passed over. Only the time counts for it that it was passed over before it qualified.
    pub(super) fn passed_over(
        &self,
        view: &View,
        history: &LeaderHistory,
        now: Duration,
    ) -> Option<PassedOver> {
        if let Some(best) = self.best_candidate(view, history, now) {
            return self.earlier_wait(best, view).cloned();
        }
        let longest = self.longest_log(view, now, |_, _| true);
        let Some(server) = longest else {
            return self.passed_over.as_ref().map(|it| it.keep_listed(view));
        };
        let earlier = self.earlier_wait(server, view);
        Some(PassedOver {
            server,
            term: self.term,
            since: earlier.map_or(self.started_at, |it| it.since),
            received: self.received_position(server),
            listed: listed_servers(view).collect(),
        })
    }

    /// Returns the wait in earlier inquiries that counts for `server`.
    fn earlier_wait(&self, server: ServerKey, view: &View) -> Option<&PassedOver> {
        let earlier = self.passed_over.as_ref();
        earlier.filter(|it| it.covers(server, &self.reports, view))
    }

    /// Reports whether `server` was passed over for so long that a better one had the time of a
    /// restart.
    fn was_passed_over_for_long(&self, server: ServerKey, view: &View, now: Duration) -> bool {
        let earlier = self.earlier_wait(server, view);
        earlier.is_some_and(|it| it.is_overdue(now))
    }

    fn count(&self, opinion: Opinion) -> usize {
        self.opinions.values().filter(|it| **it == opinion).count()
    }

    /// Reports whether a server already leads a newer term, so that another host has acted.
    pub(super) fn sees_newer_leader(&self, view: &View) -> bool {
        self.reports
            .iter()
            .any(|(server, report)| report.leads_newer_term(*server, view))
    }

    fn all_reported(&self, view: &View) -> bool {
        self.have_reported(view, view.candidates.iter())
    }

    /// Reports whether all of `servers` except the primary have reported.
    fn have_reported<'a>(
        &self,
        view: &View,
        mut servers: impl Iterator<Item = &'a ServerKey>,
    ) -> bool {
        servers.all(|server| {
            self.is_replaced_primary(*server, view) || self.reports.contains_key(server)
        })
    }

    /// Reports whether `server` is the primary that is missed or leaves. Once the end of its term was
    /// announced, it stays that although hosts stop believing that it leads.
    fn is_replaced_primary(&self, server: ServerKey, view: &View) -> bool {
        let ended = self.primary.filter(|_| self.closing.is_some());
        view.leader == Some(server) || ended == Some(server)
    }

    /// Reports whether waiting for further reports gains nothing.
    ///
    /// Where the primary waits for one replica before it acknowledges a commit, the best candidate
    /// must have every acknowledged commit. Which replica confirmed it differs from commit to
    /// commit, so one that is too busy to answer may be the only one with the last of them. So all
    /// servers have to report, and the best candidate has to reach the newest position that this
    /// host has seen acknowledged, even when the replica that had it is down for a while. When only
    /// the first reports counted, 54 and 67 acknowledged commits were lost on two of 24 days.
    pub(super) fn is_complete(&self, view: &View, history: &LeaderHistory, now: Duration) -> bool {
        if !self.all_reported(view) || self.may_find_better(view, history, now) {
            return false;
        }
        if !view.synchronous {
            return true;
        }
        // Nothing more is acknowledged once the term has ended, so the reports of all replicas since
        // then show every acknowledged commit.
        if self.closing.is_some() && !self.have_reported_since(view.leases_end, view) {
            return self.is_overdue(now);
        }
        // A leaving primary acknowledges commits until then, and its replicas receive them.
        if self.cause == Some(Trouble::Leaving) {
            return true;
        }
        let best = self
            .best_candidate(view, history, now)
            .and_then(|best| self.reports.get(&best));
        let has_all = best.is_some_and(|report| report.received >= view.newest_position);
        has_all || self.is_overdue(now)
    }

    /// Reports whether a better candidate than the current best may still report.
    ///
    /// Guards against the promotion of a server that has restarted and has lost its log, or not yet
    /// received all of it: everything that the other servers have would be rolled back. Such a
    /// server is the best candidate while the others are busy, cut off or down for a moment. The
    /// wait is bounded by the time in which those come back.
    ///
    /// A former primary that stepped down for a successor which never came to lead is passed over,
    /// and may be the only server with a log: 242 acknowledged writes were rolled back for an empty
    /// server that had just been listed again. After [`RETURN_TIMEOUT`] without a primary, the
    /// former primary is the best candidate. The same holds where the others have followed only
    /// older terms, and most hosts miss the primary.
    ///
    /// A leaving server may be the only one with the log, so an empty server waits for its report
    /// too. It is gone after some seconds, so it waits for every server that stays.
    ///
    /// The time for which the same server was passed over counts: a better one has had it to report.
    /// Guards against two waits in a row, in which a service had no primary for 20 s.
    pub(super) fn may_find_better(
        &self,
        view: &View,
        history: &LeaderHistory,
        now: Duration,
    ) -> bool {
        let best = self.best_candidate(view, history, now);
        let Some((best, report)) = best.and_then(|it| Some((it, self.reports.get(&it)?))) else {
            return false;
        };
        if report.has_empty_log() && (self.any_has_log(view, now) || self.may_lack_servers) {
            return true;
        }
        if self.is_overdue(now) || self.was_passed_over_for_long(best, view, now) {
            return false;
        }
        if self.has_majority(view) && self.is_outclassed(report, view, now) {
            return true;
        }
        let required = view.required_positions.get(&best);
        // The position of an empty log carries the newest term, so it compares greater than every
        // log that ends in an older one.
        let lacks =
            |mark: &Position| report.received < *mark || report.has_empty_log() && mark.log > 0;
        let behind = required.is_some_and(lacks);
        let incomplete = !self.all_reported(view);
        let unheard = incomplete || !self.have_reported(view, promotable_leaving(view));
        // The old primary may come back with its log, and is no candidate while it is down. It is
        // worth the wait when the alternative is a server that has lost its whole log.
        let lost_all = report.has_empty_log() && behind;
        // A leaving primary is alive and has a longer log, which it may still send.
        let is_leaving = self.cause == Some(Trouble::Leaving) && view.newest_position.log > 0;
        lost_all
            || is_leaving && report.has_empty_log()
            || unheard && report.has_empty_log()
            || incomplete && (behind || view.leaving.contains(&best))
    }

    /// Returns the candidate with the longest log. On a tie all hosts choose the lowest key.
    ///
    /// A server that was replaced and has not followed its successor since is passed over. It is
    /// chosen when a majority of hosts has had no other candidate for long. A host that hears from
    /// few others does not trust the server's own report that it follows: both may be cut off
    /// together while other hosts use its successor.
    pub(super) fn best_candidate(
        &self,
        view: &View,
        history: &LeaderHistory,
        now: Duration,
    ) -> Option<ServerKey> {
        let majority = self.has_majority(view);
        // No inquiry is made for a leaving primary: it leads, so no other successor does.
        let trusts_report = majority || self.cause == Some(Trouble::Leaving);
        let eligible = |server: &ServerKey, report: &Report| {
            !history.has_unmerged_log(*server, report)
                || trusts_report && history.follows_newest_primary(*server, report)
        };
        let best = self.longest_log(view, now, eligible);
        let longest = self.longest_log(view, now, |_, _| true);
        let waited = self.has_waited_long(view, now);
        let is_empty =
            |server: ServerKey| self.reports.get(&server).is_some_and(Report::has_empty_log);
        let is_outclassed = |server: ServerKey| {
            let report = self.reports.get(&server);
            report.is_some_and(|report| self.is_outclassed(report, view, now))
        };
        match best {
            Some(best) if is_empty(best) && waited => longest,
            Some(best) if majority && waited && is_outclassed(best) => longest,
            Some(best) => Some(best),
            None => longest.filter(|_| waited && majority),
        }
    }

    /// Reports whether a claim has to wait because this host may not know the servers that have the
    /// service's log. It goes ahead once a server with a log has reported.
    ///
    /// Guards against an election by a host that has just started and knows only a server that has
    /// lost its log: the others drop theirs to follow it. Hosts that know all servers act
    /// meanwhile.
    pub(super) fn must_await_servers(
        &self,
        view: &View,
        history: &LeaderHistory,
        now: Duration,
    ) -> bool {
        let best = self.best_candidate(view, history, now);
        let report = best.and_then(|best| self.reports.get(&best));
        self.may_lack_servers && report.is_none_or(Report::has_empty_log)
    }

    /// Reports whether the primary has been missed for so long that any server is better than none.
    fn has_waited_long(&self, view: &View, now: Duration) -> bool {
        let since = match view.trouble {
            Some(
                Trouble::Absent { since } | Trouble::Refuses { since } | Trouble::Silent { since },
            ) => Some(since),
            Some(Trouble::Leaving) | None => None,
        };
        since.is_some_and(|since| now >= since + RETURN_TIMEOUT)
    }

    /// Reports whether some server that has reported, including those passed over so far, has a
    /// log.
    fn any_has_log(&self, view: &View, now: Duration) -> bool {
        let longest = self.longest_log(view, now, |_, _| true);
        let report = longest.and_then(|longest| self.reports.get(&longest));
        report.is_some_and(|report| !report.has_empty_log())
    }

    /// Reports whether the server with the longest log, which may be passed over so far, follows a
    /// newer term than the candidate that has sent `report` and has entries of that term.
    ///
    /// The candidate then lacks all that was written in the newer term, and has nothing of a
    /// successor's either: a server that had followed that one would report its term. Guards
    /// against such a candidate replacing a former primary that stepped down for a successor which
    /// never came to lead.
    fn is_outclassed(&self, report: &Report, view: &View, now: Duration) -> bool {
        let longest = self.longest_log(view, now, |_, _| true);
        let longest = longest.and_then(|longest| self.reports.get(&longest));
        longest
            .is_some_and(|longest| longest.received.term > report.term && !longest.has_empty_log())
    }

    /// Returns the server with the longest log among those that are `eligible`. A leaving server
    /// comes after all that stay and have entries, and before those without any. A server that has
    /// not answered again comes after those that have, once it has had the time of a restart.
    ///
    /// A server that was ordered before for this change, and has caught up since it restarted, comes before
    /// those with a longer log, and one that was announced before those with an equal one. Guards against an
    /// order that is carried out after this one: the platform changes nothing if its server leads already.
    ///
    /// Where commits are synchronous, an acknowledged one may be in the longest log alone. So that comes
    /// first there, and a server that was ordered before only before those with an equal log.
    ///
    /// Guards against the loss of the whole log where empty servers that have just restarted are
    /// the only others. An entry that says that a server is leaving may also be that of its former
    /// start, if the store was restored from a copy.
    fn longest_log(
        &self,
        view: &View,
        now: Duration,
        eligible: impl Fn(&ServerKey, &Report) -> bool,
    ) -> Option<ServerKey> {
        let servers = view.candidates.iter().chain(promotable_leaving(view));
        let candidates = servers.filter_map(|server| {
            let report = self.reports.get(server)?;
            let is_replica = view.leader != Some(*server) && report.role == Role::Replica;
            let confirmed = self.has_confirmed(*server);
            let counts = confirmed || !self.is_overdue(now);
            let has_entries = !report.has_empty_log();
            let stays = !view.leaving.contains(server);
            let required = view.required_positions.get(server);
            let has_caught_up = required.is_none_or(|required| report.received >= *required);
            let is_ordered = view.ordered_before == Some(*server) && has_caught_up;
            let is_announced = view.announced == Some(*server);
            let acknowledged = view.synchronous.then_some(report.received);
            let log = (is_ordered, report.received, is_announced);
            let may_serve = (
                has_entries,
                stays || view.synchronous && has_entries,
                counts,
            );
            let order = (may_serve, acknowledged, stays, log, confirmed);
            let qualifies = is_replica && (has_entries || stays) && eligible(server, report);
            qualifies.then_some((order, *server))
        });
        let best = candidates.max_by_key(|(order, _)| *order);
        best.map(|(_, server)| server)
    }
}

/// Returns the leaving servers that may be promoted: none while the primary is only leaving itself,
/// since it still sends its log to the servers that stay.
fn promotable_leaving(view: &View) -> impl Iterator<Item = &ServerKey> {
    let primary_leaves = view.trouble == Some(Trouble::Leaving);
    let leaving = view.leaving.iter();
    leaving.filter(move |_| !primary_leaves)
}

impl Report {
    /// Reports whether the log is empty. Its position may carry the newest term all the same, and
    /// would then compare greater than every log that ends in an older one.
    pub(super) fn has_empty_log(&self) -> bool {
        self.received.log == 0
    }

    fn leads_newer_term(&self, server: ServerKey, view: &View) -> bool {
        self.role == Role::Primary && self.term > view.term && view.leader != Some(server)
    }
}
