//! Checks the history of a run against the guarantees: which answers callers received, and what
//! backend servers ran.

use std::collections::BTreeMap;
use std::time::Instant;

use flamingopost_standin::pooled::{
    Entry, LogEvent, Order, Rollback, Run, is_proved, is_same_statement,
};

use crate::history::{History, Outcome, Read, Statement, Write};
use crate::problem::{Kind, Problem};
use crate::teams::Limit;

mod limits;

/// Maximum number of problems of one kind that are reported.
const MAX_PROBLEMS_PER_KIND: usize = 5;

/// What the servers and the platform recorded during a run.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// The committed log at the end of the run.
    pub log: Vec<Entry>,
    /// Entries that promotions rolled back.
    pub rollbacks: Vec<Rollback>,
    /// Statements that servers ran, in order.
    pub runs: Vec<Run>,
    /// Orders to promote a server.
    pub orders: Vec<Order>,
    /// The limits that each team has had, by its number.
    pub limits: Vec<Vec<Limit>>,
    /// Events that affected the servers' logs.
    pub log_events: Vec<LogEvent>,
    /// Whether commits waited for a replica, so that a promotion may roll back none that was acknowledged.
    pub synchronous: bool,
}

impl Record {
    /// Returns whether a promotion rolled back the write of `data`.
    fn is_rolled_back(&self, data: &str) -> bool {
        self.rollbacks.iter().any(|it| it.entry.data == data)
    }

    /// Returns whether a read that began at `since` and was answered at `until` may miss `data`,
    /// although that is committed at the end: a promotion had rolled it back, and a later one
    /// restored it.
    fn may_miss(&self, data: &str, since: Instant, until: Instant) -> bool {
        let mut rollbacks = self.rollbacks.iter().filter(|it| it.entry.data == data);
        rollbacks.any(|it| it.excuses(since, until))
    }
}

/// The result of a run.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// Violations that were found, ordered by kind.
    pub problems: Vec<Problem>,
    /// Operations that succeeded.
    pub done: u64,
    /// Operations that had no effect: they were refused or rolled back.
    pub refused: u64,
    /// Operations that may or may not have taken effect.
    pub unknown: u64,
    /// Writes that are committed at the end.
    pub commits: usize,
    /// Committed writes that promotions rolled back.
    pub rolled_back: usize,
    /// Orders to promote a server that were accepted.
    pub promotions: usize,
}

/// Checks a run and returns the problems found, with counts of its operations.
pub fn verify(history: &History, record: &Record) -> Verdict {
    let state = history.lock();
    let mut problems: Vec<Problem> = state.problems.clone();
    let positions = log_positions(&record.log);
    problems.extend(check_commits(&state.writes, record, &positions));
    problems.extend(check_runs(&state.statements, &record.runs));
    problems.extend(check_proofs(&state.statements, &state.proofs, &record.runs));
    problems.extend(check_transactions(&state.statements, &record.runs));
    problems.extend(check_reads(&state.reads, &state.writes, record, &positions));
    problems.extend(check_orders(&record.orders));
    problems.extend(limits::check_teams(&state.statements, &record.runs));
    problems.extend(limits::check_limits(&state.statements, record));
    Verdict {
        problems: limit_per_kind(problems),
        done: state.done,
        refused: state.refused,
        unknown: state.unknown,
        commits: record.log.len(),
        rolled_back: record.rollbacks.len(),
        promotions: record.orders.iter().filter(|it| it.accepted).count(),
    }
}

/// Maps each written value to its position in the log. A value that was committed twice maps to its
/// last position.
fn log_positions(log: &[Entry]) -> BTreeMap<&str, usize> {
    let positions = log.iter().enumerate();
    positions
        .map(|(position, entry)| (entry.data.as_str(), position))
        .collect()
}

