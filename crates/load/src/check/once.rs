//! At most once: no key is found twice in one final table.

use std::collections::BTreeSet;

use super::{Check, Violation};
use crate::history::{Final, History};

/// Looks for keys that took effect more than once.
pub fn check(history: &History, finals: &[Final]) -> Vec<Violation> {
    let keyed = history.operations.iter().filter(|one| one.kind.keyed());
    let keys: BTreeSet<&str> = keyed.map(|operation| operation.key.as_str()).collect();
    finals
        .iter()
        .filter(|found| found.count > 1 && keys.contains(found.key.as_str()))
        .map(|found| Violation {
            check: Check::AtMostOnce,
            keys: vec![found.key.clone()],
            detail: format!("took effect {} times", found.count),
        })
        .collect()
}
