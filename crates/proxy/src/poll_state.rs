//! How one of the platform's tables is followed: what to ask next, and how outages begin and end.

use std::time::Duration;

use crate::feeds::CancelReason;
use crate::platform::{Error, Revision};

/// Wait after the first call that failed; doubled up to [`MAX_BACKOFF`]. Calls to the platform are
/// charged for, refused ones too.
pub const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest such wait: an outage may end at any moment, and what was missed counts from then.
pub const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time between two losses of a table's history within which the second waits [`MIN_BACKOFF`]. Guards
/// against a storm: a store that keeps hardly any history refuses each feed as soon as the table
/// has been read, and a host that reads it again at once made 1,900 calls a second to a stand-in
/// store. The first loss waits for nothing, since what was missed counts.
const HISTORY_LOSS_WINDOW: Duration = Duration::from_secs(1);

/// How one of the platform's tables is followed.
///
/// A call that waits for changes and is lost hangs for its whole wait, and hides the end of an
/// outage for that long: changes are then missed which the platform has acknowledged. So a call
/// waits only if the one before it was answered. After one that was not, calls ask for what there
/// is, and the first of them that is answered ends the outage.
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
    what: &'static str,
    /// Everything up to here has been read; nothing if all is to be read.
    read_up_to: Option<Revision>,
    /// Whether the platform answers as far as is known, so that a call may wait.
    may_wait: bool,
    last_call_at: Duration,
    last_answer_at: Duration,
    outage: Option<OngoingOutage>,
    next_pause: Duration,
    /// When its history was last gone.
    history_lost_at: Option<Duration>,
}

/// An outage that goes on.
#[derive(Debug, Clone, Copy)]
struct OngoingOutage {
    since: Duration,
    failed_calls: u32,
}

/// What to ask next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollRequest {
    /// For everything.
    All,
    /// For what has changed since, without waiting.
    Changes(Revision),
    /// For what has changed since, waiting if there is nothing.
    LongPoll(Revision),
}

/// An outage that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Time from its first failed call.
    pub duration: Duration,
    /// Calls that failed.
    pub failed_calls: u32,
}

/// What a failed call leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// The changes since the last read are gone; everything is read.
    HistoryGone {
        /// Wait before that; none unless they were gone a moment ago as well.
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
    /// An outage goes on.
    OutageContinues {
        /// Wait before the next call.
        pause: Duration,
    },
}

impl PollState {
    /// Nothing has been read yet.
    pub fn new(what: &'static str, now: Duration) -> PollState {
        PollState {
            what,
            read_up_to: None,
            may_wait: false,
            last_call_at: now,
            last_answer_at: now,
            outage: None,
            next_pause: MIN_BACKOFF,
            history_lost_at: None,
        }
    }

    /// What the table holds.
    pub fn table(&self) -> &'static str {
        self.what
    }

    /// What to ask; the call is made now.
    pub fn next_request(&mut self, now: Duration) -> PollRequest {
        self.last_call_at = now;
        match (self.read_up_to, self.may_wait) {
            (None, _) => PollRequest::All,
            (Some(after), true) => PollRequest::LongPoll(after),
            (Some(after), false) => PollRequest::Changes(after),
        }
    }

    /// Everything up to `after` was read. Returns the outage that this ends.
    pub fn answered(&mut self, after: Revision, now: Duration) -> Option<Outage> {
        self.read_up_to = Some(after);
        self.may_wait = true;
        self.last_answer_at = now;
        self.next_pause = MIN_BACKOFF;
        let outage = self.outage.take()?;
        Some(Outage {
            duration: now.saturating_sub(outage.since),
            failed_calls: outage.failed_calls,
        })
    }

    /// A call that waited was given up because of `doubt`.
    pub fn cancelled(&mut self, reason: CancelReason) {
        match reason {
            CancelReason::Behind
            | CancelReason::Restored
            | CancelReason::PossiblyStale
            | CancelReason::FormerEpoch => self.read_up_to = None,
            CancelReason::Outage | CancelReason::PeersLost => self.may_wait = false,
        }
    }

    /// A call failed.
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
            return PollFailure::OutageContinues { pause };
        }
        self.outage = Some(OngoingOutage {
            since: now,
            failed_calls: 1,
        });
        PollFailure::OutageBegan {
            called: now.saturating_sub(self.last_call_at),
            silent: now.saturating_sub(self.last_answer_at),
            pause,
        }
    }
}