/// Checks that every acknowledged write is committed or was rolled back by a promotion, that no
/// write is committed twice, and that none is committed that was never sent or counts as discarded.
fn check_commits(
    writes: &[Write],
    record: &Record,
    positions: &BTreeMap<&str, usize>,
) -> Vec<Problem> {
    let mut problems = Vec::new();
    let writes_by_data: BTreeMap<&str, &Write> =
        writes.iter().map(|it| (it.data.as_str(), it)).collect();
    for (position, entry) in record.log.iter().enumerate() {
        if positions[entry.data.as_str()] != position {
            problems.push(Problem::new(
                Kind::Duplicated,
                format!("{} is committed twice", entry.data),
            ));
        }
        match writes_by_data.get(entry.data.as_str()) {
            None => problems.push(Problem::new(
                Kind::Unsent,
                format!("{} was never sent", entry.data),
            )),
            Some(write) if write.outcome == Outcome::Discarded => problems.push(Problem::new(
                Kind::FalselyRefused,
                format!(
                    "{} of {} is committed, although its caller was told that it had no effect",
                    write.data, write.item
                ),
            )),
            Some(_) => {}
        }
    }
    for write in writes
        .iter()
        .filter(|it| it.outcome == Outcome::Acknowledged)
    {
        let rolled_back = record.is_rolled_back(&write.data) && !record.synchronous;
        if !positions.contains_key(write.data.as_str()) && !rolled_back {
            let Write { data, item, .. } = write;
            problems.push(Problem::new(
                Kind::Lost,
                format!(
                    "{data} of {item} was acknowledged by {} and is missing from the log",
                    server_that_ran(record, data)
                ),
            ));
        }
    }
    problems
}

/// Returns the server that ran the write of `data`.
fn server_that_ran<'a>(record: &'a Record, data: &str) -> &'a str {
    let ends = |run: &&Run| run.text.ends_with(data);
    let run = record.runs.iter().find(ends);
    run.map_or("nobody", |run| run.server.as_str())
}

/// Checks that servers ran only statements that callers sent, with unchanged text.
fn check_runs(statements: &BTreeMap<String, Statement>, runs: &[Run]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for run in runs {
        let fits = statements
            .get(&run.id)
            .is_some_and(|it| is_same_statement(&it.text, &run.text));
        if !fits {
            let Run {
                id, text, server, ..
            } = run;
            problems.push(Problem::new(
                Kind::Unsent,
                format!("{server} ran {id} `{text}`"),
            ));
        }
    }
    problems
}

/// Checks that each answer that only a server can give carries the proof of execution of a server
/// that ran the statement.
fn check_proofs(
    statements: &BTreeMap<String, Statement>,
    proofs: &BTreeMap<String, String>,
    runs: &[Run],
) -> Vec<Problem> {
    let mut proofs_by_id: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in runs {
        proofs_by_id.entry(&run.id).or_default().push(&run.proof);
    }
    let mut problems = Vec::new();
    for (id, proof) in proofs {
        let text = statements
            .get(id)
            .map_or("", |statement| statement.text.as_str());
        if !is_proved(text) {
            continue;
        }
        let proven = proofs_by_id.get(id.as_str());
        if !proven.is_some_and(|proven| proven.contains(&proof.as_str())) {
            problems.push(Problem::new(
                Kind::Unproved,
                format!(
                    "{id} `{text}` succeeded with proof `{proof}`, which no server gave for it"
                ),
            ));
        }
    }
    problems
}

/// Checks that each transaction stays on one connection, and that no other statements run on that
/// connection meanwhile.
fn check_transactions(statements: &BTreeMap<String, Statement>, runs: &[Run]) -> Vec<Problem> {
    let transaction = |run: &Run| statements.get(&run.id).and_then(|it| it.transaction);
    // The first statement of a transaction may be retried elsewhere if its answer was lost, so only
    // its last run counts.
    let mut last: BTreeMap<&str, usize> = BTreeMap::new();
    for (position, run) in runs.iter().enumerate() {
        last.insert(&run.id, position);
    }
    // For each transaction: its connection, and the positions of its first and last statement.
    let mut transactions: BTreeMap<u64, (u64, usize, usize)> = BTreeMap::new();
    let mut problems = Vec::new();
    for (position, run) in runs.iter().enumerate() {
        let Some(number) = transaction(run) else {
            continue;
        };
        if last[run.id.as_str()] != position {
            continue;
        }
        let span = transactions
            .entry(number)
            .or_insert((run.connection, position, position));
        span.2 = position;
        if span.0 != run.connection {
            let Run { id, text, .. } = run;
            problems.push(Problem::new(
                Kind::Unpinned,
                format!("{id} `{text}` ran on another connection than its transaction"),
            ));
        }
    }
    for (number, (connection, first, end)) in transactions {
        let foreign = runs[first..=end]
            .iter()
            .find(|run| run.connection == connection && transaction(run) != Some(number));
        if let Some(Run { id, text, .. }) = foreign {
            problems.push(Problem::new(
                Kind::Unpinned,
                format!("{id} `{text}` ran inside a transaction that it does not belong to"),
            ));
        }
    }
    problems
}

