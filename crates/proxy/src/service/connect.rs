//! Opens connections to servers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::key::{ServerKey, TeamKey};
use flamingopost_daemon::task;
use tokio::time::timeout;

use super::Service;
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Code;
use crate::meter;
use crate::server_connection::{self, ServerConnection, Target};

/// Time limit for a server to report whether its log has any entry: a few round trips between
/// zones.
const EXAMINATION_TIMEOUT: Duration = Duration::from_millis(200);

impl<C: Codec> Service<C> {
    pub(super) fn open(self: &Rc<Self>, server: ServerKey, team: TeamKey) {
        let (service, panicked) = (Rc::clone(self), Rc::clone(self));
        let connect = async move { service.connect(server, team).await };
        task::spawn_or_else("server_connect", connect, move || {
            panicked.give_up_connect(server, team);
        });
    }

    /// Records that no connection to `server` is being opened any more for `team`.
    fn give_up_connect(self: &Rc<Self>, server: ServerKey, team: TeamKey) {
        let now = self.site.now();
        let failure = dispatch::Failure::Unreachable;
        let next = {
            let mut state = self.state.borrow_mut();
            state.dispatch.connect_failed(server, team, failure, now)
        };
        self.apply(next);
    }

    async fn connect(self: Rc<Self>, server: ServerKey, team: TeamKey) {
        let now = self.site.now();
        let target = {
            let state = self.state.borrow();
            state.servers.get(&server).map(|entry| entry.target.clone())
        };
        let Some(target) = target else {
            self.give_up_connect(server, team);
            return;
        };
        let id = self.site.next_id();
        match self.connect_and_examine(id, &target, team).await {
            Ok(connection) => {
                meter::server_connected(&self.name);
                self.record_answer(server, connection.position, now, false);
                if let Some(position) = connection.position {
                    self.check_log(server, position, now);
                    self.refresh_leader();
                }
                let now = self.site.now();
                let next = {
                    let mut state = self.state.borrow_mut();
                    state.idle.insert(id, connection);
                    state.dispatch.connection_opened(server, id, team, now)
                };
                self.apply(next);
            }
            Err(error) => self.connection_failed(server, team, &error, now),
        }
    }

    /// Connects to `target`, and asks whether its log has any entry if it shows no write of its
    /// term.
    ///
    /// Guards against a successor that lost its log before it was seen to lead: it shows the start
    /// of its term with or without its log, and hosts expect it to lead. As long as the connection
    /// stays open, the server process that was asked is still running.
    async fn connect_and_examine(
        self: &Rc<Self>,
        id: u64,
        target: &Target,
        team: TeamKey,
    ) -> Result<ServerConnection<C>, server_connection::Error> {
        let client = self.site.client_name(team);
        let mut connection = ServerConnection::connect(id, target, &client).await?;
        connection.team = team;
        let term_start = connection
            .position
            .filter(|position| position.log == 0 && self.has_seen_entries());
        let Some(position) = term_start else {
            return Ok(connection);
        };
        let asked = timeout(EXAMINATION_TIMEOUT, connection.has_entries()).await;
        let has_entries = asked.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.record_examination(target.server, position, has_entries);
        match connection.broken {
            true => Err(server_connection::Error::Refused(Code::Lagging)),
            false => Ok(connection),
        }
    }

    fn connection_failed(
        self: &Rc<Self>,
        server: ServerKey,
        team: TeamKey,
        error: &server_connection::Error,
        sent: Duration,
    ) {
        let (connections, waiting) = self.connection_load(server);
        self.site.log(&Event::Unconnected {
            service: self.name.clone(),
            server: self.name_of(Some(server)),
            error: error.to_string(),
            connections,
            waiting,
        });
        self.record_failure(server, error, sent);
        let failure = match error {
            server_connection::Error::Refused(Code::ConnectionLimit) => dispatch::Failure::Full,
            server_connection::Error::Refused(Code::Busy) => dispatch::Failure::Busy,
            _ => dispatch::Failure::Unreachable,
        };
        let now = self.site.now();
        let next = {
            let mut state = self.state.borrow_mut();
            let next = state.dispatch.connect_failed(server, team, failure, now);
            let entry = state.dispatch.servers().get(&server);
            if entry.is_some_and(dispatch::Server::lacks_connections)
                && failure != dispatch::Failure::Unreachable
            {
                state.connection_shortages.insert(server);
            }
            next
        };
        self.apply(next);
    }

    /// Returns the number of connections to a server, and the number of requests of the service
    /// that wait for one.
    fn connection_load(&self, server: ServerKey) -> (u16, usize) {
        let state = self.state.borrow();
        let entry = state.dispatch.servers().get(&server);
        let connections = entry.map_or(0, dispatch::Server::connections);
        (connections, state.dispatch.waiting())
    }
}
