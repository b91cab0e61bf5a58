//! How the connections of a shard's servers are shared out over entry hosts.
//!
//! Floors outlive leases by hours, so that a zone that is cut off goes on serving. They therefore
//! outlive controllers as well and are written down before a host is told of them; a controller
//! that has not read those of its predecessor yet keeps half of each limit free for them.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::budget::Grant;
use flamingopost_core::budget::server_budget::{
    FLOOR_VALID, Floor, HostInstance, Renewal, ServerBudget,
};
use flamingopost_core::key::{ServerKey, ZoneKey};

use crate::servers::RESERVED_CONNECTIONS;

/// Servers of a shard up to which a host is given connections that it has not asked for, so that
/// its first statement does not wait for a renewal. Beyond, messages would grow with the fleet.
const MAX_UNREQUESTED_SERVERS: usize = 32;

/// Part of a span by which a controller counts it longer than its holder: clocks drift.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// What a budget needs to know of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server {
    /// Connections it accepts.
    pub connections: u16,
    /// Its availability zone.
    pub zone: ZoneKey,
}

/// Who renews and for how long.
#[derive(Debug, Clone, Copy)]
pub struct Renewer {
    /// The process.
    pub holder: HostInstance,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// How long its lease runs.
    pub valid: Duration,
}

/// Floors by server and holder: connections.
pub type Floors = BTreeMap<(ServerKey, HostInstance), u16>;

/// The shares of all servers of one shard.
#[derive(Debug, Default)]
pub struct Budgets {
    servers: BTreeMap<ServerKey, Server>,
    shares: BTreeMap<ServerKey, ServerBudget>,
    /// Whether the predecessor's floors have been read since this process became controller.
    loaded: bool,
    /// Floors that the table is known to hold; absent while that has to be read.
    persisted: Option<Floors>,
}

impl Budgets {
    /// Sets the servers there are.
    pub fn configure(&mut self, servers: BTreeMap<ServerKey, Server>) {
        self.shares.retain(|key, _| servers.contains_key(key));
        self.servers = servers;
        self.set_limits();
    }

    /// Starts from nothing: this process has just become the controller. Leases of the one before
    /// it have lapsed by then; its floors may be in use and have to be read.
    pub fn restart(&mut self) {
        self.shares.clear();
        self.loaded = false;
        self.persisted = None;
    }

    /// Whether it is known what the table holds.
    pub fn is_loaded(&self) -> bool {
        self.persisted.is_some()
    }

    /// Takes over the floors that the table holds.
    pub fn load(&mut self, floors: Floors, now: Duration) {
        for ((server, holder), connections) in &floors {
            if let Some(share) = self.share(*server, now) {
                // Given at some time before now, so they end before this.
                let until = now + FLOOR_VALID + FLOOR_VALID / CLOCK_DRIFT_DIVISOR;
                let connections = *connections;
                share.restore(*holder, Floor { connections, until });
            }
        }
        self.persisted = Some(floors);
        self.loaded = true;
        self.set_limits();
    }

    /// Grants what `renewer` may open, for the servers that it has use for.
    pub fn renew(
        &mut self,
        renewer: Renewer,
        demand: &BTreeMap<ServerKey, u16>,
        now: Duration,
    ) -> BTreeMap<ServerKey, Grant> {
        let all = self.servers.len() <= MAX_UNREQUESTED_SERVERS;
        let granted_servers: Vec<ServerKey> = self
            .servers
            .keys()
            .filter(|key| all || demand.contains_key(key))
            .copied()
            .collect();
        let mut grants = BTreeMap::new();
        for key in granted_servers {
            let wanted = demand.get(&key).copied().unwrap_or_default();
            if let Some(grant) = self.renew_one(key, renewer, wanted, now) {
                grants.insert(key, grant);
            }
        }
        grants
    }

    /// The floors in force, where the table does not hold all of them.
    pub fn unpersisted(&self) -> Option<Floors> {
        let persisted = self.persisted.as_ref()?;
        let floors = self.floors();
        let missing = floors
            .iter()
            .any(|(key, count)| persisted.get(key) < Some(count));
        missing.then_some(floors)
    }

    /// The table holds `floors` now.
    pub fn record_persisted(&mut self, floors: Floors) {
        self.persisted = Some(floors);
    }

    /// What the table holds is not known any more and has to be read again.
    pub fn invalidate_persisted(&mut self) {
        self.persisted = None;
    }

    /// A process stopped and has closed everything.
    pub fn release(&mut self, holder: HostInstance) {
        for share in self.shares.values_mut() {
            share.release(holder);
        }
    }

    fn renew_one(
        &mut self,
        key: ServerKey,
        renewer: Renewer,
        demand: u16,
        now: Duration,
    ) -> Option<Grant> {
        let same_zone = self.servers.get(&key)?.zone == renewer.zone && self.is_loaded();
        let renewal = Renewal {
            instance: renewer.holder,
            demand,
            same_zone,
            valid: renewer.valid,
        };
        let mut grant = self.share(key, now)?.renew(renewal, now);
        let persisted = self.persisted.as_ref();
        let persisted = persisted.and_then(|persisted| persisted.get(&(key, renewer.holder)));
        // A successor that does not know of a floor would give its connections to others.
        if persisted < Some(&grant.floor) {
            grant.floor = 0;
            grant.floor_valid = Duration::ZERO;
        }
        Some(grant)
    }

    fn floors(&self) -> Floors {
        let mut floors = Floors::new();
        for (key, share) in &self.shares {
            let held = share.floors();
            floors.extend(held.map(|(holder, floor)| ((*key, holder), floor.connections)));
        }
        floors
    }

    fn share(&mut self, key: ServerKey, now: Duration) -> Option<&mut ServerBudget> {
        let limit = self.limit(self.servers.get(&key)?);
        let share = self.shares.entry(key);
        Some(share.or_insert_with(|| ServerBudget::new(limit, now)))
    }

    fn set_limits(&mut self) {
        let limits: BTreeMap<ServerKey, u16> = self
            .servers
            .iter()
            .map(|(key, server)| (*key, self.limit(server)))
            .collect();
        for (key, share) in &mut self.shares {
            if let Some(limit) = limits.get(key) {
                share.configure(*limit);
            }
        }
    }

    /// Floors that are not known yet may take up to half of what hosts share.
    fn limit(&self, server: &Server) -> u16 {
        let shared = server
            .connections
            .saturating_sub(RESERVED_CONNECTIONS)
            .max(1);
        match self.loaded {
            true => shared,
            false => shared - shared / 2,
        }
    }
}
