//! Read your writes: a session sees every write of its own that was acknowledged before.

use std::collections::BTreeMap;

use super::{Check, Violation};
use crate::class::Kind;
use crate::history::{Attempt, History, Operation};
use crate::outcome::POSITION_LOST;

/// What a session is entitled to see, a class: its last acknowledged write.
type Entitled<'a> = BTreeMap<&'a str, &'a Operation>;

/// Follows each session through its operations in order.
pub fn check(history: &History) -> Vec<Violation> {
    let mut sessions = BTreeMap::<u32, Vec<&Operation>>::new();
    for operation in &history.operations {
        sessions
            .entry(operation.session)
            .or_default()
            .push(operation);
    }
    sessions.into_values().flat_map(session).collect()
}

fn session(mut operations: Vec<&Operation>) -> Vec<Violation> {
    operations.sort_by_key(|operation| operation.sequence);
    let mut entitled = Entitled::new();
    let mut violations = Vec::new();
    for operation in operations {
        for attempt in &operation.attempts {
            // A session that was told of its loss goes on without those writes.
            if attempt.state.as_deref() == Some(POSITION_LOST) {
                entitled.clear();
            }
        }
        let Some(attempt) = operation.done() else {
            continue;
        };
        match operation.kind {
            Kind::Own => violations.extend(judge(&entitled, operation, attempt)),
            Kind::Write => {
                entitled.insert(&operation.class, operation);
            }
            _ => {}
        }
    }
    violations
}

fn judge(entitled: &Entitled<'_>, read: &Operation, attempt: &Attempt) -> Option<Violation> {
    let class = read.sees.as_deref().unwrap_or_default();
    let write = entitled.get(class)?;
    let seen = attempt.seen.own.unwrap_or_default();
    (seen < write.sequence).then(|| Violation {
        check: Check::ReadYourWrites,
        keys: vec![write.key.clone(), read.key.clone()],
        detail: format!(
            "session {} wrote {} and then saw only {seen}",
            read.session, write.sequence
        ),
    })
}
