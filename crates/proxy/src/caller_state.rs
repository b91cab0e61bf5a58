//! Session state that follows a caller from one pooled connection to the next.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::message::Shape;

/// Number of prepared statements on a connection at which it is cleared. Each uses server memory,
/// and sessions of one application share only a few statements.
const MAX_PREPARED: usize = 64;

/// Values and prepared statements of a caller's session.
///
/// ```
/// use bytes::Bytes;
/// use flamingopost_proxy::caller_state::{CallerState, ConnectionState, Step};
///
/// let mut caller = CallerState::default();
/// caller.set(Bytes::from("zone"), Bytes::from("garia"));
/// let mut connection = ConnectionState::default();
/// let set = Step::Set(Bytes::from("zone"), Bytes::from("garia"));
/// assert_eq!(connection.steps(&caller, None), [set]);
/// assert_eq!(connection.steps(&caller, None), [], "the connection has it now");
/// assert_eq!(connection.steps(&CallerState::default(), None), [Step::Discard]);
/// ```
#[derive(Debug, Default, Clone)]
pub struct CallerState {
    values: BTreeMap<Bytes, Bytes>,
    prepared: BTreeMap<Bytes, Shape>,
}

impl CallerState {
    /// Sets a session value.
    pub fn set(&mut self, name: Bytes, value: Bytes) {
        self.values.insert(name, value);
    }

    /// Stores a prepared statement under the session's own name.
    pub fn prepare(&mut self, name: Bytes, shape: Shape) {
        self.prepared.insert(name, shape);
    }

    /// Removes a prepared statement. Returns whether it existed.
    pub fn deallocate(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Returns the statement prepared under `name`.
    pub fn prepared(&self, name: &Bytes) -> Option<&Shape> {
        self.prepared.get(name)
    }
}

/// A command that must be sent on a connection before a session's statement can run there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Clear all values and prepared statements.
    Discard,
    /// Set a session value.
    Set(Bytes, Bytes),
    /// Prepare a statement under the name that this host chose for it.
    Prepare(String, Shape),
}

/// Session state on a pooled connection.
///
/// Prepared statements are identified by their text: callers that prepare the same statement under
/// different names share it, and equal names of different callers never collide.
#[derive(Debug, Default)]
pub struct ConnectionState {
    values: BTreeMap<Bytes, Bytes>,
    prepared: BTreeMap<Shape, u32>,
    last_number: u32,
}

impl ConnectionState {
    /// Returns the steps that prepare the connection for a statement of a session with the state
    /// `caller` that uses `shape`, and records them as done.
    pub fn steps(&mut self, caller: &CallerState, shape: Option<&Shape>) -> Vec<Step> {
        let mut steps = Vec::new();
        let kept = |(name, _): (&Bytes, &Bytes)| caller.values.contains_key(name);
        if !self.values.iter().all(kept) || self.prepared.len() >= MAX_PREPARED {
            steps.push(Step::Discard);
            self.clear();
        }
        for (name, value) in &caller.values {
            if self.values.get(name) != Some(value) {
                steps.push(Step::Set(name.clone(), value.clone()));
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = shape
            && !self.prepared.contains_key(shape)
        {
            self.last_number += 1;
            self.prepared.insert(shape.clone(), self.last_number);
            steps.push(Step::Prepare(name_of(self.last_number), shape.clone()));
        }
        steps
    }

    /// Returns the name of `shape` on this connection.
    pub fn name(&self, shape: &Shape) -> Option<String> {
        self.prepared.get(shape).copied().map(name_of)
    }

    fn clear(&mut self) {
        self.values.clear();
        self.prepared.clear();
    }
}

fn name_of(number: u32) -> String {
    format!("p{number}")
}
