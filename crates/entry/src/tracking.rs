//! What statements that succeeded leave on their connection.

use flamingopost_core::session::state::{Effect, Pin, State};
use flamingopost_core::statement::{Action, Part, SessionState};

use crate::request::Request;

/// Applies to `state` what `request` left behind; `tag` is its last command tag.
pub fn apply(state: &mut State, request: &Request, tag: &str) {
    for part in request.parts() {
        if let Some(effect) = effect(part, tag) {
            state.apply(effect);
        }
    }
}

fn effect(part: &Part, tag: &str) -> Option<Effect> {
    match &part.action {
        Action::Set { local: true, .. } => None,
        Action::Set {
            name, value, text, ..
        } => Some(set(name, value.as_deref(), text)),
        Action::Reset { name: Some(name) } => Some(Effect::Reset { name: name.clone() }),
        Action::Reset { name: None } => Some(Effect::ResetAll),
        Action::Discard { all: true } => Some(Effect::DiscardAll),
        // COMMIT of a failed transaction is answered with the tag ROLLBACK.
        Action::Commit { .. } if tag == "ROLLBACK" => Some(Effect::Rollback),
        Action::Commit { .. } => Some(Effect::Commit),
        Action::Rollback { .. } => Some(Effect::Rollback),
        Action::Savepoint => Some(Effect::Savepoint),
        Action::CreateTemporary => Some(Effect::Pin(Pin::TemporaryTable)),
        Action::Listen { .. } => Some(Effect::Pin(Pin::Listen)),
        Action::Unlisten { channel } if channel == "*" => Some(Effect::Unpin(Pin::Listen)),
        Action::DeclareCursor { hold: true } => Some(Effect::Pin(Pin::HeldCursor)),
        Action::Prepare { .. } => Some(Effect::Pin(Pin::Untracked)),
        _ if part.session_state == SessionState::Pinned => Some(Effect::Pin(Pin::Untracked)),
        _ => None,
    }
}

/// `SET name TO DEFAULT` leaves what a new connection has.
fn set(name: &str, value: Option<&str>, text: &str) -> Effect {
    let name = name.to_owned();
    match value {
        Some(value) if value.eq_ignore_ascii_case("default") => Effect::Reset { name },
        _ => Effect::Set {
            name,
            text: text.to_owned(),
        },
    }
}
