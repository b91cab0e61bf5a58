//! True "not run": what every answer said did not run is not in the final tables.

use std::collections::BTreeSet;

use super::{Check, Violation};
use crate::history::{Final, History};
use crate::outcome::Outcome;

/// Looks for keys that were refused as not run, or never sent, and took effect all the same.
pub fn check(history: &History, finals: &[Final]) -> Vec<Violation> {
    let found: BTreeSet<&str> = finals.iter().map(|found| found.key.as_str()).collect();
    let refused = history.operations.iter().filter(|operation| {
        operation.kind.keyed() && matches!(operation.outcome(), Outcome::NotRun | Outcome::Failed)
    });
    refused
        .filter(|operation| found.contains(operation.key.as_str()))
        .map(|operation| Violation {
            check: Check::TrueNotRun,
            keys: vec![operation.key.clone()],
            detail: format!("was refused with {} and took effect", states(operation)),
        })
        .collect()
}

fn states(operation: &crate::history::Operation) -> String {
    let states = operation
        .attempts
        .iter()
        .filter_map(|one| one.state.as_deref());
    let states: Vec<&str> = states.collect();
    match states.len() {
        0 => "nothing sent".to_owned(),
        _ => states.join(", "),
    }
}
