//! One caller's session: the loop from statement to statement.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flamingopost_core::position::Position;
use flamingopost_core::retry::budget::Budget;

use crate::attempt::Frame;
use crate::back::Back;
use crate::carry::Carry;
use crate::codec::Codec;
use crate::fleet::{Fleet, ServingHost};
use crate::front::{self, Front};
use crate::host::Stop;
use crate::message::{Access, Code, Query, Request, Shape, Statement, Transaction};
use crate::meter::StatementEnd;
use crate::relay::{self, Relay};
use crate::site::Site;

mod place;
mod tell;
mod transaction;

use place::{Answered, Plan, Served};
use transaction::Open;

/// Told while most other hosts are silent: the primary may be about to be replaced without this
/// host hearing of it, and what it acknowledges then is lost.
const OUT_OF_TOUCH: &str = "this host is out of touch with most others";

/// Told where a write was answered by a primary whose successor may lead already.
const REPLACED: &str = "the primary that answered is being replaced";

/// Why a write is not acknowledged that a primary has run without the service's log.
const LOG_LOST: &str = "the primary that answered has lost its log";

/// How long a caller may take to say which database it wants.
const STARTUP: Duration = Duration::from_secs(5);

/// What sessions share.
pub struct Context<C: Codec> {
    /// The host.
    pub site: Rc<Site>,
    /// The fleet.
    pub fleet: Rc<Fleet<C>>,
    /// How the host is told to end.
    pub stop: Rc<Stop>,
}

/// One caller's session.
pub struct Session<C: Codec> {
    context: Rc<Context<C>>,
    front: Front<C>,
    database: String,
    carry: Carry,
    /// What the session has written or seen, by service.
    seen: BTreeMap<String, Position>,
    transaction: State<C>,
    retries: Budget,
    /// How often sessions had been asked to move when this one began.
    moves: u64,
}

enum State<C: Codec> {
    Idle,
    /// Opened by the caller; no server knows of it yet.
    Begun(Begun),
    Open(Box<Open<C>>),
    /// It failed: only its end is left.
    Failed,
}

#[derive(Debug, Clone)]
struct Begun {
    access: Access,
    /// When the caller's `BEGIN` was read.
    at: Duration,
}

/// Where a session may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Here, or by another host of the zone.
    Any,
    /// Here: another host has passed it on.
    Here,
}

/// Whether a session goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    On,
    Close,
}

enum Incoming {
    Request(Option<Request>),
    Idle,
    Stop,
}

impl<C: Codec> Session<C> {
    /// Serves the caller behind `front` until one of both ends the session.
    ///
    /// # Errors
    /// The caller's connection is lost, or it cannot be understood.
    pub async fn serve(
        context: Rc<Context<C>>,
        mut front: Front<C>,
        place: Place,
    ) -> Result<(), front::Error> {
        let started = tokio::time::timeout(STARTUP, front.request()).await;
        let database = match started {
            Ok(Ok(Some(Request::Startup { database }))) => database,
            Ok(Ok(None)) | Err(_) => return Ok(()),
            Ok(Ok(Some(_))) => {
                let reason = b"a session starts with the name of its database";
                front.error(Code::Malformed, reason);
                return front.close().await;
            }
            Ok(Err(error)) => return front.reject(error).await,
        };
        let database = String::from_utf8_lossy(&database).into_owned();
        if context.fleet.version() == 0 {
            front.error(Code::Busy, b"not run: this host has no configuration yet");
            return front.close().await;
        }
        if context.fleet.route(&database).is_none() {
            front.error(Code::NoDatabase, b"there is no such database");
            return front.close().await;
        }
        if place == Place::Any
            && let Some(back) = elsewhere(&context, &database).await
        {
            front.ready(Transaction::Idle, None);
            front.flush().await?;
            let relay = Relay::new(context, database, front, back);
            return relay.run().await;
        }
        front.ready(Transaction::Idle, None);
        front.flush().await?;
        let moves = context.stop.moves();
        let session = Session {
            moves,
            context,
            front,
            database,
            carry: Carry::default(),
            seen: BTreeMap::new(),
            transaction: State::Idle,
            retries: Budget::retries(),
        };
        session.run().await
    }

    async fn run(mut self) -> Result<(), front::Error> {
        loop {
            let incoming = match self.next().await {
                Ok(incoming) => incoming,
                Err(error) => {
                    self.abandon();
                    return self.front.reject(error).await;
                }
            };
            let flow = match incoming {
                Incoming::Request(Some(Request::Query(query))) => self.query(&query).await?,
                Incoming::Request(Some(Request::Startup { .. })) => {
                    self.refuse(Code::Malformed, b"the session has started already");
                    Flow::On
                }
                Incoming::Request(Some(Request::Terminate) | None) | Incoming::Stop => Flow::Close,
                Incoming::Idle => {
                    self.abandon();
                    Flow::On
                }
            };
            if flow == Flow::Close {
                break;
            }
            self.front.flush().await?;
        }
        self.abandon();
        self.front.close().await
    }

    async fn next(&mut self) -> Result<Incoming, front::Error> {
        let stop = Rc::clone(&self.context.stop);
        let open = match self.transaction {
            State::Idle | State::Failed => false,
            State::Begun(_) | State::Open(_) => true,
        };
        let idle = self.context.fleet.configuration();
        let idle = idle.map_or(Duration::MAX, |it| it.transaction_idle);
        if open {
            return tokio::select! {
                biased;
                request = self.front.request() => Ok(Incoming::Request(request?)),
                () = tokio::time::sleep(idle.min(front::IDLE_MOST)) => Ok(Incoming::Idle),
                () = stop.transactions_must_end() => Ok(Incoming::Stop),
            };
        }
        tokio::select! {
            biased;
            request = self.front.request() => Ok(Incoming::Request(request?)),
            () = stop.sessions_must_end(self.moves) => Ok(Incoming::Stop),
        }
    }

