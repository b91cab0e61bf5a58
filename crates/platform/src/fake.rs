//! In-memory platform for tests, with the same traits and with injected faults.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;

use crate::error::Error;
use crate::hosts::{self, Host};
use crate::object;
use crate::table::{self, Change, Condition, Outcome, Row, Tag};

/// Faults that are injected into requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fault {
    /// Every request is refused.
    pub down: bool,
    /// Writes take effect, but their responses are lost.
    pub lost_answers: bool,
    /// Delay of every request.
    pub delay: Duration,
}

/// In-memory table service, object store and host list.
#[derive(Debug, Default)]
pub struct Platform {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    writes: u64,
    reads: u64,
    rows: BTreeMap<String, (u64, String)>,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: Vec<Host>,
}

impl Platform {
    /// Sets the faults of all following requests.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Sets the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.lock().hosts = hosts;
    }

    /// Returns the number of read requests so far.
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// Returns the number of write requests so far, including refused ones.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn begin_request(&self) -> Result<(), Error> {
        let fault = self.lock().fault;
        if !fault.delay.is_zero() {
            tokio::time::sleep(fault.delay).await;
        }
        if fault.down {
            return Err(Error::Refused);
        }
        Ok(())
    }

    async fn begin_read(&self) -> Result<(), Error> {
        self.lock().reads += 1;
        self.begin_request().await
    }

    async fn begin_write(&self) -> Result<(), Error> {
        self.lock().writes += 1;
        self.begin_request().await
    }

    fn finish_write<T>(&self, answer: T) -> Result<T, Error> {
        if self.lock().fault.lost_answers {
            return Err(Error::Broken("answer lost".to_owned()));
        }
        Ok(answer)
    }
}

impl State {
    fn condition_holds(&self, change: &Change) -> bool {
        match (&change.condition, self.rows.get(&change.key)) {
            (Condition::Absent, None) => true,
            (Condition::Tag(Tag(wanted)), Some((tag, _))) => *wanted == tag.to_string(),
            _ => false,
        }
    }

    fn apply(&mut self, changes: Vec<Change>) -> Outcome {
        if !changes.iter().all(|change| self.condition_holds(change)) {
            return Outcome::Conflict;
        }
        let mut tags = Vec::new();
        for change in changes {
            let tag = self.rows.get(&change.key).map_or(1, |(tag, _)| tag + 1);
            self.rows.insert(change.key, (tag, change.body));
            tags.push(Tag(tag.to_string()));
        }
        Outcome::Written(tags)
    }
}

fn row(key: &str, tag: u64, body: &str) -> Row {
    Row {
        key: key.to_owned(),
        tag: Tag(tag.to_string()),
        body: body.to_owned(),
    }
}

#[async_trait]
impl table::Table for Platform {
    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        self.begin_read().await?;
        let state = self.lock();
        let found = state.rows.get(key);
        Ok(found.map(|(tag, body)| row(key, *tag, body)))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.begin_read().await?;
        let state = self.lock();
        let rows = state.rows.range(prefix.to_owned()..);
        Ok(rows
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (tag, body))| row(key, *tag, body))
            .collect())
    }

    async fn write(&self, changes: Vec<Change>) -> Result<Outcome, Error> {
        self.begin_write().await?;
        let outcome = self.lock().apply(changes);
        self.finish_write(outcome)
    }
}

#[async_trait]
impl object::Store for Platform {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        self.begin_read().await?;
        Ok(self.lock().objects.get(key).cloned())
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), Error> {
        self.begin_write().await?;
        self.lock().objects.insert(key.to_owned(), body);
        self.finish_write(())
    }
}

#[async_trait]
impl hosts::List for Platform {
    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.begin_read().await?;
        Ok(self.lock().hosts.clone())
    }
}
