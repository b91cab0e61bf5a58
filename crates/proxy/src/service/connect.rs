//! Opens connections to servers.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::key::ServerKey;

use super::Service;
use crate::back::{self, Back};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Code;
use crate::meter;

impl<C: Codec> Service<C> {
    pub(super) fn open(self: &Rc<Self>, server: ServerKey) {
        let service = Rc::clone(self);
        tokio::task::spawn_local(async move { service.connect(server).await });
    }

    async fn connect(self: Rc<Self>, server: ServerKey) {
        let now = self.site.now();
        let target = {
            let state = self.state.borrow();
            state.servers.get(&server).map(|known| known.target.clone())
        };
        let Some(target) = target else {
            let failure = dispatch::Failure::Unreachable;
            let next = self
                .state
                .borrow_mut()
                .dispatch
                .failed(server, failure, now);
            self.apply(next);
            return;
        };
        let id = self.site.next_id();
        match Back::connect(id, &target, &self.site.host).await {
            Ok(back) => {
                meter::connected(&self.name);
                self.heard(server, back.position, now, false);
                if let Some(position) = back.position {
                    self.weigh(server, position, now);
                    self.refresh();
                }
                let now = self.site.now();
                let next = {
                    let mut state = self.state.borrow_mut();
                    state.idle.insert(id, back);
                    state.dispatch.opened(server, id, now)
                };
                self.apply(next);
            }
            Err(error) => self.unconnected(server, &error, now),
        }
    }

    fn unconnected(self: &Rc<Self>, server: ServerKey, error: &back::Error, sent: Duration) {
        let (connections, waiting) = self.load(server);
        self.site.log(&Event::Unconnected {
            service: self.name.clone(),
            server: self.name_of(Some(server)),
            error: error.to_string(),
            connections,
            waiting,
        });
        self.missed(server, error, sent);
        let failure = match error {
            back::Error::Refused(Code::ConnectionLimit | Code::Busy) => dispatch::Failure::Full,
            _ => dispatch::Failure::Unreachable,
        };
        let now = self.site.now();
        let next = {
            let mut state = self.state.borrow_mut();
            let next = state.dispatch.failed(server, failure, now);
            let known = state.dispatch.servers().get(&server);
            if known.is_some_and(dispatch::Server::is_short) && failure == dispatch::Failure::Full {
                state.short_of.insert(server);
            }
            next
        };
        self.apply(next);
    }

    /// Connections to a server, and requests of the service that wait for one.
    fn load(&self, server: ServerKey) -> (u16, usize) {
        let state = self.state.borrow();
        let known = state.dispatch.servers().get(&server);
        let connections = known.map_or(0, dispatch::Server::connections);
        (connections, state.dispatch.waiting())
    }
}
