//! Freshness of reads: the position that a server's log must contain, from samples of the primary's
//! position.
//!
//! A sample states that at some moment after `at` the primary still led, and its log reached
//! `position`. Everything acknowledged before `at` is therefore at or below `position`, so a server
//! whose log contains that position may answer a read that accepts data as old as `at`.

use std::collections::VecDeque;
use std::time::Duration;

use crate::position::Position;
use crate::term::Term;

/// Samples closer together than this are merged: staleness bounds are seconds, so finer steps gain
/// nothing.
pub const SAMPLE_SPACING: Duration = Duration::from_millis(25);

/// How long samples are kept. No configuration accepts older data without asking the primary.
pub const SAMPLE_RETENTION: Duration = Duration::from_secs(15);

/// Samples of the positions of one service's primaries, ordered by the time of the request.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::position::Position;
/// use flamingopost_core::term::Term;
/// use flamingopost_core::freshness::FreshnessTracker;
///
/// let at = Duration::from_millis;
/// let position = |log| Position { term: Term::from_number(1), log };
/// let mut tracker = FreshnessTracker::default();
/// tracker.add_sample(position(5), at(1_000));
/// tracker.add_sample(position(9), at(2_000));
/// assert_eq!(tracker.required_position(at(900)), Some(position(5)));
/// assert_eq!(tracker.required_position(at(1_500)), Some(position(9)));
/// assert_eq!(tracker.required_position(at(2_500)), None, "no sample is that recent");
/// ```
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    samples: VecDeque<Sample>,
    newest: Position,
    term: Term,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Duration,
    position: Position,
}

impl FreshnessTracker {
    /// Adds the sample that a primary answered with `position` to a request sent at `at`, and led
    /// while it did.
    pub fn add_sample(&mut self, position: Position, at: Duration) {
        self.record_term(position.term);
        if position.term < self.term {
            return;
        }
        self.newest = self.newest.max(position);
        let oldest = at.saturating_sub(SAMPLE_RETENTION);
        while self.samples.front().is_some_and(|first| first.at < oldest) {
            self.samples.pop_front();
        }
        let Some(last) = self.samples.back() else {
            self.samples.push_back(Sample { at, position });
            return;
        };
        // Answers on different connections arrive out of order; an older one adds nothing.
        if at < last.at + SAMPLE_SPACING {
            return;
        }
        let position = position.max(last.position);
        self.samples.push_back(Sample { at, position });
    }

    /// Records that some server's log has reached `term`, so that this term has begun.
    pub fn record_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    /// Returns the newest term that this process knows to have begun.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the position that a server's log must contain to answer a read that has to see
    /// everything acknowledged before `since`, or `None` if no sample is recent enough.
    pub fn required_position(&self, since: Duration) -> Option<Position> {
        let sample = self.samples.iter().find(|sample| sample.at >= since)?;
        Some(self.in_current_term(sample.position))
    }

    /// Returns the newest sample: the position, and the moment after which the primary still led.
    pub fn last_sample(&self) -> Option<(Position, Duration)> {
        let last = self.samples.back()?;
        Some((self.in_current_term(last.position), last.at))
    }

    /// Returns the newest position that a primary has reported while it led.
    pub fn newest(&self) -> Position {
        self.newest
    }

    /// Returns when the first request was sent whose answer had reached `position`.
    pub fn reached_at(&self, position: Position) -> Option<Duration> {
        let mut samples = self.samples.iter();
        let sample = samples.find(|sample| sample.position >= position)?;
        Some(sample.at)
    }

    /// Returns when the first request was sent whose answer was past `position`.
    pub fn passed_at(&self, position: Position) -> Option<Duration> {
        let mut samples = self.samples.iter();
        let sample = samples.find(|sample| sample.position > position)?;
        Some(sample.at)
    }

    /// Returns `position`, or the start of the newest term where that is later.
    ///
    /// A promotion may drop the end of the old term's log. A session whose write was dropped would
    /// wait for a position that no log contains any more, and none of its reads would be answered
    /// again. The start of the newer term is past everything that is kept of older terms.
    pub fn in_current_term(&self, position: Position) -> Position {
        if position.term >= self.term {
            return position;
        }
        Position {
            term: self.term,
            log: 0,
        }
    }
}
