//! The transactional table service.

use async_trait::async_trait;

use crate::error::Error;

/// A row and the tag that its next compare-and-set has to name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its tag, which changes with every write.
    pub tag: Tag,
    /// Its body, JSON.
    pub body: String,
}

/// The version of a row, opaque to all but the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tag(pub String);

/// What a row has to be for a write to take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// There is no such row.
    Absent,
    /// The row still has this tag.
    Tag(Tag),
}

/// One write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The row's key.
    pub key: String,
    /// What the row has to be.
    pub condition: Condition,
    /// The body to write, JSON.
    pub body: String,
}

/// What a compare-and-set led to, where an answer came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect; the rows have these tags now, in the order of the changes.
    Written(Vec<Tag>),
    /// A guard did not hold; nothing was written.
    Conflict,
}

/// The table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads all rows whose keys start with `prefix`, at one cost.
    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error>;

    /// Writes all of `changes` or none.
    ///
    /// After an error whose [`effect`](Error::effect) is unknown the writer has to read back:
    /// the answer may have been lost after the write took effect.
    async fn write(&self, changes: Vec<Change>) -> Result<Outcome, Error>;
}
