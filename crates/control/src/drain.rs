//! Operators' drains: backend servers and entry hosts that receive no new work.
//!
//! Drains are stored in one row of the table service, so they outlive any controller.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_platform::error::Effect;
use flamingopost_platform::table::{Change, Condition, Outcome, Row, Table as _};
use flamingopost_wire::submission::Drain as Target;
use serde::{Deserialize, Serialize};

use crate::fleet_status;
use crate::shards::Shards;
use crate::shared::Shared;

/// Key of the row.
pub const KEY: &str = "fleet/drain";

/// Maximum number of attempts to change the row.
const MAX_ATTEMPTS: u8 = 5;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The set of drained servers and hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Names of drained backend servers.
    pub servers: BTreeSet<String>,
    /// Names of drained entry hosts.
    pub hosts: BTreeSet<String>,
}

/// The change that an operator requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send no new work to the target.
    Drain,
    /// Remove the drain.
    Undo,
}

/// Reasons why a request was not carried out.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// no server or host of this name is known
    NoSuchName,
    /// the platform is unreachable; nothing was changed
    Unavailable,
    /// the platform did not answer; the request may have been carried out
    Unknown,
}

impl Drain {
    /// Decodes a row's body. A body that cannot be decoded drains nothing.
    pub fn decode(body: &str) -> Drain {
        serde_json::from_str(body).unwrap_or_default()
    }

    fn apply(&mut self, target: &Target, action: Action) {
        let (names, name) = match target {
            Target::Server(name) => (&mut self.servers, name),
            Target::Host(name) => (&mut self.hosts, name),
        };
        match action {
            Action::Drain => names.insert(name.clone()),
            Action::Undo => names.remove(name),
        };
    }
}

/// Applies `action` to `target` and returns the resulting drains.
///
/// # Errors
/// The name is unknown or the platform does not answer.
pub async fn run(
    shared: &Shared,
    shards: &Shards,
    target: &Target,
    action: Action,
) -> Result<Drain, Error> {
    check(shared, shards, target).await?;
    let mut in_doubt = false;
    for _ in 0..MAX_ATTEMPTS {
        match attempt(shared, target, action).await {
            Ok(Some(drain)) => return Ok(drain),
            Ok(None) => {}
            Err(Effect::None) => {}
            // The request is idempotent, so retrying it after an unknown outcome is safe.
            Err(Effect::Unknown) => in_doubt = true,
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    match in_doubt {
        true => Err(Error::Unknown),
        false => Err(Error::Unavailable),
    }
}

async fn check(shared: &Shared, shards: &Shards, target: &Target) -> Result<(), Error> {
    let known = match target {
        Target::Server(name) => shared.directory().servers.find(name).is_some(),
        Target::Host(name) => is_host(shared, shards, name).await,
    };
    match known {
        true => Ok(()),
        false if shared.is_current() => Err(Error::NoSuchName),
        false => Err(Error::Unavailable),
    }
}

/// Reports whether `name` is an entry host. The configuration does not name entry hosts; only the
/// controllers from which they obtain leases know them.
async fn is_host(shared: &Shared, shards: &Shards, name: &str) -> bool {
    let status = fleet_status::gather(shared, shards).await;
    status.hosts.iter().any(|host| host.host == name)
}

/// Attempts the change once. Returns `None` if another operator changed the row concurrently.
async fn attempt(
    shared: &Shared,
    target: &Target,
    action: Action,
) -> Result<Option<Drain>, Effect> {
    let table = shared.platform();
    let row = table.read(KEY).await.map_err(|_| Effect::None)?;
    let mut drain = row.as_ref().map_or_else(Drain::default, decode_row);
    let before = drain.clone();
    drain.apply(target, action);
    if drain == before {
        return Ok(Some(drain));
    }
    let change = Change {
        key: KEY.to_owned(),
        condition: row.map_or(Condition::Absent, |row| Condition::Tag(row.tag)),
        body: serde_json::to_string(&drain).unwrap_or_default(),
    };
    match table.write(vec![change]).await {
        Ok(Outcome::Written(_)) => Ok(Some(drain)),
        Ok(Outcome::Conflict) => Ok(None),
        Err(error) => Err(error.effect()),
    }
}

fn decode_row(row: &Row) -> Drain {
    Drain::decode(&row.body)
}
