//! Connection pools and the request queue of one service on one entry host.
//!
//! Backend servers have few slots and few connections, and each entry host may open its share of
//! them. A request waits here, ordered by priority and age, until a connection of its team to a
//! server that may answer it is free. The module performs no input or output: each call returns
//! the actions that the caller has to carry out.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{ServerKey, TeamKey};

mod action;
mod admission;
mod allotment;
mod connections;
mod hold;
mod placement;
mod queue;
mod server;
mod starts;
mod ticket;
mod window;

pub use action::{Action, Unserved};
pub use allotment::{Allotment, DEAD_CONNECTION_LIFETIME, Serving};
pub use hold::Hold;
pub use server::{Failure, Server, ServerState};
use starts::AllStarts;
pub use ticket::{Need, Ticket};

/// Dispatches the requests of one service on one entry host to pooled connections.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::dispatch::{Dispatch, Need, Action, Server, Ticket};
/// use flamingopost_core::key::{ServerKey, TeamKey};
///
/// let now = Duration::ZERO;
/// let (server, team) = (ServerKey::default(), TeamKey::default());
/// let mut dispatch = Dispatch::default();
/// dispatch.insert(server, Server::new(true, 2, 2, 2, 4));
/// dispatch.set_leader(Some(server));
/// let ticket = Ticket {
///     id: 1,
///     team,
///     need: Need::Leader,
///     priority: 1,
///     opens_transaction: false,
///     arrived: now,
///     goal: Duration::from_millis(100),
///     deadline: Duration::from_secs(1),
///     avoid: None,
/// };
/// assert_eq!(dispatch.arrive(ticket, now), [Action::Open { server, team }]);
/// let assigned = Action::Assign { ticket: 1, team, server, connection: 7 };
/// assert_eq!(dispatch.connection_opened(server, 7, team, now), [assigned]);
/// ```
#[derive(Debug, Default)]
pub struct Dispatch {
    servers: BTreeMap<ServerKey, Server>,
    /// The primary that this host knows of.
    leader: Option<ServerKey>,
    hold: Option<Hold>,
    /// Whether `hold` also stops reads with bounded staleness from using the primary.
    holds_reads: bool,
    waiting: Vec<Ticket>,
    /// The time since which the queue has not been empty.
    queued_since: Option<Duration>,
    /// Starts of requests while others waited.
    starts: AllStarts,
    /// Whether callers belong to teams, so that nobody can use a connection of no team.
    has_teams: bool,
    /// Number of connections in use, by team.
    in_use: BTreeMap<TeamKey, u16>,
    /// The latest time at which a refused caller was told to come back.
    last_retry_at: Duration,
    /// Number of refused callers whose time to come back was spread over the whole range.
    spread_retries: u32,
    /// When this host started, and a number that differs from host to host.
    start: Start,
}

/// Start of this host.
#[derive(Debug, Default, Clone, Copy)]
struct Start {
    /// Time until which servers may count connections of this host's former process.
    counted_until: Duration,
    /// Number that differs from host to host, so that they do not act at the same moment.
    seed: u64,
}

impl Dispatch {
    /// Records that this host started at `now`, and a `seed` that differs from host to host.
    ///
    /// For [`DEAD_CONNECTION_LIFETIME`] it opens no more than [`Allotment::restart`] connections to
    /// each server that is inserted afterwards.
    pub fn set_start(&mut self, seed: u64, now: Duration) {
        let counted_until = now + DEAD_CONNECTION_LIFETIME;
        self.start = Start {
            counted_until,
            seed,
        };
    }

    /// Adds `server`, or updates its settings if it is already known.
    pub fn insert(&mut self, key: ServerKey, mut server: Server) {
        match self.servers.get_mut(&key) {
            Some(known) => known.update(&server),
            None => {
                server.set_start(self.start.counted_until, self.start.seed);
                self.servers.insert(key, server);
            }
        }
    }

    /// Removes `server` and returns the actions that close its idle connections.
    pub fn remove(&mut self, key: ServerKey) -> Vec<Action> {
        if self.leader == Some(key) {
            self.leader = None;
        }
        let Some(mut server) = self.servers.remove(&key) else {
            return Vec::new();
        };
        let idle = server.drain_idle();
        let close = |connection| Action::Close {
            server: key,
            connection,
        };
        idle.into_iter().map(close).collect()
    }

    /// Returns the servers of the service.
    pub fn servers(&self) -> &BTreeMap<ServerKey, Server> {
        &self.servers
    }

    /// Returns one server for an update.
    pub fn server_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(&key)
    }

    /// Returns the primary that this host knows of, if any.
    pub fn leader(&self) -> Option<ServerKey> {
        self.leader
    }

    /// Sets the primary, or records that none is known, and ends the current hold.
    pub fn set_leader(&mut self, server: Option<ServerKey>) {
        self.leader = server;
        self.hold = None;
    }

    /// Holds back requests that need the primary while it is being replaced.
    ///
    /// Writes that the old primary acknowledges from some moment on are lost in the promotion, so
    /// these requests wait for its successor.
    pub fn hold(&mut self, hold: Hold) {
        self.hold = Some(hold);
        self.holds_reads = false;
    }

    /// Holds back requests that need the primary, for a primary that may lack the service's log.
    ///
    /// Unlike [`Dispatch::hold`], it also stops reads with bounded staleness from going to a server
    /// merely because it is the primary. Servers that are known to have the required position
    /// still answer them.
    pub fn hold_with_reads(&mut self, hold: Hold) {
        self.hold = Some(hold);
        self.holds_reads = true;
    }

    /// Ends `hold`, unless another hold has replaced it.
    ///
    /// A newer hold has to stay: without it, writes would go to a primary whose successor is
    /// already being promoted.
    pub fn release(&mut self, hold: Hold) {
        if self.hold == Some(hold) {
            self.hold = None;
        }
    }

    /// Returns the hold that was set last, if it has not been released. It may have expired.
    pub fn current_hold(&self) -> Option<Hold> {
        self.hold
    }

    /// Returns the primary, if requests that need it are sent there at `now`.
    fn serving_leader(&self, now: Duration) -> Option<ServerKey> {
        let leader = self.leader.filter(|_| !self.is_on_hold(now))?;
        let server = self.servers.get(&leader)?;
        server.serves_as_primary(now).then_some(leader)
    }

    /// Returns whether requests that need the primary are held back at `now`.
    fn is_on_hold(&self, now: Duration) -> bool {
        self.hold
            .is_some_and(|hold| hold.from <= now && now < hold.until)
    }

    /// Sets whether callers belong to teams.
    pub fn set_has_teams(&mut self, has_teams: bool) {
        self.has_teams = has_teams;
    }

    /// Records that a server refused a request because its queue was full.
    pub fn queue_full(&mut self, key: ServerKey, now: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.shrink_window(now);
        }
    }

    /// Records that a replica refused a read because its log lacks a position that a primary had at
    /// time `at`.
    pub fn replica_lagging(&mut self, key: ServerKey, at: Duration, now: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.replica_lagging(at, now);
        }
    }
}
