//! What a run gave, as one JSON object or a text for people.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::check::{self, Check};
use crate::fault::Injected;
use crate::gap::{self, Gap};
use crate::history::{History, Operation};
use crate::outcome::Outcome;
use crate::plan::Plan;
use crate::quantiles::{Quantiles, Times};
use crate::scrape::Counters;

/// What a run gave.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the plan.
    pub plan: String,
    /// Name of the run.
    pub run: String,
    /// Measured time in s.
    pub duration_s: f64,
    /// Requests that were due in the measured time.
    pub requests: usize,
    /// Those answered within their deadlines, counted from when they were due.
    pub served_in_time: usize,
    /// Weights of the requests served in time over the weights of all.
    pub weighted_service: f64,
    /// Requests served in time a second.
    pub goodput_per_s: f64,
    /// Share of the reads that rules allow to replicas which replicas answered; `null` where the
    /// entry hosts' metrics could not be read.
    pub replica_read_share: Option<f64>,
    /// Longest time in which writes could land nowhere after a fault; `null` without a fault
    /// that is marked as `failover`.
    pub failover_gap_ms: Option<f64>,
    /// More about that gap.
    pub failover: Option<Gap>,
    /// Acknowledged writes that are gone, reported ones included.
    pub lost_writes: usize,
    /// Those of them that were reported as lost.
    pub lost_writes_reported: usize,
    /// Keys that took effect more than once.
    pub doubled_writes: usize,
    /// Readings that missed an acknowledged write of their own session.
    pub read_your_writes_violations: usize,
    /// Requests refused as not run that took effect.
    pub false_not_run: usize,
    /// Answers that were incomplete or belonged to another request.
    pub mixed_answers: usize,
    /// Transactions seen or left with one half only.
    pub mixed_transactions: usize,
    /// Registers whose history has no valid order.
    pub not_linearizable: usize,
    /// Invariants that entry hosts found violated; `null` where metrics could not be read.
    pub invariant_violations: Option<f64>,
    /// Attempts that were not done, by SQLSTATE or what went wrong without one.
    pub refusals: BTreeMap<String, usize>,
    /// Each class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Faults that were injected.
    pub faults: Vec<Injected>,
    /// What the checks found; they cover the warm-up too.
    pub checks: check::Report,
    /// The naive way in the same run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<Box<Report>>,
}

/// What a run gave for one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Weight of one request.
    pub weight: u32,
    /// Requests due.
    pub requests: usize,
    /// Served within the deadline.
    pub served_in_time: usize,
    /// Served at all.
    pub done: usize,
    /// Refused by the database.
    pub failed: usize,
    /// Did not run.
    pub not_run: usize,
    /// Those of them that were never sent: the session was still busy at their deadline.
    pub never_sent: usize,
    /// May have run.
    pub unknown: usize,
    /// Times from when a request was due to its answer, for those done.
    pub latency: Quantiles,
}

/// What a report is made from.
#[derive(Debug)]
pub struct Material<'a> {
    /// The plan.
    pub plan: &'a Plan,
    /// Name of the run.
    pub run: String,
    /// What happened.
    pub history: &'a History,
    /// Injected faults.
    pub faults: Vec<Injected>,
    /// What entry hosts counted meanwhile.
    pub counters: Option<Counters>,
}

impl Report {
    /// Works the figures out and runs the checks.
    pub fn new(material: Material<'_>) -> Report {
        let plan = material.plan;
        let checks = check::all(material.history);
        let measured: Vec<&Operation> = measured(plan, material.history);
        let classes = classes(plan, &measured);
        let failover = failover(plan, material.history, &material.faults);
        let served = classes.values().map(|class| class.served_in_time).sum();
        let silent = checks.count(Check::NoLostWrites);
        Report {
            plan: plan.name.clone(),
            run: material.run,
            duration_s: plan.duration.as_secs_f64(),
            requests: measured.len(),
            served_in_time: served,
            weighted_service: weighted(&classes),
            goodput_per_s: served as f64 / plan.duration.as_secs_f64(),
            replica_read_share: material.counters.and_then(Counters::replica_share),
            failover_gap_ms: failover.as_ref().map(|gap| gap.ms),
            failover,
            lost_writes: silent + checks.reported_losses,
            lost_writes_reported: checks.reported_losses,
            doubled_writes: checks.count(Check::AtMostOnce),
            read_your_writes_violations: checks.count(Check::ReadYourWrites),
            false_not_run: checks.count(Check::TrueNotRun),
            mixed_answers: checks.count(Check::WholeAnswers),
            mixed_transactions: checks.count(Check::NoMixedTransactions),
            not_linearizable: checks.count(Check::Linearizable),
            invariant_violations: material.counters.map(|counters| counters.violations),
            refusals: refusals(&measured),
            classes,
            faults: material.faults,
            checks,
            baseline: None,
        }
    }
}

fn measured<'a>(plan: &Plan, history: &'a History) -> Vec<&'a Operation> {
    let start = plan.warm_up.as_micros() as i64;
    let operations = history.operations.iter();
    operations
        .filter(|operation| operation.intended_us >= start)
        .collect()
}

