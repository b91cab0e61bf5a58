//! The controller's side of a connection budget.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Grant;
use crate::invariant::{self, Invariant};
use crate::key::HostKey;

/// Validity of a floor.
pub const FLOOR_VALID: Duration = Duration::from_secs(2 * 60 * 60);
/// Divisor of the part of a lease by which the controller counts it longer than the host does,
/// because clocks drift.
const DRIFT_DIVISOR: u32 = 50;

/// One process lifetime of an entry host. A restarted host is another instance, because connections
/// of its former process may still be open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostInstance {
    /// The host.
    pub host: HostKey,
    /// Random number that its process chose at start.
    pub incarnation: u64,
}

/// A floor. It has to outlive the controller, so it is stored in the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Floor {
    /// Number of connections.
    pub connections: u16,
    /// End of its validity, on the controller's clock.
    pub until: Duration,
}

/// The part of a renewal that concerns one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// The host that renews.
    pub instance: HostInstance,
    /// Number of connections that it could use.
    pub demand: u16,
    /// Whether host and server are in the same availability zone.
    pub same_zone: bool,
    /// Duration of the lease that is being granted.
    pub valid: Duration,
}

/// A grant that may still be in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    connections: u16,
    until: Duration,
}

/// The grants and the demand of one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Account {
    /// Every grant whose lease may still be valid. An answer can be lost, so the host may use any
    /// of them, and the greatest counts.
    leases: Vec<Lease>,
    floor: Option<Floor>,
    demand: u16,
}

impl Account {
    /// Returns the number of connections that the host may have open at `now`.
    fn outstanding(&self, now: Duration) -> u16 {
        let leased = self.leases.iter().filter(|lease| now < lease.until);
        let leased = leased.map(|lease| lease.connections).max().unwrap_or(0);
        leased.max(self.floor_at(now))
    }

    fn floor_at(&self, now: Duration) -> u16 {
        self.floor
            .filter(|floor| now < floor.until)
            .map_or(0, |floor| floor.connections)
    }

    fn prune(&mut self, now: Duration) {
        self.leases.retain(|lease| now < lease.until);
        self.floor = self.floor.filter(|floor| now < floor.until);
    }

    fn is_empty(&self) -> bool {
        self.leases.is_empty() && self.floor.is_none()
    }
}

/// The connection limit of one backend server, shared among entry hosts.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::budget::server_budget::{HostInstance, Renewal, ServerBudget};
/// use flamingopost_core::directory::Directory;
///
/// let host = Directory::default().hosts.intern("saltlake-1");
/// let mut budget = ServerBudget::new(16, Duration::ZERO);
/// let renewal = Renewal {
///     instance: HostInstance { host, incarnation: 1 },
///     demand: 4,
///     same_zone: true,
///     valid: Duration::from_secs(3),
/// };
/// assert_eq!(budget.renew(renewal, Duration::ZERO).leased, 4);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerBudget {
    limit: u16,
    accounts: BTreeMap<HostInstance, Account>,
    grants_from: Duration,
}

impl ServerBudget {
    /// Returns the budget of a server that accepts `limit` connections.
    ///
    /// Only floors are granted before `grants_from`, because a successor has to wait until every
    /// lease of its predecessor has ended.
    pub fn new(limit: u16, grants_from: Duration) -> ServerBudget {
        ServerBudget {
            limit,
            accounts: BTreeMap::new(),
            grants_from,
        }
    }

    /// Restores a floor that a predecessor granted.
    pub fn restore(&mut self, instance: HostInstance, floor: Floor) {
        self.accounts.entry(instance).or_default().floor = Some(floor);
    }

