//! The health of one server as seen through a host's own connections.

use std::time::Duration;

/// What is wrong with a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// No primary is known.
    Absent {
        /// When this began.
        since: Duration,
    },
    /// The primary's machine refuses connections: no process listens on the port.
    Refuses {
        /// When this began.
        since: Duration,
    },
    /// The primary does not answer.
    Silent {
        /// When this began.
        since: Duration,
    },
    /// The primary is about to leave.
    Leaving,
}

/// Number of refused connections in a row after which a server counts as gone. A single one may be
/// due to a restart of its listener.
const REFUSED_LIMIT: u32 = 2;

/// A server with outstanding statements that has answered nothing for this long is probed on
/// another connection: a live server answers there within a round trip and its queueing time.
const PROBE_DELAY: Duration = Duration::from_millis(120);

/// The health of one server as seen through a host's own connections.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::succession::{Contact, Trouble};
///
/// let at = Duration::from_millis;
/// let mut contact = Contact::default();
/// contact.record_answer(at(100));
/// contact.record_refusal(at(110));
/// assert_eq!(contact.trouble(at(120)), None, "once is no evidence");
/// contact.record_refusal(at(130));
/// assert_eq!(contact.trouble(at(131)), Some(Trouble::Refuses { since: at(110) }));
/// contact.record_answer(at(140));
/// assert_eq!(contact.trouble(at(150)), None);
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct Contact {
    answered_at: Option<Duration>,
    failing_since: Option<Duration>,
    refusals: u32,
    timeouts: u32,
}

impl Contact {
    /// Records an answer of the server at `now`.
    pub fn record_answer(&mut self, now: Duration) {
        *self = Contact {
            answered_at: Some(now),
            ..Contact::default()
        };
    }

    /// Records that a connection was refused or reset at `now`.
    pub fn record_refusal(&mut self, now: Duration) {
        self.failing_since.get_or_insert(now);
        self.refusals += 1;
    }

    /// Records that a request sent at `sent` was not answered in time.
    pub fn record_timeout(&mut self, sent: Duration) {
        if self.answered_at.is_some_and(|answered| answered > sent) {
            return;
        }
        self.failing_since.get_or_insert(sent);
        self.timeouts += 1;
    }

    /// Reports whether a request sent at `sent` has been outstanding for so long that the server
    /// should be probed on another connection.
    pub fn is_overdue(&self, sent: Duration, now: Duration) -> bool {
        let answered_since = self.answered_at.is_some_and(|answered| answered > sent);
        !answered_since && now >= sent + PROBE_DELAY
    }

    /// Returns the time since the server's last answer.
    pub fn answer_age(&self, now: Duration) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_sub(at))
    }

    /// Reports whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns what is wrong with the server, if anything.
    pub fn trouble(&self, now: Duration) -> Option<Trouble> {
        let since = self.failing_since?;
        if self.refusals >= REFUSED_LIMIT && self.timeouts == 0 {
            return Some(Trouble::Refuses { since });
        }
        let long = now >= since + super::SILENCE_MAX;
        long.then_some(Trouble::Silent { since })
    }
}
