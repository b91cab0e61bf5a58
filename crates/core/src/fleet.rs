//! The configuration of a fleet as decisions read it: services, callers, classes and rules.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::key::{CallerKey, ClassKey, CustomerKey, ServerKey, ServiceKey, ZoneKey};
use crate::rule::Rule;

/// One accepted version of the fleet's configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Number of shards that services are spread over; each shard has one controller.
    pub shards: u16,
    /// Availability zones.
    pub zones: BTreeMap<ZoneKey, Zone>,
    /// Customers.
    pub customers: BTreeMap<CustomerKey, Customer>,
    /// Classes of requests.
    pub classes: BTreeMap<ClassKey, Class>,
    /// Services.
    pub services: BTreeMap<ServiceKey, Service>,
    /// Backend servers.
    pub servers: BTreeMap<ServerKey, Server>,
    /// Callers.
    pub callers: BTreeMap<CallerKey, Caller>,
    /// When-then rules in order; the first that matches applies.
    pub rules: Vec<Rule>,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// The region it lies in.
    pub region: String,
}

/// A customer: who pays for services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Share of a service's connections relative to other customers.
    pub weight: u32,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// Weight: how much one request served in time is worth. Greater is kept longer.
    pub weight: u32,
    /// Time within which a request has to be answered where its rule names none.
    pub deadline: Duration,
}

/// A group of backend servers that callers reach under one database name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Who pays for it.
    pub customer: CustomerKey,
    /// Shard whose controller decides for it; derived from its name.
    pub shard: u16,
    /// Its servers.
    pub servers: BTreeSet<ServerKey>,
    /// The server that is primary when the service is first created.
    pub first_primary: ServerKey,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The service it serves.
    pub service: ServiceKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Where it listens for the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Statements it runs at once.
    pub slots: u16,
    /// Connections it accepts from the whole fleet together.
    pub connections: u16,
    /// What opening a connection takes.
    pub connect_cost: Duration,
    /// Whether operators want it emptied: it receives no new work.
    pub leaving: bool,
}

/// A caller: who connects, by user name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// SCRAM-SHA-256 verifier in PostgreSQL's stored form.
    pub verifier: String,
    /// The customer it acts for.
    pub customer: CustomerKey,
    /// Role, which rules may match.
    pub role: String,
    /// Services it may connect to.
    pub services: BTreeSet<ServiceKey>,
}
