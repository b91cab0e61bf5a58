//! Connection pools and the request queue of one service on one entry host.
//!
//! Backend servers have few slots and few connections, and each entry host may open its share of
//! them. A request waits here, ordered by priority and age, until a connection of its team to a
//! server that may answer it is free. The module performs no input or output: each call returns
//! the actions that the caller has to carry out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{ServerKey, TeamKey};

mod action;
mod hold;
mod server;
mod ticket;
mod window;

pub use action::{Action, Unserved};
pub use hold::Hold;
pub use server::{Failure, Server, ServerState};
use ticket::QueueOrder;
pub use ticket::{Need, Ticket};

/// Extra cost of a server in another availability zone.
///
/// It stands for the longer round trip and for traffic between zones, which is charged for. A local
/// server is preferred until it is slower by this much.
const REMOTE_COST: Duration = Duration::from_millis(12);

/// Extra cost of a read at the primary, because writes can use no other server's slots.
const PRIMARY_COST: Duration = Duration::from_millis(16);

/// Time after which an idle connection above `base_connections` is closed, so that other hosts can
/// use it.
const SURPLUS_IDLE: Duration = Duration::from_millis(400);

/// Time without an empty queue after which the service counts as overloaded.
///
/// It is several times the latency of a request, so that a burst does not count as overload.
const OVERLOAD_AFTER: Duration = Duration::from_millis(150);

/// Backoff after the first failed connect; it doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(40);

/// Longest backoff between two attempts to connect.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

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
    /// Whether callers belong to teams, so that nobody can use a connection of no team.
    has_teams: bool,
    /// Number of connections in use, by team.
    in_use: BTreeMap<TeamKey, u16>,
}

