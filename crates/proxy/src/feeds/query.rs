//! Request for a feed, as sent to another host.

use std::time::Duration;

use flamingopost_core::epoch::Epoch;

use crate::platform::Revision;

/// Path under which feeds are served. It contains the version of their encoding: a host of a build
/// with another one does not find them, and reads the store.
const PATH: &str = "/feeds/2/";

/// The feeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// The operators' configuration.
    Configuration,
    /// The list of backend servers.
    Servers,
    /// The list of entry hosts.
    Hosts,
}

impl Table {
    /// Returns the name of the feed in logs, metrics and requests.
    pub fn name(self) -> &'static str {
        match self {
            Table::Configuration => "configuration",
            Table::Servers => "servers",
            Table::Hosts => "hosts",
        }
    }
}

/// A request for the changes of a feed.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::epoch::Epoch;
/// use flamingopost_proxy::feeds::query::{Query, Table};
/// use flamingopost_proxy::platform::Revision;
///
/// let query = Query {
///     table: Table::Servers,
///     after: Revision::new(Epoch(2), 900),
///     whole: false,
///     recovering: false,
///     wait: Duration::from_secs(25),
/// };
/// let path = query.to_string();
/// assert_eq!(path, "/feeds/2/servers?epoch=2&after=900&wait_ms=25000");
/// let (path, parameters) = path.split_once('?').expect("parameters");
/// assert_eq!(Query::parse(path, parameters), Some(query));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// The feed.
    pub table: Table,
    /// Revision up to which the asking host has read the feed, or the beginning of a newer epoch
    /// that it has heard of.
    pub after: Revision,
    /// Whether to answer with the whole list at once.
    pub whole: bool,
    /// Whether to wait for the end of an outage of the store instead of reporting it.
    pub recovering: bool,
    /// How long to wait for a change.
    pub wait: Duration,
}

impl Query {
    /// Parses the path and the parameters of a request.
    pub fn parse(path: &str, parameters: &str) -> Option<Query> {
        let table = match path.strip_prefix(PATH)? {
            "configuration" => Table::Configuration,
            "servers" => Table::Servers,
            "hosts" => Table::Hosts,
            _ => return None,
        };
        let number = |name: &str| -> Option<u64> {
            let mut pairs = parameters.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        Some(Query {
            table,
            after: Revision::new(Epoch(number("epoch")?), number("after")?),
            whole: number("whole") == Some(1),
            recovering: number("recovering") == Some(1),
            wait: Duration::from_millis(number("wait_ms")?),
        })
    }
}

impl std::fmt::Display for Query {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (table, after) = (self.table.name(), self.after);
        let wait = self.wait.as_millis();
        write!(
            f,
            "{PATH}{table}?epoch={}&after={}",
            after.epoch(),
            after.count()
        )?;
        write!(f, "&wait_ms={wait}")?;
        if self.whole {
            f.write_str("&whole=1")?;
        }
        if self.recovering {
            f.write_str("&recovering=1")?;
        }
        Ok(())
    }
}
