//! A two-way map between names and keys.

use std::collections::BTreeMap;

use slotmap::{Key, SlotMap};

/// Names of one kind and their keys. Names are never removed.
#[derive(Debug, Clone)]
pub struct Names<K: Key> {
    arena: SlotMap<K, String>,
    index: BTreeMap<String, K>,
}

impl<K: Key> Default for Names<K> {
    fn default() -> Self {
        Names {
            arena: SlotMap::with_key(),
            index: BTreeMap::new(),
        }
    }
}

impl<K: Key> Names<K> {
    /// Returns the key of `name`, and creates it if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.index.get(name) {
            return *key;
        }
        let key = self.arena.insert(name.to_owned());
        self.index.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of `name`, if the name is known.
    pub fn find(&self, name: &str) -> Option<K> {
        self.index.get(name).copied()
    }

    /// Returns the name of `key`.
    pub fn name(&self, key: K) -> Option<&str> {
        self.arena.get(key).map(String::as_str)
    }
}
