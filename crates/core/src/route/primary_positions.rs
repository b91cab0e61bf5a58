//! Recent positions of the primary, with the times at which they were requested.

use std::collections::VecDeque;
use std::time::Duration;

use super::server::Proof;
use crate::history::History;
use crate::position::Position;

/// Number of entries that are kept. At the shortest spacing they cover more than three seconds of
/// lag.
const MAX_ENTRIES: usize = 64;
/// Shortest time between two entries.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// A position of the primary and the time at which the request was sent that it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PrimaryPosition {
    position: Position,
    asked_at: Duration,
}

/// Recent positions of the primary, each received while its write lease was valid.
#[derive(Debug, Clone, Default)]
pub struct PrimaryPositions {
    entries: VecDeque<PrimaryPosition>,
}

impl PrimaryPositions {
    /// Records the `position` with which the primary answered a message sent at `asked_at`.
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

    /// Returns the latest time for which data at `position` are proven to contain every write that
    /// was acknowledged before that time.
    pub fn reached(&self, position: Position, history: &History) -> Option<Proof> {
        let reached = |entry: &&PrimaryPosition| history.covers(position, entry.position);
        let entry = self.entries.iter().rev().find(reached)?;
        Some(Proof {
            term: entry.position.term,
            at: entry.asked_at,
        })
    }
}
