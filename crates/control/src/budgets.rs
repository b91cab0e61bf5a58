//! Divides the connection limits of a shard's servers among the entry hosts.
//!
//! Floors outlive leases by hours, so that a partitioned zone continues to serve. They therefore
//! outlive controllers as well and are persisted before they are granted to a host. A controller
//! that has not yet read its predecessor's floors reserves half of each limit for them.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::budget::Grant;
use flamingopost_core::budget::server_budget::{
    FLOOR_VALID, Floor, HostInstance, Renewal, ServerBudget,
};
use flamingopost_core::key::{ServerKey, ZoneKey};

use crate::servers::RESERVED_CONNECTIONS;

/// Number of servers in a shard up to which a host is granted connections that it has not
/// requested, so that its first statement does not wait for a renewal. In larger shards these
/// grants would make messages grow with the fleet.
const MAX_UNREQUESTED_SERVERS: usize = 32;

/// A controller extends a span of time by this fraction (1/50) over what the holder assumes, to
/// allow for clock drift.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// The properties of a server that determine its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server {
    /// Number of connections that the server accepts.
    pub connections: u16,
    /// The server's availability zone.
    pub zone: ZoneKey,
}

/// The process that renews its lease.
#[derive(Debug, Clone, Copy)]
pub struct Renewer {
    /// The lease holder.
    pub holder: HostInstance,
    /// The holder's availability zone.
    pub zone: ZoneKey,
    /// Duration of the renewed lease.
    pub valid: Duration,
}

/// Floors in connections, by server and holder.
pub type Floors = BTreeMap<(ServerKey, HostInstance), u16>;

/// The connection budgets of all servers of one shard.
#[derive(Debug, Default)]
pub struct Budgets {
    servers: BTreeMap<ServerKey, Server>,
    shares: BTreeMap<ServerKey, ServerBudget>,
    /// Whether the predecessor's floors have been read since this process became controller.
    loaded: bool,
    /// Floors that the table holds, `None` until the table's row has been read.
    persisted: Option<Floors>,
}

impl Budgets {
    /// Sets the servers of the shard and removes the budgets of all others.
    pub fn configure(&mut self, servers: BTreeMap<ServerKey, Server>) {
        self.shares.retain(|key, _| servers.contains_key(key));
        self.servers = servers;
        self.set_limits();
    }

    /// Resets all budgets when this process becomes the controller. The predecessor's leases have
    /// lapsed by then, but its floors may be in use and have to be read.
    pub fn restart(&mut self) {
        self.shares.clear();
        self.loaded = false;
        self.persisted = None;
    }

    /// Reports whether the floors in the table are known.
    pub fn is_loaded(&self) -> bool {
        self.persisted.is_some()
    }

    /// Restores the floors that were read from the table.
    pub fn load(&mut self, floors: Floors, now: Duration) {
        for ((server, holder), connections) in &floors {
            if let Some(share) = self.share(*server, now) {
                // The floors were granted before now, so they expire before this time.
                let until = now + FLOOR_VALID + FLOOR_VALID / CLOCK_DRIFT_DIVISOR;
                let connections = *connections;
                share.restore(*holder, Floor { connections, until });
            }
        }
        self.persisted = Some(floors);
        self.loaded = true;
        self.set_limits();
    }

    /// Grants connections to `renewer`, for all servers of a small shard and otherwise for the
    /// servers in `demand`.
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

    /// Returns the floors in force if the table lacks any of them.
    pub fn unpersisted(&self) -> Option<Floors> {
        let persisted = self.persisted.as_ref()?;
        let floors = self.floors();
        let missing = floors
            .iter()
            .any(|(key, count)| persisted.get(key) < Some(count));
        missing.then_some(floors)
    }

    /// Records that the table holds `floors`.
    pub fn record_persisted(&mut self, floors: Floors) {
        self.persisted = Some(floors);
    }

    /// Marks the floors in the table as unknown, so that they are read again.
    pub fn invalidate_persisted(&mut self) {
        self.persisted = None;
    }

    /// Releases the connections of a process that has stopped and closed all of them.
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
        // A floor that is not persisted is unknown to a successor, which would grant its
        // connections to other hosts.
        if persisted < Some(&grant.floor) {
            grant.floor = 0;
            grant.floor_valid = Duration::ZERO;
        }
        Some(grant)
    }

    fn floors(&self) -> Floors {
        let mut floors = Floors::new();
        for (key, share) in &self.shares {
            let granted = share.floors();
            floors.extend(granted.map(|(holder, floor)| ((*key, holder), floor.connections)));
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

    /// Returns the number of connections that hosts share. Half of them are withheld until the
    /// predecessor's floors have been read.
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
