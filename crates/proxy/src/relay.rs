//! A session that another host of the availability zone serves.
//!
//! Where hosts outnumber what a server bears, a few hosts of each zone serve a service for all of
//! them. The others pass their callers' statements on, one after the other, over
//! a connection for each caller: session state stays whole at the host that serves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;

use crate::back::{self, Back, Outcome, Target};
use crate::codec::Codec;
use crate::event::Event;
use crate::front::{self, Front};
use crate::message::{Command, Request, Transaction};
use crate::session::Context;

/// How much longer than the route allows the other host may take for a statement: the way there
/// and back, and its own load. One that stands still answers nothing while its kernel still does.
const MARGIN: Duration = Duration::from_millis(300);

/// How long connecting to the other host may take before the next one is tried.
const CONNECT: Duration = Duration::from_millis(150);

/// A session that another host serves.
pub struct Relay<C: Codec> {
    context: Rc<Context<C>>,
    database: String,
    front: Front<C>,
    back: Back<C>,
    transaction: Transaction,
    moves: u64,
}

/// What comes next.
enum Next {
    Request(Option<Request>),
    /// The other host has ended the session, or this one has to.
    End,
}

/// Opens a session on `database` at the host that answers others at `address`.
pub async fn open<C: Codec>(
    context: &Context<C>,
    database: &str,
    address: SocketAddr,
) -> Option<Back<C>> {
    let target = Target {
        server: ServerKey::default(),
        address,
        id: String::new(),
        service: database.to_owned(),
    };
    let id = context.site.next_id();
    let connecting = Back::connect(id, &target, &context.site.host);
    tokio::time::timeout(CONNECT, connecting).await.ok()?.ok()
}

impl<C: Codec> Relay<C> {
    /// Passes the statements of `front`, whose session is on `database`, on over `back`.
    pub fn new(
        context: Rc<Context<C>>,
        database: String,
        front: Front<C>,
        back: Back<C>,
    ) -> Relay<C> {
        let moves = context.stop.moves();
        Relay {
            context,
            database,
            front,
            back,
            transaction: Transaction::Idle,
            moves,
        }
    }

    /// Serves until one of the three ends the session.
    ///
    /// # Errors
    /// The caller's connection is lost, or it cannot be understood.
    pub async fn run(mut self) -> Result<(), front::Error> {
        loop {
            let request = match self.next().await? {
                Next::Request(request) => request,
                Next::End => break,
            };
            let Some(Request::Query(query)) = request else {
                break;
            };
            self.back.push(&Command::Run {
                id: &query.id,
                text: &query.text,
                after: None,
            });
            let sent = self.context.site.now();
            let outcome = match self.outcome().await {
                Ok(outcome) => outcome,
                Err(error) => {
                    // Whether it ran only the other host knows: the session ends without an answer.
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
            self.front.answer(&outcome, outcome.transaction);
            self.front.flush().await?;
        }
        self.front.close().await
    }

    /// The other host's answer to what is queued.
    async fn outcome(&mut self) -> Result<Outcome, back::Error> {
        let allowed = self.context.fleet.timeout(&self.database);
        let allowed = allowed.unwrap_or_default();
        let answered = tokio::time::timeout(allowed + MARGIN, async {
            self.back.flush().await?;
            self.back.outcome().await
        });
        let silent = |_| back::Error::Io(std::io::ErrorKind::TimedOut.into());
        answered.await.map_err(silent)?
    }

    async fn next(&mut self) -> Result<Next, front::Error> {
        let stop = Rc::clone(&self.context.stop);
        let idle = self.transaction != Transaction::Open;
        tokio::select! {
            biased;
            request = self.front.request() => Ok(Next::Request(request?)),
            () = self.back.ended() => Ok(Next::End),
            () = stop.sessions_must_end(self.moves), if idle => Ok(Next::End),
            () = stop.transactions_must_end(), if !idle => Ok(Next::End),
        }
    }
}
