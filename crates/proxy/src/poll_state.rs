//! Polling state of one of the platform's tables: the next request, the backoff, and outages.

use std::time::Duration;

use crate::feeds::CancelReason;
use crate::platform::{Error, Revision};

/// Backoff after the first failed call, doubled up to [`MAX_BACKOFF`]. The platform charges for
/// every call, including refused ones.
pub const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff. An outage may end at any moment, and changes missed during it have to be read
/// soon after that.
pub const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Interval within which a second loss of a table's history waits [`MIN_BACKOFF`]. Guards against a
/// storm of calls: a store that keeps hardly any history refuses each feed right after the table
/// was read, and a host that read it again immediately made 1,900 calls a second to a stand-in
/// store. The first loss does not wait, since changes may have been missed.
const HISTORY_LOSS_WINDOW: Duration = Duration::from_secs(1);

/// Polling state of one of the platform's tables.
///
/// A lost call that waits for changes hangs for its whole wait and hides the end of an outage, so
/// that changes which the platform has acknowledged are missed. Therefore a call waits only if the
/// previous one was answered. After a failed call, requests return immediately with what has
/// changed, and the first answer ends the outage.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_proxy::platform::{Error, Revision};
/// use flamingopost_proxy::poll_state::{PollRequest, PollState};
///
/// let at = Duration::from_secs;
/// let mut poll = PollState::new("configuration", at(0));
/// assert_eq!(poll.next_request(at(0)), PollRequest::All);
/// assert_eq!(poll.answered(Revision(7), at(0)), None);
/// assert_eq!(poll.next_request(at(0)), PollRequest::LongPoll(Revision(7)));
/// poll.failed(&Error::Lost("no answer in time".to_owned()), at(3));
/// assert_eq!(poll.next_request(at(4)), PollRequest::Changes(Revision(7)));
/// let outage = poll.answered(Revision(9), at(4)).expect("one has ended");
/// assert_eq!((outage.duration, outage.failed_calls), (at(1), 1));
/// assert_eq!(poll.next_request(at(4)), PollRequest::LongPoll(Revision(9)));
/// ```
#[derive(Debug)]
pub struct PollState {
    table: &'static str,
    /// Revision up to which everything was read, or `None` if the whole table has to be read.
    read_up_to: Option<Revision>,
    /// Revision up to which everything was read at last, also if the whole table has to be read
    /// again.
    last_read: Option<Revision>,
    /// Whether the last call was answered, so that the next one may wait.
    may_wait: bool,
    last_call_at: Duration,
    last_answer_at: Duration,
    outage: Option<OngoingOutage>,
    next_pause: Duration,
    /// When the table's history was last lost.
    history_lost_at: Option<Duration>,
}

/// An outage that has not ended.
#[derive(Debug, Clone, Copy)]
struct OngoingOutage {
    since: Duration,
    failed_calls: u32,
    last_failed_at: Duration,
}

/// The next request to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollRequest {
    /// Read the whole table.
    All,
    /// Read the changes since this revision, without waiting.
    Changes(Revision),
    /// Read the changes since this revision, and wait if there are none.
    LongPoll(Revision),
}

/// An outage that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Time from its first failed call to its end.
    pub duration: Duration,
    /// Number of failed calls.
    pub failed_calls: u32,
    /// When the last of them failed.
    pub last_failed_at: Duration,
}

/// Consequence of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// The changes since the last read are lost, and the whole table has to be read.
    HistoryGone {
        /// Wait before that read. Zero unless the history was lost a moment ago as well.
        pause: Duration,
    },
    /// An outage begins.
    OutageBegan {
        /// Time since the call was made.
        called: Duration,
        /// Time since the platform last answered a call for this table.
        silent: Duration,
        /// Wait before the next call.
        pause: Duration,
    },
    /// An outage continues.
    OutageContinues {
        /// Wait before the next call.
        pause: Duration,
    },
}

impl PollState {
    /// Creates the state of a table that was not read yet.
    pub fn new(table: &'static str, now: Duration) -> PollState {
        PollState {
            table,
            read_up_to: None,
            last_read: None,
            may_wait: false,
            last_call_at: now,
            last_answer_at: now,
            outage: None,
            next_pause: MIN_BACKOFF,
            history_lost_at: None,
        }
    }

    /// Returns the name of the table.
    pub fn table(&self) -> &'static str {
        self.table
    }

    /// Returns the next request. The caller makes it now.
    pub fn next_request(&mut self, now: Duration) -> PollRequest {
        self.last_call_at = now;
        match (self.read_up_to, self.may_wait) {
            (None, _) => PollRequest::All,
            (Some(after), true) => PollRequest::LongPoll(after),
            (Some(after), false) => PollRequest::Changes(after),
        }
    }

    /// Records that everything up to `after` was read. Returns the outage that this ends, if any.
    pub fn answered(&mut self, after: Revision, now: Duration) -> Option<Outage> {
        self.read_up_to = Some(after);
        self.last_read = Some(after);
        self.may_wait = true;
        self.last_answer_at = now;
        self.next_pause = MIN_BACKOFF;
        let outage = self.outage.take()?;
        Some(Outage {
            duration: now.saturating_sub(outage.since),
            failed_calls: outage.failed_calls,
            last_failed_at: outage.last_failed_at,
        })
    }

    /// Returns the revision up to which everything was read at last, and whether the whole table has
    /// to be read again.
    pub fn last_read(&self) -> (Revision, bool) {
        let last_read = self.last_read.unwrap_or_default();
        (last_read, self.read_up_to.is_none())
    }

    /// Reports whether the table was read.
    pub fn has_read(&self) -> bool {
        self.read_up_to.is_some()
    }

    /// Records that another host has delivered everything up to `after`. The next call to the
    /// platform does not wait, since the answers of other hosts do not tell whether it answers. An
    /// outage that this host has noticed is no longer observed.
    pub fn relayed(&mut self, after: Revision, now: Duration) {
        self.read_up_to = Some(after);
        self.last_read = Some(after);
        self.may_wait = false;
        self.last_answer_at = now;
        self.next_pause = MIN_BACKOFF;
        self.outage = None;
    }

    /// Records that a waiting call was cancelled because of `reason`.
    pub fn cancelled(&mut self, reason: CancelReason) {
        match reason {
            CancelReason::Behind
            | CancelReason::Restored
            | CancelReason::PossiblyStale
            | CancelReason::FormerEpoch => self.read_up_to = None,
            CancelReason::Outage | CancelReason::PeersLost => self.may_wait = false,
        }
    }

    /// Records that a call failed.
    pub fn failed(&mut self, error: &Error, now: Duration) -> PollFailure {
        if *error == Error::HistoryGone {
            self.read_up_to = None;
            let before = self.history_lost_at.replace(now);
            let is_again = before.is_some_and(|before| now < before + HISTORY_LOSS_WINDOW);
            let pause = if is_again {
                MIN_BACKOFF
            } else {
                Duration::ZERO
            };
            return PollFailure::HistoryGone { pause };
        }
        self.may_wait = false;
        let pause = self.next_pause;
        self.next_pause = (pause * 2).min(MAX_BACKOFF);
        if let Some(outage) = &mut self.outage {
            outage.failed_calls += 1;
            outage.last_failed_at = now;
            return PollFailure::OutageContinues { pause };
        }
        self.outage = Some(OngoingOutage {
            since: now,
            failed_calls: 1,
            last_failed_at: now,
        });
        PollFailure::OutageBegan {
            called: now.saturating_sub(self.last_call_at),
            silent: now.saturating_sub(self.last_answer_at),
            pause,
        }
    }
}
