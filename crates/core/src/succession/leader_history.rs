//! Which servers have led, as one host has seen it.

use std::collections::BTreeMap;

use crate::key::ServerKey;
use crate::term::Term;

use super::action::Report;
use super::view::View;

/// Servers that were seen to lead, each with the newest term in which it did.
#[derive(Debug, Default)]
pub(super) struct LeaderHistory {
    terms: BTreeMap<ServerKey, Term>,
    last_leader: Option<ServerKey>,
}

impl LeaderHistory {
    /// Takes note of who leads in `view`, and of servers that have started again: what a log ends
    /// with outlives a restart.
    pub(super) fn observe_view(&mut self, view: &View) {
        for (server, former) in &view.previous_starts {
            self.transfer(*server, *former);
        }
        // A host that has just started learns of a replaced primary only by a claim that it does not
        // believe.
        for (server, term) in &view.terms_led {
            self.record_term_led(*server, *term);
        }
        if let Some(leader) = view.leader {
            // Not the newest term that is known: a replica's log shows a change before the host
            // hears of the successor, and the old primary would count as having led that term. Once
            // it follows, it would be passed over with commits that it alone has.
            self.record_term_led(leader, view.leader_term);
            self.last_leader = Some(leader);
        }
    }

    /// `server` was seen to lead `term`.
    pub(super) fn record_term_led(&mut self, server: ServerKey, term: Term) {
        let known = self.terms.entry(server).or_default();
        *known = term.max(*known);
    }

    /// Servers that were seen to lead, each with the newest term in which it did.
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

    /// Whether `server`, which says `report` of itself, was replaced and has not followed its
    /// successor yet.
    ///
    /// A primary that is cut off goes on writing until its successor leads. Its log then ends with
    /// writes that no other server has, so it is the longest and looks like the best candidate. A
    /// server that was promoted with such a log brought back what the change had dropped, and
    /// dropped what its successor had acknowledged since: 816 to 849 stale reads in 3 of 24 trials.
    /// A log that has reached a newer term than its server led in follows the successor's.
    pub(super) fn has_unmerged_log(&self, server: ServerKey, report: &Report) -> bool {
        let term = self.terms.get(&server);
        term.is_some_and(|term| report.received.term <= *term)
    }

    /// Whether `server`, which was replaced, follows the newest primary that this host knows, by its own
    /// `report`.
    ///
    /// Its log does not show it where nothing has been written since: it still ends in the term that
    /// the server led. A server that has more, by its successor, names the newer term and goes first
    /// anyway. Guards against passing over the longest log: 30 acknowledged commits were lost to a
    /// replica that lagged, and a service had no primary for 11 s, until an empty server was promoted.
    ///
    /// A former primary that has not heard of its successor names its own term, and stays passed over:
    /// the successor may lead.
    pub(super) fn follows_newest_primary(&self, server: ServerKey, report: &Report) -> bool {
        let newest = self.terms.values().max();
        let own = self.terms.get(&server);
        own < newest && newest.is_some_and(|newest| report.term >= *newest)
    }

    /// Whether nobody leads because the last known primary was replaced. Its entry is still
    /// listed, so it was not lost; and a server gives up its lead only to a successor, which this
    /// host has not heard of yet. One that still claims to lead and is not believed was not
    /// replaced.
    pub(super) fn is_last_replaced(&self, view: &View) -> bool {
        let listed = |last| view.candidates.contains(&last) && !view.distrusted.contains(&last);
        view.leader.is_none() && self.last_leader.is_some_and(listed)
    }
}
