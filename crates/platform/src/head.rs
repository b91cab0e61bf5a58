//! The fleet's configuration in the platform's services.
//!
//! The row `fleet/head` names the newest version, a row `history/VERSION` records each version, and
//! the object `config/DIGEST` is the body of a version.

use std::time::Duration;

use flamingopost_core::digest::{self, Digest};
use flamingopost_core::submission::Record;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::object::Store;

/// Prefix of all rows that a host polls, in a single read.
pub const FLEET_PREFIX: &str = "fleet/";

/// Key of the head row.
pub const HEAD_KEY: &str = "fleet/head";

/// Record of an accepted version, as stored in rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version, from 1.
    pub version: u64,
    /// SHA-256 of the body, hexadecimal.
    pub digest: String,
    /// Random id of the submission, drawn by the operator's tool.
    pub submission: String,
    /// Operator who submitted the version.
    pub operator: String,
    /// Time of submission in milliseconds since 1970, by the clock of the process that wrote the
    /// row.
    pub at_ms: u64,
}

/// Why a head row cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ReadError {
    /// not a configuration record: {0}
    Json(String),
    /// {0}
    Digest(digest::ParseError),
}

impl std::error::Error for ReadError {}

impl Head {
    /// Creates the row for `record`, written at `since_epoch` after the Unix epoch.
    pub fn new(record: &Record, since_epoch: Duration) -> Head {
        Head {
            version: record.version,
            digest: record.digest.to_string(),
            submission: record.submission.clone(),
            operator: record.operator.clone(),
            at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Decodes a row's body.
    ///
    /// # Errors
    /// Returns an error if the body is not a record of a version.
    pub fn decode(body: &str) -> Result<Head, ReadError> {
        serde_json::from_str(body).map_err(|_| ReadError::Json(body.to_owned()))
    }

    /// Encodes the row's body.
    pub fn encode(&self) -> String {
        // Serializing a struct of numbers and strings cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl TryFrom<&Head> for Record {
    type Error = ReadError;

    fn try_from(head: &Head) -> Result<Record, ReadError> {
        Ok(Record {
            version: head.version,
            digest: head.digest.parse().map_err(ReadError::Digest)?,
            submission: head.submission.clone(),
            operator: head.operator.clone(),
        })
    }
}

/// Returns the key of the record of `version`.
///
/// ```
/// assert_eq!(flamingopost_platform::head::history_key(12), "history/0000000012");
/// ```
pub fn history_key(version: u64) -> String {
    format!("history/{version:010}")
}

/// Returns the key prefix of the records of the hundred versions around `version`, so that a long
/// history is never read at once.
pub fn history_page_prefix(version: u64) -> String {
    let key = history_key(version);
    key[..key.len() - 2].to_owned()
}

/// Returns the key of the body with `digest`.
pub fn body_key(digest: Digest) -> String {
    format!("config/{digest}")
}

/// Fetches the body with `digest`. The caller verifies the digest.
///
/// # Errors
/// Returns an error if the object store does not respond.
pub async fn fetch_body(store: &dyn Store, digest: Digest) -> Result<Option<Vec<u8>>, Error> {
    store.get(&body_key(digest)).await
}
