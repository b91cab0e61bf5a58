//! A pooled connection while one request holds it.

use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use flamingopost_core::key::ServerKey;

use super::{RestartSignal, Service};
use crate::codec::Codec;
use crate::server_connection::ServerConnection;

/// A connection held exclusively by one request.
///
/// It is closed when dropped: only connections known to be in a clean state are returned to the
/// pool.
pub struct PooledConnection<C: Codec> {
    pub(super) connection: Option<ServerConnection<C>>,
    pub(super) restart_signal: RestartSignal,
    pub(super) service: Rc<Service<C>>,
    pub(super) idle_in_transaction: bool,
    pub(super) is_long: bool,
}

impl<C: Codec> PooledConnection<C> {
    /// Records whether the connection is idle inside a transaction, waiting for the caller's next
    /// statement.
    pub fn set_idle_in_transaction(&mut self, idle: bool) {
        if self.idle_in_transaction == idle {
            return;
        }
        self.idle_in_transaction = idle;
        let now = self.service.site.now();
        let server = self.server;
        let next = {
            let mut state = self.service.state.borrow_mut();
            state.dispatch.set_idle_in_transaction(server, idle, now)
        };
        self.service.apply(next);
    }

    /// Returns the signal that is raised when the server behind this connection has restarted.
    pub fn restart_signal(&self) -> RestartSignal {
        self.restart_signal.clone()
    }

    /// Returns the service that the server belongs to.
    pub fn service(&self) -> &Rc<Service<C>> {
        &self.service
    }

    /// Records that a request is sent now. The returned guard represents the outstanding answer.
    pub fn track_answer(&self) -> PendingAnswer<C> {
        let service = Rc::clone(&self.service);
        let (server, id) = (self.server, service.site.next_id());
        let now = service.site.now();
        if let Some(entry) = service.state.borrow_mut().servers.get_mut(&server) {
            entry.outstanding.insert(id, now);
        }
        PendingAnswer {
            service,
            server,
            id,
        }
    }

    /// Releases what was counted for this request in addition to the connection itself.
    fn release_counts(&mut self) {
        self.set_idle_in_transaction(false);
        if std::mem::take(&mut self.is_long) {
            let server = self.server;
            self.service
                .state
                .borrow_mut()
                .dispatch
                .transaction_ended(server);
        }
    }

    /// Returns the connection to the pool. No transaction may be open on it. A connection that is
    /// broken or has outstanding answers is closed instead.
    pub fn return_to_pool(mut self) {
        if self.broken || self.pending() > 0 {
            return;
        }
        self.release_counts();
        let Some(connection) = self.connection.take() else {
            return;
        };
        let (server, id, team) = (connection.server, connection.id, connection.team);
        let now = self.service.site.now();
        let next = {
            let mut state = self.service.state.borrow_mut();
            state.idle.insert(id, connection);
            state.dispatch.connection_returned(server, id, team, now)
        };
        self.service.apply(next);
    }
}

impl<C: Codec> Drop for PooledConnection<C> {
    fn drop(&mut self) {
        if self.connection.is_some() {
            self.release_counts();
        }
        let Some(connection) = self.connection.take() else {
            return;
        };
        let now = self.service.site.now();
        let next = {
            let mut state = self.service.state.borrow_mut();
            state
                .dispatch
                .connection_lost(connection.server, connection.team, now)
        };
        drop(connection);
        self.service.apply(next);
    }
}

impl<C: Codec> Deref for PooledConnection<C> {
    type Target = ServerConnection<C>;

    fn deref(&self) -> &ServerConnection<C> {
        self.connection
            .as_ref()
            .expect("the connection is present until it is returned or dropped")
    }
}

impl<C: Codec> DerefMut for PooledConnection<C> {
    fn deref_mut(&mut self) -> &mut ServerConnection<C> {
        self.connection
            .as_mut()
            .expect("the connection is present until it is returned or dropped")
    }
}

/// Guard that represents an outstanding answer.
pub struct PendingAnswer<C: Codec> {
    service: Rc<Service<C>>,
    server: ServerKey,
    id: u64,
}

impl<C: Codec> Drop for PendingAnswer<C> {
    fn drop(&mut self) {
        let mut state = self.service.state.borrow_mut();
        if let Some(entry) = state.servers.get_mut(&self.server) {
            entry.outstanding.remove(&self.id);
        }
    }
}
