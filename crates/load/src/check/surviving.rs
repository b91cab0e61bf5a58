//! Which acknowledged writes a reported loss explains.

use flamingopost_core::position::Position;
use flamingopost_core::term::Term;

use crate::history::{History, Loss, Operation};

/// Whether the controller reported `operation`'s write as lost.
///
/// A term that began at `start` without a write has dropped every position of an older term past
/// `start`, and no other.
pub fn reported_lost(history: &History, operation: &Operation) -> bool {
    let position = operation
        .done()
        .and_then(|attempt| attempt.position.as_deref())
        .and_then(|text| text.parse::<Position>().ok());
    let Some(position) = position else {
        return false;
    };
    history.losses.iter().any(|loss| covers(loss, position))
}

fn covers(loss: &Loss, position: Position) -> bool {
    match loss.ended_by.parse::<Term>() {
        Ok(term) => position.term < term && position.log > loss.start,
        Err(_) => false,
    }
}
