//! What one host has learned since it began to doubt a primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey};
use crate::leader::Role;
use crate::position::Position;
use crate::term::Term;

use super::action::{Opinion, Report};
use super::contact::Trouble;
use super::leader_history::LeaderHistory;
use super::view::View;

/// Without most hosts, a change waits this long after the platform's list has lost the primary,
/// which takes seconds by itself: longer than cuts usually last.
///
/// Guards against a minority that has the store on its side of a cut while the primary and most
/// hosts are on the other. Those keep each other's leases and rely on the primary, and 1.5 s after
/// the list had lost it, two hosts of six had it replaced: 19 writes were acknowledged by the old one
/// meanwhile. Where most hosts are dead, and the primary with them, the service waits as long.
pub const MINORITY_DELAY: Duration = Duration::from_secs(8);

/// When some hosts reach the primary and most do not, the change waits this long, since the
/// path may heal sooner than a change takes.
pub const DIVIDED_DELAY: Duration = Duration::from_millis(1_000);

/// How long a host that reaches a primary whose port is closed to others has to say so: several
/// round trips between zones.
pub const OBJECTION_TIMEOUT: Duration = Duration::from_millis(40);

/// A change waits this long for a better candidate, or for the word of more hosts: restarts and
/// cuts last some seconds.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

/// How old a server's report may be when an order rests on it: as long as a primary may be silent. A
/// claim that is won at once rests on younger ones; a host that waits for its turn, or for others'
/// leases to run out, asks again.
pub const REPORT_AGE_MAX: Duration = super::SILENCE_MAX;

/// What other hosts and the servers have said.
#[derive(Debug, Default, Clone)]
pub(super) struct Inquiry {
    pub(super) cause: Option<Trouble>,
    /// The newest term that was known when it began.
    pub(super) term: Term,
    pub(super) started_at: Duration,
    pub(super) deadline: Duration,
    pub(super) opinions: BTreeMap<HostKey, Opinion>,
    pub(super) reports: BTreeMap<ServerKey, Report>,
    /// When servers were last asked.
    pub(super) servers_asked_at: Duration,
    /// Servers that have not answered that question yet, and had answered one before.
    pub(super) unconfirmed: BTreeSet<ServerKey>,
}

/// What follows from what was said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    Pending,
    Keep,
    Replace,
}

impl Inquiry {
    /// Whether the primary is replaced.
    ///
    /// Hosts that do not answer may be with the primary on the other side of a cut, and go on
    /// acknowledging writes there that its successor lacks. So more than half of all hosts have
    /// to miss it. Fewer may act only when the platform, too, has long lost sight of it.
    ///
    /// A primary that gave up its lead has a successor. Just after a change none of the hosts may
    /// have heard of it, and all say that they miss a primary: they are given their time to learn.
    /// And hosts that are cut off with a replaced primary can tell nothing of its successor, so
    /// few of them do not act before a cut has usually ended.
    pub(super) fn decide(
        &self,
        trouble: Trouble,
        view: &View,
        led: &LeaderHistory,
        now: Duration,
    ) -> Decision {
        if self.sees_newer_leader(view) {
            return Decision::Keep;
        }
        let (since, unlisted) = match trouble {
            // It has begun to leave while others were asked about it.
            Trouble::Leaving => return Decision::Replace,
            Trouble::Absent { since } => (since, true),
            Trouble::Refuses { since } | Trouble::Silent { since } => (since, false),
        };
        let refuses = matches!(trouble, Trouble::Refuses { .. });
        let over = now >= self.deadline;
        let reach = self.count(Opinion::Reaches);
        let most = self.has_majority(view);
        let replaced = led.is_last_replaced(view);
        let alone = if replaced {
            RETURN_TIMEOUT
        } else {
            MINORITY_DELAY
        };
        let complete = self.opinions.len() == view.peers.len() && !replaced;
        match (most, reach) {
            (true, 0) if over || complete => Decision::Replace,
            // No process listens there any more: nobody who is still silent can know better.
            (true, 0) if refuses && now >= self.started_at + OBJECTION_TIMEOUT => Decision::Replace,
            (true, _) if over && now >= since + DIVIDED_DELAY => Decision::Replace,
            (false, 0) if over && unlisted && now >= since + alone => Decision::Replace,
            _ if over => Decision::Keep,
            _ => Decision::Pending,
        }
    }

