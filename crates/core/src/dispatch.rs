//! Which pooled connection runs a request: one service's servers, connections and queue.
//!
//! Servers have few slots and few connections, and each entry host may open its share of them.
//! A request waits here, by priority and age, until a connection to a server that may answer it
//! is free. No input or output: each call returns what to do next.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::ServerKey;

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

/// Extra cost of a server in another availability zone: a round trip, and bytes between zones
/// are charged for, so a local server wins until it is this much slower.
const REMOTE_COST: Duration = Duration::from_millis(12);

/// Extra cost of a read at the primary, whose slots writes cannot do without.
const PRIMARY_COST: Duration = Duration::from_millis(16);

/// An idle connection above the base share goes back after this long, for other hosts to use.
const SURPLUS_IDLE: Duration = Duration::from_millis(400);

/// A queue that has not emptied for so long comes from too much work, not from a burst: several
/// times what a request takes.
const OVERLOAD_AFTER: Duration = Duration::from_millis(150);

/// First wait after a failed connect; doubled up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(40);

/// Longest wait between two attempts to connect.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// The connections and the queue of one service on one entry host.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::dispatch::{Dispatch, Need, Action, Server, Ticket};
/// use flamingopost_core::key::ServerKey;
///
/// let now = Duration::ZERO;
/// let server = ServerKey::default();
/// let mut dispatch = Dispatch::default();
/// dispatch.insert(server, Server::new(true, 2, 2, 2, 4));
/// dispatch.set_leader(Some(server));
/// let ticket = Ticket {
///     id: 1,
///     need: Need::Leader,
///     priority: 1,
///     opens_transaction: false,
///     arrived: now,
///     goal: Duration::from_millis(100),
///     deadline: Duration::from_secs(1),
///     avoid: None,
/// };
/// assert_eq!(dispatch.arrive(ticket, now), [Action::Open { server }]);
/// let assigned = Action::Assign { ticket: 1, server, connection: 7 };
/// assert_eq!(dispatch.connection_opened(server, 7, now), [assigned]);
/// ```
#[derive(Debug, Default)]
pub struct Dispatch {
    servers: BTreeMap<ServerKey, Server>,
    leader: Option<ServerKey>,
    hold: Option<Hold>,
    /// Whether reads of some age are held as well.
    holds_reads: bool,
    waiting: Vec<Ticket>,
    /// Since when the queue has not been empty.
    queued_since: Option<Duration>,
}

impl Dispatch {
    /// Adds `server`, or brings what is known of it up to date.
    pub fn insert(&mut self, key: ServerKey, server: Server) {
        match self.servers.get_mut(&key) {
            Some(known) => known.update(&server),
            None => {
                self.servers.insert(key, server);
            }
        }
    }

    /// Forgets `server`; its idle connections are to be closed.
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

    /// The servers.
    pub fn servers(&self) -> &BTreeMap<ServerKey, Server> {
        &self.servers
    }

