//! The servers that this host has seen as primaries.

use std::collections::BTreeMap;

use crate::key::ServerKey;
use crate::term::Term;

use super::action::Report;
use super::view::View;

/// The servers that were seen as primary, each with the newest term in which it was.
#[derive(Debug, Default)]
pub(super) struct LeaderHistory {
    terms: BTreeMap<ServerKey, Term>,
    last_leader: Option<ServerKey>,
}

impl LeaderHistory {
    /// Records the primary in `view`, and moves the terms of restarted servers to their new keys:
    /// the end of a log outlives a restart.
    pub(super) fn observe_view(&mut self, view: &View) {
        for (server, former) in &view.previous_starts {
            self.transfer(*server, *former);
        }
        // A host that has just started learns of a replaced primary only from a claim to lead that
        // it does not trust.
        for (server, term) in &view.terms_led {
            self.record_term_led(*server, *term);
        }
        if let Some(leader) = view.leader {
            // Uses the term in which the primary itself has led, not the newest known one. A
            // replica's log shows a change before this host knows the successor, and the old
            // primary would be recorded as having led the new term. Once that primary follows, it
            // would be passed over although it alone has some commits.
            self.record_term_led(leader, view.leader_term);
            self.last_leader = Some(leader);
        }
    }

    /// Records that `server` was seen as the primary of `term`.
    pub(super) fn record_term_led(&mut self, server: ServerKey, term: Term) {
        let known = self.terms.entry(server).or_default();
        *known = term.max(*known);
    }

    /// Returns the servers that were seen as primary, each with the newest term in which it was.
    pub(super) fn terms(&self) -> &BTreeMap<ServerKey, Term> {
        &self.terms
    }

    fn transfer(&mut self, server: ServerKey, former: ServerKey) {
        if let Some(term) = self.terms.remove(&former) {
            self.terms.insert(server, term);
        }
        if self.last_leader == Some(former) {
            self.last_leader = Some(server);
        }
    }

    /// Reports whether `server`, which has sent `report`, was replaced and has not followed its
    /// successor yet.
    ///
    /// A primary that is cut off keeps writing until its successor leads. Its log then ends with
    /// writes that no other server has, so it is the longest and looks like the best candidate.
    /// Promoting such a server brought back what the change had dropped, and dropped what its
    /// successor had acknowledged since: 816 to 849 stale reads in 3 of 24 trials. A log that has
    /// reached a newer term than its server led in follows the successor's log.
    pub(super) fn has_unmerged_log(&self, server: ServerKey, report: &Report) -> bool {
        let term = self.terms.get(&server);
        term.is_some_and(|term| report.received.term <= *term)
    }

    /// Reports whether `server`, which was replaced, follows the newest primary that this host
    /// knows, according to its own `report`.
    ///
    /// The log alone does not show this while nothing has been written since: it still ends in the
    /// term that the server led. A server with a longer log from the successor carries the newer
    /// term and is preferred anyway. Guards against passing over the longest log: 30 acknowledged
    /// commits were lost to a lagging replica, and a service had no primary for 11 s, until an
    /// empty server was promoted.
    ///
    /// A former primary that has not learned of its successor reports its own term and stays passed
    /// over: the successor may lead.
    pub(super) fn follows_newest_primary(&self, server: ServerKey, report: &Report) -> bool {
        let newest = self.terms.values().max();
        let own = self.terms.get(&server);
        own < newest && newest.is_some_and(|newest| report.term >= *newest)
    }

    /// Reports whether there is no primary because the last known one was replaced. Its entry is
    /// still listed, so the server was not lost; and a server steps down only for a successor,
    /// which this host does not know yet. A server that still claims to lead and is not trusted was
    /// not replaced.
    pub(super) fn is_last_replaced(&self, view: &View) -> bool {
        let listed = |last| view.candidates.contains(&last) && !view.distrusted.contains(&last);
        view.leader.is_none() && self.last_leader.is_some_and(listed)
    }
}