    /// Whether more than half of all hosts miss the primary.
    fn has_majority(&self, view: &View) -> bool {
        let fail = self.count(Opinion::Fails) + 1;
        fail * 2 > view.peers.len() + 1
    }

    /// A server has said how far it is.
    pub(super) fn record_report(&mut self, server: ServerKey, report: Report) {
        self.unconfirmed.remove(&server);
        self.reports.insert(server, report);
    }

    /// How far `server` has received the log, by its own word.
    pub(super) fn received_position(&self, server: ServerKey) -> Position {
        let report = self.reports.get(&server);
        report.map_or_else(Position::default, |report| report.received)
    }

    /// Servers are asked anew. What they have said stays, for those that do not answer again.
    pub(super) fn ask_again(&mut self, now: Duration) {
        self.servers_asked_at = now;
        self.unconfirmed = self.reports.keys().copied().collect();
    }

    /// Whether servers have to be asked anew before one is ordered to lead.
    ///
    /// Guards against the promotion of a server that has lost its log since it answered. The order names
    /// no start of it, so it is carried out, and all that the others have is rolled back. In a run of
    /// servers that start again in series, orders without the store rested on words of 0.8 s before.
    pub(super) fn are_reports_outdated(&self, now: Duration) -> bool {
        now > self.servers_asked_at + REPORT_AGE_MAX
    }

    /// Whether `server` has answered what it was last asked.
    pub(super) fn has_confirmed(&self, server: ServerKey) -> bool {
        !self.unconfirmed.contains(&server)
    }

    fn count(&self, opinion: Opinion) -> usize {
        self.opinions.values().filter(|it| **it == opinion).count()
    }

    /// Whether a server already leads a newer term: somebody else has acted.
    pub(super) fn sees_newer_leader(&self, view: &View) -> bool {
        self.reports
            .iter()
            .any(|(server, report)| report.leads_newer_term(*server, view))
    }

    fn all_reported(&self, view: &View) -> bool {
        let others = view.candidates.iter();
        others
            .filter(|server| view.leader != Some(**server))
            .all(|server| self.reports.contains_key(server))
    }

    /// Whether nothing is gained by waiting for further answers.
    ///
    /// Where the primary waits for one replica, no acknowledged commit may be missing at the best
    /// candidate. Which replica that was differs from commit to commit: one that is too busy to answer may
    /// be the only one that has the last of them. So all have to be heard, and what this host has
    /// seen acknowledged must be there, also when the replica that had it is gone for a while.
    /// With the first answers alone, 54 and 67 acknowledged commits were lost on two of 24 days.
    pub(super) fn is_complete(&self, view: &View, led: &LeaderHistory, now: Duration) -> bool {
        if !self.all_reported(view) || self.may_find_better(view, led, now) {
            return false;
        }
        // A primary that leaves acknowledges further commits meanwhile, and its replicas receive
        // them.
        if !view.synchronous || self.cause == Some(Trouble::Leaving) {
            return true;
        }
        let best = self
            .best_candidate(view, led, now)
            .and_then(|best| self.reports.get(&best));
        let has_all = best.is_some_and(|report| report.received >= view.newest_position);
        has_all || now >= self.started_at + RETURN_TIMEOUT
    }

