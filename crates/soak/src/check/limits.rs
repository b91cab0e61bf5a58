//! Checks that servers ran statements in the name of the caller's team, and that no team exceeded its
//! limit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::Run;

use super::Record;
use crate::history::Statement;
use crate::problem::{Kind, Problem};
use crate::teams::{Limit, Teams};

/// The window over which a limit is measured.
const WINDOW: Duration = Duration::from_secs(5);

/// How far a limit may be exceeded in a window: as a fraction, and by operations in addition.
const OVERRUN: f64 = 0.1;
const TOLERANCE: f64 = 20.0;

/// Time after a change of a limit in which a window may still be measured by the former one: the
/// time for hosts to apply it, and one window.
const CHANGE_TIME: Duration = Duration::from_secs(10);

/// Checks in whose name servers ran each statement.
pub(super) fn check_teams(statements: &BTreeMap<String, Statement>, runs: &[Run]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for run in runs {
        let team = statements.get(&run.id).and_then(|it| it.team.as_ref());
        if let Some(team) = team
            && *team != run.client
        {
            let problem = format!("{} of {team} ran as {}", run.id, run.client);
            problems.push(Problem::new(Kind::ForeignTeam, problem));
        }
    }
    problems
}

/// Checks that no team had more operations run in any window than its limit allows.
pub(super) fn check_limits(
    statements: &BTreeMap<String, Statement>,
    record: &Record,
) -> Vec<Problem> {
    let operations = operations(statements, &record.runs);
    let mut problems = Vec::new();
    for (team, limits) in record.limits.iter().enumerate() {
        let name = Teams::name(team as u64);
        let Some(times) = operations.get(&name) else {
            continue;
        };
        let mut first = 0;
        for (last, end) in times.iter().enumerate() {
            while *end - times[first] >= WINDOW {
                first += 1;
            }
            let (count, allowed) = (last - first + 1, allowed(limits, times[first]));
            if count as f64 > allowed {
                let problem = format!("{name}: {count} operations in 5 s, allowed {allowed:.0}");
                problems.push(Problem::new(Kind::OverLimit, problem));
            }
        }
    }
    problems
}

/// Returns when servers ran the operations of each team, in order: single statements, and the first
/// statement of each transaction.
fn operations(
    statements: &BTreeMap<String, Statement>,
    runs: &[Run],
) -> BTreeMap<String, Vec<Instant>> {
    let mut operations: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    let mut transactions = BTreeSet::new();
    for run in runs {
        let Some(statement) = statements.get(&run.id) else {
            continue;
        };
        let is_first = statement
            .transaction
            .is_none_or(|it| transactions.insert(it));
        if let Some(team) = statement.team.as_ref().filter(|_| is_first) {
            operations.entry(team.clone()).or_default().push(run.at);
        }
    }
    operations.values_mut().for_each(|times| times.sort());
    operations
}

/// Returns how many operations a window that begins at `begin` may have.
fn allowed(limits: &[Limit], begin: Instant) -> f64 {
    let before = limits
        .iter()
        .rposition(|limit| limit.since + CHANGE_TIME <= begin);
    let binding = &limits[before.unwrap_or(0)..];
    let rate = binding.iter().map(|limit| limit.rate).max();
    let rate = f64::from(rate.unwrap_or_default());
    (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERRUN) + TOLERANCE
}
