//! Whether a session waits for the hosts that serve its service on behalf of this one.

use std::time::Duration;

/// How long sessions wait for the serving hosts of their zone after none of them could be reached.
///
/// Hosts that lost power together start within this time of each other. It leaves more than half of
/// the shortest deadline of a request, 1,200 ms.
const START_SPREAD: Duration = Duration::from_millis(500);

/// Pause before the serving hosts are tried again: as long as a process takes to open its ports.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Contact of this host with the hosts that serve one service for its zone.
///
/// Hosts that do not serve a service may open one connection to each of its servers. If all of them
/// did that whenever a serving host has not started yet, the servers would have no connection left
/// for the serving hosts.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::serving_contact::{Next, ServingContact};
///
/// let mut contact = ServingContact::default();
/// let pause = Duration::from_millis(50);
/// assert_eq!(contact.record_failure(Duration::from_secs(1)), Next::RetryAfter(pause));
/// assert_eq!(contact.record_failure(Duration::from_secs(2)), Next::ServeHere);
/// ```
#[derive(Debug, Default)]
pub struct ServingContact {
    /// When the serving hosts were first found out of reach since the last success.
    unreachable_since: Option<Duration>,
}

/// What a session does after no serving host could be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It tries all of them again after this pause.
    RetryAfter(Duration),
    /// It is served by this host.
    ServeHere,
}

impl ServingContact {
    /// Records that a serving host has accepted a session.
    pub fn record_success(&mut self) {
        self.unreachable_since = None;
    }

    /// Records that no serving host could be reached, or that they are not known yet, and returns
    /// what the session does next.
    pub fn record_failure(&mut self, now: Duration) -> Next {
        let since = *self.unreachable_since.get_or_insert(now);
        match now < since + START_SPREAD {
            true => Next::RetryAfter(RETRY_AFTER),
            false => Next::ServeHere,
        }
    }
}
