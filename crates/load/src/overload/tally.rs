//! What came of a run.

use std::time::Duration;

use super::mix::Mix;

/// What came of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Answered in time.
    pub in_time: u64,
    /// Answered late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// The longest that a refusal took.
    pub slowest_refusal: Duration,
    /// The time that all refusals took together.
    pub refusal_time: Duration,
    /// The longest that an answer took.
    pub slowest_answer: Duration,
}

impl Count {
    /// All of them.
    pub fn all(&self) -> u64 {
        self.in_time + self.late + self.refused
    }

    /// How long a refusal took on average.
    pub fn refusal_mean(&self) -> Duration {
        self.refusal_time.div_f64(self.refused.max(1) as f64)
    }

    /// The share answered in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.all().max(1) as f64
    }
}

/// What came of every kind, in the order of the mix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tally {
    /// By kind.
    pub kinds: Vec<Count>,
}

impl Tally {
    pub(super) fn new(kinds: usize) -> Tally {
        Tally {
            kinds: vec![Count::default(); kinds],
        }
    }

    pub(super) fn answered(&mut self, kind: usize, took: Duration, in_time: bool) {
        let count = &mut self.kinds[kind];
        count.slowest_answer = count.slowest_answer.max(took);
        if in_time {
            count.in_time += 1;
        } else {
            count.late += 1;
        }
    }

    pub(super) fn refused(&mut self, kind: usize, took: Duration) {
        let count = &mut self.kinds[kind];
        count.refused += 1;
        count.refusal_time += took;
        count.slowest_refusal = count.slowest_refusal.max(took);
    }

    /// Requests served in time, weighted by kind.
    pub fn goodput(&self, mix: &Mix) -> f64 {
        self.kinds
            .iter()
            .zip(&mix.kinds)
            .map(|(count, kind)| count.in_time as f64 * f64::from(kind.weight))
            .sum()
    }
}