    /// Iterates over the valid floors. They have to be stored *before* a grant that contains a new
    /// floor is sent.
    pub fn floors(&self) -> impl Iterator<Item = (HostInstance, Floor)> + '_ {
        self.accounts
            .iter()
            .filter_map(|(instance, account)| Some((*instance, account.floor?)))
    }

    /// Sets the limit. A lowered limit is reached as leases end.
    pub fn configure(&mut self, limit: u16) {
        self.limit = limit;
    }

    /// Returns the grant for a renewal.
    pub fn renew(&mut self, renewal: Renewal, now: Duration) -> Grant {
        self.prune(now);
        let before = self.outstanding(now);
        let account = self.accounts.entry(renewal.instance).or_default();
        account.demand = renewal.demand;
        self.grant_floor(&renewal, now);
        if now < self.grants_from {
            return self.floor_only(renewal.instance, now);
        }
        let free = self
            .limit
            .saturating_sub(self.held_by_others(renewal.instance, now));
        let leased = self.fair_target(renewal.instance, now).min(free);
        let until = now + renewal.valid + renewal.valid / DRIFT_DIVISOR;
        let account = self.accounts.entry(renewal.instance).or_default();
        let leased = leased.max(account.floor_at(now));
        account.leases.push(Lease {
            connections: leased,
            until,
        });
        self.check(before, now);
        Grant {
            leased,
            ..self.floor_only(renewal.instance, now)
        }
    }

    /// Removes a host that has stopped and closed all its connections.
    pub fn release(&mut self, instance: HostInstance) {
        self.accounts.remove(&instance);
    }

    /// Returns the number of connections that all hosts together may have open at `now`.
    pub fn outstanding(&self, now: Duration) -> u16 {
        let each = self.accounts.values();
        each.map(|account| account.outstanding(now)).sum()
    }

    /// Grants or extends a floor.
    ///
    /// Floors go to hosts in the server's zone that have demand: these hosts still reach the server
    /// when the zone is cut off. All floors together stay within half of the limit, so that hosts
    /// that crash and come back under new names cannot use it up. A successor that does not know
    /// yet what its predecessor granted only extends floors, because a new floor could be a
    /// connection that another host has open.
    fn grant_floor(&mut self, renewal: &Renewal, now: Duration) {
        let pool = self.limit / 2;
        let given: u16 = self.accounts.values().map(|a| a.floor_at(now)).sum();
        let others = self.held_by_others(renewal.instance, now);
        let Some(account) = self.accounts.get_mut(&renewal.instance) else {
            return;
        };
        let held = account.floor_at(now);
        let wanted = if renewal.same_zone && renewal.demand > 0 {
            1
        } else {
            0
        };
        let known = now >= self.grants_from;
        let fits = known && given - held + wanted <= pool && others + wanted <= self.limit;
        if wanted > 0 && (held > 0 || fits) {
            account.floor = Some(Floor {
                connections: held.max(wanted),
                until: now + FLOOR_VALID + FLOOR_VALID / DRIFT_DIVISOR,
            });
        }
    }

    fn floor_only(&self, instance: HostInstance, now: Duration) -> Grant {
        let floor = self.accounts.get(&instance).map_or(0, |a| a.floor_at(now));
        Grant {
            leased: floor,
            floor,
            floor_valid: if floor > 0 {
                FLOOR_VALID
            } else {
                Duration::ZERO
            },
        }
    }

    /// Returns the instance's max-min fair share of the limit, without the reserve for new hosts.
    /// It is at least one connection, so that a new host can show its demand.
    fn fair_target(&self, instance: HostInstance, now: Duration) -> u16 {
        let mut demands: Vec<(u16, HostInstance)> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.outstanding(now) > 0 || account.demand > 0)
            .map(|(instance, account)| (account.demand.max(1), *instance))
            .collect();
        demands.sort_unstable();
        let mut left = self.limit.saturating_sub(self.reserve());
        let mut count = demands.len() as u16;
        for (demand, of) in demands {
            let part = demand.min(left.div_ceil(count.max(1)));
            if of == instance {
                return part.max(1);
            }
            left = left.saturating_sub(part);
            count -= 1;
        }
        1
    }

    /// Returns the number of connections that are kept for new hosts.
    fn reserve(&self) -> u16 {
        self.limit / 8
    }

    /// Returns the number of connections that all other hosts may have open at `now`.
    fn held_by_others(&self, instance: HostInstance, now: Duration) -> u16 {
        let others = self.accounts.iter().filter(|(of, _)| **of != instance);
        others.map(|(_, account)| account.outstanding(now)).sum()
    }

    fn prune(&mut self, now: Duration) {
        self.accounts.retain(|_, account| {
            account.prune(now);
            !account.is_empty()
        });
    }

    /// Asserts that the limit holds. A lowered limit may be exceeded until leases end, but not by
    /// more than before.
    fn check(&self, before: u16, now: Duration) {
        let granted = self.outstanding(now);
        invariant::check(
            Invariant::ConnectionLimit,
            granted <= self.limit.max(before),
            || format!("{granted} of {} granted after {before}", self.limit),
        );
    }
}