    /// Whether a server with more than the best candidate may still be heard.
    ///
    /// Guards against the promotion of a server that has started again and has nothing of before,
    /// or not all of it yet. All that others hold would be rolled back. It is the best of those
    /// heard where the others are busy, cut off or down for a moment; the bound is the time in
    /// which those come back.
    ///
    /// A former primary that stepped down for a successor which never came to lead is passed over, and
    /// may be the only one with a log: 242 acknowledged writes were rolled back for an empty server
    /// that had just been listed anew. After [`RETURN_TIMEOUT`] without a primary, the former one is the best.
    pub(super) fn may_find_better(&self, view: &View, led: &LeaderHistory, now: Duration) -> bool {
        let best = self.best_candidate(view, led, now);
        let Some((best, report)) = best.and_then(|it| Some((it, self.reports.get(&it)?))) else {
            return false;
        };
        if report.has_empty_log() && self.any_has_log(view) {
            return true;
        }
        if now >= self.started_at + RETURN_TIMEOUT {
            return false;
        }
        let mark = view.required_positions.get(&best);
        // The position of an empty log names the newest term, past each log that ends in an older one.
        let lacks =
            |mark: &Position| report.received < *mark || report.has_empty_log() && mark.log > 0;
        let behind = mark.is_some_and(lacks);
        let unheard = !self.all_reported(view);
        // The old primary may come back with its log, and is no candidate while it is gone: with a
        // server as the alternative that has lost everything it is worth the wait as well.
        let lost_all = report.has_empty_log() && behind;
        // A primary that leaves is alive and has more: it may still send it.
        let leaves = self.cause == Some(Trouble::Leaving) && view.newest_position.log > 0;
        lost_all
            || leaves && report.has_empty_log()
            || unheard && (report.has_empty_log() || behind)
    }

    /// The candidate that has received most; ties go to the lowest key, on every host alike.
    ///
    /// A server that was replaced and has not followed since is passed over. Where most hosts
    /// have heard no other server for long, it is better than none. By its own word alone a host
    /// that hears few others does not believe that it follows: it may be cut off together with it
    /// while others go on with its successor.
    pub(super) fn best_candidate(
        &self,
        view: &View,
        led: &LeaderHistory,
        now: Duration,
    ) -> Option<ServerKey> {
        let most = self.has_majority(view);
        // Nobody is asked about a primary that leaves: it leads, so no other successor does.
        let known = most || self.cause == Some(Trouble::Leaving);
        let fit = |server: &ServerKey, report: &Report| {
            !led.has_unmerged_log(*server, report)
                || known && led.follows_newest_primary(*server, report)
        };
        let best = self.longest_log(view, fit);
        let any = self.longest_log(view, |_, _| true);
        let waited = self.has_waited_long(view, now);
        let empty =
            |server: ServerKey| self.reports.get(&server).is_some_and(Report::has_empty_log);
        match best {
            Some(best) if empty(best) && waited => any,
            Some(best) => Some(best),
            None => any.filter(|_| waited && most),
        }
    }

    /// Whether the primary is missed for so long that any server is better than none.
    fn has_waited_long(&self, view: &View, now: Duration) -> bool {
        let since = match view.trouble {
            Some(
                Trouble::Absent { since } | Trouble::Refuses { since } | Trouble::Silent { since },
            ) => Some(since),
            Some(Trouble::Leaving) | None => None,
        };
        since.is_some_and(|since| now >= since + RETURN_TIMEOUT)
    }

    /// Whether some server that was heard, and is passed over so far, has a log.
    fn any_has_log(&self, view: &View) -> bool {
        let longest = self.longest_log(view, |_, _| true);
        let report = longest.and_then(|longest| self.reports.get(&longest));
        report.is_some_and(|report| !report.has_empty_log())
    }

    fn longest_log(
        &self,
        view: &View,
        fit: impl Fn(&ServerKey, &Report) -> bool,
    ) -> Option<ServerKey> {
        let candidates = view.candidates.iter().filter_map(|server| {
            let report = self.reports.get(server)?;
            let follows = view.leader != Some(*server) && report.role == Role::Replica;
            let confirmed = self.has_confirmed(*server);
            let extent = (!report.has_empty_log(), report.received, confirmed);
            (follows && fit(server, report)).then_some((extent, *server))
        });
        let best = candidates.max_by_key(|(extent, _)| *extent);
        best.map(|(_, server)| server)
    }
}

impl Report {
    /// Whether the log has nothing in it. Its position may name the newest term all the same, and
    /// would then be past each log that ends in an older one.
    fn has_empty_log(&self) -> bool {
        self.received.log == 0
    }

    fn leads_newer_term(&self, server: ServerKey, view: &View) -> bool {
        self.role == Role::Primary && self.term > view.term && view.leader != Some(server)
    }
}