    /// What is known of one server.
    pub fn server_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(&key)
    }

    /// The server that leads, as far as this host knows.
    pub fn leader(&self) -> Option<ServerKey> {
        self.leader
    }

    /// `server` leads from now on, or nobody is known to.
    pub fn set_leader(&mut self, server: Option<ServerKey>) {
        self.leader = server;
        self.hold = None;
    }

    /// The primary is being replaced: what it acknowledges from some moment on is lost with it,
    /// so requests that need it wait for its successor.
    pub fn hold(&mut self, hold: Hold) {
        self.hold = Some(hold);
        self.holds_reads = false;
    }

    /// The same for a primary that may lack the service's log: reads of some age are not sent there for
    /// its lead either. Servers that are known to have what those need go on answering them.
    pub fn hold_with_reads(&mut self, hold: Hold) {
        self.hold = Some(hold);
        self.holds_reads = true;
    }

    /// `hold` is over. One that was put in its place since stays: released with it, writes would
    /// go to a primary whose successor is ordered.
    pub fn release(&mut self, hold: Hold) {
        if self.hold == Some(hold) {
            self.hold = None;
        }
    }

    /// What was held when the primary's replacement was last heard of.
    pub fn current_hold(&self) -> Option<Hold> {
        self.hold
    }

    fn is_on_hold(&self, now: Duration) -> bool {
        self.hold
            .is_some_and(|hold| hold.from <= now && now < hold.until)
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// A request asks for a connection.
    pub fn arrive(&mut self, ticket: Ticket, now: Duration) -> Vec<Action> {
        self.waiting.push(ticket);
        self.run(now)
    }

    /// A request no longer waits.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|other| other.id != ticket);
    }

    /// A new connection to `server` is ready.
    pub fn connection_opened(
        &mut self,
        key: ServerKey,
        connection: u64,
        now: Duration,
    ) -> Vec<Action> {
        let Some(server) = self.servers.get_mut(&key) else {
            return vec![Action::Close {
                server: key,
                connection,
            }];
        };
        server.connection_opened(connection, now);
        self.run(now)
    }

    /// No connection to `server` could be opened.
    pub fn connect_failed(
        &mut self,
        key: ServerKey,
        failure: Failure,
        now: Duration,
    ) -> Vec<Action> {
        if let Some(server) = self.servers.get_mut(&key) {
            server.connect_failed(failure, now);
        }
        self.run(now)
    }

    /// A lent connection comes back in order.
    pub fn connection_returned(
        &mut self,
        key: ServerKey,
        connection: u64,
        now: Duration,
    ) -> Vec<Action> {
        let usable = match self.servers.get_mut(&key) {
            Some(server) => server.connection_returned(connection, now),
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

    /// A lent connection rests inside a transaction while its caller thinks, or does so no more.
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

    /// A transaction that was lent a connection for it has ended.
    pub fn transaction_ended(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.count_transaction(false);
        }
    }

    /// A server's queue was full.
    pub fn queue_full(&mut self, key: ServerKey, now: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.shrink_window(now);
        }
    }

    /// A lent connection is gone.
    pub fn connection_lost(&mut self, key: ServerKey, now: Duration) -> Vec<Action> {
        if let Some(server) = self.servers.get_mut(&key) {
            server.connection_lost();
        }
        self.run(now)
    }

    /// An idle connection has ended.
    pub fn idle_connection_closed(&mut self, key: ServerKey, connection: u64) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.remove_idle(connection);
        }
    }

    /// A replica refused a read because its log lacks a position that a primary had at `at`.
    pub fn replica_lagging(&mut self, key: ServerKey, at: Duration, now: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.replica_lagging(at, now);
        }
    }

    /// Requests whose time is over are refused, and connections nobody needs are given back.
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

    /// Opens the base share of connections ahead of need: a request that has to wait for a
    /// connect pays tens of milliseconds, most of an objective.
    fn warm(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (key, server) in &mut self.servers {
            if server.needs_warming(now) {
                server.opening += 1;
                actions.push(Action::Open { server: *key });
            }
        }
        actions
    }

    fn run(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        // Those that can still be in time go first: served strictly by age, a queue that has
        // once grown past the goal answers everybody late.
        let order = self.order(now);
        waiting.sort_by_key(|ticket| ticket.queue_key(order, now));
        let mut wanted: BTreeMap<ServerKey, u16> = BTreeMap::new();
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
                        server,
                        connection,
                    });
                    false
                }
                Placement::Open(server) => {
                    actions.push(Action::Open { server });
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

    /// Who goes first.
    ///
    /// More work than servers bear leaves a queue that never empties. Served by age, all requests
    /// in it wait until just before their goal and are answered just after it; served by the
    /// newest, as many as servers bear are in time, and the others would have been late anyhow
    /// (adaptive LIFO). In a model with a quarter too much work, 46 of 250 requests were in time
    /// before and more than 70% since.
    fn order(&self, now: Duration) -> QueueOrder {
        match self.queued_since {
            Some(since) if now >= since + OVERLOAD_AFTER => QueueOrder::NewestFirst,
            _ => QueueOrder::OldestFirst,
        }
    }

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

    fn placement(
        &mut self,
        ticket: &Ticket,
        wanted: &mut BTreeMap<ServerKey, u16>,
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
            if server.can_check_out() && smaller(idle) {
                idle = Some((cost, *key));
            }
        }
        if let Some((_, key)) = idle
            && let Some(server) = self.servers.get_mut(&key)
            && let Some(connection) = server.check_out()
        {
            if ticket.opens_transaction {
                server.count_transaction(true);
            }
            return Placement::Assign(key, connection);
        }
        let Some((_, key)) = best else {
            return Placement::Wait;
        };
        let count = wanted.entry(key).or_default();
        *count += 1;
        let server = self.servers.get_mut(&key);
        match server {
            Some(server)
                if server.opening < *count
                    && server.has_room(server.opening)
                    && server.can_open(now) =>
            {
                server.opening += 1;
                Placement::Open(key)
            }
            _ => Placement::Wait,
        }
    }

    fn may_serve(&self, ticket: &Ticket, key: ServerKey, server: &Server, now: Duration) -> bool {
        if ticket.opens_transaction && !server.accepts_transaction(now) {
            return false;
        }
        let leads = self.leader == Some(key);
        if ticket.need == Need::Leader {
            // A primary that is leaving serves until another server leads.
            return leads && !self.is_on_hold(now);
        }
        if server.state != ServerState::Serving || ticket.avoid == Some(key) {
            return false;
        }
        match ticket.need {
            Need::Leader => leads,
            Need::Position { position, at } => {
                let leads = leads && !(self.holds_reads && self.is_on_hold(now));
                !server.is_broken(now) && (leads || server.may_have_position(position, at, now))
            }
        }
    }

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

enum Placement {
    Assign(ServerKey, u64),
    Open(ServerKey),
    Wait,
}
