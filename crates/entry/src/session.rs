//! One caller's session: the loop from request to request.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::key::CallerKey;
use flamingopost_core::refusal::Refusal;
use flamingopost_core::session;
use flamingopost_core::session::state::{State, Transaction};
use flamingopost_daemon::stop::Phase;
use pgwire::messages::response::TransactionStatus;

use crate::cancel::Handle;
use crate::context::Context;
use crate::frame::{self, Frame};
use crate::front::{self, Front};
use crate::held::Held;
use crate::local;
use crate::prepared::Statements;
use crate::reply;
use crate::request::{self, End, Request};
use crate::service::Service;
use crate::stream::Stream;

/// SQLSTATE of a message that does not follow the protocol.
const PROTOCOL_VIOLATION: &str = "08P01";

/// A caller's session.
pub struct Session {
    /// What all sessions share.
    pub context: Arc<Context>,
    /// The service that the caller connected to.
    pub service: Arc<Service>,
    /// Who it is.
    pub caller: CallerKey,
    /// The caller's connection.
    pub front: Front,
    /// What is known of the session's writes.
    pub writes: session::Session,
    /// What the session left on its connection.
    pub state: State,
    /// What it prepared.
    pub statements: Statements,
    /// Its backend connection, while it keeps one.
    pub held: Option<Box<Held>>,
    /// Its cancel key.
    pub handle: Handle,
    /// Its open transaction lost its connection; only the end of the transaction is left.
    pub orphaned: bool,
    batch: Vec<Frame>,
    skipping: bool,
}

/// What comes next.
enum Next {
    Request(Request),
    /// The caller ended a batch of which an error was already reported.
    Synced,
    /// The caller said goodbye, or is gone.
    Gone,
    /// The host is stopping and the session has nothing open.
    Drain,
    /// The server has something to say to an idle session.
    Server,
    Bad(Bad),
}

/// Why a session is ended by this host.
#[derive(Debug, displaydoc::Display)]
enum Bad {
    /// {0}
    Frame(frame::Error),
    /// {0}
    Request(request::Error),
    /// unexpected message of type `{0}`
    Unexpected(char),
}

impl From<frame::Error> for Bad {
    fn from(error: frame::Error) -> Bad {
        Bad::Frame(error)
    }
}

impl From<request::Error> for Bad {
    fn from(error: request::Error) -> Bad {
        Bad::Request(error)
    }
}

/// Whether a session goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// It does.
    On,
    /// Its connection is to be closed.
    Close,
}

impl Session {
    /// A session of `caller` on `stream`, which is past authentication.
    pub fn new(
        context: Arc<Context>,
        service: Arc<Service>,
        caller: CallerKey,
        stream: Stream,
    ) -> Session {
        let now = context.shared.now();
        let handle = context.cancels.register();
        let limit = context.message_limit;
        Session {
            context,
            service,
            caller,
            front: Front::new(stream, BytesMut::new(), limit),
            writes: session::Session::new(now),
            state: State::default(),
            statements: Statements::default(),
            held: None,
            handle,
            orphaned: false,
            batch: Vec::new(),
            skipping: false,
        }
    }

    /// Serves the caller until one of both ends the session.
    pub async fn run(&mut self) {
        loop {
            let flow = match self.next().await {
                Next::Request(request) => Box::pin(self.serve(request)).await,
                Next::Synced => {
                    self.ready();
                    Ok(Flow::On)
                }
                Next::Server => self.relay().await,
                Next::Drain => {
                    let open = self.state.transaction() != Transaction::Idle;
                    let open = open || !self.batch.is_empty();
                    invariant::check(Invariant::GracefulStop, !open, || {
                        "a drain ends a session with a request in progress".to_owned()
                    });
                    reply::refusal(&mut self.front.out, &Refusal::HostStopping);
                    Ok(Flow::Close)
                }
                Next::Bad(bad) => {
                    self.turn_away(&bad);
                    Ok(Flow::Close)
                }
                Next::Gone => break,
            };
            match flow {
                Ok(Flow::On) => {}
                Ok(Flow::Close) => {
                    // The caller may be gone already; there is nobody else to tell.
                    let _ = self.front.close().await;
                    break;
                }
                Err(_) => break,
            }
        }
        self.let_go();
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.context.shared.now()
    }

    /// Appends `ReadyForQuery`.
    pub fn ready(&mut self) {
        let status = match self.state.transaction() {
            Transaction::Idle => TransactionStatus::Idle,
            Transaction::Open => TransactionStatus::Transaction,
            Transaction::Failed => TransactionStatus::Error,
        };
        reply::ready(&mut self.front.out, status);
    }

    /// Answers `request` with `refusal`.
    pub fn refuse(&mut self, request: &Request, refusal: &Refusal) {
        reply::refusal(&mut self.front.out, refusal);
        self.end_refused(request);
    }

    /// Ends the answer to a request that an error was given for.
    pub fn end_refused(&mut self, request: &Request) {
        match request.end {
            End::Flush => self.skipping = true,
            End::Simple | End::Sync => self.ready(),
        }
    }

    /// What the caller sends up to its next `Sync` is passed over: an error was given.
    pub fn skip(&mut self) {
        self.skipping = true;
    }

    async fn serve(&mut self, request: Request) -> Result<Flow, front::Error> {
        let flow = match local::answer(self, &request) {
            local::Answer::Given => Flow::On,
            local::Answer::None => self.answer(&request).await?,
        };
        self.front.flush().await?;
        Ok(flow)
    }

