//! Queue of requests that wait for a connection, and the dispatcher's actions on connections.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::{Action, Ticket, Unserved};
use flamingopost_core::key::{ServerKey, TeamKey};
use tokio::sync::oneshot;

use super::{PooledConnection, Service, Waiter};
use crate::codec::Codec;

impl<C: Codec> Service<C> {
    /// Waits for a connection that can serve `ticket`.
    ///
    /// # Errors
    /// Returns why no connection was available before the ticket's deadline.
    pub async fn acquire(self: &Rc<Self>, ticket: Ticket) -> Result<PooledConnection<C>, Unserved> {
        let now = self.site.now();
        let id = ticket.id;
        let (sender, receiver) = oneshot::channel();
        self.record_use(now);
        let next = {
            let mut state = self.state.borrow_mut();
            let waiter = Waiter {
                ticket: ticket.clone(),
                sender,
            };
            state.waiters.insert(id, waiter);
            state.dispatch.arrive(ticket, now)
        };
        let _waiting = Waiting { service: self, id };
        self.apply(next);
        // The sender is only dropped unused together with the service.
        let ended = Unserved::Busy {
            retry_after: Duration::ZERO,
        };
        receiver.await.unwrap_or(Err(ended))
    }

    pub(super) fn apply(self: &Rc<Self>, next: Vec<Action>) {
        let mut queue = VecDeque::from(next);
        while let Some(next) = queue.pop_front() {
            match next {
                Action::Assign {
                    ticket,
                    team,
                    server,
                    connection,
                } => queue.extend(self.assign(ticket, team, server, connection)),
                Action::Open { server, team } => self.open(server, team),
                Action::Close { connection, .. } => {
                    self.state.borrow_mut().idle.remove(&connection);
                }
                Action::Refuse { ticket, reason } => {
                    let waiter = self.state.borrow_mut().waiters.remove(&ticket);
                    if let Some(waiter) = waiter {
                        // Ignores the error: the caller may have stopped waiting.
                        let _ = waiter.sender.send(Err(reason));
                    }
                }
            }
        }
    }

    fn assign(
        self: &Rc<Self>,
        ticket: u64,
        team: TeamKey,
        server: ServerKey,
        connection: u64,
    ) -> Vec<Action> {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let waiter = state.waiters.remove(&ticket);
        let idle = state.idle.remove(&connection);
        let entry = state.servers.get(&server);
        let restart_signal = entry
            .map(|entry| entry.restart_signal.clone())
            .unwrap_or_default();
        match (waiter, idle) {
            (Some(waiter), Some(idle)) if !idle.is_closed() => {
                drop(state);
                let pooled = PooledConnection {
                    connection: Some(idle),
                    restart_signal,
                    service: Rc::clone(self),
                    idle_in_transaction: false,
                    is_long: waiter.ticket.opens_transaction,
                };
                if let Err(Ok(pooled)) = waiter.sender.send(Ok(pooled)) {
                    pooled.return_to_pool();
                }
                Vec::new()
            }
            (Some(waiter), idle) => {
                // The server has closed the connection in the meantime, so the request continues to
                // wait.
                if idle.is_some() {
                    state.record_broken_connection(server);
                }
                let mut next = state.dispatch.connection_lost(server, team, now);
                let ticket = waiter.ticket.clone();
                state.waiters.insert(ticket.id, waiter);
                next.extend(state.dispatch.arrive(ticket, now));
                next
            }
            (None, Some(idle)) => {
                state.idle.insert(connection, idle);
                state
                    .dispatch
                    .connection_returned(server, connection, team, now)
            }
            (None, None) => state.dispatch.connection_lost(server, team, now),
        }
    }

    fn cancel(&self, ticket: u64) {
        let mut state = self.state.borrow_mut();
        if state.waiters.remove(&ticket).is_some() {
            state.dispatch.cancel(ticket);
        }
    }
}

/// Removes the ticket of a request from the queue when its caller stops waiting.
struct Waiting<'a, C: Codec> {
    service: &'a Rc<Service<C>>,
    id: u64,
}

impl<C: Codec> Drop for Waiting<'_, C> {
    fn drop(&mut self) {
        self.service.cancel(self.id);
    }
}
