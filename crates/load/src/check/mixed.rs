//! No mixed transactions: of the two rows that a transaction writes, all see both or neither.

use std::collections::{BTreeMap, BTreeSet};

use super::{Check, Violation};
use crate::class::Kind;
use crate::history::{Final, History, Operation};

/// Looks at what readers saw while transactions ran, and at what is left of them.
pub fn check(history: &History) -> Vec<Violation> {
    let seen = history.operations.iter().filter_map(halves);
    let left = history
        .finals
        .iter()
        .flat_map(|finals| torn(history, finals));
    seen.chain(left).collect()
}

fn halves(operation: &Operation) -> Option<Violation> {
    if operation.kind != Kind::Pair {
        return None;
    }
    let attempt = operation.done()?;
    let (first, second) = (attempt.seen.first?, attempt.seen.second?);
    (first != second).then(|| Violation {
        check: Check::NoMixedTransactions,
        keys: vec![operation.key.clone()],
        detail: format!("saw {first} first and {second} second halves of a transaction"),
    })
}

/// Transactions with a key in some final table, but not in all those of their class.
fn torn(history: &History, finals: &[Final]) -> Vec<Violation> {
    let mut lists = BTreeMap::<&str, BTreeSet<usize>>::new();
    for found in finals {
        lists.entry(&found.key).or_default().insert(found.list);
    }
    let mut classes = BTreeMap::<&str, BTreeSet<usize>>::new();
    let transactions = || {
        history
            .operations
            .iter()
            .filter(|one| one.kind == Kind::Transaction)
    };
    for operation in transactions() {
        if let Some(in_lists) = lists.get(operation.key.as_str()) {
            classes
                .entry(&operation.class)
                .or_default()
                .extend(in_lists);
        }
    }
    transactions()
        .filter_map(|operation| {
            let in_lists = lists.get(operation.key.as_str())?;
            let all = classes.get(operation.class.as_str())?;
            (in_lists != all).then(|| Violation {
                check: Check::NoMixedTransactions,
                keys: vec![operation.key.clone()],
                detail: format!("left rows in {} of {} tables", in_lists.len(), all.len()),
            })
        })
        .collect()
}
