//! Steps of a host whose announcements need no confirmation.

use std::time::Duration;

use flamingopost_core::quorum::Closing;
use flamingopost_core::succession::{NextStep, Succession, View};

/// Advances `succession`. The end of a term that it announces is confirmed at once, and so is a claim that
/// it renews.
pub fn step(succession: &mut Succession, view: &View, now: Duration) -> Vec<NextStep> {
    let mut steps = succession.step(view, now);
    if let [NextStep::RenewClaim { token }] = steps[..] {
        succession.claim_won(token, now);
        steps = succession.step(view, now);
    }
    let ends_term = |it: &NextStep| matches!(it, NextStep::EndTerm { .. });
    if steps.iter().any(ends_term) {
        steps.retain(|it| !ends_term(it));
        succession.record_end_of_term(Closing::announced(now, Duration::ZERO));
        steps.extend(succession.step(view, now));
    }
    steps
}
