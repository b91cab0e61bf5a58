//! Session state that follows a caller from one pooled connection to the next.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::message::Shape;

/// Number of prepared statements on a connection at which it is cleared. Each uses server memory,
/// and sessions of one application share only a few statements.
const MAX_PREPARED: usize = 64;

/// Maximum size of the values and prepared statements of a session, with their names, in bytes: more than two of
/// the longest messages. Connections to servers hold copies.
pub const MAX_STATE_BYTES: usize = 4 << 20;

/// Size that each value or prepared statement counts for in addition to its bytes.
const ENTRY_BYTES: usize = 128;

/// A session's values and prepared statements would take more than [`MAX_STATE_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("the values and prepared statements of the session take too much room")]
pub struct StateFull;

impl std::error::Error for StateFull {}

/// Values and prepared statements of a caller's session.
///
/// ```
/// use bytes::Bytes;
/// use flamingopost_proxy::caller_state::{CallerState, ConnectionState, Step};
///
/// let mut caller = CallerState::default();
/// caller.set(&Bytes::from("zone"), &Bytes::from("garia")).expect("there is room");
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
    /// Size of both.
    bytes: usize,
}

impl CallerState {
    /// Sets a session value.
    ///
    /// # Errors
    /// There is no room for it, and the value stays as it was.
    pub fn set(&mut self, name: &Bytes, value: &Bytes) -> Result<(), StateFull> {
        let former = self.values.get(name).map(|former| size(name, former));
        self.reserve(former, size(name, value))?;
        self.values.insert(owned(name), owned(value));
        Ok(())
    }

    /// Stores a prepared statement under the session's own name.
    ///
    /// # Errors
    /// There is no room for it, and the name stands for what it stood for.
    pub fn prepare(&mut self, name: &Bytes, shape: &Shape) -> Result<(), StateFull> {
        let former = self.prepared.get(name);
        let former = former.map(|former| size(name, &former.text));
        self.reserve(former, size(name, &shape.text))?;
        let text = owned(&shape.text);
        self.prepared.insert(owned(name), Shape { text, ..*shape });
        Ok(())
    }

    /// Removes a prepared statement. Returns whether it existed.
    pub fn deallocate(&mut self, name: &Bytes) -> bool {
        let removed = self.prepared.remove(name);
        let freed = removed.as_ref().map(|shape| size(name, &shape.text));
        self.bytes = self.bytes.saturating_sub(freed.unwrap_or_default());
        removed.is_some()
    }

    /// Counts an entry of `size` that replaces one of the size `former`, if there is room.
    fn reserve(&mut self, former: Option<usize>, size: usize) -> Result<(), StateFull> {
        let bytes = self.bytes.saturating_sub(former.unwrap_or_default()) + size;
        if bytes > MAX_STATE_BYTES {
            return Err(StateFull);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Returns the statement prepared under `name`.
    pub fn prepared(&self, name: &Bytes) -> Option<&Shape> {
        self.prepared.get(name)
    }
}

/// Returns the size for which an entry counts.
fn size(name: &Bytes, content: &Bytes) -> usize {
    name.len() + content.len() + ENTRY_BYTES
}

/// Returns a copy of `part` that does not keep the whole buffer in memory in which it was received.
fn owned(part: &Bytes) -> Bytes {
    Bytes::copy_from_slice(part)
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
