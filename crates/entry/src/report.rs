//! What an entry host sees of backend servers, for controllers' suspicion.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_wire::lease;

/// Primaries without trouble that one renewal reports on at most. Servers in trouble are always
/// reported; were all others as well, a host that serves a thousand services would spend its
/// share of the network on saying that nothing is wrong.
pub const HEALTHY: usize = 32;

/// What came of one contact with a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered; with the log position it told, if it told one.
    Answered(Option<Position>),
    /// No answer came in time.
    Failed,
    /// The connection was refused or broke.
    Broken,
}

/// Contacts with one backend server.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_entry::report::{Outcome, Tally};
///
/// let mut tally = Tally::default();
/// tally.note(Outcome::Answered(None), Duration::from_secs(1));
/// tally.note(Outcome::Broken, Duration::from_secs(2));
/// let report = tally.report(Duration::from_secs(3));
/// assert_eq!((report.answers, report.failures, report.broken), (1, 1, 1));
/// assert_eq!(report.silent_ms, Some(2000));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    answers: u32,
    failures: u32,
    broken: u32,
    troubled: bool,
    answered: Option<Duration>,
    position: Option<Position>,
}

impl Tally {
    /// Adds one contact. Returns whether the server was without trouble before and is in it now.
    pub fn note(&mut self, outcome: Outcome, now: Duration) -> bool {
        let before = self.troubled;
        match outcome {
            Outcome::Answered(position) => {
                self.answers = self.answers.saturating_add(1);
                self.answered = Some(now);
                self.position = self.position.max(position);
            }
            Outcome::Failed => self.failures = self.failures.saturating_add(1),
            Outcome::Broken => {
                self.failures = self.failures.saturating_add(1);
                self.broken = self.broken.saturating_add(1);
            }
        }
        self.troubled = !matches!(outcome, Outcome::Answered(_));
        self.troubled && !before
    }

    /// The message for the controller; an empty one where there was no trouble.
    pub fn report(&self, now: Duration) -> lease::Report {
        if self.failures == 0 {
            return lease::Report::default();
        }
        let silent = self.answered.map(|at| now.saturating_sub(at).as_millis());
        lease::Report {
            answers: self.answers,
            failures: self.failures,
            broken: self.broken,
            silent_ms: silent.and_then(|ms| u64::try_from(ms).ok()),
            position: self.position.map(|position| position.to_string()),
        }
    }

    fn is_fresh(&self) -> bool {
        self.answers > 0 || self.failures > 0
    }

    fn restart(&mut self) {
        self.answers = 0;
        self.failures = 0;
        self.broken = 0;
    }

    fn restore(&mut self, taken: &Tally) {
        self.answers = self.answers.saturating_add(taken.answers);
        self.failures = self.failures.saturating_add(taken.failures);
        self.broken = self.broken.saturating_add(taken.broken);
    }
}

/// Contacts with all backend servers since each was last reported on.
#[derive(Debug, Default)]
pub struct Tallies {
    servers: BTreeMap<ServerKey, Tally>,
    /// Where the turn of servers without trouble goes on.
    turn: Option<ServerKey>,
}

impl Tallies {
    /// Adds one contact; see [`Tally::note`].
    pub fn note(&mut self, server: ServerKey, outcome: Outcome, now: Duration) -> bool {
        self.servers.entry(server).or_default().note(outcome, now)
    }

    /// Takes what is to be reported of `servers`: all that are in trouble or have been since
    /// their last report, and up to [`HEALTHY`] others of `primaries` in turn. That a primary
    /// answers speaks against those who cannot reach it; of a replica nobody asks that.
    pub fn take(
        &mut self,
        servers: &BTreeSet<ServerKey>,
        primaries: &BTreeSet<ServerKey>,
    ) -> BTreeMap<ServerKey, Tally> {
        let mut taken = BTreeMap::new();
        let mut healthy = Vec::new();
        for (server, tally) in &mut self.servers {
            if !servers.contains(server) || !tally.is_fresh() {
                continue;
            }
            if tally.troubled || tally.failures > 0 {
                taken.insert(*server, tally.clone());
                tally.restart();
            } else if primaries.contains(server) {
                healthy.push(*server);
            }
        }
        for server in self.next_turn(&healthy) {
            if let Some(tally) = self.servers.get_mut(&server) {
                taken.insert(server, tally.clone());
                tally.restart();
            }
        }
        taken
    }

    /// Puts back what was taken for a renewal that did not get through.
    pub fn restore(&mut self, taken: &BTreeMap<ServerKey, Tally>) {
        for (server, tally) in taken {
            self.servers.entry(*server).or_default().restore(tally);
        }
    }

    fn next_turn(&mut self, healthy: &[ServerKey]) -> Vec<ServerKey> {
        let start = self
            .turn
            .map_or(0, |turn| healthy.partition_point(|server| *server <= turn));
        let (before, after) = healthy.split_at(start);
        let next: Vec<ServerKey> = after.iter().chain(before).take(HEALTHY).copied().collect();
        self.turn = next.last().copied();
        next
    }
}
