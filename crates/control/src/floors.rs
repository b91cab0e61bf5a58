//! Encodes the row of the table service that persists a shard's floors.

use std::collections::BTreeMap;

use flamingopost_core::budget::server_budget::HostInstance;
use flamingopost_core::directory::Directory;
use serde::{Deserialize, Serialize};

use crate::budgets::Floors;

/// One persisted floor. It holds names because keys are only valid within a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Stored {
    host: String,
    incarnation: u64,
    connections: u16,
}

/// Returns the key of the row. The key lies outside the prefix that every host polls.
pub fn key(shard: u16) -> String {
    format!("floors/shard-{shard}")
}

/// Encodes the row's body.
pub fn encode(floors: &Floors, directory: &Directory) -> String {
    let mut stored: BTreeMap<&str, Vec<Stored>> = BTreeMap::new();
    for ((server, holder), connections) in floors {
        let server = directory.servers.name(*server);
        let host = directory.hosts.name(holder.host);
        if let (Some(server), Some(host)) = (server, host) {
            stored.entry(server).or_default().push(Stored {
                host: host.to_owned(),
                incarnation: holder.incarnation,
                connections: *connections,
            });
        }
    }
    // A map of strings, numbers and lists always has a JSON form.
    serde_json::to_string(&stored).unwrap_or_default()
}

/// Decodes a row's body.
///
/// # Errors
/// The body is not a valid row of floors.
pub fn decode(body: &str, directory: &mut Directory) -> Result<Floors, serde_json::Error> {
    let stored: BTreeMap<String, Vec<Stored>> = serde_json::from_str(body)?;
    let mut floors = Floors::new();
    for (server, stored_floors) in stored {
        let server = directory.servers.intern(&server);
        for floor in stored_floors {
            let holder = HostInstance {
                host: directory.hosts.intern(&floor.host),
                incarnation: floor.incarnation,
            };
            floors.insert((server, holder), floor.connections);
        }
    }
    Ok(floors)
}