/// Checks that each read observes all writes that were acknowledged before it, as far as the
/// staleness of its route requires, and that it observes committed data only.
fn check_reads(
    reads: &[Read],
    writes: &[Write],
    record: &Record,
    positions: &BTreeMap<&str, usize>,
) -> Vec<Problem> {
    let mut by_item: BTreeMap<&str, Vec<(&Write, usize)>> = BTreeMap::new();
    for write in writes
        .iter()
        .filter(|it| it.outcome == Outcome::Acknowledged)
    {
        if let Some(position) = positions.get(write.data.as_str()) {
            let of_item = by_item.entry(&write.item).or_default();
            of_item.push((write, *position));
        }
    }
    let mut problems = Vec::new();
    for Read {
        id,
        item,
        since,
        until,
        max_staleness,
        own_write,
        data,
    } in reads
    {
        let saw = match data {
            None => None,
            Some(data) => match positions.get(data.as_str()) {
                Some(position) => Some(*position),
                None => {
                    // A write may have been read before a promotion rolled it back.
                    if !record.is_rolled_back(data) {
                        problems.push(Problem::new(
                            Kind::Uncommitted,
                            format!("{id} read {data}, which is not committed"),
                        ));
                    }
                    continue;
                }
            },
        };
        let acknowledged = by_item.get(item.as_str()).into_iter().flatten();
        let before = acknowledged
            .filter(|(write, _)| {
                write
                    .at
                    .checked_add(*max_staleness)
                    .is_some_and(|at| at < *since)
            })
            .filter(|(write, _)| !record.may_miss(&write.data, *since, *until))
            .map(|(_, position)| *position);
        let own_write = own_write
            .as_ref()
            .filter(|own| !record.may_miss(own, *since, *until))
            .and_then(|own| positions.get(own.as_str()).copied());
        let needed = before.chain(own_write).max();
        if saw < needed {
            problems.push(Problem::new(
                Kind::Stale,
                format!(
                    "{id} read {item} at log position {saw:?}, but {needed:?} had been \
                     acknowledged {max_staleness:?} before"
                ),
            ));
        }
    }
    problems
}

/// Checks that no two hosts gave orders with the same fencing token.
fn check_orders(orders: &[Order]) -> Vec<Problem> {
    let mut holders: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    let mut problems = Vec::new();
    for order in orders {
        let holder = holders
            .entry((&order.service, order.token))
            .or_insert(&order.holder);
        if *holder != order.holder {
            let Order { token, holder, .. } = order;
            problems.push(Problem::new(
                Kind::SharedToken,
                format!("{holder} used the fencing token {token} of another host"),
            ));
        }
    }
    problems
}

/// Returns the first problems of each kind, ordered by kind, and how many were left out.
fn limit_per_kind(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by_key(|problem| problem.kind);
    let mut short = Vec::new();
    for same in problems.chunk_by(|one, other| one.kind == other.kind) {
        short.extend(same.iter().take(MAX_PROBLEMS_PER_KIND).cloned());
        if same.len() > MAX_PROBLEMS_PER_KIND {
            let more = format!("{} more", same.len() - MAX_PROBLEMS_PER_KIND);
            short.push(Problem::new(same[0].kind, more));
        }
    }
    short
}
