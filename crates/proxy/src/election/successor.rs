//! The state of a leaving primary's successor, for hosts that use the primary until it leads. The host
//! that announced the end of the term asks the successor, on one connection for all hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use flamingopost_daemon::task;
use tokio::time::{sleep, timeout};

use super::{Election, Probe, STATUS_TIMEOUT, target};
use crate::codec::Codec;
use crate::message::Status;
use crate::peer::{Payload, micros};
use crate::platform::Platform;
use crate::server_connection::{self, ServerConnection, Target};
use crate::service::Service;

/// Minimum interval between two requests for the state of a successor. Each one to the server takes a
/// slot there.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum interval between two requests for the state of the server that an open order names. Each host
/// asks it.
const OPEN_ORDER_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a request to the host that asks the successor is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(50);

/// A primary is not used any more once its successor's state is not known for this long.
const UNKNOWN_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which a task that nothing waits for looks whether the handover is over.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a leaving primary is not used any more.
const LEADS: &str = "its successor leads";
const UNKNOWN: &str = "the state of its successor is not known";
pub(super) const TOLD: &str = "the host that asks its successor says so";

/// A request of another host for the state of a successor.
#[derive(Debug, Clone, Copy)]
pub(super) struct Query {
    token: u64,
    /// The sender's time.
    sent: u64,
    from: SocketAddr,
}

/// The state of a successor.
#[derive(Debug, Clone, Copy)]
enum State {
    Follows(Position),
    Leads(Term),
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Asks `server`, which is to be ordered under `token`, for its state whenever a statement of any
    /// host depends on it, until it leads or the leaving primary is not used any more.
    pub(super) fn watch_successor(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        server: ServerKey,
        token: u64,
    ) {
        let Some(target) = target(service, server) else {
            return service.end_handover(token, UNKNOWN);
        };
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        task::complete("successor_watch", move || {
            let (election, service) = (Rc::clone(&election), Rc::clone(&service));
            let target = target.clone();
            async move {
                let mut connection = None;
                let mut known_at = election.site.now();
                while service.handover_token() == Some(token) {
                    if !election.is_state_demanded(&service).await {
                        known_at = election.site.now();
                        continue;
                    }
                    let asked = election.site.now();
                    let queries = election.take_queries(&service, token);
                    match election.ask_state(&service, &target, &mut connection).await {
                        Ok(State::Follows(received)) => {
                            known_at = asked;
                            service.record_follower(token, asked, received);
                            election.answer_queries(&service, &queries, Some(received));
                        }
                        Ok(State::Leads(term)) => {
                            service.end_handover(token, LEADS);
                            election.answer_queries(&service, &queries, None);
                            return election.announce_lead(&service, target.server, term);
                        }
                        Err(_) if asked >= known_at + UNKNOWN_TIMEOUT => {
                            service.end_handover(token, UNKNOWN);
                            return election.answer_queries(&service, &queries, None);
                        }
                        Err(_) => {}
                    }
                    sleep(REQUEST_INTERVAL).await;
                }
                let queries = election.take_queries(&service, token);
                election.answer_queries(&service, &queries, None);
            }
        });
    }

