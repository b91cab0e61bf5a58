//! How the connections of a shard's servers are shared out over entry hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::budget::Grant;
use flamingopost_core::budget::share::{Holder, Renewal, Share};
use flamingopost_core::key::{ServerKey, ZoneKey};

use crate::servers::RESERVED;

/// Servers of a shard up to which a host is given connections that it has not asked for, so that
/// its first statement does not wait for a renewal. Beyond, messages would grow with the fleet.
const UNASKED: usize = 32;

/// What a budget needs to know of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server {
    /// Connections it accepts.
    pub connections: u16,
    /// Its availability zone.
    pub zone: ZoneKey,
}

/// The shares of all servers of one shard.
#[derive(Debug, Default)]
pub struct Budgets {
    servers: BTreeMap<ServerKey, Server>,
    shares: BTreeMap<ServerKey, Share>,
}

/// Who renews and for how long.
#[derive(Debug, Clone, Copy)]
pub struct Renewer {
    /// The process.
    pub holder: Holder,
    /// How long its lease runs.
    pub valid: Duration,
}

impl Budgets {
    /// Sets the servers there are.
    pub fn configure(&mut self, servers: BTreeMap<ServerKey, Server>) {
        self.shares.retain(|key, _| servers.contains_key(key));
        for (key, share) in &mut self.shares {
            if let Some(server) = servers.get(key) {
                share.configure(limit(server));
            }
        }
        self.servers = servers;
    }

    /// Starts from nothing: this process has just become the controller. Leases of the one before
    /// it have lapsed by then.
    pub fn restart(&mut self) {
        self.shares.clear();
    }

    /// Grants what `renewer` may open, for the servers that it has use for.
    pub fn renew(
        &mut self,
        renewer: Renewer,
        demand: &BTreeMap<ServerKey, u16>,
        now: Duration,
    ) -> BTreeMap<ServerKey, Grant> {
        let all = self.servers.len() <= UNASKED;
        let mut grants = BTreeMap::new();
        for (key, server) in &self.servers {
            let wanted = demand.get(key);
            if wanted.is_none() && !all {
                continue;
            }
            let share = self
                .shares
                .entry(*key)
                .or_insert_with(|| Share::new(limit(server), now));
            let renewal = Renewal {
                holder: renewer.holder,
                demand: wanted.copied().unwrap_or_default(),
                near: false,
                valid: renewer.valid,
            };
            grants.insert(*key, share.renew(renewal, now));
        }
        grants
    }

    /// A process stopped and has closed everything.
    pub fn release(&mut self, holder: Holder) {
        for share in self.shares.values_mut() {
            share.release(holder);
        }
    }
}

fn limit(server: &Server) -> u16 {
    server.connections.saturating_sub(RESERVED).max(1)
}
