//! Commits that promotions have rolled back.

use std::time::Instant;

use super::group::Entry;

/// A commit that a promotion has rolled back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollback {
    /// The commit.
    pub entry: Entry,
    /// When it was rolled back.
    pub at: Instant,
    /// When the promotion of a server that still had it brought it back.
    pub restored: Option<Instant>,
}

impl Rollback {
    /// `entry` is rolled back now.
    pub fn new(entry: Entry) -> Rollback {
        Rollback {
            entry,
            at: Instant::now(),
            restored: None,
        }
    }

    /// A server with `log` is promoted: what it has counts from now on.
    pub(super) fn promoted(&mut self, log: &[Entry]) {
        if self.restored.is_none() && log.contains(&self.entry) {
            self.restored = Some(Instant::now());
        }
    }

    /// Whether a read that began at `since` and was answered at `until` may miss the commit.
    pub fn excuses(&self, since: Instant, until: Instant) -> bool {
        let before = self.restored.is_none_or(|restored| since < restored);
        self.at <= until && before
    }
}
