//! What a host knows of the electorate's record in the store.

use std::time::Duration;

use super::{CLOCK_MARGIN, LEASE_DURATION};

/// What a host knows of the electorate's record in the store, whose revisions are `R`.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::quorum::{LEASE_DURATION, Recording};
///
/// let at = Duration::from_secs;
/// let mut recording = Recording::default();
/// recording.observe(7, at(1));
/// recording.observe(7, at(9));
/// assert_eq!(recording.unchanged_since(), Some(at(1)));
/// assert!(!recording.withhold(at(20)), "this host may have extended a lease a moment ago");
/// assert!(recording.withhold(at(21)));
/// recording.observe(8, at(22));
/// assert!(!recording.is_withholding(), "a write in place of revision 7 has no effect any more");
/// ```
#[derive(Debug)]
pub struct Recording<R> {
    /// The newest revision known, and since when it is. `None` in place of it means that there is no
    /// record.
    newest: Option<(Option<R>, Duration)>,
    /// The revision in whose place this host records an electorate that the present one has not
    /// consented to, and since when.
    withheld: Option<(R, Duration)>,
}

impl<R> Default for Recording<R> {
    fn default() -> Recording<R> {
        Recording {
            newest: None,
            withheld: None,
        }
    }
}

impl<R: Copy + Ord> Recording<R> {
    /// Records that the store had the record `revision` at `now` or before.
    pub fn observe(&mut self, revision: R, now: Duration) {
        let known = self.revision();
        if known.is_none_or(|known| known < revision) {
            self.newest = Some((Some(revision), now));
            self.withheld = self.withheld.filter(|(it, _)| *it == revision);
        }
    }

    /// Records that the store has no record: there never was one, or it was restored from a copy without it.
    pub fn observe_absence(&mut self, now: Duration) {
        self.newest = Some((None, now));
        self.withheld = None;
    }

    /// Reports whether this host knows if there is a record.
    pub fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Returns the newest revision known.
    pub fn revision(&self) -> Option<R> {
        self.newest?.0
    }

    /// Returns since when it is known.
    pub fn unchanged_since(&self) -> Option<Duration> {
        Some(self.newest?.1)
    }

    /// Stops extending leases until another revision is known. Returns whether no lease that this host
    /// has extended before lasts any more.
    ///
    /// While all electors answer each other they need no renewal, so one that records an electorate
    /// without their consent has to stop before. Its call may be carried out late as well.
    pub fn withhold(&mut self, now: Duration) -> bool {
        let Some(revision) = self.revision() else {
            return false;
        };
        let (_, since) = *self.withheld.get_or_insert((revision, now));
        now >= since + LEASE_DURATION + CLOCK_MARGIN
    }

    /// Reports whether this host extends no leases.
    pub fn is_withholding(&self) -> bool {
        self.withheld.is_some()
    }
}
