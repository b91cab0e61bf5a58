//! What the primary had, and when.

use std::collections::VecDeque;
use std::time::Duration;

use super::server::Proof;
use crate::history::History;
use crate::position::Position;

/// Entries that are kept: more than three seconds of lag at the least spacing.
const MAX_ENTRIES: usize = 64;
/// Least time between two entries.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// A position of the primary and the moment at which it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PrimaryPosition {
    position: Position,
    asked_at: Duration,
}

/// Recent positions of the primary, seen under a write lease that was valid when its answer came.
#[derive(Debug, Clone, Default)]
pub struct PrimaryPositions {
    entries: VecDeque<PrimaryPosition>,
}

impl PrimaryPositions {
    /// The primary answered with `position` to something sent at `asked`.
    pub fn record(&mut self, position: Position, asked_at: Duration) {
        if let Some(last) = self.entries.back()
            && asked_at < last.asked_at + MIN_SPACING
        {
            return;
        }
        self.entries
            .push_back(PrimaryPosition { position, asked_at });
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// The latest moment for which data at `position` are proven to hold all that was
    /// acknowledged before it.
    pub fn reached(&self, position: Position, history: &History) -> Option<Proof> {
        let reached = |entry: &&PrimaryPosition| history.covers(position, entry.position);
        let entry = self.entries.iter().rev().find(reached)?;
        Some(Proof {
            term: entry.position.term,
            at: entry.asked_at,
        })
    }
}
