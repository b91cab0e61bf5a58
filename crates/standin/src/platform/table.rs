//! Rows and objects with entity tags and conditional writes.

use std::collections::BTreeMap;

use bytes::Bytes;

/// One value and the entity tag of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Row {
    pub(crate) tag: String,
    pub(crate) body: Bytes,
}

/// What a key must be for a write to take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Guard {
    /// Anything.
    Any,
    /// It does not exist.
    Absent,
    /// It exists and has this entity tag.
    Tag(String),
}

/// One write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: String,
    pub(crate) guard: Guard,
    pub(crate) body: Bytes,
}

/// The guard of one of several writes did not hold, so none took effect.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Lost;

/// Values by key.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, Row>,
    writes: u64,
}

impl Table {
    pub(crate) fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    pub(crate) fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Row)> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Does all of `changes` or none; gives the new entity tags.
    pub(crate) fn write(&mut self, changes: Vec<Change>) -> Result<Vec<String>, Lost> {
        let holds = |change: &Change| match (&change.guard, self.rows.get(&change.key)) {
            (Guard::Any, _) | (Guard::Absent, None) => true,
            (Guard::Tag(tag), Some(row)) => *tag == row.tag,
            (Guard::Absent, Some(_)) | (Guard::Tag(_), None) => false,
        };
        if !changes.iter().all(holds) {
            return Err(Lost);
        }
        let mut tags = Vec::with_capacity(changes.len());
        for change in changes {
            self.writes += 1;
            let tag = format!("\"{}\"", self.writes);
            let row = Row {
                tag: tag.clone(),
                body: change.body,
            };
            self.rows.insert(change.key, row);
            tags.push(tag);
        }
        Ok(tags)
    }
}
