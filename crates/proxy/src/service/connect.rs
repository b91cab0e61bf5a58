//! Opens connections to servers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::key::ServerKey;
use tokio::time::timeout;

use super::Service;
use crate::back::{self, Back, Target};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Code;
use crate::meter;

/// How long a server may take to say whether its log holds anything: some round trips between zones.
const EXAMINATION: Duration = Duration::from_millis(200);

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
        match self.connect_examined(id, &target).await {
            Ok(back) => {
                meter::server_connected(&self.name);
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

    /// Connects to `target`, and asks whether its log holds anything where it shows no write of its term.
    ///
    /// Guards against a successor that lost its log before it was seen to lead: it shows the start of its
    /// term with its log or without, and hosts expect it to lead. A connection that is kept shows that the
    /// process which was asked is still there.
    async fn connect_examined(
        self: &Rc<Self>,
        id: u64,
        target: &Target,
    ) -> Result<Back<C>, back::Error> {
        let mut back = Back::connect(id, target, &self.site.host).await?;
        let start = back.position.filter(|it| it.log == 0 && self.is_seen());
        let Some(position) = start else {
            return Ok(back);
        };
        let asked = timeout(EXAMINATION, back.has_entries()).await;
        let has_entries = asked.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.examined(target.server, position, has_entries);
        match back.broken {
            true => Err(back::Error::Refused(Code::Lagging)),
            false => Ok(back),
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