    async fn next(&mut self) -> Next {
        loop {
            match self.gather() {
                Ok(Some(next)) => return next,
                Ok(None) => {}
                Err(bad) => return Next::Bad(bad),
            }
            if self.front.flush().await.is_err() {
                return Next::Gone;
            }
            if let Some(next) = self.wait().await {
                return next;
            }
        }
    }

    /// Waits for more from the caller, or for what else can end an idle session's wait.
    async fn wait(&mut self) -> Option<Next> {
        let idle = self.batch.is_empty() && self.front.is_idle();
        if !idle {
            return gone(self.front.receive().await);
        }
        let stop = self.context.shared.stop();
        let keeps = self.state.transaction() != Transaction::Idle || self.skipping;
        match &mut self.held {
            Some(held) => tokio::select! {
                biased;
                received = self.front.receive() => gone(received),
                filled = held.lent.back().fill() => match filled {
                    Ok(()) => Some(Next::Server),
                    Err(_) => {
                        held.tainted = true;
                        Some(Next::Server)
                    }
                },
                () = stop.draining(), if !keeps => Some(Next::Drain),
            },
            None if keeps => gone(self.front.receive().await),
            None => tokio::select! {
                biased;
                received = self.front.receive() => gone(received),
                () = stop.draining() => Some(Next::Drain),
            },
        }
    }

    /// Takes whole messages up to the end of a request.
    fn gather(&mut self) -> Result<Option<Next>, Bad> {
        while let Some(frame) = self.front.buffered()? {
            match frame.tag() {
                b'Q' if self.batch.is_empty() => {
                    let context = &self.context;
                    let request = Request::simple(frame, |sql| context.classify(sql))?;
                    return Ok(Some(Next::Request(request)));
                }
                b'F' if self.batch.is_empty() => {
                    let context = &self.context;
                    let request = Request::function(frame, |sql| context.classify(sql));
                    return Ok(Some(Next::Request(request)));
                }
                b'P' | b'B' | b'D' | b'E' | b'C' if self.skipping => {}
                b'H' if self.skipping => {}
                b'P' | b'B' | b'D' | b'E' | b'C' => self.batch.push(frame),
                b'S' | b'H' => {
                    if let Some(next) = self.end_batch(frame)? {
                        return Ok(Some(next));
                    }
                }
                b'X' => return Ok(Some(Next::Gone)),
                // What is left of a copy that the server gave up on.
                b'd' | b'c' | b'f' => {}
                other => return Err(Bad::Unexpected(char::from(other))),
            }
        }
        Ok(None)
    }

    fn end_batch(&mut self, frame: Frame) -> Result<Option<Next>, Bad> {
        if self.skipping {
            self.skipping = false;
            if self.held.is_none() {
                return Ok(Some(Next::Synced));
            }
        }
        self.batch.push(frame);
        let frames = std::mem::take(&mut self.batch);
        let context = &self.context;
        let classify = |sql: &str| context.classify(sql);
        let statements = &mut self.statements;
        let request = Request::batch(frames, statements, &context.catalog, classify)?;
        Ok(Some(Next::Request(request)))
    }

    /// Passes on what the server says to an idle session: notifications, or that it ends.
    async fn relay(&mut self) -> Result<Flow, front::Error> {
        let Some(held) = &mut self.held else {
            return Ok(Flow::On);
        };
        let mut ended = held.tainted;
        while let Ok(Some(frame)) = held.lent.back().buffered() {
            match frame.tag() {
                b'S' => {
                    if held.lent.back().take_status(&frame).is_some() {
                        self.front.out.extend_from_slice(&frame.0);
                    }
                }
                b'E' => ended = true,
                _ => self.front.out.extend_from_slice(&frame.0),
            }
        }
        if !ended {
            return Ok(Flow::On);
        }
        self.service.failed(held.lent.server());
        self.held = None;
        if self.state.pins().next().is_some() {
            reply::fatal(
                &mut self.front.out,
                "57P01",
                "the session's connection to its backend server was lost with its state",
            );
            return Ok(Flow::Close);
        }
        self.orphan();
        Ok(Flow::On)
    }

    /// The connection of the open transaction is gone: the server rolls it back, and the caller
    /// is told with its next statement.
    pub fn orphan(&mut self) {
        if self.state.transaction() != Transaction::Idle {
            self.orphaned = true;
            self.state.set_transaction(Transaction::Failed);
        }
    }

    fn turn_away(&mut self, bad: &Bad) {
        match bad {
            Bad::Frame(frame::Error::TooLong { size, limit }) => {
                let refusal = Refusal::MessageTooLarge {
                    size: *size,
                    limit: *limit,
                };
                reply::refusal(&mut self.front.out, &refusal);
            }
            bad => reply::fatal(&mut self.front.out, PROTOCOL_VIOLATION, &bad.to_string()),
        }
    }

    /// Gives up the backend connection of a session that has ended.
    fn let_go(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        let stopped = self.context.shared.stop().phase() == Phase::Stopped;
        if self.state.pins().next().is_none() && !stopped {
            tokio::spawn(held.abandon());
        }
    }
}

fn gone(received: std::io::Result<()>) -> Option<Next> {
    received.is_err().then_some(Next::Gone)
}
