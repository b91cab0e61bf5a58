//! The last answers of a server, from which the start of waiting requests is estimated.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of answers that an estimate needs.
const COUNT: usize = 8;

/// Time within which a server has to have given them.
///
/// A server that pauses gives few answers, and slow ones. They say nothing of how fast it is after
/// the pause.
const WINDOW: Duration = Duration::from_secs(1);

/// The last answers of a server.
#[derive(Debug, Default)]
pub(super) struct Answers {
    last: VecDeque<Answer>,
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    took: Duration,
    at: Duration,
}

impl Answers {
    /// Records an answer at `now`.
    pub(super) fn record(&mut self, took: Duration, now: Duration) {
        if self.last.len() == COUNT {
            self.last.pop_front();
        }
        self.last.push_back(Answer { took, at: now });
    }

    /// Returns the latency of the fastest of the last answers, or `None` if there were too few
    /// lately.
    ///
    /// The fastest counts alone, because a server that was slow a moment ago may be fast now.
    pub(super) fn fastest(&self, now: Duration) -> Option<Duration> {
        let recent = self.last.iter().filter(|it| now < it.at + WINDOW);
        if recent.clone().count() < COUNT {
            return None;
        }
        recent.map(|answer| answer.took).min()
    }
}
