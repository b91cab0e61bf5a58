//! A list as it was read, with the revisions of its changes.

use std::collections::{BTreeMap, BTreeSet};

use flamingopost_core::epoch::Epoch;
use hyper::body::Bytes;

use super::{Batch, Standing};
use crate::feeds::query::Query;
use crate::feeds::wire::{Answer, Item, WireEntry};
use crate::platform::{Change, Entry, Read, Revision};

#[derive(Debug)]
pub(super) struct List<T> {
    /// Entries, and the revision that contains the newest change of each.
    pub entries: BTreeMap<String, (Entry<T>, Revision)>,
    /// Keys of removed entries, with the revision that contains the removal.
    pub removed: BTreeMap<String, Revision>,
    /// Revision from which on all changes are known.
    pub known_from: Revision,
    /// Revision up to which the list is complete.
    pub as_of: Revision,
    /// Revision that contains the newest change of the list.
    pub changed: Revision,
    /// Revision of the newest change, as reported by the store.
    pub newest: Option<Revision>,
    pub standing: Standing,
    /// Newest epoch of the store that this host has heard of.
    pub newest_epoch: Epoch,
    /// The answer with the whole list, until the next change.
    pub encoded: Option<Bytes>,
    /// The answer with the changes since a revision, until the next change. Most followers ask for
    /// the same.
    pub encoded_changes: Option<(Revision, Bytes)>,
}

impl<T: Item> List<T> {
    /// Records what was read. Returns whether the list has changed.
    pub fn record(&mut self, read: &Read<Batch<T>>) -> bool {
        let has_changed = match &read.value {
            Batch::Snapshot(entries) => self.replace(entries, read.revision),
            Batch::Changes(changes) => {
                for change in changes {
                    self.apply(change, read.revision);
                }
                !changes.is_empty()
            }
        };
        self.advance(read.revision, read.newest, has_changed);
        has_changed
    }

    /// Replaces the list by `entries`, as of `revision`. Returns whether it has changed.
    fn replace(&mut self, entries: &[Entry<T>], revision: Revision) -> bool {
        let named: BTreeSet<&str> = entries.iter().map(key).collect();
        let known = self.entries.keys();
        let gone: Vec<String> = known
            .filter(|id| !named.contains(id.as_str()))
            .cloned()
            .collect();
        let mut has_changed = !gone.is_empty();
        for id in &gone {
            self.remove(id, revision);
        }
        for entry in entries {
            has_changed |= self.put(key(entry), entry.clone(), revision);
        }
        has_changed
    }

    fn apply(&mut self, change: &Change<T>, revision: Revision) {
        match change {
            Change::Put(value) => {
                self.put(value.key(), Ok(value.clone()), revision);
            }
            Change::Unusable(unusable) => {
                self.put(&unusable.id, Err(unusable.clone()), revision);
            }
            Change::Removed(id) => self.remove(id, revision),
        }
    }

    /// Adds or replaces an entry. Returns whether that is a change.
    pub fn put(&mut self, id: &str, entry: Entry<T>, revision: Revision) -> bool {
        if self
            .entries
            .get(id)
            .is_some_and(|(known, _)| *known == entry)
        {
            return false;
        }
        self.removed.remove(id);
        self.entries.insert(id.to_owned(), (entry, revision));
        true
    }

    /// Removes an entry. Removals are remembered for as long as they are fewer than the entries:
    /// beyond that, the whole list is the shorter answer.
    fn remove(&mut self, id: &str, revision: Revision) {
        self.entries.remove(id);
        self.removed.insert(id.to_owned(), revision);
        if self.removed.len() > self.entries.len() {
            self.removed.clear();
            self.known_from = revision;
        }
    }

    pub fn advance(&mut self, as_of: Revision, newest: Option<Revision>, has_changed: bool) {
        let is_new_epoch = as_of.epoch() != self.as_of.epoch();
        self.as_of = as_of;
        self.newest = newest.or(self.newest.filter(|_| !is_new_epoch));
        if has_changed || is_new_epoch {
            // What a list has lost since the last complete read has no revision of its own.
            self.changed = as_of;
            self.encoded = None;
            self.encoded_changes = None;
        }
        if is_new_epoch {
            self.removed.clear();
            self.known_from = as_of;
        }
    }

    /// Returns the answer to `query`, or `None` if it has to wait.
    pub fn answer(&mut self, query: &Query) -> Option<Bytes> {
        if self.standing == Standing::Starting {
            return None;
        }
        let is_former = self.as_of.epoch() < self.newest_epoch.max(query.after.epoch());
        let is_behind = query.whole && self.as_of < query.after;
        if self.standing == Standing::NotFollowed || is_former || is_behind {
            return Some(encode::<T>(&Answer::NotFollowed));
        }
        if query.whole || self.changed > query.after && query.after < self.known_from {
            return Some(self.whole());
        }
        if self.changed > query.after {
            return Some(self.changes_since(query.after));
        }
        match (self.standing, query.recovering) {
            (Standing::Outage, false) => Some(encode::<T>(&Answer::Outage)),
            // An answer to a call that waits for the end of an outage reports that end.
            (Standing::Followed, true) => Some(self.answer_unchanged(query)),
            _ => None,
        }
    }

    /// Returns the answer to `query` if nothing has changed.
    pub fn answer_unchanged(&self, query: &Query) -> Bytes {
        match self.standing {
            Standing::NotFollowed | Standing::Starting => encode::<T>(&Answer::NotFollowed),
            Standing::Outage => encode::<T>(&Answer::Outage),
            Standing::Followed => {
                let revision = self.as_of.max(query.after).0;
                encode::<T>(&Answer::Unchanged { revision })
            }
        }
    }

    fn whole(&mut self) -> Bytes {
        let encoded = self.encoded.take();
        let encoded = encoded.unwrap_or_else(|| {
            let entries = self.entries.values();
            let entries = entries.map(|(entry, _)| WireEntry::from(entry)).collect();
            encode::<T>(&Answer::List {
                revision: self.as_of.0,
                newest: self.newest.map(|newest| newest.0),
                entries,
            })
        });
        self.encoded = Some(encoded.clone());
        encoded
    }

    /// Returns the answer with the changes after `after`, which are all known.
    fn changes_since(&mut self, after: Revision) -> Bytes {
        if let Some((since, encoded)) = &self.encoded_changes
            && *since == after
        {
            return encoded.clone();
        }
        let changed = self.entries.values().filter(|(_, at)| *at > after);
        let removed = self.removed.iter().filter(|(_, at)| **at > after);
        let encoded = encode::<T>(&Answer::Changes {
            revision: self.as_of.0,
            newest: self.newest.map(|newest| newest.0),
            entries: changed.map(|(entry, _)| WireEntry::from(entry)).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
        });
        self.encoded_changes = Some((after, encoded.clone()));
        encoded
    }
}

pub(super) fn key<T: Item>(entry: &Entry<T>) -> &str {
    match entry {
        Ok(value) => value.key(),
        Err(unusable) => &unusable.id,
    }
}

fn encode<T: Item>(answer: &Answer<T::Wire>) -> Bytes {
    // Encoding into memory cannot fail for these types; an empty answer cannot be decoded.
    Bytes::from(postcard::to_stdvec(answer).unwrap_or_default())
}
