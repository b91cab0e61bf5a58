//! Whole answers to the right caller: an answer carries the token that its statement sent.

use super::{Check, Violation};
use crate::class::Kind;
use crate::history::{Attempt, History, Operation};
use crate::outcome::Outcome;

/// Compares the token of each answer with the one that was sent.
pub fn check(history: &History) -> Vec<Violation> {
    let operations = history.operations.iter();
    operations
        .filter(|operation| !operation.kind.writes())
        .flat_map(|operation| {
            operation
                .attempts
                .iter()
                .map(move |attempt| (operation, attempt))
        })
        .filter(|(_, attempt)| attempt.outcome == Outcome::Done)
        .filter_map(|(operation, attempt)| judge(operation, attempt))
        .collect()
}

fn judge(operation: &Operation, attempt: &Attempt) -> Option<Violation> {
    let detail = match &attempt.seen.token {
        Some(token) if *token == attempt.token => whole(operation.kind, attempt)?,
        Some(token) => format!("sent {} and was answered {token}", attempt.token),
        None => format!("sent {} and was answered without a token", attempt.token),
    };
    Some(Violation {
        check: Check::WholeAnswers,
        keys: vec![operation.key.clone()],
        detail,
    })
}

/// The column that the kind of request asks for besides its token has to be there.
fn whole(kind: Kind, attempt: &Attempt) -> Option<String> {
    let seen = &attempt.seen;
    let complete = match kind {
        Kind::Own => seen.own.is_some(),
        Kind::Pair => seen.first.is_some() && seen.second.is_some(),
        Kind::RegisterRead => seen.value.is_some(),
        Kind::Read | Kind::Write | Kind::Transaction | Kind::RegisterWrite => true,
    };
    (!complete).then(|| format!("the answer to {} lacks a column", attempt.token))
}
