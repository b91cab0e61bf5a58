//! Wire encoding of the feeds that hosts read from each other.
//!
//! Hosts of different builds exchange them while a fleet is updated. An answer that cannot be
//! decoded counts as none, and the store is read instead.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::digest::Digest;
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::leader::Role;
use flamingopost_core::limit::Limit;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;
use crate::platform::{
    Backend, Configuration, Entry, LONGEST_TIME, Peer, Revision, Service, Strength,
};
use crate::route::{Consistency, Route};
use crate::team::Directory;
use crate::unusable::UnusableEntry;

/// A value of one of the feeds, and its wire type.
pub trait Item: Clone + PartialEq + 'static {
    /// Its wire type.
    type Wire: Serialize + DeserializeOwned + for<'a> From<&'a Self> + Into<Self>;

    /// Returns the key under which the store keeps the value.
    fn key(&self) -> &str;
}

impl Item for Backend {
    type Wire = WireBackend;

    fn key(&self) -> &str {
        &self.id
    }
}

impl Item for Peer {
    type Wire = WirePeer;

    fn key(&self) -> &str {
        &self.host
    }
}

impl Item for Rc<Configuration> {
    type Wire = WireConfiguration;

    fn key(&self) -> &str {
        // The store has one configuration.
        ""
    }
}

/// Answer of a host that follows the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer<T> {
    /// The whole list.
    List {
        /// Revision up to which it is complete.
        revision: u64,
        /// Revision of its newest change.
        newest: Option<u64>,
        /// Its entries.
        entries: Vec<WireEntry<T>>,
    },
    /// Nothing has changed since the revision that was asked for.
    Unchanged {
        /// Revision up to which nothing has changed.
        revision: u64,
    },
    /// The host cannot read the store at present.
    Outage,
    /// The host does not read the feed at the store, or has read less than the asking host.
    NotFollowed,
    /// What has changed since the revision that was asked for.
    Changes {
        /// Revision up to which the changes are complete.
        revision: u64,
        /// Revision of the newest change of the list.
        newest: Option<u64>,
        /// Entries that are new or have changed.
        entries: Vec<WireEntry<T>>,
        /// Keys of the entries that were removed.
        removed: Vec<String>,
    },
}

/// An entry of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireEntry<T> {
    /// It can be used.
    Usable(T),
    /// It cannot be used.
    Unusable(WireUnusable),
}

impl<T: Item> From<&Entry<T>> for WireEntry<T::Wire> {
    fn from(entry: &Entry<T>) -> WireEntry<T::Wire> {
        match entry {
            Ok(value) => WireEntry::Usable(value.into()),
            Err(unusable) => WireEntry::Unusable(unusable.into()),
        }
    }
}

impl<W> WireEntry<W> {
    /// Returns the entry.
    pub fn into_entry<T: Item<Wire = W>>(self) -> Entry<T>
    where
        W: Into<T>,
    {
        match self {
            WireEntry::Usable(value) => Ok(value.into()),
            WireEntry::Unusable(unusable) => Err(unusable.into()),
        }
    }
}

/// An entry that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUnusable {
    id: String,
    fault: WireFault,
    version: Option<u64>,
    revision: u64,
}

impl From<&UnusableEntry> for WireUnusable {
    fn from(unusable: &UnusableEntry) -> WireUnusable {
        WireUnusable {
            id: unusable.id.clone(),
            fault: (&unusable.fault).into(),
            version: unusable.version,
            revision: unusable.revision.0,
        }
    }
}

impl From<WireUnusable> for UnusableEntry {
    fn from(unusable: WireUnusable) -> UnusableEntry {
        UnusableEntry {
            id: unusable.id,
            fault: unusable.fault.into(),
            version: unusable.version,
            revision: Revision(unusable.revision),
        }
    }
}

/// Fault of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum WireFault {
    Encoding,
    Syntax,
    Field(String),
    Name(String),
    Address(String),
    Number(String),
    State(String),
    Role(String),
    Kind(String),
    Service(String),
    Start,
}