    /// Waits until `successor` has received all that the leaving primary `replaced` has now. The hosts
    /// acknowledge nothing more there that the successor has not received, and what it lacks as it
    /// begins to lead is lost.
    pub(super) async fn await_receipt(
        &self,
        service: &Rc<Service<C>>,
        replaced: &Target,
        successor: &Target,
    ) {
        let extent = loop {
            if let Probe::Status(status) = self.query_status(service, replaced).await {
                break status.received;
            }
            sleep(REQUEST_INTERVAL).await;
        };
        let mut connection = None;
        loop {
            match self.ask_state(service, successor, &mut connection).await {
                Ok(State::Follows(received)) if received < extent => {}
                Ok(State::Follows(_) | State::Leads(_)) => return,
                Err(_) => {}
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Asks a successor for its state, on `connection` if there is one.
    async fn ask_state(
        &self,
        service: &Rc<Service<C>>,
        target: &Target,
        connection: &mut Option<ServerConnection<C>>,
    ) -> Result<State, server_connection::Error> {
        let asked = self.site.now();
        let status = timeout(STATUS_TIMEOUT, self.status_on(target, connection)).await??;
        service.record_status(target.server, &status, asked);
        Ok(match status.role {
            Role::Primary => State::Leads(status.term),
            Role::Replica => State::Follows(status.received),
        })
    }

    /// Returns the state of `target`. The connection is kept only after an answer.
    async fn status_on(
        &self,
        target: &Target,
        connection: &mut Option<ServerConnection<C>>,
    ) -> Result<Status, server_connection::Error> {
        let mut back = match connection.take() {
            Some(back) => back,
            None => {
                let id = self.site.next_id();
                ServerConnection::connect(id, target, &self.site.host).await?
            }
        };
        let status = back.status().await?;
        *connection = Some(back);
        Ok(status)
    }

    /// Asks the server that an open order names for its state whenever a statement depends on it, until the
    /// order was carried out or can no longer be.
    pub(super) fn watch_open_order(self: &Rc<Self>, service: &Rc<Service<C>>) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        task::complete("successor_watch", move || {
            let (election, service) = (Rc::clone(&election), Rc::clone(&service));
            async move {
                let mut connection = None;
                let mut known_at = election.site.now();
                while service.is_bound() {
                    let asked = election.site.now();
                    let successor = service.open_successor();
                    let target = successor.and_then(|key| target(&service, key));
                    let state = match &target {
                        Some(target) => election
                            .ask_state(&service, target, &mut connection)
                            .await
                            .ok(),
                        None => None,
                    };
                    match state {
                        Some(State::Follows(received)) => {
                            known_at = asked;
                            service.record_open_follower(asked, received);
                        }
                        Some(State::Leads(_)) => return service.record_order_carried_out(),
                        None if asked >= known_at + UNKNOWN_TIMEOUT => {
                            service.record_open_silence()
                        }
                        None => {}
                    }
                    sleep(OPEN_ORDER_INTERVAL).await;
                    election.is_state_demanded(&service).await;
                }
            }
        });
    }

    /// Records a request of another host, to be answered with the next answer of the successor.
    pub(super) fn record_successor_query(
        &self,
        service: &Rc<Service<C>>,
        token: u64,
        sent: u64,
        from: SocketAddr,
    ) {
        let query = Query { token, sent, from };
        if service.handover_token() != Some(token) {
            return self.answer_queries(service, &[query], None);
        }
        let mut queries = self.successor_queries.borrow_mut();
        queries.entry(service.name.clone()).or_default().push(query);
        service.handover_demand.notify_one();
    }

    /// Waits for up to [`RECHECK_INTERVAL`] until a statement of this host or a request of another one
    /// needs the state of the successor. Returns whether one does.
    async fn is_state_demanded(&self, service: &Service<C>) -> bool {
        let demanded = self.successor_demanded(service);
        timeout(RECHECK_INTERVAL, demanded).await.is_ok()
    }

    /// Waits until a statement of this host or a request of another one needs the state of the
    /// successor.
    async fn successor_demanded(&self, service: &Service<C>) {
        let is_asked = || self.successor_queries.borrow().contains_key(&service.name);
        while !is_asked() && !service.is_handover_demanded() {
            service.handover_demand.notified().await;
        }
    }

    fn take_queries(&self, service: &Service<C>, token: u64) -> Vec<Query> {
        let queries = self.successor_queries.borrow_mut().remove(&service.name);
        let queries = queries.unwrap_or_default().into_iter();
        queries.filter(|query| query.token == token).collect()
    }

    fn answer_queries(
        &self,
        service: &Rc<Service<C>>,
        queries: &[Query],
        received: Option<Position>,
    ) {
        for query in queries {
            let state = Payload::SuccessorState {
                token: query.token,
                sent: query.sent,
                received: received.map(Into::into),
            };
            self.send(service, state, query.from);
        }
    }

    /// Asks the host at `announcer` for the state of the successor to be ordered under `token` whenever
    /// a statement of this host depends on it, until the leaving primary is not used any more.
    pub(super) fn follow_successor(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        token: u64,
        announcer: SocketAddr,
    ) {
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        task::complete("successor_watch", move || {
            let (election, service) = (Rc::clone(&election), Rc::clone(&service));
            async move {
                let mut known_at = election.site.now();
                while service.handover_token() == Some(token) {
                    if !election.is_state_demanded(&service).await {
                        known_at = election.site.now();
                        continue;
                    }
                    let answered = service.handover_answered.notified();
                    let now = election.site.now();
                    let sent = micros(now);
                    election.send(&service, Payload::SuccessorQuery { token, sent }, announcer);
                    match timeout(REPEAT_INTERVAL, answered).await {
                        Ok(()) => known_at = election.site.now(),
                        Err(_) if now >= known_at + UNKNOWN_TIMEOUT => {
                            service.end_handover(token, UNKNOWN);
                        }
                        Err(_) => {}
                    }
                    sleep(REQUEST_INTERVAL).await;
                }
            }
        });
    }
}
