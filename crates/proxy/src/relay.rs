//! Relays a session to another host of the availability zone, which serves it.
//!
//! If there are more hosts than a server can accept connections from, a few hosts of each zone
//! serve a service on behalf of all. The others relay their callers' statements one after the
//! other, over one connection per caller, so that the serving host holds the complete session
//! state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;

use crate::caller_connection::{self, CallerConnection};
use crate::codec::Codec;
use crate::event::Event;
use crate::gate::Gate;
use crate::message::{Code, Command, Request, Transaction};
use crate::rejection::Reason;
use crate::server_connection::{self, Outcome, ServerConnection, Target};
use crate::session::Context;

/// Additional time beyond the route's timeout that the other host may take for a statement: the
/// latency in both directions and its own load. Needed because the kernel of a stalled host still
/// acknowledges data while its process answers nothing.
const RELAY_MARGIN: Duration = Duration::from_millis(300);

/// Reason given when the serving host has ended the session without running a statement that was read or
/// is still on its way.
pub const SESSION_ENDED: &[u8] = b"not run: the host that serves this session has ended it";

/// Time limit for connecting to the other host before the next host is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// A session that is relayed to another host.
pub struct Relay<C: Codec> {
    context: Rc<Context<C>>,
    database: String,
    caller: CallerConnection<C>,
    peer: ServerConnection<C>,
    gate: Gate<C>,
    transaction: Transaction,
    moves: u64,
}

/// Next event of a relayed session.
enum RelayEvent {
    Request(Option<Request>),
    /// The other host has ended the session, or this host must end it.
    End,
}

/// Opens a session on `database` for the team called `team` at the host that accepts relayed
/// sessions at `address`.
pub async fn open<C: Codec>(
    context: &Context<C>,
    database: &str,
    team: &str,
    address: SocketAddr,
) -> Option<ServerConnection<C>> {
    let target = Target {
        server: ServerKey::default(),
        address,
        id: String::new(),
        service: database.to_owned(),
    };
    let id = context.site.next_id();
    let connecting = ServerConnection::connect(id, &target, team);
    tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()
}

impl<C: Codec> Relay<C> {
    /// Creates a relay for the session of `caller` on `database` over the connection `peer`.
    pub fn new(
        context: Rc<Context<C>>,
        database: String,
        caller: CallerConnection<C>,
        peer: ServerConnection<C>,
        gate: Gate<C>,
    ) -> Relay<C> {
        let moves = context.stop.moves();
        Relay {
            context,
            database,
            caller,
            peer,
            gate,
            transaction: Transaction::Idle,
            moves,
        }
    }

    /// Relays statements until the caller, this host or the other host ends the session.
    ///
    /// # Errors
    /// The caller's connection is lost, or the caller sent an invalid message.
    pub async fn run(mut self) -> Result<(), caller_connection::Error> {
        loop {
            let request = match self.next_event().await? {
                RelayEvent::Request(request) => request,
                RelayEvent::End => break,
            };
            let Some(Request::Query(query)) = request else {
                break;
            };
            if self.transaction == Transaction::Idle
                && let Err(refusal) = self.gate.admit(&query).await
            {
                self.caller.refuse(&refusal);
                if refusal.ends_session {
                    break;
                }
                self.caller.flush().await?;
                continue;
            }
            // The other host may have ended the session while the statement waited to be admitted.
            // It has not been sent, so the caller can be told that it did not run.
            if self.peer.is_closed() {
                let team = self.gate.team();
                self.context
                    .count_rejection(Reason::SessionEnded, &self.database, team);
                self.caller.error(Code::Aborted, SESSION_ENDED);
                self.caller.ready(Transaction::Idle, None);
                break;
            }
            self.peer.push(&Command::Run {
                id: &query.id,
                text: &query.text,
                min_position: None,
            });
            let sent = self.context.site.now();
            let outcome = match self.outcome().await {
                Ok(outcome) => outcome,
                Err(error) => {
                    // Only the other host knows whether the statement ran, so the session ends
                    // without an answer.
                    let millis = self.context.site.now().saturating_sub(sent).as_millis();
                    self.context.site.log(&Event::RelayLost {
                        id: String::from_utf8_lossy(&query.id).into_owned(),
                        database: self.database.clone(),
                        error: error.to_string(),
                        millis,
                    });
                    return Ok(());
                }
            };
            self.transaction = outcome.transaction;
            self.caller.answer(&outcome, outcome.transaction);
            self.caller.flush().await?;
        }
        self.caller.close().await
    }

    /// Sends the queued statement and returns the other host's answer.
    async fn outcome(&mut self) -> Result<Outcome, server_connection::Error> {
        let allowed = self.context.fleet.timeout(&self.database);
        let allowed = allowed.unwrap_or_default();
        let answered = tokio::time::timeout(allowed + RELAY_MARGIN, async {
            self.peer.flush().await?;
            self.peer.outcome().await
        });
        answered.await?
    }

    async fn next_event(&mut self) -> Result<RelayEvent, caller_connection::Error> {
        let stop = Rc::clone(&self.context.stop);
        let is_idle = self.transaction != Transaction::Open;
        tokio::select! {
            biased;
            request = self.caller.request() => Ok(RelayEvent::Request(request?)),
            () = self.peer.wait_closed() => Ok(RelayEvent::End),
            () = stop.sessions_must_end(self.moves), if is_idle => Ok(RelayEvent::End),
            () = stop.transactions_must_end(), if !is_idle => Ok(RelayEvent::End),
        }
    }
}