fn classes(plan: &Plan, operations: &[&Operation]) -> BTreeMap<String, ClassReport> {
    let reports = plan.classes.iter().map(|class| {
        let own = operations.iter().filter(|one| one.class == class.name);
        let mut report = ClassReport {
            weight: class.weight,
            ..ClassReport::default()
        };
        let mut times = Times::default();
        own.for_each(|operation| report.count(operation, &mut times));
        report.latency = times.quantiles();
        (class.name.clone(), report)
    });
    reports.collect()
}

impl ClassReport {
    fn count(&mut self, operation: &Operation, times: &mut Times) {
        self.requests += 1;
        self.served_in_time += usize::from(operation.in_time());
        match operation.outcome() {
            Outcome::Done => {
                self.done += 1;
                times.add(operation.end_us - operation.intended_us);
            }
            Outcome::Failed => self.failed += 1,
            Outcome::NotRun => {
                self.not_run += 1;
                self.never_sent += usize::from(operation.attempts.is_empty());
            }
            Outcome::Unknown => self.unknown += 1,
        }
    }
}

fn weighted(classes: &BTreeMap<String, ClassReport>) -> f64 {
    let sum = |count: fn(&ClassReport) -> usize| -> f64 {
        let parts = classes.values();
        parts
            .map(|class| f64::from(class.weight) * count(class) as f64)
            .sum()
    };
    let all = sum(|class| class.requests);
    if all == 0.0 {
        return 0.0;
    }
    sum(|class| class.served_in_time) / all
}

fn refusals(operations: &[&Operation]) -> BTreeMap<String, usize> {
    let mut refusals = BTreeMap::new();
    for operation in operations {
        for state in operation
            .attempts
            .iter()
            .filter_map(|one| one.state.as_ref())
        {
            *refusals.entry(state.clone()).or_default() += 1;
        }
    }
    refusals
}

fn failover(plan: &Plan, history: &History, faults: &[Injected]) -> Option<Gap> {
    let after = faults.iter().filter(|fault| fault.failover && fault.took());
    let gaps = after.filter_map(|fault| {
        let at = plan.warm_up + Duration::from_secs_f64(fault.at_ms / 1e3);
        gap::find(history, at)
    });
    gaps.max_by(|one, other| one.ms.total_cmp(&other.ms))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "run {} of {}: {} s",
            self.run, self.plan, self.duration_s
        )?;
        writeln!(
            f,
            "requests {}, served in time {} ({:.2}%, weighted {:.2}%), goodput {:.1}/s",
            self.requests,
            self.served_in_time,
            percent(self.served_in_time, self.requests),
            self.weighted_service * 100.0,
            self.goodput_per_s
        )?;
        write!(
            f,
            "reads on replicas {}",
            or_unknown(self.replica_read_share, 100.0, "%")
        )?;
        writeln!(
            f,
            ", failover gap {}",
            or_unknown(self.failover_gap_ms, 1.0, " ms")
        )?;
        writeln!(
            f,
            "lost writes {} ({} reported), doubled {}, read-your-writes violations {}, \
             false not-run {}, mixed answers {}, mixed transactions {}, not linearizable {}",
            self.lost_writes,
            self.lost_writes_reported,
            self.doubled_writes,
            self.read_your_writes_violations,
            self.false_not_run,
            self.mixed_answers,
            self.mixed_transactions,
            self.not_linearizable
        )?;
        self.write_classes(f)?;
        self.write_refusals(f)?;
        for (check, reason) in &self.checks.skipped {
            writeln!(f, "not checked: {check}: {reason}")?;
        }
        for violation in self.checks.violations.iter().take(SHOWN) {
            writeln!(f, "violation: {violation}")?;
        }
        if let Some(baseline) = &self.baseline {
            writeln!(f, "\nnaive baseline\n{baseline}")?;
        }
        Ok(())
    }
}

/// Violations that the text shows; JSON has all.
const SHOWN: usize = 10;

impl Report {
    fn write_classes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>6} {:>8} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}",
            "class",
            "weight",
            "requests",
            "in time",
            "failed",
            "not run",
            "unknown",
            "p50 ms",
            "p99 ms",
            "max ms"
        )?;
        for (name, class) in &self.classes {
            writeln!(
                f,
                "{name:<16} {:>6} {:>8} {:>7.2}% {:>7} {:>7} {:>7} {:>8.1} {:>8.1} {:>8.1}",
                class.weight,
                class.requests,
                percent(class.served_in_time, class.requests),
                class.failed,
                class.not_run,
                class.unknown,
                class.latency.p50_ms,
                class.latency.p99_ms,
                class.latency.max_ms
            )?;
        }
        Ok(())
    }

    fn write_refusals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds = self
            .refusals
            .iter()
            .map(|(state, count)| format!("{state} {count}"));
        let kinds: Vec<String> = kinds.collect();
        if !kinds.is_empty() {
            writeln!(f, "refusals: {}", kinds.join(", "))?;
        }
        Ok(())
    }
}

fn percent(part: usize, all: usize) -> f64 {
    if all == 0 {
        return 0.0;
    }
    part as f64 * 100.0 / all as f64
}

fn or_unknown(value: Option<f64>, scale: f64, unit: &str) -> String {
    match value {
        Some(value) => format!("{:.1}{unit}", value * scale),
        None => "unknown".to_owned(),
    }
}
