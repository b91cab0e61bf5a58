//! What a host's own connections show of one server.

use std::time::Duration;

/// What is wrong with a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nobody is known to lead.
    Absent {
        /// Since when.
        since: Duration,
    },
    /// Its host refuses connections: no process listens there.
    Refuses {
        /// Since when.
        since: Duration,
    },
    /// Nothing comes back from it.
    Silent {
        /// Since when.
        since: Duration,
    },
    /// It is about to leave.
    Leaving,
}

/// Refused connects in a row after which a server counts as gone. One may meet a restart of its
/// listener.
const REFUSED_LIMIT: u32 = 2;

/// A server that has answered nothing at all for this long, with statements outstanding, is tried
/// on another connection: a live one answers there in a round trip and the time of its queue.
const PROBE_DELAY: Duration = Duration::from_millis(120);

/// What a host's own connections show of one server.
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
    /// The server answered something at `now`.
    pub fn record_answer(&mut self, now: Duration) {
        *self = Contact {
            answered_at: Some(now),
            ..Contact::default()
        };
    }

    /// A connect was refused, or an open connection was reset, at `now`.
    pub fn record_refusal(&mut self, now: Duration) {
        self.failing_since.get_or_insert(now);
        self.refusals += 1;
    }

    /// Something sent at `sent` had no answer in time.
    pub fn record_timeout(&mut self, sent: Duration) {
        if self.answered_at.is_some_and(|answered| answered > sent) {
            return;
        }
        self.failing_since.get_or_insert(sent);
        self.timeouts += 1;
    }

    /// Something sent at `sent` has no answer yet, which is longer than usual; whether the server
    /// should be tried on another connection to find out why.
    pub fn is_overdue(&self, sent: Duration, now: Duration) -> bool {
        let heard = self.answered_at.is_some_and(|answered| answered > sent);
        !heard && now >= sent + PROBE_DELAY
    }

    /// How long ago the server last answered.
    pub fn answer_age(&self, now: Duration) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the last thing that was tried came to nothing.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// What is wrong, if anything.
    pub fn trouble(&self, now: Duration) -> Option<Trouble> {
        let since = self.failing_since?;
        if self.refusals >= REFUSED_LIMIT && self.timeouts == 0 {
            return Some(Trouble::Refuses { since });
        }
        let long = now >= since + super::SILENCE_MAX;
        long.then_some(Trouble::Silent { since })
    }
}