    async fn query(&mut self, query: &Query) -> Result<Flow, front::Error> {
        match &query.statement {
            Statement::Begin(access) => self.begin(*access),
            Statement::Commit => self.commit(query).await,
            Statement::Rollback => self.rollback(),
            Statement::Run(access) => self.statement(query, *access, None).await,
            Statement::Execute { name, arguments } => {
                let Some(shape) = self.carry.prepared(name).cloned() else {
                    self.refuse(Code::NoStatement, b"no statement was prepared by this name");
                    return Ok(Flow::On);
                };
                let prepared = Some((&shape, arguments));
                self.statement(query, shape.access, prepared).await;
            }
            Statement::Set { name, value } => {
                self.carry.set(name.clone(), value.clone());
                self.acknowledge();
            }
            Statement::Prepare { name, shape } => {
                self.carry.prepare(name.clone(), shape.clone());
                self.acknowledge();
            }
            Statement::Deallocate { name } => match self.carry.deallocate(name) {
                true => self.acknowledge(),
                false => self.refuse(Code::NoStatement, b"no statement was prepared by this name"),
            },
            Statement::Unknown => self.refuse(Code::Malformed, b"no such statement"),
        }
        Ok(Flow::On)
    }

    fn begin(&mut self, access: Access) {
        match self.transaction {
            State::Idle => {
                let at = self.context.site.now();
                self.transaction = State::Begun(Begun { access, at });
                self.acknowledge();
            }
            _ => self.refuse(Code::Malformed, b"a transaction is open already"),
        }
    }

    fn rollback(&mut self) {
        match std::mem::replace(&mut self.transaction, State::Idle) {
            State::Idle => self.refuse(Code::Malformed, b"no transaction is open"),
            State::Begun(_) | State::Failed => self.acknowledge(),
            State::Open(open) => {
                open.roll_back();
                self.acknowledge();
            }
        }
    }

    async fn commit(&mut self, query: &Query) {
        match std::mem::replace(&mut self.transaction, State::Idle) {
            State::Idle => self.refuse(Code::Malformed, b"no transaction is open"),
            State::Failed => self.refuse(Code::Aborted, b"the transaction was rolled back"),
            State::Begun(begun) => {
                self.first(query, begun, Access::Read, None).await;
                // An error has closed the transaction, and success has committed it.
                self.transaction = State::Idle;
            }
            State::Open(open) => self.commit_open(query, open).await,
        }
    }

    async fn statement(
        &mut self,
        query: &Query,
        access: Access,
        prepared: Option<(&Shape, &Bytes)>,
    ) {
        match std::mem::replace(&mut self.transaction, State::Idle) {
            State::Idle => self.single(query, access, prepared).await,
            State::Begun(begun) => self.first(query, begun, access, prepared).await,
            State::Open(open) => self.further(query, open, access, prepared).await,
            State::Failed => {
                self.transaction = State::Failed;
                self.refuse(Code::Malformed, b"the transaction has failed");
            }
        }
    }

    /// A statement outside of any transaction.
    async fn single(&mut self, query: &Query, access: Access, prepared: Option<(&Shape, &Bytes)>) {
        let arrived = self.context.site.now();
        let Some((route, _)) = self.context.fleet.route(&self.database) else {
            self.refuse(Code::NoDatabase, b"there is no such database any more");
            return;
        };
        let plan = Plan {
            access,
            frame: Frame::Bare,
            since: arrived,
            arrived,
            deadline: arrived + route.timeout,
        };
        match self.place(query, &plan, prepared).await {
            Served::Answered(answered) => {
                let Answered {
                    outcome,
                    lent,
                    service,
                    led,
                } = *answered;
                if access == Access::Write || led {
                    self.saw(&service, outcome.position);
                }
                if access == Access::Write && outcome.end.is_ok() {
                    service.acknowledged(&query.id, outcome.position);
                }
                self.saw(&service, outcome.position.filter(|_| outcome.end.is_ok()));
                let end = if led {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
                self.deliver(&outcome, Transaction::Idle, end, arrived);
                lent.give_back();
            }
            Served::NotRun(code, reason) => self.tell(query, code, &reason, arrived),
            Served::InDoubt(code, reason) => {
                let code = match access {
                    Access::Read => code,
                    Access::Write => Code::InDoubt,
                };
                self.tell(query, code, &reason, arrived);
            }
        }
    }

    /// Ends the open transaction on this host's own account.
    fn abandon(&mut self) {
        match std::mem::replace(&mut self.transaction, State::Failed) {
            State::Idle => self.transaction = State::Idle,
            State::Begun(_) | State::Failed => {}
            State::Open(open) => open.roll_back(),
        }
    }
}

/// A session at a host that serves `database` for this one, if there is one that can be reached.
async fn elsewhere<C: Codec>(context: &Context<C>, database: &str) -> Option<Back<C>> {
    let (route, _) = context.fleet.route(database)?;
    let homes = context.fleet.serving_hosts(&route.service)?;
    if homes.contains(&ServingHost::Local) {
        return None;
    }
    let first = usize::try_from(context.site.next_id()).unwrap_or_default();
    for place in 0..homes.len() {
        // Sessions take turns among the hosts that serve.
        if let ServingHost::Remote(address) = homes[(first + place) % homes.len()]
            && let Some(back) = relay::open(context, database, address).await
        {
            return Some(back);
        }
    }
    None
}
