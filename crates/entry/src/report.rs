//! What an entry host sees of backend servers, for controllers' suspicion.

use std::time::Duration;

use flamingopost_core::position::Position;
use flamingopost_wire::lease;

/// What came of one contact with a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered; with the log position it told, if it told one.
    Answered(Option<Position>),
    /// The connection was refused, broke, or the answer did not come in time.
    Failed,
}

/// Contacts with one backend server.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_entry::report::{Outcome, Tally};
///
/// let mut tally = Tally::default();
/// tally.note(Outcome::Answered(None), Duration::from_secs(1));
/// tally.note(Outcome::Failed, Duration::from_secs(2));
/// let report = tally.report(Duration::from_secs(3));
/// assert_eq!((report.answers, report.failures, report.silent_ms), (1, 1, Some(2000)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Tally {
    answers: u32,
    failures: u32,
    answered: Option<Duration>,
    position: Option<Position>,
}

impl Tally {
    /// Adds one contact.
    pub fn note(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Answered(position) => {
                self.answers = self.answers.saturating_add(1);
                self.answered = Some(now);
                self.position = self.position.max(position);
            }
            Outcome::Failed => self.failures = self.failures.saturating_add(1),
        }
    }

    /// Counts from zero again; the last answer and the position stay known.
    pub fn restart(&mut self) {
        self.answers = 0;
        self.failures = 0;
    }

    /// The message for the controller.
    pub fn report(&self, now: Duration) -> lease::Report {
        let silent = self.answered.map(|at| now.saturating_sub(at).as_millis());
        lease::Report {
            answers: self.answers,
            failures: self.failures,
            silent_ms: silent.and_then(|ms| u64::try_from(ms).ok()),
            position: self.position.map(|position| position.to_string()),
        }
    }
}
