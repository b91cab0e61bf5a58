//! Requests that wait for a connection, and what is done with connections for them.

use std::collections::VecDeque;
use std::rc::Rc;

use flamingopost_core::dispatch::{Action, Ticket, Unserved};
use flamingopost_core::key::ServerKey;
use tokio::sync::oneshot;

use super::{Lent, Service, Waiter};
use crate::codec::Codec;

impl<C: Codec> Service<C> {
    /// Waits for a connection that may serve `ticket`.
    ///
    /// # Errors
    /// Why there was none before the ticket's deadline.
    pub async fn acquire(self: &Rc<Self>, ticket: Ticket) -> Result<Lent<C>, Unserved> {
        let now = self.site.now();
        let id = ticket.id;
        let (sender, receiver) = oneshot::channel();
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
        // The sender is dropped unused only with the service itself.
        receiver.await.unwrap_or(Err(Unserved::Busy))
    }

    pub(super) fn apply(self: &Rc<Self>, next: Vec<Action>) {
        let mut queue = VecDeque::from(next);
        while let Some(next) = queue.pop_front() {
            match next {
                Action::Assign {
                    ticket,
                    server,
                    connection,
                } => queue.extend(self.lend(ticket, server, connection)),
                Action::Open { server } => self.open(server),
                Action::Close { connection, .. } => {
                    self.state.borrow_mut().idle.remove(&connection);
                }
                Action::Refuse { ticket, reason } => {
                    let waiter = self.state.borrow_mut().waiters.remove(&ticket);
                    if let Some(waiter) = waiter {
                        // A caller that no longer waits needs no answer.
                        let _ = waiter.sender.send(Err(reason));
                    }
                }
            }
        }
    }

    fn lend(self: &Rc<Self>, ticket: u64, server: ServerKey, connection: u64) -> Vec<Action> {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let waiter = state.waiters.remove(&ticket);
        let back = state.idle.remove(&connection);
        let known = state.servers.get(&server);
        let life = known.map(|known| known.life.clone()).unwrap_or_default();
        match (waiter, back) {
            (Some(waiter), Some(back)) if !back.is_over() => {
                drop(state);
                let lent = Lent {
                    back: Some(back),
                    life,
                    service: Rc::clone(self),
                    rests: false,
                    long: waiter.ticket.opens_transaction,
                };
                if let Err(Ok(lent)) = waiter.sender.send(Ok(lent)) {
                    lent.give_back();
                }
                Vec::new()
            }
            (Some(waiter), back) => {
                // The server has ended the connection meanwhile: the request goes on waiting.
                if back.is_some() {
                    state.broke(server);
                }
                let mut next = state.dispatch.connection_lost(server, now);
                let ticket = waiter.ticket.clone();
                state.waiters.insert(ticket.id, waiter);
                next.extend(state.dispatch.arrive(ticket, now));
                next
            }
            (None, Some(back)) => {
                state.idle.insert(connection, back);
                state.dispatch.connection_returned(server, connection, now)
            }
            (None, None) => state.dispatch.connection_lost(server, now),
        }
    }

    fn cancel(&self, ticket: u64) {
        let mut state = self.state.borrow_mut();
        if state.waiters.remove(&ticket).is_some() {
            state.dispatch.cancel(ticket);
        }
    }
}

/// Takes the ticket of a request out of the queue when its caller stops waiting.
struct Waiting<'a, C: Codec> {
    service: &'a Rc<Service<C>>,
    id: u64,
}

impl<C: Codec> Drop for Waiting<'_, C> {
    fn drop(&mut self) {
        self.service.cancel(self.id);
    }
}
