//! Whether one of the platform's feeds still brings this host what others have got already.
//!
//! A call that waits for changes may wait for nothing: the connection is dead, or its answer was
//! lost. The shorter each call waits, the sooner that shows, and the more calls are made, which
//! are charged for and shared by all hosts. So in a large fleet only a few hosts wait for short
//! times. They tell the others how far they have read, and a host that is told of more than it
//! has itself asks again at once.

use std::time::Duration;

/// How long a feed may be behind what others have read before it counts as stuck: changes reach
/// hosts some milliseconds apart, and a slow store takes hundreds.
pub const STUCK_AFTER: Duration = Duration::from_millis(400);

/// Longest patience, reached by doubling: a host that the store turns away is told of changes all
/// the while, and each further call is charged for.
pub const STUCK_AFTER_MAX: Duration = Duration::from_millis(3_200);

/// How far one of the platform's feeds has been read, here and elsewhere.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::feed::{Feed, STUCK_AFTER};
///
/// let at = Duration::from_secs(1);
/// let mut feed = Feed::default();
/// feed.read(40, Some(37));
/// feed.record_peer_read(40, at);
/// assert!(!feed.is_stuck(at + STUCK_AFTER), "as of 40 there was nothing newer than 37");
/// feed.record_peer_read(41, at);
/// assert!(feed.is_behind() && !feed.is_stuck(at));
/// assert!(feed.is_stuck(at + STUCK_AFTER));
/// feed.read(43, Some(41));
/// assert!(!feed.is_stuck(at + STUCK_AFTER));
/// assert_eq!(feed.newest(), 41);
/// ```
#[derive(Debug, Default)]
pub struct Feed {
    /// Everything up to here has been read.
    as_of: u64,
    /// The newest change that was read.
    newest: u64,
    behind: Option<Behind>,
}

/// What others have read and this host has not.
#[derive(Debug, Clone, Copy)]
struct Behind {
    newest: u64,
    since: Duration,
    stuck_after: Duration,
}

impl Feed {
    /// Everything up to `as_of` was read; the newest change in it, if there was any, is `newest`.
    pub fn read(&mut self, as_of: u64, newest: Option<u64>) {
        self.as_of = self.as_of.max(as_of);
        self.newest = self.newest.max(newest.unwrap_or_default());
        if self
            .behind
            .is_some_and(|behind| behind.newest <= self.as_of)
        {
            self.behind = None;
        }
    }

    /// The newest change that was read: what others are told.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Another host has read a change at `newest`.
    pub fn record_peer_read(&mut self, newest: u64, now: Duration) {
        if newest <= self.as_of {
            return;
        }
        match &mut self.behind {
            Some(behind) => behind.newest = behind.newest.max(newest),
            None => {
                self.behind = Some(Behind {
                    newest,
                    since: now,
                    stuck_after: STUCK_AFTER,
                });
            }
        }
    }

    /// Whether another host has read a change that this one has not.
    pub fn is_behind(&self) -> bool {
        self.behind.is_some()
    }

    /// Whether the call that waits for changes has to be given up, and a new one made.
    pub fn is_stuck(&self, now: Duration) -> bool {
        self.behind
            .is_some_and(|behind| now >= behind.since + behind.stuck_after)
    }

    /// A new call is made.
    pub fn record_retry(&mut self, now: Duration) {
        if let Some(behind) = &mut self.behind {
            behind.since = now;
            behind.stuck_after = (behind.stuck_after * 2).min(STUCK_AFTER_MAX);
        }
    }
}
