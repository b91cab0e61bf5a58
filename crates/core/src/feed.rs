//! Detection of a stuck feed: a feed of the platform that no longer delivers changes to this host.
//!
//! A call that waits for changes (long poll) may wait in vain, because its connection is dead or
//! its answer was lost. A shorter wait detects this sooner, but makes more calls, which are charged
//! for and limited for all hosts together. So in a large fleet only a few hosts use short waits.
//! They report to the others how far they have read, and a host that has read less than that makes
//! a new call.

use std::time::Duration;

pub mod source;

/// How long a feed may be behind the feeds of other hosts before it counts as stuck. Changes reach
/// hosts some milliseconds apart, and hundreds of milliseconds apart when the store is slow.
pub const STUCK_AFTER: Duration = Duration::from_millis(400);

/// Longest such time; it doubles with each new call. A host that the store refuses keeps learning
/// of changes from other hosts, and each further call is charged for.
pub const STUCK_AFTER_MAX: Duration = Duration::from_millis(3_200);

/// Tracks how far one of the platform's feeds was read, by this host and by others.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::feed::{Feed, STUCK_AFTER};
///
/// let at = Duration::from_secs(1);
/// let mut feed = Feed::default();
/// feed.record_read(40, Some(37));
/// feed.record_peer_read(40, at);
/// assert!(!feed.is_stuck(at + STUCK_AFTER), "as of 40 there was nothing newer than 37");
/// feed.record_peer_read(41, at);
/// assert!(feed.is_behind() && !feed.is_stuck(at));
/// assert!(feed.is_stuck(at + STUCK_AFTER));
/// feed.record_read(43, Some(41));
/// assert!(!feed.is_stuck(at + STUCK_AFTER));
/// assert_eq!(feed.newest(), 41);
/// ```
#[derive(Debug, Default)]
pub struct Feed {
    /// Version up to which everything was read.
    as_of: u64,
    /// Version of the newest change that was read.
    newest: u64,
    behind: Option<Behind>,
}

/// A change that other hosts have read and this host has not.
#[derive(Debug, Clone, Copy)]
struct Behind {
    newest: u64,
    since: Duration,
    stuck_after: Duration,
}

impl Feed {
    /// Records that everything up to version `as_of` was read. `newest` is the version of the
    /// newest change in it, if there was any.
    pub fn record_read(&mut self, as_of: u64, newest: Option<u64>) {
        self.as_of = self.as_of.max(as_of);
        self.newest = self.newest.max(newest.unwrap_or_default());
        if self
            .behind
            .is_some_and(|behind| behind.newest <= self.as_of)
        {
            self.behind = None;
        }
    }

    /// Returns the version of the newest change that was read, which is reported to other hosts.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Records that another host has read a change with version `newest`.
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

    /// Returns whether another host has read a change that this host has not.
    pub fn is_behind(&self) -> bool {
        self.behind.is_some()
    }

    /// Returns whether the call that waits for changes has to be replaced by a new one.
    pub fn is_stuck(&self, now: Duration) -> bool {
        self.behind
            .is_some_and(|behind| now >= behind.since + behind.stuck_after)
    }

    /// Records that a new call was made, and doubles the time until the feed counts as stuck again.
    pub fn record_retry(&mut self, now: Duration) {
        if let Some(behind) = &mut self.behind {
            behind.since = now;
            behind.stuck_after = (behind.stuck_after * 2).min(STUCK_AFTER_MAX);
        }
    }
}
