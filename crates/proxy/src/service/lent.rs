//! A pooled connection while one request has it.

use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use flamingopost_core::key::ServerKey;

use super::{Life, Service};
use crate::back::Back;
use crate::codec::Codec;

/// A connection that one request has for itself. Dropped, it is closed: only what is known to be
/// in order is given back.
pub struct Lent<C: Codec> {
    pub(super) back: Option<Back<C>>,
    pub(super) life: Life,
    pub(super) service: Rc<Service<C>>,
    pub(super) rests: bool,
    pub(super) long: bool,
}

impl<C: Codec> Lent<C> {
    /// Notes whether the connection rests inside a transaction while its caller thinks.
    pub fn rest(&mut self, rests: bool) {
        if self.rests == rests {
            return;
        }
        self.rests = rests;
        let now = self.service.site.now();
        let server = self.server;
        let next = {
            let mut state = self.service.state.borrow_mut();
            state.dispatch.set_idle_in_transaction(server, rests, now)
        };
        self.service.apply(next);
    }

    /// The life of the start of its server that it leads to.
    pub fn life(&self) -> Life {
        self.life.clone()
    }

    /// The service that its server belongs to.
    pub fn service(&self) -> &Rc<Service<C>> {
        &self.service
    }

    /// Something is sent now; the guard stands for the answer that is awaited.
    pub fn awaits(&self) -> Awaited<C> {
        let service = Rc::clone(&self.service);
        let (server, id) = (self.server, service.site.next_id());
        let now = service.site.now();
        if let Some(known) = service.state.borrow_mut().servers.get_mut(&server) {
            known.outstanding.insert(id, now);
        }
        Awaited {
            service,
            server,
            id,
        }
    }

    /// Takes back what was counted for it beside the connection itself.
    fn release(&mut self) {
        self.rest(false);
        if std::mem::take(&mut self.long) {
            let server = self.server;
            self.service
                .state
                .borrow_mut()
                .dispatch
                .transaction_ended(server);
        }
    }

    /// Gives the connection back; no transaction may be open there. One that is out of order or
    /// has answers outstanding is closed.
    pub fn give_back(mut self) {
        if self.broken || self.pending() > 0 {
            return;
        }
        self.release();
        let Some(back) = self.back.take() else {
            return;
        };
        let (server, id) = (back.server, back.id);
        let now = self.service.site.now();
        let next = {
            let mut state = self.service.state.borrow_mut();
            state.idle.insert(id, back);
            state.dispatch.connection_returned(server, id, now)
        };
        self.service.apply(next);
    }
}

impl<C: Codec> Drop for Lent<C> {
    fn drop(&mut self) {
        if self.back.is_some() {
            self.release();
        }
        let Some(back) = self.back.take() else {
            return;
        };
        let now = self.service.site.now();
        let next = {
            let mut state = self.service.state.borrow_mut();
            state.dispatch.connection_lost(back.server, now)
        };
        drop(back);
        self.service.apply(next);
    }
}

impl<C: Codec> Deref for Lent<C> {
    type Target = Back<C>;

    fn deref(&self) -> &Back<C> {
        self.back
            .as_ref()
            .expect("a lent connection is there until it is given back")
    }
}

impl<C: Codec> DerefMut for Lent<C> {
    fn deref_mut(&mut self) -> &mut Back<C> {
        self.back
            .as_mut()
            .expect("a lent connection is there until it is given back")
    }
}

/// Stands for an answer that is awaited.
pub struct Awaited<C: Codec> {
    service: Rc<Service<C>>,
    server: ServerKey,
    id: u64,
}

impl<C: Codec> Drop for Awaited<C> {
    fn drop(&mut self) {
        let mut state = self.service.state.borrow_mut();
        if let Some(known) = state.servers.get_mut(&self.server) {
            known.outstanding.remove(&self.id);
        }
    }
}