impl From<&Fault> for WireFault {
    fn from(fault: &Fault) -> WireFault {
        match fault.clone() {
            Fault::Encoding => WireFault::Encoding,
            Fault::Syntax => WireFault::Syntax,
            Fault::Field(text) => WireFault::Field(text),
            Fault::Name(text) => WireFault::Name(text),
            Fault::Address(text) => WireFault::Address(text),
            Fault::Number(text) => WireFault::Number(text),
            Fault::State(text) => WireFault::State(text),
            Fault::Role(text) => WireFault::Role(text),
            Fault::Kind(text) => WireFault::Kind(text),
            Fault::Service(text) => WireFault::Service(text),
            Fault::Start => WireFault::Start,
        }
    }
}

impl From<WireFault> for Fault {
    fn from(fault: WireFault) -> Fault {
        match fault {
            WireFault::Encoding => Fault::Encoding,
            WireFault::Syntax => Fault::Syntax,
            WireFault::Field(text) => Fault::Field(text),
            WireFault::Name(text) => Fault::Name(text),
            WireFault::Address(text) => Fault::Address(text),
            WireFault::Number(text) => Fault::Number(text),
            WireFault::State(text) => Fault::State(text),
            WireFault::Role(text) => Fault::Role(text),
            WireFault::Kind(text) => Fault::Kind(text),
            WireFault::Service(text) => Fault::Service(text),
            WireFault::Start => Fault::Start,
        }
    }
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireBackend {
    id: String,
    incarnation: u64,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u16,
    leaving: bool,
    primary: bool,
    revision: u64,
}

impl From<&Backend> for WireBackend {
    fn from(backend: &Backend) -> WireBackend {
        WireBackend {
            id: backend.id.clone(),
            incarnation: backend.incarnation.0,
            service: backend.service.clone(),
            address: backend.address,
            zone: backend.zone.clone(),
            slots: backend.slots,
            leaving: backend.leaving,
            primary: backend.role == Role::Primary,
            revision: backend.revision.0,
        }
    }
}

impl From<WireBackend> for Backend {
    fn from(backend: WireBackend) -> Backend {
        Backend {
            id: backend.id,
            incarnation: Incarnation(backend.incarnation),
            service: backend.service,
            address: backend.address,
            zone: backend.zone,
            slots: backend.slots,
            leaving: backend.leaving,
            role: match backend.primary {
                true => Role::Primary,
                false => Role::Replica,
            },
            revision: Revision(backend.revision),
        }
    }
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePeer {
    host: String,
    zone: String,
    address: SocketAddr,
    /// In thousandths of a core.
    strength: Option<u32>,
    protocol: u16,
}

impl From<&Peer> for WirePeer {
    fn from(peer: &Peer) -> WirePeer {
        WirePeer {
            host: peer.host.clone(),
            zone: peer.zone.clone(),
            address: peer.address,
            strength: peer.strength.map(|Strength(share)| share),
            protocol: peer.protocol,
        }
    }
}

impl From<WirePeer> for Peer {
    fn from(peer: WirePeer) -> Peer {
        Peer {
            host: peer.host,
            zone: peer.zone,
            address: peer.address,
            strength: peer.strength.map(Strength),
            protocol: peer.protocol,
        }
    }
}

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireConfiguration {
    version: u64,
    routes: BTreeMap<String, WireRoute>,
    services: BTreeMap<String, WireService>,
    teams: Option<WireDirectory>,
    transaction_idle: Duration,
}

impl From<&Rc<Configuration>> for WireConfiguration {
    fn from(configuration: &Rc<Configuration>) -> WireConfiguration {
        let routes = configuration.routes.iter();
        let services = configuration.services.iter();
        WireConfiguration {
            version: configuration.version,
            routes: routes.map(|(name, it)| (name.clone(), it.into())).collect(),
            services: services
                .map(|(name, it)| (name.clone(), WireService::from(*it)))
                .collect(),
            teams: configuration.teams.as_ref().map(WireDirectory::from),
            transaction_idle: configuration.transaction_idle,
        }
    }
}

impl From<WireConfiguration> for Rc<Configuration> {
    fn from(configuration: WireConfiguration) -> Rc<Configuration> {
        let routes = configuration.routes.into_iter();
        let services = configuration.services.into_iter();
        Rc::new(Configuration {
            version: configuration.version,
            routes: routes.map(|(name, it)| (name, it.into())).collect(),
            services: services.map(|(name, it)| (name, it.into())).collect(),
            teams: configuration.teams.map(Directory::from),
            transaction_idle: configuration.transaction_idle.min(LONGEST_TIME),
        })
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WireRoute {
    service: String,
    consistency: WireConsistency,
    timeout: Duration,
    goal: Duration,
    priority: u8,
    anonymous: bool,
}

impl From<&Route> for WireRoute {
    fn from(route: &Route) -> WireRoute {
        WireRoute {
            service: route.service.clone(),
            consistency: route.consistency.into(),
            timeout: route.timeout,
            goal: route.goal,
            priority: route.priority,
            anonymous: route.anonymous,
        }
    }
}

impl From<WireRoute> for Route {
    fn from(route: WireRoute) -> Route {
        Route {
            service: route.service,
            consistency: route.consistency.into(),
            timeout: route.timeout.min(LONGEST_TIME),
            goal: route.goal.min(LONGEST_TIME),
            priority: route.priority,
            anonymous: route.anonymous,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum WireConsistency {
    Primary,
    Bounded(Duration),
    Session(Duration),
}

impl From<Consistency> for WireConsistency {
    fn from(consistency: Consistency) -> WireConsistency {
        match consistency {
            Consistency::Primary => WireConsistency::Primary,
            Consistency::Bounded(age) => WireConsistency::Bounded(age),
            Consistency::Session(age) => WireConsistency::Session(age),
        }
    }
}

impl From<WireConsistency> for Consistency {
    fn from(consistency: WireConsistency) -> Consistency {
        match consistency {
            WireConsistency::Primary => Consistency::Primary,
            WireConsistency::Bounded(age) => Consistency::Bounded(age.min(LONGEST_TIME)),
            WireConsistency::Session(age) => Consistency::Session(age.min(LONGEST_TIME)),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct WireService {
    connections: u16,
    synchronous: bool,
}

impl From<Service> for WireService {
    fn from(service: Service) -> WireService {
        WireService {
            connections: service.connections,
            synchronous: service.synchronous,
        }
    }
}

impl From<WireService> for Service {
    fn from(service: WireService) -> Service {
        Service {
            connections: service.connections,
            synchronous: service.synchronous,
        }
    }
}

/// The teams, with digests of their API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WireDirectory {
    by_key: Vec<([u8; 32], String)>,
    limits: Vec<(String, WireLimit)>,
    named: BTreeSet<String>,
}

impl From<&Directory> for WireDirectory {
    fn from(teams: &Directory) -> WireDirectory {
        let by_key = teams.keys();
        let limits = teams.limited_teams().filter_map(|team| {
            let limit = teams.limit(team)?;
            Some((team.to_owned(), limit.into()))
        });
        WireDirectory {
            by_key: by_key
                .map(|(key, team)| (key.bytes(), team.to_owned()))
                .collect(),
            limits: limits.collect(),
            named: teams.named().clone(),
        }
    }
}

impl From<WireDirectory> for Directory {
    fn from(teams: WireDirectory) -> Directory {
        let by_key = teams.by_key.into_iter();
        let limits = teams.limits.into_iter();
        Directory::from_parts(
            by_key
                .map(|(key, team)| (Digest::from_bytes(key), team))
                .collect(),
            limits.map(|(team, limit)| (team, limit.into())).collect(),
            teams.named,
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct WireLimit {
    per_second: u32,
    burst: u32,
}

impl From<Limit> for WireLimit {
    fn from(limit: Limit) -> WireLimit {
        WireLimit {
            per_second: limit.per_second,
            burst: limit.burst,
        }
    }
}

impl From<WireLimit> for Limit {
    fn from(limit: WireLimit) -> Limit {
        Limit {
            per_second: limit.per_second,
            burst: limit.burst,
        }
    }
}
