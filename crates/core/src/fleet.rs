//! The parsed configuration of a fleet: services, callers, classes and rules.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::key::{CallerKey, ClassKey, CustomerKey, ServerKey, ServiceKey, ZoneKey};
use crate::rule::{Access, Ack, Rule, Target, Then};

/// Deadline in a fleet without a default class. Only a fleet that was built by hand can lack one.
const FALLBACK_DEADLINE: Duration = Duration::from_secs(1);

/// Number of retries of a read that no rule matches.
pub const READ_RETRIES: u8 = 1;

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
    /// Class of the requests that no rule matches, and of rules that name none.
    pub default_class: ClassKey,
    /// Services.
    pub services: BTreeMap<ServiceKey, Service>,
    /// Backend servers.
    pub servers: BTreeMap<ServerKey, Server>,
    /// Callers.
    pub callers: BTreeMap<CallerKey, Caller>,
    /// When-then rules in order; the first that matches applies.
    pub rules: Vec<Rule>,
}

impl Fleet {
    /// Returns the treatment of requests that no rule matches: they go to the primary with the
    /// deadline of the default class, and only reads are retried.
    pub fn default_then(&self, access: Access) -> Then {
        let reads = access == Access::Read;
        let class = self.classes.get(&self.default_class);
        Then {
            target: Target::Primary,
            max_age: None,
            repeatable: reads,
            deadline: class.map_or(FALLBACK_DEADLINE, |class| class.deadline),
            class: self.default_class,
            retries: if reads { READ_RETRIES } else { 0 },
            hedge: None,
            rate: None,
            ack: Ack::Primary,
            refuse: None,
        }
    }
}

impl Fleet {
    /// Returns the shards that have a service. The others have no controller.
    ///
    /// ```
    /// use flamingopost_core::fleet::Fleet;
    ///
    /// assert!(Fleet::default().shards_in_use().is_empty());
    /// ```
    pub fn shards_in_use(&self) -> BTreeSet<u16> {
        self.services
            .values()
            .map(|service| service.shard)
            .collect()
    }
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
    /// Value of serving one request in time. Requests of a smaller weight are refused first.
    pub weight: u32,
    /// Time within which a request has to be answered if its rule sets none.
    pub deadline: Duration,
}

/// A group of backend servers that callers reach under one database name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The customer that pays for it.
    pub customer: CustomerKey,
    /// Shard whose controller is responsible for it; derived from its name.
    pub shard: u16,
    /// Its servers.
    pub servers: BTreeSet<ServerKey>,
    /// The server that is primary when the service is first created.
    pub first_primary: ServerKey,
}

impl Service {
    /// Returns the shard of the service called `name`. Every process derives the same one.
    ///
    /// ```
    /// use flamingopost_core::fleet::Service;
    ///
    /// assert_eq!(Service::shard_of("auction-ledger", 1), 0);
    /// assert!(Service::shard_of("auction-ledger", 16) < 16);
    /// ```
    pub fn shard_of(name: &str, shards: u16) -> u16 {
        let digest = Sha256::digest(name.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        let number = u64::from_be_bytes(head) % u64::from(shards.max(1));
        u16::try_from(number).unwrap_or_default()
    }
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
    /// Number of statements that it runs at once.
    pub slots: u16,
    /// Number of connections that it accepts from the whole fleet together.
    pub connections: u16,
    /// Time that opening a connection takes.
    pub connect_cost: Duration,
    /// Whether operators want it drained: it gets no new work.
    pub leaving: bool,
}

/// A caller, identified by its user name.
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
