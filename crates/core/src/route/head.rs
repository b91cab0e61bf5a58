//! What the primary had, and when.

use std::collections::VecDeque;
use std::time::Duration;

use super::server::Proof;
use crate::history::History;
use crate::position::Position;

/// Entries that are kept: more than three seconds of lag at the least spacing.
const KEPT: usize = 64;
/// Least time between two entries.
const SPACING: Duration = Duration::from_millis(50);

/// A position of the primary and the moment at which it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Head {
    position: Position,
    asked: Duration,
}

/// Recent positions of the primary, seen under a write lease that was valid when its answer came.
#[derive(Debug, Clone, Default)]
pub struct Heads {
    entries: VecDeque<Head>,
}

impl Heads {
    /// The primary answered with `position` to something sent at `asked`.
    pub fn note(&mut self, position: Position, asked: Duration) {
        if let Some(last) = self.entries.back()
            && asked < last.asked + SPACING
        {
            return;
        }
        self.entries.push_back(Head { position, asked });
        if self.entries.len() > KEPT {
            self.entries.pop_front();
        }
    }

    /// The latest moment for which data at `position` are proven to hold all that was
    /// acknowledged before it.
    pub fn reached(&self, position: Position, history: &History) -> Option<Proof> {
        let reached = |head: &&Head| history.covers(position, head.position);
        let head = self.entries.iter().rev().find(reached)?;
        Some(Proof {
            term: head.position.term,
            at: head.asked,
        })
    }
}
