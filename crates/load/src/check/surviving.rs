//! Which acknowledged writes a reported loss explains.

use flamingopost_core::position::Position;
use flamingopost_core::term::Term;

use crate::history::{History, Loss, Operation};

/// What a report says where the last acknowledged position could not be learned.
const UNKNOWN: &str = "unknown";

/// Whether the controller reported `operation`'s write as lost.
///
/// A term that began at `start` has dropped the positions of older terms past it. The report names
/// the last that was acknowledged; a later one that some caller was told of is not covered.
pub fn reported_lost(history: &History, operation: &Operation) -> bool {
    let position = operation
        .done()
        .and_then(|attempt| attempt.position.as_deref())
        .and_then(|text| text.parse::<Position>().ok());
    let Some(position) = position else {
        return false;
    };
    let mut losses = history.losses.iter();
    losses.any(|loss| loss.service == operation.service && covers(loss, position))
}

fn covers(loss: &Loss, position: Position) -> bool {
    let Ok(term) = loss.ended_by.parse::<Term>() else {
        return false;
    };
    let known = loss.acknowledged.parse::<Position>();
    let reaches = match known {
        Ok(last) => position <= last,
        // A host that could not be asked may have acknowledged any position past the start.
        Err(_) => loss.acknowledged == UNKNOWN,
    };
    position.term < term && position.log > loss.start && reaches
}
