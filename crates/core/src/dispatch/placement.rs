//! Selection of the server and the connection for one waiting request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{ServerKey, TeamKey};

use super::{Dispatch, Need, Server, ServerState, Ticket};

/// Extra cost of a server in another availability zone.
///
/// It stands for the longer round trip and for traffic between zones, which is charged for. A local
/// server is preferred until it is slower by this much.
const REMOTE_COST: Duration = Duration::from_millis(12);

/// Extra cost of a read at the primary, because writes can use no other server's slots.
const PRIMARY_COST: Duration = Duration::from_millis(16);

impl Dispatch {
    /// Picks the cheapest server that may answer `ticket` and has an idle connection of its team.
    ///
    /// Without an idle connection, it opens one to the cheapest server that may answer, unless
    /// enough are being opened for the tickets that `wanted` counts. At the limit of connections,
    /// an idle one of another team makes room.
    pub(super) fn placement(
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
    pub(super) fn may_serve(
        &self,
        ticket: &Ticket,
        key: ServerKey,
        server: &Server,
        now: Duration,
    ) -> bool {
        let is_admitted = !ticket.opens_transaction || server.accepts_transaction(now);
        is_admitted && self.may_answer(ticket, key, server, now)
    }

    /// Returns whether `server` may answer `ticket`, apart from free connections and the limit of
    /// transactions.
    pub(super) fn may_answer(
        &self,
        ticket: &Ticket,
        key: ServerKey,
        server: &Server,
        now: Duration,
    ) -> bool {
        let is_leader = self.leader == Some(key);
        if ticket.need == Need::Leader {
            return self.serving_leader(now) == Some(key);
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
pub(super) enum Placement {
    /// It runs on this idle connection.
    Assign(ServerKey, u64),
    /// It waits, and a connection to this server is opened.
    Open(ServerKey),
    /// It waits, and a connection to this server is opened in place of this idle one.
    Replace(ServerKey, u64),
    /// It waits.
    Wait,
}
