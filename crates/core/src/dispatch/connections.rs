//! Opening, return and loss of connections.

use std::time::Duration;

use crate::key::{ServerKey, TeamKey};

use super::{Action, Dispatch, Failure};

/// Time after which an idle connection above `base_connections` is closed, so that other hosts can
/// use it.
const SURPLUS_IDLE: Duration = Duration::from_millis(400);

impl Dispatch {
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

    /// Counts a connection of `team` that is no longer in use.
    fn release_connection(&mut self, team: TeamKey) {
        if let Some(count) = self.in_use.get_mut(&team) {
            *count = count.saturating_sub(1);
        }
        self.in_use.retain(|_, count| *count > 0);
    }
}
