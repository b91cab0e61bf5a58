//! A shard's row in the table service: the state of the core, and the addresses of its hosts.

use std::collections::BTreeMap;

use flamingopost_core::row;
use flamingopost_wire::row::{Error, Row};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// The body of a shard's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Authority over the shard and state of its services.
    #[serde(flatten)]
    pub row: Row,
    /// Address of the controller's remote calls.
    pub rpc: String,
    /// Known addresses of the standbys' remote calls, by host.
    #[serde(default)]
    pub addresses: BTreeMap<String, String>,
}

/// Reasons why a row cannot be decoded.
#[derive(Debug, displaydoc::Display)]
pub enum ReadError {
    /// {0}
    Json(serde_json::Error),
    /// {0}
    Row(Error),
}

impl std::error::Error for ReadError {}

/// Returns the key of the row of `shard`.
pub fn key(shard: u16) -> String {
    format!("fleet/shard-{shard}")
}

/// Encodes the body of `row`.
///
/// # Errors
/// The directory has no name for a key.
pub fn encode(row: &row::Row, shared: &Shared) -> Result<String, Error> {
    let row = Row::encode(row, &shared.directory())?;
    let rpc = shared.rpc_of(&row.controller).unwrap_or_default();
    let named = row.standbys.iter();
    let addresses = named
        .filter_map(|host| Some((host.clone(), shared.rpc_of(host)?)))
        .collect();
    let stored = Stored {
        row,
        rpc,
        addresses,
    };
    // A struct of numbers, strings and maps by string always has a JSON form.
    Ok(serde_json::to_string(&stored).unwrap_or_default())
}

/// Decodes a body and records the addresses in it.
///
/// # Errors
/// The body is not a valid row.
pub fn decode(shard: u16, body: &str, shared: &Shared) -> Result<row::Row, ReadError> {
    let stored: Stored = serde_json::from_str(body).map_err(ReadError::Json)?;
    let decoded = shared.intern(|directory| stored.row.decode(directory));
    let decoded = decoded.map_err(ReadError::Row)?;
    shared.record_controller(shard, stored.row.epoch, &stored.row.controller, &stored.rpc);
    for (host, rpc) in &stored.addresses {
        shared.record_host(host, rpc);
    }
    Ok(decoded)
}
