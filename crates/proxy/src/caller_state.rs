//! Session state that follows a caller from one pooled connection to the next.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::message::Shape;

/// Prepared statements that a connection keeps before it is cleared: each costs the server
/// memory, and sessions of one application share a handful of shapes.
const MAX_PREPARED: usize = 64;

/// What a caller's session has set and prepared.
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
    /// Sets a value.
    pub fn set(&mut self, name: Bytes, value: Bytes) {
        self.values.insert(name, value);
    }

    /// Prepares a statement under the session's own name.
    pub fn prepare(&mut self, name: Bytes, shape: Shape) {
        self.prepared.insert(name, shape);
    }

    /// Forgets a prepared statement; whether there was one.
    pub fn deallocate(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// The statement prepared under `name`.
    pub fn prepared(&self, name: &Bytes) -> Option<&Shape> {
        self.prepared.get(name)
    }
}

/// What has to be done to a connection before a session's statement may run there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Clear it.
    Discard,
    /// Set a value.
    Set(Bytes, Bytes),
    /// Prepare a statement under this host's name for it.
    Prepare(String, Shape),
}

/// What a connection carries.
///
/// Prepared statements are named by their text, so that callers who prepare the same statement
/// under different names share it, and the same name of two callers never collides.
#[derive(Debug, Default)]
pub struct ConnectionState {
    values: BTreeMap<Bytes, Bytes>,
    prepared: BTreeMap<Shape, u32>,
    next: u32,
}

impl ConnectionState {
    /// The steps that make the connection fit for a statement of a session with `carry` that
    /// uses `shape`. They are taken as done.
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
            self.next += 1;
            self.prepared.insert(shape.clone(), self.next);
            steps.push(Step::Prepare(name_of(self.next), shape.clone()));
        }
        steps
    }

    /// The connection's name of `shape`.
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
