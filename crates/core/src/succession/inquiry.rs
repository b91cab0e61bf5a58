//! What one host has learned since it began to doubt a primary.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{HostKey, ServerKey};
use crate::leader::Role;
use crate::position::Position;

use super::contact::Trouble;
use super::led::Led;
use super::next::{Opinion, Report};
use super::view::View;

/// Without most hosts, a change waits this long after the platform's list has lost the primary,
/// which takes seconds by itself: cuts last about as long, and end.
pub const ALONE: Duration = Duration::from_millis(1_500);

/// When some hosts reach the primary and most do not, the change waits this long, since the
/// path may heal sooner than a change takes.
pub const DIVIDED: Duration = Duration::from_millis(1_000);

/// How long a host that reaches a primary whose port is closed to others has to say so: several
/// round trips between zones.
pub const OBJECTION: Duration = Duration::from_millis(40);

/// A change waits this long for a better candidate, or for the word of more hosts: restarts and
/// cuts last some seconds.
const RETURN: Duration = Duration::from_secs(10);

/// What other hosts and the servers have said.
#[derive(Debug, Default, Clone)]
pub(super) struct Inquiry {
    pub(super) cause: Option<Trouble>,
    pub(super) since: Duration,
    pub(super) until: Duration,
    pub(super) opinions: BTreeMap<HostKey, Opinion>,
    pub(super) reports: BTreeMap<ServerKey, Report>,
}

/// What follows from what was said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    Open,
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
    pub(super) fn verdict(
        &self,
        trouble: Trouble,
        view: &View,
        led: &Led,
        now: Duration,
    ) -> Verdict {
        if self.newer_leader(view) {
            return Verdict::Keep;
        }
        let (since, unlisted) = match trouble {
            // It has begun to leave while others were asked about it.
            Trouble::Leaving => return Verdict::Replace,
            Trouble::Absent { since } => (since, true),
            Trouble::Refuses { since } | Trouble::Silent { since } => (since, false),
        };
        let refuses = matches!(trouble, Trouble::Refuses { .. });
        let over = now >= self.until;
        let reach = self.count(Opinion::Reaches);
        let most = self.has_most(view);
        let replaced = led.is_replaced(view);
        let alone = if replaced { RETURN } else { ALONE };
        let complete = self.opinions.len() == view.peers.len() && !replaced;
        match (most, reach) {
            (true, 0) if over || complete => Verdict::Replace,
            // No process listens there any more: nobody who is still silent can know better.
            (true, 0) if refuses && now >= self.since + OBJECTION => Verdict::Replace,
            (true, _) if over && now >= since + DIVIDED => Verdict::Replace,
            (false, 0) if over && unlisted && now >= since + alone => Verdict::Replace,
            _ if over => Verdict::Keep,
            _ => Verdict::Open,
        }
    }

    /// Whether more than half of all hosts miss the primary.
    fn has_most(&self, view: &View) -> bool {
        let fail = self.count(Opinion::Fails) + 1;
        fail * 2 > view.peers.len() + 1
    }

    fn count(&self, opinion: Opinion) -> usize {
        self.opinions.values().filter(|it| **it == opinion).count()
    }

    /// Whether a server already leads a newer term: somebody else has acted.
    pub(super) fn newer_leader(&self, view: &View) -> bool {
        self.reports
            .iter()
            .any(|(server, report)| report.leads_beside(*server, view))
    }

    fn all_heard(&self, view: &View) -> bool {
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
    pub(super) fn is_complete(&self, view: &View, led: &Led, now: Duration) -> bool {
        if !self.all_heard(view) {
            return false;
        }
        // A primary that leaves acknowledges further commits meanwhile, and its replicas receive
        // them.
        if !view.synchronous || self.cause == Some(Trouble::Leaving) {
            return true;
        }
        let best = self
            .best(view, led, now)
            .and_then(|best| self.reports.get(&best));
        let has_all = best.is_some_and(|report| report.received >= view.newest);
        has_all || now >= self.since + RETURN
    }

    /// The candidate that has received most; ties go to the lowest key, on every host alike.
    ///
    /// A server that was replaced and has not followed since is passed over. Where most hosts
    /// have heard no other server for long, it is better than none.
    pub(super) fn best(&self, view: &View, led: &Led, now: Duration) -> Option<ServerKey> {
        let fit = |server: &ServerKey, report: &Report| !led.is_superseded(*server, report);
        if let Some(best) = self.longest(view, fit) {
            return Some(best);
        }
        let long = match view.trouble {
            Some(Trouble::Absent { since }) => now >= since + RETURN,
            _ => false,
        };
        match long && self.has_most(view) {
            true => self.longest(view, |_, _| true),
            false => None,
        }
    }

    fn longest(&self, view: &View, fit: impl Fn(&ServerKey, &Report) -> bool) -> Option<ServerKey> {
        let candidates = view.candidates.iter().filter_map(|server| {
            let report = self.reports.get(server)?;
            let follows = view.leader != Some(*server) && report.role == Role::Replica;
            (follows && fit(server, report)).then_some((report.received, *server))
        });
        let best: Option<(Position, ServerKey)> = candidates.max_by_key(|(position, _)| *position);
        best.map(|(_, server)| server)
    }
}

impl Report {
    fn leads_beside(&self, server: ServerKey, view: &View) -> bool {
        self.role == Role::Primary && self.term > view.term && view.leader != Some(server)
    }
}
