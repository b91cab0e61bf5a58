//! The fleet's configuration in the platform's services.
//!
//! Row `fleet/head` names the newest version; row `history/VERSION` records each; the body of a
//! version is object `config/DIGEST`.

use std::time::Duration;

use flamingopost_core::digest::{self, Digest};
use flamingopost_core::submission::Record;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::object::Store;

/// Prefix of all rows that a host polls for; one read.
pub const FLEET_PREFIX: &str = "fleet/";

/// Key of the head row.
pub const HEAD_KEY: &str = "fleet/head";

/// An accepted version, as rows hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version, from 1.
    pub version: u64,
    /// SHA-256 of the body, hexadecimal.
    pub digest: String,
    /// Id that the operator's tool drew for the submission.
    pub submission: String,
    /// Who submitted it.
    pub operator: String,
    /// When, in milliseconds since 1970, by the clock of the process that wrote it.
    pub at_ms: u64,
}

/// A head row that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ReadError {
    /// {0} is no configuration record
    Json(String),
    /// {0}
    Digest(digest::ParseError),
}

impl std::error::Error for ReadError {}

impl Head {
    /// The row for `record`, written `since_epoch` after 1970 began.
    pub fn new(record: &Record, since_epoch: Duration) -> Head {
        Head {
            version: record.version,
            digest: record.digest.to_string(),
            submission: record.submission.clone(),
            operator: record.operator.clone(),
            at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Reads a row's body.
    ///
    /// # Errors
    /// It is no record of a version.
    pub fn decode(body: &str) -> Result<Head, ReadError> {
        serde_json::from_str(body).map_err(|_| ReadError::Json(body.to_owned()))
    }

    /// The row's body.
    pub fn encode(&self) -> String {
        // A struct of numbers and strings always has a JSON form.
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

/// Key of the record of `version`.
///
/// ```
/// assert_eq!(flamingopost_platform::head::history_key(12), "history/0000000012");
/// ```
pub fn history_key(version: u64) -> String {
    format!("history/{version:010}")
}

/// Prefix of the records of the hundred versions around `version`, so that a history of years
/// is never read at once.
pub fn history_page_prefix(version: u64) -> String {
    let key = history_key(version);
    key[..key.len() - 2].to_owned()
}

/// Key of the body with `digest`.
pub fn body_key(digest: Digest) -> String {
    format!("config/{digest}")
}

/// Fetches the body with `digest`; the caller checks it against the digest.
///
/// # Errors
/// The object store does not answer.
pub async fn fetch_body(store: &dyn Store, digest: Digest) -> Result<Option<Vec<u8>>, Error> {
    store.get(&body_key(digest)).await
}
