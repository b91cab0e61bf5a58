//! The queue of requests that wait for a connection, and its order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::TeamKey;

use super::placement::Placement;
use super::ticket::QueueOrder;
use super::{Action, Dispatch, Need, Ticket, Unserved};

/// Time without an empty queue after which the service counts as overloaded.
///
/// It is several times the latency of a request, so that a burst does not count as overload.
const OVERLOAD_AFTER: Duration = Duration::from_millis(150);

impl Dispatch {
    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request to the queue.
    pub fn arrive(&mut self, ticket: Ticket, now: Duration) -> Vec<Action> {
        let id = ticket.id;
        self.waiting.push(ticket);
        self.run_with(Some(id), now)
    }

    /// Removes a request that no longer waits from the queue.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|other| other.id != ticket);
    }

    /// Assigns free connections to waiting requests, and refuses those whose deadline has passed or
    /// that cannot start before it.
    pub(super) fn run(&mut self, now: Duration) -> Vec<Action> {
        self.run_with(None, now)
    }

    /// Does the same after the request `newcomer` has arrived.
    fn run_with(&mut self, newcomer: Option<u64>, now: Duration) -> Vec<Action> {
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
                return true;
            }
            match self.placement(ticket, &mut wanted, now) {
                Placement::Assign(server, connection) => {
                    self.starts.of(ticket.need).record(now);
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
        actions.extend(self.refuse_unservable(&mut waiting, newcomer, now));
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

    /// Returns the order of requests of equal rank: oldest first, or newest first under overload
    /// (adaptive LIFO) until the pace is known at which requests start. From then on, those that would
    /// wait too long are refused as they arrive, and the others keep their order.
    ///
    /// Under overload the queue never empties. Served oldest first, every request waits until just
    /// before its goal and is answered just after it. Served newest first, as many requests as the
    /// servers can handle are in time, and the others would have been late in any case. In a model
    /// with 25% more work than capacity, 46 of 250 requests were in time with the oldest first,
    /// and more than 70% with the newest first.
    fn order(&self, now: Duration) -> QueueOrder {
        match self.queued_since {
            Some(since) if now >= since + OVERLOAD_AFTER && !self.knows_pace(now) => {
                QueueOrder::NewestFirst
            }
            _ => QueueOrder::OldestFirst,
        }
    }

    /// Returns why no connection was assigned to `ticket` before its deadline.
    pub(super) fn unserved(&self, ticket: &Ticket, now: Duration) -> Unserved {
        let is_servable = self
            .servers
            .iter()
            .any(|(key, server)| self.may_answer(ticket, *key, server, now));
        match (is_servable, ticket.need) {
            (true, _) => Unserved::Busy {
                retry_after: Duration::ZERO,
            },
            (false, Need::Leader) => Unserved::NoPrimary,
            (false, Need::Position { .. }) => Unserved::Lagging,
        }
    }
}
