//! A bounded cache of classified texts.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;

use super::{Shape, Statement, marker, normalized, shape};

/// Longest text that is cached. Longer ones are mostly rows inside a statement and rarely repeat.
const MAX_CACHED_BYTES: usize = 4096;

/// Shapes of recent texts, by text without its marker and without the values of its literals.
///
/// The cache has two generations. When the young one is full, it replaces the old one, which is
/// dropped. A text that is found in the old generation moves to the young one, so texts in use stay
/// and the memory is bounded.
#[derive(Debug)]
pub struct Cache {
    young: BTreeMap<Box<str>, Arc<Shape>>,
    old: BTreeMap<Box<str>, Arc<Shape>>,
    generation_size: usize,
}

impl Cache {
    /// Creates a cache of at most `entries` texts.
    pub fn new(entries: usize) -> Cache {
        Cache {
            young: BTreeMap::new(),
            old: BTreeMap::new(),
            generation_size: entries.div_ceil(2).max(1),
        }
    }

    /// Returns the same as [`super::classify`], from the cache if the text is there.
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

    /// Returns the number of cached texts.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Reports whether the cache is empty.
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
        // A literal can make a text unparsable (x'zz'). Cached under a key that it shares with
        // parsable texts, it would pin every session that sends one of those.
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
