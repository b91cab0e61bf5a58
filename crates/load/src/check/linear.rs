//! Linearizability of registers that are written and read at the primary.

use std::collections::BTreeMap;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History as Actions};
use todc_utils::specifications::register::{RegisterOperation, RegisterSpecification};

use super::surviving::reported_lost;
use super::{Check, Violation};
use crate::class::Kind;
use crate::history::{History, Operation};
use crate::outcome::Outcome;

type Checker = WGLChecker<RegisterSpecification<i64>>;

/// What the search found.
#[derive(Debug)]
pub struct Registers {
    /// Registers searched.
    pub searched: usize,
    /// Registers with a write that was reported as lost: they went back, and said so.
    pub left_out: usize,
    /// Registers without a valid order.
    pub violations: Vec<Violation>,
}

/// Searches the operations of each register for an order that explains every answer.
pub fn check(history: &History) -> Registers {
    let mut registers = BTreeMap::<i64, Vec<&Operation>>::new();
    for operation in &history.operations {
        if let Some(register) = operation.register {
            registers.entry(register).or_default().push(operation);
        }
    }
    let (gone, whole): (Vec<_>, Vec<_>) = registers.into_iter().partition(|(_, operations)| {
        let mut writes = operations
            .iter()
            .filter(|one| one.kind == Kind::RegisterWrite);
        writes.any(|operation| reported_lost(history, operation))
    });
    Registers {
        searched: whole.len(),
        left_out: gone.len(),
        violations: whole.iter().filter_map(judge).collect(),
    }
}

fn judge((register, operations): &(i64, Vec<&Operation>)) -> Option<Violation> {
    let actions = actions(operations);
    if actions.is_empty() || Checker::is_linearizable(Actions::from_actions(actions)) {
        return None;
    }
    Some(Violation {
        check: Check::Linearizable,
        keys: operations
            .iter()
            .map(|operation| operation.key.clone())
            .collect(),
        detail: format!("no order of the operations on register {register} explains all answers"),
    })
}

/// Calls and responses in order of time.
///
/// A write whose outcome is unknown may take effect at any later moment or never: its response
/// stands at the very end, where taking effect harms nobody. Reads without an answer and writes
/// that did not run say nothing.
fn actions(operations: &[&Operation]) -> Vec<(usize, Action<RegisterOperation<i64>>)> {
    let mut timed = Vec::new();
    for (process, operation) in operations.iter().enumerate() {
        let Some((register, answered)) = register(operation) else {
            continue;
        };
        let end = if answered { operation.end_us } else { i64::MAX };
        // At one and the same moment calls come first, so that both count as concurrent.
        timed.push((operation.start_us, 0, process, Action::Call(register)));
        timed.push((end, 1, process, Action::Response(register)));
    }
    timed.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = timed
        .into_iter()
        .map(|(_, _, process, action)| (process, action));
    actions.collect()
}

fn register(operation: &Operation) -> Option<(RegisterOperation<i64>, bool)> {
    match (operation.kind, operation.outcome()) {
        (Kind::RegisterRead, Outcome::Done) => {
            let value = operation.done()?.seen.value;
            Some((RegisterOperation::Read(Some(value?)), true))
        }
        (Kind::RegisterWrite, Outcome::Done) => {
            Some((RegisterOperation::Write(operation.value?), true))
        }
        (Kind::RegisterWrite, Outcome::Unknown) => {
            Some((RegisterOperation::Write(operation.value?), false))
        }
        _ => None,
    }
}
