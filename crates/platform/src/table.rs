//! The transactional table service.

use async_trait::async_trait;

use crate::error::Error;

/// A row and the tag that the next compare-and-set has to name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Tag of the row, which changes with every write.
    pub tag: Tag,
    /// JSON body of the row.
    pub body: String,
}

/// Version of a row, opaque to clients of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tag(pub String);

/// Precondition of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row still has this tag.
    Tag(Tag),
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the row to write.
    pub key: String,
    /// Precondition of the write.
    pub condition: Condition,
    /// JSON body to write.
    pub body: String,
}

/// Outcome of a compare-and-set that received a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The writes took effect. The tags are the new ones, in the order of the changes.
    Written(Vec<Tag>),
    /// A precondition did not hold, and nothing was written.
    Conflict,
}

/// The table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads all rows whose keys start with `prefix`, at the cost of one request.
    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error>;

    /// Writes all of `changes` atomically.
    ///
    /// After an error whose [`effect`](Error::effect) is unknown, the writer has to read back: the
    /// response may have been lost after the write took effect.
    async fn write(&self, changes: Vec<Change>) -> Result<Outcome, Error>;
}
