//! The object store.

use async_trait::async_trait;

use crate::error::Error;

/// The object store. Objects are immutable, and their keys are derived from their content, so that
/// writes are idempotent.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error>;

    /// Writes an object.
    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), Error>;
}
