//! What the checks found.

use std::collections::BTreeMap;
use std::fmt;

use displaydoc::Display;
use serde::Serialize;

use super::Violation;
use super::linear::Registers;
use super::lost::Losses;
use crate::class::Kind;
use crate::history::{History, Operation};
use crate::outcome::Outcome;

/// A check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// read your writes
    ReadYourWrites,
    /// at most once
    AtMostOnce,
    /// whole answers to the right caller
    WholeAnswers,
    /// no mixed transactions
    NoMixedTransactions,
    /// true "not run"
    TrueNotRun,
    /// no acknowledged write lost unless reported
    NoLostWrites,
    /// linearizable registers at the primary
    Linearizable,
}

impl Check {
    /// Every check.
    pub const ALL: [Check; 7] = [
        Check::ReadYourWrites,
        Check::AtMostOnce,
        Check::WholeAnswers,
        Check::NoMixedTransactions,
        Check::TrueNotRun,
        Check::NoLostWrites,
        Check::Linearizable,
    ];

    /// Whether `operation` can show a violation of this check.
    fn looks_at(self, operation: &Operation) -> bool {
        let kind = operation.kind;
        let outcome = operation.outcome();
        match self {
            Check::ReadYourWrites => kind == Kind::Own && outcome == Outcome::Done,
            Check::AtMostOnce => kind.keyed() && outcome != Outcome::NotRun,
            Check::WholeAnswers => !kind.writes() && outcome == Outcome::Done,
            Check::NoMixedTransactions => saw_a_half(operation) || kind == Kind::Transaction,
            Check::TrueNotRun => kind.keyed() && outcome == Outcome::NotRun,
            Check::NoLostWrites => kind.keyed() && outcome == Outcome::Done,
            Check::Linearizable => operation.register.is_some() && outcome == Outcome::Done,
        }
    }
}

fn saw_a_half(operation: &Operation) -> bool {
    let seen = operation.done().map(|attempt| &attempt.seen);
    seen.is_some_and(|seen| seen.first > Some(0) || seen.second > Some(0))
}

/// What the checks found.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// How many violations each check found; a check that did not run is absent.
    pub counts: BTreeMap<Check, usize>,
    /// How many operations gave each check something to look at; one with none proves nothing.
    pub examined: BTreeMap<Check, usize>,
    /// Checks that did not run, and why.
    pub skipped: BTreeMap<Check, &'static str>,
    /// All violations.
    pub violations: Vec<Violation>,
    /// Acknowledged writes that are gone and were reported as lost.
    pub reported_losses: usize,
    /// Registers whose histories were searched.
    pub registers: usize,
    /// Registers left out because a reported loss concerns one of their writes.
    pub registers_left_out: usize,
}

impl Report {
    /// How many violations `check` found.
    pub fn count(&self, check: Check) -> usize {
        self.counts.get(&check).copied().unwrap_or_default()
    }

    pub(super) fn ran(&mut self, check: Check, violations: Vec<Violation>) {
        self.counts.insert(check, violations.len());
        self.violations.extend(violations);
    }

    pub(super) fn examine(&mut self, history: &History) {
        for check in Check::ALL {
            let operations = history.operations.iter();
            let count = operations.filter(|one| check.looks_at(one)).count();
            self.examined.insert(check, count);
        }
    }

    pub(super) fn skip(&mut self, check: Check, reason: &'static str) {
        self.skipped.insert(check, reason);
    }

    pub(super) fn lost(&mut self, losses: Losses) {
        self.reported_losses = losses.reported;
        self.ran(Check::NoLostWrites, losses.violations);
    }

    pub(super) fn linear(&mut self, registers: Registers) {
        self.registers = registers.searched;
        self.registers_left_out = registers.left_out;
        self.ran(Check::Linearizable, registers.violations);
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (check, count) in &self.counts {
            let examined = self.examined.get(check).copied().unwrap_or_default();
            writeln!(
                f,
                "{check}: {count} violations, {examined} operations examined"
            )?;
        }
        writeln!(
            f,
            "registers searched {}, left out after a reported loss {}; reported losses {}",
            self.registers, self.registers_left_out, self.reported_losses
        )?;
        for (check, reason) in &self.skipped {
            writeln!(f, "{check}: not checked: {reason}")?;
        }
        for violation in &self.violations {
            writeln!(f, "violation: {violation}")?;
        }
        Ok(())
    }
}
