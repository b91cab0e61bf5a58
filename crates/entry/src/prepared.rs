//! Prepared statements: callers' names on one side, numbers shared by all connections on the
//! other, so that a statement follows its session to whichever connection serves it.

use std::collections::BTreeMap;
use std::mem;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{BufMut, Bytes, BytesMut};
use flamingopost_core::statement::Statement;

use crate::frame::HEADER;

/// What names of ours on backend connections start with.
const PREFIX: &str = "fp.";

/// Texts that keep their number when nobody has prepared them for a while.
const REMEMBERED: usize = 4096;

/// A statement that callers prepared, in one place however many sessions prepared it.
#[derive(Debug)]
pub struct Prepared {
    /// Its number in this process.
    pub number: u64,
    /// Body of its `Parse` message without the name: query text and parameter types.
    pub parse: Bytes,
    /// What it does.
    pub statement: Statement,
}

impl Prepared {
    /// Its name on backend connections.
    pub fn name(&self) -> String {
        name(self.number)
    }

    /// Appends a `Parse` message that gives it `name`.
    pub fn put_parse(&self, out: &mut BytesMut, name: &str) {
        let length = HEADER - 1 + name.len() + 1 + self.parse.len();
        out.put_u8(b'P');
        out.put_u32(length as u32);
        out.put_slice(name.as_bytes());
        out.put_u8(0);
        out.put_slice(&self.parse);
    }
}

/// Name of statement `number` on backend connections.
pub fn name(number: u64) -> String {
    format!("{PREFIX}{number}")
}

/// Whether a caller's `name` for a statement could be taken for one of ours.
pub fn is_ours(name: &[u8]) -> bool {
    name.starts_with(PREFIX.as_bytes())
}

/// Numbers of the statements that callers of this process prepare.
#[derive(Debug, Default)]
pub struct Catalog {
    known: Mutex<Known>,
}

/// Two generations: when the younger is full the older is dropped. A text that comes again after
/// that gets a new number, which costs one more `Parse` and nothing else.
#[derive(Debug, Default)]
struct Known {
    young: BTreeMap<Bytes, Arc<Prepared>>,
    old: BTreeMap<Bytes, Arc<Prepared>>,
    last: u64,
}

impl Catalog {
    /// The statement whose `Parse` message goes on with `parse` after its name.
    pub fn intern(&self, parse: &Bytes, classify: impl FnOnce(&str) -> Statement) -> Arc<Prepared> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(prepared) = known.young.get(parse) {
            return Arc::clone(prepared);
        }
        let prepared = match known.old.remove(parse) {
            Some(prepared) => prepared,
            None => known.number(parse, classify),
        };
        known.keep(&prepared);
        prepared
    }
}

impl Known {
    fn number(&mut self, parse: &Bytes, classify: impl FnOnce(&str) -> Statement) -> Arc<Prepared> {
        self.last += 1;
        let end = parse.iter().position(|byte| *byte == 0);
        let text = String::from_utf8_lossy(&parse[..end.unwrap_or(parse.len())]);
        Arc::new(Prepared {
            number: self.last,
            // A copy: the original is a piece of some caller's read buffer.
            parse: Bytes::copy_from_slice(parse),
            statement: classify(&text),
        })
    }

    fn keep(&mut self, prepared: &Arc<Prepared>) {
        if self.young.len() >= REMEMBERED {
            self.old = mem::take(&mut self.young);
        }
        self.young
            .insert(prepared.parse.clone(), Arc::clone(prepared));
    }
}

/// The prepared statements of one session.
#[derive(Debug, Default)]
pub struct Statements {
    named: BTreeMap<Bytes, Arc<Prepared>>,
    unnamed: Option<Arc<Prepared>>,
}

impl Statements {
    /// The statement that the caller calls `name`; empty for the unnamed one.
    pub fn find(&self, name: &[u8]) -> Option<&Arc<Prepared>> {
        if name.is_empty() {
            return self.unnamed.as_ref();
        }
        self.named.get(name)
    }

    /// The caller prepared a statement as `name`.
    pub fn insert(&mut self, name: &Bytes, prepared: Arc<Prepared>) {
        if name.is_empty() {
            self.unnamed = Some(prepared);
        } else {
            self.named.insert(Bytes::copy_from_slice(name), prepared);
        }
    }

    /// The caller closed `name`.
    pub fn remove(&mut self, name: &[u8]) -> bool {
        if name.is_empty() {
            return self.unnamed.take().is_some();
        }
        self.named.remove(name).is_some()
    }

    /// The caller closed all.
    pub fn clear(&mut self) {
        *self = Statements::default();
    }
}
