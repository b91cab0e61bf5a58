//! Drains that operators order: servers and hosts that receive no new work.
//!
//! They are kept in one row of the table service, so they outlast any controller.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_platform::error::Effect;
use flamingopost_platform::table::{Change, Condition, Outcome, Row, Table as _};
use flamingopost_wire::submission::Drain as Order;
use serde::{Deserialize, Serialize};

use crate::fleet_status;
use crate::shards::Shards;
use crate::shared::Shared;

/// Key of the row.
pub const KEY: &str = "fleet/drain";

const TRIES: u8 = 5;
const PAUSE: Duration = Duration::from_millis(100);

/// What operators have drained.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Backend servers.
    pub servers: BTreeSet<String>,
    /// Entry hosts.
    pub hosts: BTreeSet<String>,
}

/// Whether a drain is ordered or taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// No new work from now on.
    Drain,
    /// As before.
    Undo,
}

/// Why an order was not carried out.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// nobody here knows a server or host of this name
    NoSuchName,
    /// the platform cannot be reached; nothing was changed
    Unavailable,
    /// the platform gave no answer; the order may have been carried out
    Unknown,
}

impl Drain {
    /// Reads a row's body; an unreadable one drains nothing.
    pub fn decode(body: &str) -> Drain {
        serde_json::from_str(body).unwrap_or_default()
    }

    fn apply(&mut self, order: &Order, wish: Wish) {
        let (names, name) = match order {
            Order::Server(name) => (&mut self.servers, name),
            Order::Host(name) => (&mut self.hosts, name),
        };
        match wish {
            Wish::Drain => names.insert(name.clone()),
            Wish::Undo => names.remove(name),
        };
    }
}

/// Carries out `order` and returns all that is drained after it.
///
/// # Errors
/// The name is unknown or the platform does not answer.
pub async fn run(
    shared: &Shared,
    shards: &Shards,
    order: &Order,
    wish: Wish,
) -> Result<Drain, Error> {
    check(shared, shards, order).await?;
    let mut in_doubt = false;
    for _ in 0..TRIES {
        match attempt(shared, order, wish).await {
            Ok(Some(drain)) => return Ok(drain),
            Ok(None) => {}
            Err(Effect::None) => {}
            // An order says what is to be, not what is to change: sending it again is harmless.
            Err(Effect::Unknown) => in_doubt = true,
        }
        tokio::time::sleep(PAUSE).await;
    }
    match in_doubt {
        true => Err(Error::Unknown),
        false => Err(Error::Unavailable),
    }
}

async fn check(shared: &Shared, shards: &Shards, order: &Order) -> Result<(), Error> {
    let known = match order {
        Order::Server(name) => shared.directory().servers.find(name).is_some(),
        Order::Host(name) => is_host(shared, shards, name).await,
    };
    match known {
        true => Ok(()),
        false if shared.is_current() => Err(Error::NoSuchName),
        false => Err(Error::Unavailable),
    }
}

/// The configuration does not name entry hosts: only the controllers that they renew with know
/// them.
async fn is_host(shared: &Shared, shards: &Shards, name: &str) -> bool {
    let status = fleet_status::gather(shared, shards).await;
    status.hosts.iter().any(|host| host.host == name)
}

/// `None` where another operator's order came in between.
async fn attempt(shared: &Shared, order: &Order, wish: Wish) -> Result<Option<Drain>, Effect> {
    let table = shared.platform();
    let row = table.read(KEY).await.map_err(|_| Effect::None)?;
    let mut drain = row.as_ref().map_or_else(Drain::default, current);
    let before = drain.clone();
    drain.apply(order, wish);
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

fn current(row: &Row) -> Drain {
    Drain::decode(&row.body)
}
