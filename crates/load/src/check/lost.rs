//! No acknowledged write is lost unless the loss was reported.

use std::collections::BTreeSet;

use super::surviving::reported_lost;
use super::{Check, Violation};
use crate::history::{Final, History, Operation};
use crate::outcome::Outcome;

/// Acknowledged writes that are gone.
#[derive(Debug)]
pub struct Losses {
    /// How many the controller reported.
    pub reported: usize,
    /// Those that nobody reported.
    pub violations: Vec<Violation>,
}

/// Looks for acknowledged keys that the final tables lack.
pub fn check(history: &History, finals: &[Final]) -> Losses {
    let found: BTreeSet<&str> = finals.iter().map(|found| found.key.as_str()).collect();
    let acknowledged = history
        .operations
        .iter()
        .filter(|operation| operation.kind.keyed() && operation.outcome() == Outcome::Done);
    let gone = acknowledged.filter(|operation| !found.contains(operation.key.as_str()));
    let (reported, silent): (Vec<&Operation>, Vec<&Operation>) =
        gone.partition(|operation| reported_lost(history, operation));
    Losses {
        reported: reported.len(),
        violations: silent.into_iter().map(violation).collect(),
    }
}

fn violation(operation: &Operation) -> Violation {
    let position = operation.done().and_then(|one| one.position.as_deref());
    Violation {
        check: Check::NoLostWrites,
        keys: vec![operation.key.clone()],
        detail: format!(
            "was acknowledged at {} and is gone without a report",
            position.unwrap_or("an unknown position")
        ),
    }
}