impl Dispatch {
    /// Adds `server`, or updates its settings if it is already known.
    pub fn insert(&mut self, key: ServerKey, server: Server) {
        match self.servers.get_mut(&key) {
            Some(known) => known.update(&server),
            None => {
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

    /// Returns whether requests that need the primary are held back at `now`.
    fn is_on_hold(&self, now: Duration) -> bool {
        self.hold
            .is_some_and(|hold| hold.from <= now && now < hold.until)
    }

    /// Sets whether callers belong to teams.
    pub fn set_has_teams(&mut self, has_teams: bool) {
        self.has_teams = has_teams;
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request to the queue.
    pub fn arrive(&mut self, ticket: Ticket, now: Duration) -> Vec<Action> {
        self.waiting.push(ticket);
        self.run(now)
    }

    /// Removes a request that no longer waits from the queue.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|other| other.id != ticket);
    }

    /// Adds a connection to a server that was opened for `team`.
    pub fn connection_opened(
        &mut self,
        key: ServerKey,
        connection: u64,
        team: TeamKey,
        now: Duration,
    ) -> Vec<Action> {
        let Some(server) = self.servers.get_mut(&key) else {
            return vec![Action::Close {
                server: key,
                connection,
            }];
        };
        server.connection_opened(connection, team, now);
        self.run(now)
    }

    /// Records that opening a connection to a server for `team` failed.
    pub fn connect_failed(
        &mut self,
        key: ServerKey,
        team: TeamKey,
        failure: Failure,
        now: Duration,
    ) -> Vec<Action> {
        if let Some(server) = self.servers.get_mut(&key) {
            server.connect_failed(team, failure, now);
        }
        self.run(now)
    }

    /// Takes back a usable connection of `team` after its request has ended.
    pub fn connection_returned(
        &mut self,
        key: ServerKey,
        connection: u64,
        team: TeamKey,
        now: Duration,
    ) -> Vec<Action> {
        self.release_connection(team);
        let usable = match self.servers.get_mut(&key) {
            Some(server) => server.connection_returned(connection, team, now),
            None => false,
        };
        let mut actions = self.run(now);
        if !usable {
            actions.push(Action::Close {
                server: key,
                connection,
            });
        }
        actions
    }

    /// Records whether a connection in use is idle inside a transaction, waiting for its caller.
    pub fn set_idle_in_transaction(
        &mut self,
        key: ServerKey,
        is_idle: bool,
        now: Duration,
    ) -> Vec<Action> {
        if let Some(server) = self.servers.get_mut(&key) {
            server.set_idle_in_transaction(is_idle);
        }
        match is_idle {
            true => self.run(now),
            false => Vec::new(),
        }
    }

    /// Records the end of a transaction whose ticket had `opens_transaction` set.
    pub fn transaction_ended(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.count_transaction(false);
        }
    }

    /// Records that a server refused a request because its queue was full.
    pub fn queue_full(&mut self, key: ServerKey, now: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.shrink_window(now);
        }
    }

    /// Records that a connection of `team` broke while it was in use.
    pub fn connection_lost(&mut self, key: ServerKey, team: TeamKey, now: Duration) -> Vec<Action> {
        self.release_connection(team);
        if let Some(server) = self.servers.get_mut(&key) {
            server.connection_lost();
        }
        self.run(now)
    }

    /// Records that an idle connection was closed by the server.
    pub fn idle_connection_closed(&mut self, key: ServerKey, connection: u64) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.remove_idle(connection);
        }
    }

    /// Records that a replica refused a read because its log lacks a position that a primary had at
    /// time `at`.
    pub fn replica_lagging(&mut self, key: ServerKey, at: Duration, now: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.replica_lagging(at, now);
        }
    }

    /// Refuses requests whose deadline has passed, closes surplus idle connections, assigns free
    /// connections and opens missing ones.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (key, server) in &mut self.servers {
            let surplus = server.take_surplus(now, SURPLUS_IDLE);
            actions.extend(surplus.into_iter().map(|connection| Action::Close {
                server: *key,
                connection,
            }));
        }
        actions.extend(self.run(now));
        actions.extend(self.warm(now));
        actions
    }

    /// Opens base connections before a request needs them.
    ///
    /// A request that waits for a connect loses tens of milliseconds, most of its latency goal.
    ///
    /// These connections are of no team. Where callers belong to teams, they serve nobody and make room
    /// for others. One is opened nevertheless where there is none: a server that starts again without
    /// its log is known by its broken connections, also on a host that has no callers at the moment.
    fn warm(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (key, server) in &mut self.servers {
            let wanted = match self.has_teams {
                true => server.base_connections.min(1),
                false => server.base_connections,
            };
            if server.needs_warming(wanted, now) {
                let team = TeamKey::default();
                server.start_opening(team);
                actions.push(Action::Open { server: *key, team });
            }
        }
        actions
    }

    /// Assigns free connections to waiting requests and refuses those whose deadline has passed.
    fn run(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        // Requests that can still meet their goal go first: served strictly by age, a queue that
        // has once grown past the goal would answer every request late.
        let order = self.order(now);
        let fair_share = self.fair_share(&waiting);
        waiting.sort_by_key(|ticket| {
            let in_use = self.in_use.get(&ticket.team).copied().unwrap_or_default();
            ticket.queue_key(order, in_use > fair_share, now)
        });
        let mut wanted = BTreeMap::new();
        waiting.retain(|ticket| {
            if ticket.deadline <= now {
                let reason = self.unserved(ticket, now);
                actions.push(Action::Refuse {
                    ticket: ticket.id,
                    reason,
                });
                return false;
            }
            match self.placement(ticket, &mut wanted, now) {
                Placement::Assign(server, connection) => {
                    actions.push(Action::Assign {
                        ticket: ticket.id,
                        team: ticket.team,
                        server,
                        connection,
                    });
                    false
                }
                Placement::Open(server) => {
                    let team = ticket.team;
                    actions.push(Action::Open { server, team });
                    true
                }
                Placement::Replace(server, connection) => {
                    let team = ticket.team;
                    actions.push(Action::Close { server, connection });
                    actions.push(Action::Open { server, team });
                    true
                }
                Placement::Wait => true,
            }
        });
        let since = self.queued_since.unwrap_or(now);
        self.queued_since = (!waiting.is_empty()).then_some(since);
        self.waiting = waiting;
        actions
    }

    /// Returns the number of connections that each team may use while others wait: an equal part of
    /// those in use.
    ///
    /// Without it, a team that sends many times its usual fills the queue, and the requests of the
    /// others wait behind it.
    fn fair_share(&self, waiting: &[Ticket]) -> u16 {
        let mut teams: BTreeSet<TeamKey> = self.in_use.keys().copied().collect();
        teams.extend(waiting.iter().map(|ticket| ticket.team));
        let in_use: u16 = self.in_use.values().sum();
        let teams = u16::try_from(teams.len()).unwrap_or(u16::MAX);
        in_use.div_ceil(teams.max(1))
    }

    /// Counts a connection of `team` that is no longer in use.
    fn release_connection(&mut self, team: TeamKey) {
        if let Some(count) = self.in_use.get_mut(&team) {
            *count = count.saturating_sub(1);
        }
        self.in_use.retain(|_, count| *count > 0);
    }

    /// Returns the order of requests of equal rank: oldest first, or newest first under overload
    /// (adaptive LIFO).
    ///
    /// Under overload the queue never empties. Served oldest first, every request waits until just
    /// before its goal and is answered just after it. Served newest first, as many requests as the
    /// servers can handle are in time, and the others would have been late in any case. In a model
    /// with 25% more work than capacity, 46 of 250 requests were in time with the oldest first,
    /// and more than 70% with the newest first.
    fn order(&self, now: Duration) -> QueueOrder {
        match self.queued_since {
            Some(since) if now >= since + OVERLOAD_AFTER => QueueOrder::NewestFirst,
            _ => QueueOrder::OldestFirst,
        }
    }

    /// Returns why no connection was assigned to `ticket` before its deadline.
    fn unserved(&self, ticket: &Ticket, now: Duration) -> Unserved {
        let is_servable = self
            .servers
            .iter()
            .any(|(key, server)| self.may_serve(ticket, *key, server, now));
        match (is_servable, ticket.need) {
            (true, _) => Unserved::Busy,
            (false, Need::Leader) => Unserved::NoPrimary,
            (false, Need::Position { .. }) => Unserved::Lagging,
        }
    }

    /// Picks the cheapest server that may answer `ticket` and has an idle connection of its team.
    ///
    /// Without an idle connection, it opens one to the cheapest server that may answer, unless
    /// enough are being opened for the tickets that `wanted` counts. At the limit of connections,
    /// an idle one of another team makes room.
    fn placement(
        &mut self,
        ticket: &Ticket,
        wanted: &mut BTreeMap<(ServerKey, TeamKey), u16>,
        now: Duration,
    ) -> Placement {
        let mut best: Option<(Duration, ServerKey)> = None;
        let mut idle: Option<(Duration, ServerKey)> = None;
        for (key, server) in &self.servers {
            if !self.may_serve(ticket, *key, server, now) {
                continue;
            }
            let cost = self.cost(ticket, *key, server);
            let smaller = |old: Option<(Duration, ServerKey)>| old.is_none_or(|old| cost < old.0);
            if smaller(best) {
                best = Some((cost, *key));
            }
            if server.can_check_out(ticket.team) && smaller(idle) {
                idle = Some((cost, *key));
            }
        }
        if let Some((_, key)) = idle
            && let Some(server) = self.servers.get_mut(&key)
            && let Some(connection) = server.check_out(ticket.team)
        {
            *self.in_use.entry(ticket.team).or_default() += 1;
            if ticket.opens_transaction {
                server.count_transaction(true);
            }
            return Placement::Assign(key, connection);
        }
        let Some((_, key)) = best else {
            return Placement::Wait;
        };
        let count = wanted.entry((key, ticket.team)).or_default();
        *count += 1;
        let Some(server) = self.servers.get_mut(&key) else {
            return Placement::Wait;
        };
        if server.opening_for(ticket.team) >= *count || !server.has_room(server.opening()) {
            return Placement::Wait;
        }
        if server.can_open(now) {
            server.start_opening(ticket.team);
            return Placement::Open(key);
        }
        let Some(evicted) = server.evict(ticket.team, now) else {
            return Placement::Wait;
        };
        server.start_opening(ticket.team);
        Placement::Replace(key, evicted)
    }

    /// Returns whether `server` may answer `ticket`, apart from free connections.
    fn may_serve(&self, ticket: &Ticket, key: ServerKey, server: &Server, now: Duration) -> bool {
        if ticket.opens_transaction && !server.accepts_transaction(now) {
            return false;
        }
        let is_leader = self.leader == Some(key);
        if ticket.need == Need::Leader {
            // A leaving primary serves writes until another server is the primary.
            return is_leader && !self.is_on_hold(now);
        }
        if server.state != ServerState::Serving || ticket.avoid == Some(key) {
            return false;
        }
        match ticket.need {
            Need::Leader => is_leader,
            Need::Position { position, at } => {
                let is_leader = is_leader && !(self.holds_reads && self.is_on_hold(now));
                !server.is_broken(now) && (is_leader || server.may_have_position(position, at, now))
            }
        }
    }

    /// Returns the cost of answering `ticket` at `server`: the expected latency and the surcharges.
    fn cost(&self, ticket: &Ticket, key: ServerKey, server: &Server) -> Duration {
        let mut cost = server.expected_latency();
        if !server.local {
            cost += REMOTE_COST;
        }
        if ticket.need != Need::Leader && self.leader == Some(key) {
            cost += PRIMARY_COST;
        }
        cost
    }
}

/// What happens to one waiting request.
enum Placement {
    /// It runs on this idle connection.
    Assign(ServerKey, u64),
    /// It waits, and a connection to this server is opened.
    Open(ServerKey),
    /// It waits, and a connection to this server is opened in place of this idle one.
    Replace(ServerKey, u64),
    /// It waits.
    Wait,
}
