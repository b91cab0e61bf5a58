//! Which numbers of another host's changes were received.

use std::collections::BTreeMap;

/// The numbers of changes that were received from one process of another host.
///
/// ```
/// use flamingopost_core::change_log::Coverage;
///
/// let mut coverage = Coverage::new(7);
/// coverage.record(0, 12);
/// coverage.record(24, 30);
/// assert_eq!(coverage.complete_after(0), 12, "one message was lost");
/// coverage.record(12, 24);
/// assert_eq!(coverage.complete_after(0), 30);
/// assert_eq!(coverage.complete_after(40), 40);
/// ```
#[derive(Debug)]
pub struct Coverage {
    process: u64,
    /// Ends of the intervals, by the number before their first one. They neither touch nor overlap.
    intervals: BTreeMap<u64, u64>,
}

impl Coverage {
    /// Nothing was received from `process` yet.
    pub fn new(process: u64) -> Coverage {
        let intervals = BTreeMap::new();
        Coverage { process, intervals }
    }

    /// Returns the process whose changes these are.
    pub fn process(&self) -> u64 {
        self.process
    }

    /// Records that everything after the number `from` was received up to `to`.
    pub fn record(&mut self, from: u64, to: u64) {
        let (mut from, mut to) = (from, to.max(from));
        while let Some((start, end)) = self.intervals.range(..=to).next_back() {
            let (start, end) = (*start, *end);
            if end < from {
                break;
            }
            self.intervals.remove(&start);
            (from, to) = (from.min(start), to.max(end));
        }
        self.intervals.insert(from, to);
    }

    /// Returns the number up to which everything after `start` was received.
    pub fn complete_after(&self, start: u64) -> u64 {
        let before = self.intervals.range(..=start).next_back();
        before.map_or(start, |(_, end)| start.max(*end))
    }
}
