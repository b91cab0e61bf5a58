//! The pause in what is sent to a primary that is being replaced.

use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::position::Position;

use super::Service;
use super::restart::Acquaintance;
use crate::codec::Codec;
use crate::event::Event;

/// A primary that is about to leave serves until shortly before its successor leads. What it
/// acknowledges within this time before, its successor might not have received: many times the
/// way between zones.
const HANDOVER: Duration = Duration::from_millis(60);

/// How long nothing is sent to a primary that is being replaced, if no successor shows.
pub(crate) const HOLD: Duration = Duration::from_millis(1_600);

impl<C: Codec> Service<C> {
    /// The primary is being replaced; `planned` when it is alive and about to leave.
    pub fn hold(&self, planned: bool) {
        let now = self.site.now();
        let from = match planned {
            true => now + self.site.promotion.get().saturating_sub(HANDOVER),
            false => now,
        };
        let until = now + HOLD;
        let hold = dispatch::Hold { from, until };
        let mut state = self.state.borrow_mut();
        state.dispatch.hold(hold);
        state.acquaintance = Acquaintance::Made;
        state.ordered = Some(now);
        state.held = Some(hold);
    }

    /// A write was acknowledged; it is logged if the primary is being replaced meanwhile.
    pub fn acknowledged(&self, id: &[u8], position: Option<Position>) {
        let now = self.site.now();
        let held = self.state.borrow().held;
        if held.is_none_or(|hold| now < hold.from) {
            return;
        }
        self.site.log(&Event::AcknowledgedDuring {
            service: self.name.clone(),
            id: String::from_utf8_lossy(id).into_owned(),
            position: position.map_or_else(|| "-".to_owned(), |it| it.to_string()),
        });
    }

    /// Notes the end of a hold whose time is over.
    pub(super) fn tick_hold(&self, now: Duration) {
        let held = self.state.borrow().held;
        if held.is_some_and(|hold| now >= hold.until) {
            self.end_hold("its time is over");
        }
    }

    /// Notes that statements for the primary are held no longer, and `why`.
    pub(super) fn end_hold(&self, why: &'static str) {
        let Some(hold) = self.state.borrow_mut().held.take() else {
            return;
        };
        self.site.log(&Event::HoldEnded {
            service: self.name.clone(),
            why,
            millis: self.site.now().saturating_sub(hold.from).as_millis(),
        });
    }
}
