//! The time for which inquiries have passed over the server with the longest log.

use std::time::Duration;

use crate::key::ServerKey;
use crate::position::Position;
use crate::term::Term;

use super::action::Report;
use super::inquiry::RETURN_TIMEOUT;

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
}

impl PassedOver {
    /// Reports whether the server was passed over in inquiries about the primary of `term`.
    pub(super) fn is_of_term(&self, term: Term) -> bool {
        self.term == term
    }

    /// Reports whether the wait so far counts for `server`, which has sent `report`.
    ///
    /// It does not once the server has lost part of its log. Others may have lost power with it and
    /// still be restarting, and one of them may now have the longest log.
    pub(super) fn covers(&self, server: ServerKey, report: &Report) -> bool {
        let emptied = report.has_empty_log() && self.received.log > 0;
        self.server == server && !emptied && report.received >= self.received
    }

    /// Reports whether a better server has had the time of a restart.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        now >= self.since + RETURN_TIMEOUT
    }
}
