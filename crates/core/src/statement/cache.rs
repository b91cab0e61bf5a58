//! A bounded memory of texts that were classified before.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;

use super::{Shape, Statement, marker, normalized, shape};

/// Longest text that is kept: longer ones are mostly rows in a statement and seldom come again.
const MAX_CACHED_BYTES: usize = 4096;

/// Shapes of the texts that came lately, by text without marker and without the values of literals.
///
/// Two generations stand for "lately": when the younger one is full the older one is dropped and
/// the younger takes its place, so a text that keeps coming stays and the memory is bounded.
#[derive(Debug)]
pub struct Cache {
    young: BTreeMap<Box<str>, Arc<Shape>>,
    old: BTreeMap<Box<str>, Arc<Shape>>,
    generation_size: usize,
}

impl Cache {
    /// A cache of at most `entries` texts.
    pub fn new(entries: usize) -> Cache {
        Cache {
            young: BTreeMap::new(),
            old: BTreeMap::new(),
            generation_size: entries.div_ceil(2).max(1),
        }
    }

    /// The same as [`super::classify`], from memory where the text is known.
    ///
    /// ```
    /// use flamingopost_core::statement::{self, Cache};
    ///
    /// let mut cache = Cache::new(100);
    /// let sql = "/* flamingopost: key=k1 */ INSERT INTO bids VALUES ($1)";
    /// assert_eq!(cache.classify(sql), statement::classify(sql));
    /// assert_eq!(cache.len(), 1);
    /// ```
    pub fn classify(&mut self, sql: &str) -> Statement {
        let (marker, body) = marker::split(sql);
        Statement {
            shape: self.shape(body),
            marker,
        }
    }

    /// How many texts are kept.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no text is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shape(&mut self, body: &str) -> Arc<Shape> {
        if body.len() > MAX_CACHED_BYTES {
            return Arc::new(shape::read(body));
        }
        let key = normalized::cache_key(body);
        if let Some(known) = self.young.get(key.as_ref()) {
            return Arc::clone(known);
        }
        let shape = match self.old.remove(key.as_ref()) {
            Some(known) => known,
            None => Arc::new(shape::read(body)),
        };
        // A literal can make a text unreadable (x'zz'). Kept under the key that it shares, such a
        // text would pin every session that sends a readable one.
        if matches!(key, Cow::Borrowed(_)) || shape.is_known() {
            self.insert(&key, &shape);
        }
        shape
    }

    fn insert(&mut self, key: &str, shape: &Arc<Shape>) {
        if self.young.len() >= self.generation_size {
            self.old = mem::take(&mut self.young);
        }
        self.young.insert(key.into(), Arc::clone(shape));
    }
}
