//! A feed as this host serves it to others.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use flamingopost_core::epoch::Epoch;
use hyper::body::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::query::Query;
use super::wire::Item;
use crate::platform::{Change, Entry, Error, Read, Revision};

mod list;

use list::{List, key};

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
