//! The pace at which waiting requests start while a service is overloaded.

use std::collections::VecDeque;
use std::time::Duration;

use super::Need;

/// Time over which starts are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Requests have to have waited without a break for this long. A burst is over sooner, and starts as
/// fast as servers allow.
const MIN_SPAN: Duration = Duration::from_millis(300);

/// Number of starts that a pace needs.
const MIN_COUNT: usize = 4;

/// Maximum number of starts that are kept.
const MAX_COUNT: usize = 128;

/// A pause of more than this many times the mean time between two starts says nothing of the pace
/// after it.
const PAUSE_FACTOR: u32 = 4;

/// Starts of requests of one kind of need while others of the same kind waited.
#[derive(Debug, Default)]
pub(super) struct Starts {
    last: VecDeque<Duration>,
    /// Since when some request that a server may serve has been waiting.
    waiting_since: Option<Duration>,
}

/// The same for both kinds of need.
#[derive(Debug, Default)]
pub(super) struct AllStarts {
    leader: Starts,
    position: Starts,
}

impl AllStarts {
    /// Records for which kinds of need some request waits that a server may serve.
    pub(super) fn set_waiting(&mut self, leader: bool, position: bool, now: Duration) {
        self.leader.set_waiting(leader, now);
        self.position.set_waiting(position, now);
    }

    pub(super) fn of(&mut self, need: Need) -> &mut Starts {
        match need {
            Need::Leader => &mut self.leader,
            Need::Position { .. } => &mut self.position,
        }
    }

    /// Returns the mean time between two starts for each kind of need, as [`Starts::pace`].
    pub(super) fn paces(&self, now: Duration) -> (Option<Duration>, Option<Duration>) {
        (self.leader.pace(now), self.position.pace(now))
    }
}

impl Starts {
    /// Records the start of a request.
    pub(super) fn record(&mut self, now: Duration) {
        if self.last.len() == MAX_COUNT {
            self.last.pop_front();
        }
        self.last.push_back(now);
    }

    fn set_waiting(&mut self, waits: bool, now: Duration) {
        let since = self.waiting_since.unwrap_or(now);
        self.waiting_since = waits.then_some(since);
        while self.last.front().is_some_and(|at| *at + WINDOW <= now) {
            self.last.pop_front();
        }
    }

    /// Returns the mean time between two starts, or `None` if requests have not waited for long, or
    /// too few have started lately.
    fn pace(&self, now: Duration) -> Option<Duration> {
        let since = self.waiting_since?.max(now.saturating_sub(WINDOW));
        let span = now.checked_sub(since).filter(|span| *span >= MIN_SPAN)?;
        let starts = self.last.iter().filter(|at| **at >= since);
        let count = starts.clone().count();
        let (first, last) = (*starts.clone().next()?, *self.last.back()?);
        // The oldest ones may have been dropped.
        let span = match self.last.len() == MAX_COUNT {
            true => now - first,
            false => span,
        };
        let pace = span / u32::try_from(count).unwrap_or(u32::MAX);
        let is_paused = now > last + pace * PAUSE_FACTOR;
        (count >= MIN_COUNT && !is_paused).then_some(pace)
    }
}
