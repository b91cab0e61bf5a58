//! The time for which inquiries have passed over the server with the longest log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::ServerKey;
use crate::position::Position;
use crate::term::Term;

use super::action::Report;
use super::inquiry::RETURN_TIMEOUT;
use super::view::View;

/// A server with the longest log that was not promoted, because it was replaced and has not followed
/// its successor.
#[derive(Debug, Clone)]
pub(super) struct PassedOver {
    pub(super) server: ServerKey,
    /// The term whose primary is missed.
    pub(super) term: Term,
    /// When the first of the inquiries that have passed it over began.
    pub(super) since: Duration,
    /// The end of its log according to its last report.
    pub(super) received: Position,
    /// Servers that may have a longer log and have been listed since.
    pub(super) listed: BTreeSet<ServerKey>,
}

impl PassedOver {
    /// Reports whether the server was passed over in inquiries about the primary of `term`.
    pub(super) fn is_of_term(&self, term: Term) -> bool {
        self.term == term
    }

    /// Reports whether the wait so far counts for `server`, according to the `reports` of an inquiry.
    ///
    /// It does not once the server has lost part of its log. Others may have lost power with it and
    /// still be restarting, and one of them may now have the longest log. Nor does it while a server
    /// that was listed later has not reported: that one may be restarting with the log.
    pub(super) fn covers(
        &self,
        server: ServerKey,
        reports: &BTreeMap<ServerKey, Report>,
        view: &View,
    ) -> bool {
        let intact = |report: &Report| {
            let emptied = report.has_empty_log() && self.received.log > 0;
            !emptied && report.received >= self.received
        };
        let has_waited = |it: ServerKey| self.listed.contains(&it) || reports.contains_key(&it);
        self.server == server
            && reports.get(&server).is_some_and(intact)
            && listed_servers(view).all(has_waited)
    }

    /// Returns the record after an inquiry that the server has not answered. A server that is no
    /// longer listed counts as listed late when it is back.
    pub(super) fn keep_listed(&self, view: &View) -> Self {
        let listed = listed_servers(view).filter(|it| self.listed.contains(it));
        Self {
            listed: listed.collect(),
            ..self.clone()
        }
    }

    /// Reports whether a better server has had the time of a restart.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        now >= self.since + RETURN_TIMEOUT
    }
}

/// Returns the servers of the list, including those that are about to leave: one of them may be the
/// only one with the log.
pub(super) fn listed_servers(view: &View) -> impl Iterator<Item = ServerKey> {
    view.candidates.iter().chain(&view.leaving).copied()
}
