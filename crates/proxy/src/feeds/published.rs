//! A feed as this host serves it to others.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use flamingopost_core::epoch::Epoch;
use hyper::body::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::query::Query;
use super::wire::{Answer, Item, WireEntry};
use crate::platform::{Change, Entry, Error, Read, Revision};

/// What was read of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Batch<T> {
    /// The complete list.
    Snapshot(Vec<Entry<T>>),
    /// The changes since the last read.
    Changes(Vec<Change<T>>),
}

impl<T> Batch<T> {
    /// Returns the entries that were read, without those that were removed.
    pub fn into_entries(self) -> Vec<Entry<T>> {
        match self {
            Batch::Snapshot(entries) => entries,
            Batch::Changes(changes) => {
                let entries = changes.into_iter().filter_map(|change| match change {
                    Change::Put(value) => Some(Ok(value)),
                    Change::Unusable(unusable) => Some(Err(unusable)),
                    Change::Removed(_) => None,
                });
                entries.collect()
            }
        }
    }
}

/// Where this host reads a feed, as far as others may rely on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// At another host, or nowhere yet.
    #[default]
    NotFollowed,
    /// At the store, which has not answered a call yet.
    Starting,
    /// At the store, which has answered the last call.
    Followed,
    /// At the store, which has not answered the last call.
    Outage,
}

/// A list as it was read, for other hosts that follow this one.
#[derive(Debug)]
pub struct Published<T> {
    list: RefCell<List<T>>,
    /// Notifies held answers of changes of the list and of the standing.
    changed: Notify,
}

#[derive(Debug)]
struct List<T> {
    /// Entries, and the revision that contains the newest change of each.
    entries: BTreeMap<String, (Entry<T>, Revision)>,
    /// Keys of removed entries, with the revision that contains the removal.
    removed: BTreeMap<String, Revision>,
    /// Revision from which on all changes are known.
    known_from: Revision,
    /// Revision up to which the list is complete.
    as_of: Revision,
    /// Revision that contains the newest change of the list.
    changed: Revision,
    /// Revision of the newest change, as reported by the store.
    newest: Option<Revision>,
    standing: Standing,
    /// Newest epoch of the store that this host has heard of.
    newest_epoch: Epoch,
    /// The answer with the whole list, until the next change.
    encoded: Option<Bytes>,
    /// The answer with the changes since a revision, until the next change. Most followers ask for
    /// the same.
    encoded_changes: Option<(Revision, Bytes)>,
}

impl<T> Default for Published<T> {
    fn default() -> Published<T> {
        Published {
            list: RefCell::new(List {
                entries: BTreeMap::new(),
                removed: BTreeMap::new(),
                known_from: Revision::default(),
                as_of: Revision::default(),
                changed: Revision::default(),
                newest: None,
                standing: Standing::default(),
                newest_epoch: Epoch::default(),
                encoded: None,
                encoded_changes: None,
            }),
            changed: Notify::new(),
        }
    }
}

impl<T: Item> Published<T> {
    /// Records what was read.
    pub fn record(&self, read: &Read<Batch<T>>, standing: Standing) {
        let has_changed = {
            let mut list = self.list.borrow_mut();
            let has_changed = list.record(read);
            let is_whole = matches!(read.value, Batch::Snapshot(_));
            if is_whole || standing != Standing::Followed {
                // What was added and removed since the last read is not known.
                list.known_from = read.revision;
            }
            has_changed
        };
        if has_changed {
            self.changed.notify_waiters();
        }
        self.set_standing(standing);
    }

    /// Records what was read of a table that holds versions of a single value. A version that
    /// cannot be used does not replace the newest one that can.
    pub fn record_versions(&self, read: &Read<Vec<Entry<T>>>, standing: Standing) {
        let mut list = self.list.borrow_mut();
        let mut has_changed = false;
        for entry in &read.value {
            if entry.is_ok() {
                list.entries.clear();
            }
            has_changed |= list.put(key(entry), entry.clone(), read.revision);
        }
        list.advance(read.revision, read.newest, has_changed);
        if has_changed {
            // Versions that are no longer kept are no removals.
            list.known_from = read.revision;
        }
        drop(list);
        self.changed.notify_waiters();
        self.set_standing(standing);
    }

    /// Sets where this host reads the feed, and answers the calls that wait for changes.
    pub fn set_standing(&self, standing: Standing) {
        let before = std::mem::replace(&mut self.list.borrow_mut().standing, standing);
        if before != standing {
            self.changed.notify_waiters();
        }
    }

    /// Records that this host is about to read the list at the store for the first time. Hosts that
    /// ask for it wait for that.
    ///
    /// Guards against whole reads of the store by all hosts that start at once: the hosts that they
    /// could follow have read nothing yet either.
    pub fn expect_first_read(&self) {
        let list = self.list.borrow();
        let is_unread = list.as_of == Revision::default();
        drop(list);
        if is_unread {
            self.set_standing(Standing::Starting);
        }
    }

    /// Records that the store is in `epoch`. A list of a former epoch is no longer delivered.
    pub fn record_epoch(&self, epoch: Epoch) {
        let mut list = self.list.borrow_mut();
        if list.newest_epoch < epoch {
            list.newest_epoch = epoch;
            drop(list);
            self.changed.notify_waiters();
        }
    }

    /// Records that the store has not answered a call for the list.
    pub fn record_failure(&self, error: &Error) {
        // A lost history is no outage: the whole list is read next.
        if *error != Error::HistoryGone {
            self.set_standing(Standing::Outage);
        }
    }

    /// Records that the store has not answered a call for another list, while a call for this one
    /// may wait in vain until its time is over.
    pub fn record_path_failure(&self, error: &Error) {
        if self.list.borrow().standing == Standing::Followed {
            self.record_failure(error);
        }
    }

    /// Reports whether the store has not answered the last call.
    pub fn is_in_outage(&self) -> bool {
        self.list.borrow().standing == Standing::Outage
    }

    /// Returns the changes that lead from this list to the list of `entries`.
    pub fn changes_to(&self, entries: Vec<Entry<T>>) -> Vec<Change<T>> {
        let list = self.list.borrow();
        let named: BTreeSet<&str> = entries.iter().map(key).collect();
        let gone = list
            .entries
            .keys()
            .filter(|id| !named.contains(id.as_str()));
        let mut changes: Vec<Change<T>> = gone.cloned().map(Change::Removed).collect();
        let new = entries.into_iter().filter(|entry| {
            let known = list.entries.get(key(entry));
            known.is_none_or(|(known, _)| known != entry)
        });
        changes.extend(new.map(Change::from));
        changes
    }

    /// Answers `query`, after waiting for a change if there is none.
    pub async fn answer(&self, query: &Query) -> Bytes {
        let deadline = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers before the list is read, so that no change in between is missed.
            changed.as_mut().enable();
            if let Some(answer) = self.list.borrow_mut().answer(query) {
                return answer;
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(deadline) => return self.list.borrow().answer_unchanged(query),
            }
        }
    }
}

impl<T: Item> List<T> {
    /// Records what was read. Returns whether the list has changed.
    fn record(&mut self, read: &Read<Batch<T>>) -> bool {
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
    fn put(&mut self, id: &str, entry: Entry<T>, revision: Revision) -> bool {
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

    fn advance(&mut self, as_of: Revision, newest: Option<Revision>, has_changed: bool) {
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
    fn answer(&mut self, query: &Query) -> Option<Bytes> {
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
    fn answer_unchanged(&self, query: &Query) -> Bytes {
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
}

impl<T: Item> List<T> {
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

fn key<T: Item>(entry: &Entry<T>) -> &str {
    match entry {
        Ok(value) => value.key(),
        Err(unusable) => &unusable.id,
    }
}

fn encode<T: Item>(answer: &Answer<T::Wire>) -> Bytes {
    // Encoding into memory cannot fail for these types; an empty answer cannot be decoded.
    Bytes::from(postcard::to_stdvec(answer).unwrap_or_default())
}
