//! One caller's session: the loop from statement to statement.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flamingopost_core::dispatch::{Need, Ticket, Unserved};
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::refusal::Ran as Run;
use flamingopost_core::retry::budget::Budget;
use flamingopost_core::retry::{self, Attempt};

use crate::attempt::{self, Frame, Job, Ran};
use crate::back::{Back, Outcome};
use crate::carry::Carry;
use crate::codec::Codec;
use crate::event::Event;
use crate::fleet::{Fleet, Home};
use crate::front::{self, Front};
use crate::host::Stop;
use crate::message::{Access, Code, Command, Query, Request, Shape, Statement, Transaction};
use crate::meter::{self, End};
use crate::relay::{self, Relay};
use crate::route::{Consistency, Route};
use crate::service::{Lent, Service, Site};

/// Further attempts at a statement that did not run. Each takes a round trip, and the deadline
/// of the statement ends them before the count does.
const RETRIES: u8 = 6;

/// Taken off the age that a read accepts: what passes between a caller's first byte and the
/// moment at which this host reads it, under load.
const AGE_MARGIN: Duration = Duration::from_millis(20);

/// A statement that takes this many times the average has probably lost its answer.
const OVERDUE: u32 = 8;

/// No answer is overdue before this: longer than a full queue of usual statements takes.
const OVERDUE_LEAST: Duration = Duration::from_millis(250);

/// Pause before a statement of an open transaction is sent again to a server without room.
const FULL_PAUSE: Duration = Duration::from_millis(10);

/// Told while most other hosts are silent: the primary may be about to be replaced without this
/// host hearing of it, and what it acknowledges then is lost.
const OUT_OF_TOUCH: &str = "this host is out of touch with most others";

/// How long a caller may take to say which database it wants.
const STARTUP: Duration = Duration::from_secs(5);

/// How long the end of a transaction that its caller has left may take at the server.
const ROLLBACK: Duration = Duration::from_millis(500);

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

struct Open<C: Codec> {
    lent: Lent<C>,
    service: Rc<Service<C>>,
    wrote: bool,
    /// Only a server that leads answers within it.
    led: bool,
}

/// Where a statement may run, and what surrounds it.
struct Plan {
    access: Access,
    frame: Frame,
    /// When its caller's operation was first read.
    since: Duration,
    /// When the statement was read.
    arrived: Duration,
    deadline: Duration,
}

/// How a statement ended that runs on a connection of its own choice.
enum Served<C: Codec> {
    Answered(Box<Answered<C>>),
    /// It did not run.
    NotRun(Code, String),
    /// It may have run.
    InDoubt(Code, String),
}

struct Answered<C: Codec> {
    outcome: Outcome,
    lent: Lent<C>,
    service: Rc<Service<C>>,
    led: bool,
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
            return Relay::new(context, front, back).run().await;
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
                () = stop.transactions() => Ok(Incoming::Stop),
            };
        }
        tokio::select! {
            biased;
            request = self.front.request() => Ok(Incoming::Request(request?)),
            () = stop.sessions(self.moves) => Ok(Incoming::Stop),
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
                self.saw(&service, outcome.position.filter(|_| outcome.end.is_ok()));
                let end = if led { End::Primary } else { End::Replica };
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

    /// The first statement of a transaction, or its end if it has none.
    async fn first(
        &mut self,
        query: &Query,
        begun: Begun,
        access: Access,
        prepared: Option<(&Shape, &Bytes)>,
    ) {
        let arrived = self.context.site.now();
        let Some((route, _)) = self.context.fleet.route(&self.database) else {
            self.transaction = State::Failed;
            self.refuse(Code::NoDatabase, b"there is no such database any more");
            return;
        };
        // What a server does not refuse for its role is not safe from a replaced primary: where
        // only current data will do, the transaction is opened for writing.
        let opens = match route.consistency {
            Consistency::Primary => Access::Write,
            Consistency::Bounded(_) | Consistency::Session(_) => begun.access,
        };
        let plan = Plan {
            access: opens.max(access.min(begun.access)),
            frame: Frame::Opens(opens),
            since: begun.at,
            arrived,
            deadline: arrived + route.timeout,
        };
        match self.place(query, &plan, prepared).await {
            Served::Answered(answered) => {
                let Answered {
                    outcome,
                    mut lent,
                    service,
                    led,
                } = *answered;
                let end = if led { End::Primary } else { End::Replica };
                let wrote = access == Access::Write;
                let transaction = outcome.transaction;
                self.transaction = match transaction {
                    Transaction::Idle => {
                        lent.give_back();
                        State::Idle
                    }
                    Transaction::Open | Transaction::Failed => {
                        lent.rest(true);
                        State::Open(Box::new(Open {
                            lent,
                            service,
                            wrote,
                            led,
                        }))
                    }
                };
                self.deliver(&outcome, transaction, end, arrived);
            }
            // Without its end, nothing of a transaction is kept.
            Served::NotRun(code, reason) | Served::InDoubt(code, reason) => {
                self.transaction = State::Failed;
                let code = match code.did_not_run() {
                    true => code,
                    false => Code::Aborted,
                };
                self.tell(query, code, &reason, arrived);
            }
        }
    }

    /// A further statement of an open transaction.
    async fn further(
        &mut self,
        query: &Query,
        mut open: Box<Open<C>>,
        access: Access,
        prepared: Option<(&Shape, &Bytes)>,
    ) {
        let arrived = self.context.site.now();
        open.wrote |= access == Access::Write;
        let job = Job {
            query,
            carry: &self.carry,
            prepared: prepared.map(|(shape, arguments)| (shape, &arguments[..])),
            frame: Frame::Bare,
            after: None,
        };
        open.lent.rest(false);
        let ran = insist(&mut open, &job, self.timeout()).await;
        match ran {
            Ran::Answered(outcome) => {
                let led = open.led && outcome.end.is_ok();
                let server = open.lent.server;
                open.service.heard(server, outcome.position, arrived, led);
                if let Err(fault) = &outcome.end
                    && fault.code == Code::ReadOnly
                {
                    open.service.does_not_lead(server);
                }
                let transaction = outcome.transaction;
                let end = if open.led { End::Primary } else { End::Replica };
                self.transaction = match transaction {
                    Transaction::Idle => {
                        open.lent.give_back();
                        State::Failed
                    }
                    Transaction::Open | Transaction::Failed => {
                        open.lent.rest(true);
                        State::Open(open)
                    }
                };
                let told = match self.transaction {
                    State::Failed => Transaction::Failed,
                    _ => transaction,
                };
                self.deliver(&outcome, told, end, arrived);
            }
            Ran::Refused(code) => {
                self.transaction = State::Failed;
                self.tell(query, code, "the server refused", arrived);
            }
            Ran::Unsent(error) | Ran::Unanswered(error) => {
                let server = open.lent.server;
                open.service.missed(server, &error, arrived);
                self.lost(query, &open.service, server, &error.to_string());
                self.transaction = State::Failed;
                self.tell(query, Code::Aborted, "its connection is lost", arrived);
            }
        }
    }

    async fn commit_open(&mut self, query: &Query, mut open: Box<Open<C>>) {
        let arrived = self.context.site.now();
        if open.wrote && !self.context.fleet.may_write() {
            open.roll_back();
            self.tell(query, Code::Aborted, OUT_OF_TOUCH, arrived);
            return;
        }
        let job = Job {
            query,
            carry: &self.carry,
            prepared: None,
            frame: Frame::Bare,
            after: None,
        };
        open.lent.rest(false);
        let ran = insist(&mut open, &job, self.timeout()).await;
        let server = open.lent.server;
        match ran {
            Ran::Answered(outcome)
                if open.wrote && outcome.end.is_ok() && !self.context.fleet.may_write() =>
            {
                open.service.heard(server, outcome.position, arrived, false);
                open.lent.give_back();
                self.doubt(query, &open.service, server, OUT_OF_TOUCH, arrived);
                self.tell(query, Code::InDoubt, OUT_OF_TOUCH, arrived);
            }
            Ran::Answered(outcome) => {
                let led = open.led && open.wrote && outcome.end.is_ok();
                open.service.heard(server, outcome.position, arrived, led);
                if let Err(fault) = &outcome.end
                    && fault.code == Code::ReadOnly
                {
                    open.service.does_not_lead(server);
                }
                self.saw(&open.service, outcome.position);
                let end = if open.led { End::Primary } else { End::Replica };
                self.deliver(&outcome, Transaction::Idle, end, arrived);
                if outcome.transaction == Transaction::Idle {
                    open.lent.give_back();
                }
            }
            Ran::Refused(code) => self.tell(query, code, "the server refused", arrived),
            Ran::Unsent(error) => {
                open.service.missed(server, &error, arrived);
                self.tell(query, Code::Aborted, "its connection is lost", arrived);
            }
            Ran::Unanswered(error) => {
                open.service.missed(server, &error, arrived);
                self.lost(query, &open.service, server, &error.to_string());
                let code = match open.wrote {
                    true => Code::InDoubt,
                    // It wrote nothing, so nothing can have been kept.
                    false => Code::Aborted,
                };
                self.tell(
                    query,
                    code,
                    "the end of the transaction has no answer",
                    arrived,
                );
            }
        }
    }

    /// Finds a server for a statement that is bound to none, again if it did not run there.
    async fn place(
        &mut self,
        query: &Query,
        plan: &Plan,
        prepared: Option<(&Shape, &Bytes)>,
    ) -> Served<C> {
        self.retries.fill();
        let site = Rc::clone(&self.context.site);
        let mut avoid = None;
        let mut count = 0;
        loop {
            count += 1;
            // The configuration may change while a statement waits for its next attempt.
            let Some((route, service)) = self.context.fleet.route(&self.database) else {
                let reason = "there is no such database any more".to_owned();
                return Served::NotRun(Code::NoDatabase, reason);
            };
            let writes = plan.access == Access::Write && plan.frame == Frame::Bare;
            if writes && !self.context.fleet.may_write() {
                return Served::NotRun(Code::Busy, OUT_OF_TOUCH.to_owned());
            }
            let need = self.need(plan, &route, &service);
            let priority = route.priority;
            let ticket = Ticket {
                id: site.next_id(),
                need,
                priority,
                long: matches!(plan.frame, Frame::Opens(_)),
                arrived: plan.arrived,
                goal: plan.since + route.goal,
                deadline: plan.deadline,
                avoid,
            };
            let mut lent = match service.acquire(ticket).await {
                Ok(lent) => lent,
                Err(unserved) => return unserved_as(unserved),
            };
            let server = lent.server;
            let frame = fence(plan.frame, plan.access, need);
            let after = match need {
                Need::Lead => None,
                Need::Position { position, .. } => {
                    Some(position).filter(|position| *position > Position::default())
                }
            };
            let job = Job {
                query,
                carry: &self.carry,
                prepared: prepared.map(|(shape, arguments)| (shape, &arguments[..])),
                frame,
                after,
            };
            let sent = site.now();
            let left = plan.deadline.saturating_sub(sent);
            let patience = overdue(service.average(server));
            let repeatable = plan.access == Access::Read || matches!(frame, Frame::Opens(_));
            let limit = match repeatable && patience < left / 2 && !self.retries.is_spent() {
                true => patience,
                false => left,
            };
            let ran = attempt::run(&mut lent, &job, limit).await;
            let led = need == Need::Lead;
            let (code, run, error) = match ran {
                Ran::Answered(outcome) => {
                    let code = outcome.end.as_ref().err().map(|fault| fault.code);
                    service.heard(server, outcome.position, sent, led && code.is_none());
                    if code.is_none() && writes && !self.context.fleet.may_write() {
                        lent.give_back();
                        let reason = OUT_OF_TOUCH.to_owned();
                        self.doubt(query, &service, server, &reason, plan.arrived);
                        return Served::InDoubt(Code::InDoubt, reason);
                    }
                    let Some(code) = code else {
                        service.took(server, site.now().saturating_sub(sent));
                        return Served::Answered(Box::new(Answered {
                            outcome,
                            lent,
                            service,
                            led,
                        }));
                    };
                    let ran = code.did_not_run();
                    if !ran && (plan.access == Access::Write || count > 1) {
                        return Served::Answered(Box::new(Answered {
                            outcome,
                            lent,
                            service,
                            led,
                        }));
                    }
                    let clean = outcome.transaction == Transaction::Idle || frame == Frame::Alone;
                    match clean {
                        true => lent.give_back(),
                        false => drop(lent),
                    }
                    let run = if ran { Run::No } else { Run::Yes };
                    (code, run, None)
                }
                Ran::Refused(code) => {
                    service.heard(server, None, sent, false);
                    lent.give_back();
                    (code, Run::No, None)
                }
                Ran::Unsent(error) => {
                    service.missed(server, &error, sent);
                    drop(lent);
                    (Code::Busy, Run::No, Some(error))
                }
                Ran::Unanswered(error) => {
                    service.missed(server, &error, sent);
                    drop(lent);
                    (Code::Timeout, Run::Unknown, Some(error))
                }
            };
            match (code, need) {
                (Code::ReadOnly, _) => service.does_not_lead(server),
                (Code::Lagging, Need::Position { at, .. }) => service.lags(server, at),
                (Code::Busy, _) if error.is_none() => service.full(server),
                _ => {}
            }
            let reason = match &error {
                Some(error) => error.to_string(),
                None => format!("{code:?}"),
            };
            let now = site.now();
            let next = self.again(plan, count, run, code, repeatable, now);
            let retry::Next::Again(wait) = next else {
                return match run {
                    Run::No => Served::NotRun(code, reason),
                    Run::Unknown | Run::Yes => {
                        self.doubt(query, &service, server, &reason, plan.arrived);
                        Served::InDoubt(code, reason)
                    }
                };
            };
            site.log(&Event::Retried {
                id: text(&query.id),
                database: self.database.clone(),
                reason,
                server: service.name_of(Some(server)),
                attempt: count,
                millis: now.saturating_sub(plan.arrived).as_millis(),
            });
            if code != Code::ReadOnly {
                avoid = Some(server).filter(|_| plan.access == Access::Read && !led);
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn again(
        &mut self,
        plan: &Plan,
        count: u8,
        run: Run,
        code: Code,
        repeatable: bool,
        now: Duration,
    ) -> retry::Next {
        let failure = match code {
            Code::Malformed | Code::NoDatabase | Code::Misrouted => retry::Failure::Always,
            Code::Busy => retry::Failure::Everywhere,
            _ => retry::Failure::Here,
        };
        let run = match (run, repeatable) {
            // A read that ran and failed may be asked of another server.
            (Run::Yes, true) => Run::Unknown,
            (run, _) => run,
        };
        let attempt = Attempt {
            count,
            failure,
            ran: run,
            repeatable,
            retries: RETRIES,
            deadline: plan.deadline,
            expected: Duration::ZERO,
            dice: rand::random(),
        };
        match code {
            // Where to send it was not known well enough: that costs a server nothing.
            Code::Lagging | Code::ReadOnly => retry::decide(&attempt, &mut Budget::retries(), now),
            _ => retry::decide(&attempt, &mut self.retries, now),
        }
    }

    /// Who may run a statement of `plan`.
    fn need(&self, plan: &Plan, route: &Route, service: &Rc<Service<C>>) -> Need {
        if plan.access == Access::Write {
            return Need::Lead;
        }
        let Some(age) = route.consistency.max_age() else {
            return Need::Lead;
        };
        let since = plan.since.saturating_sub(age.saturating_sub(AGE_MARGIN));
        let seen = self.seen.get(&service.name).copied().unwrap_or_default();
        service.need(since, seen)
    }

    fn saw(&mut self, service: &Service<C>, position: Option<Position>) {
        if let Some(position) = position {
            let seen = self.seen.entry(service.name.clone()).or_default();
            *seen = (*seen).max(position);
        }
    }

    fn timeout(&self) -> Duration {
        let route = self.context.fleet.route(&self.database);
        route.map_or(front::TIMEOUT, |(route, _)| route.timeout)
    }

    fn deliver(&mut self, outcome: &Outcome, transaction: Transaction, end: End, since: Duration) {
        for row in &outcome.rows {
            self.front.row(row);
        }
        let end = match &outcome.end {
            Ok(proof) => {
                self.front.complete(Some(proof));
                end
            }
            Err(fault) => {
                self.front.error(fault.code, &fault.text);
                End::Error(fault.code)
            }
        };
        self.front.ready(transaction, outcome.position);
        let took = self.context.site.now().saturating_sub(since);
        meter::statement(&self.database, end, took);
    }

    /// Tells the caller an error of this host's own, and logs why.
    fn tell(&mut self, query: &Query, code: Code, reason: &str, since: Duration) {
        let took = self.context.site.now().saturating_sub(since);
        let route = self.context.fleet.route(&self.database);
        let leader = route.map(|(_, service)| service.name_of(service.leader()));
        self.context.site.log(&Event::Refused {
            id: text(&query.id),
            database: self.database.clone(),
            reason: format!("{code:?}: {reason}"),
            millis: took.as_millis(),
            leader: leader.unwrap_or_default(),
            version: self.context.fleet.version(),
        });
        meter::statement(&self.database, End::Error(code), took);
        self.refuse(code, reason.as_bytes());
    }

    fn lost(&self, query: &Query, service: &Service<C>, server: ServerKey, reason: &str) {
        self.context.site.log(&Event::TransactionLost {
            id: text(&query.id),
            database: self.database.clone(),
            server: service.name_of(Some(server)),
            reason: reason.to_owned(),
        });
    }

    fn doubt(
        &self,
        query: &Query,
        service: &Service<C>,
        server: ServerKey,
        reason: &str,
        since: Duration,
    ) {
        let took = self.context.site.now().saturating_sub(since);
        self.context.site.log(&Event::InDoubt {
            id: text(&query.id),
            database: self.database.clone(),
            reason: reason.to_owned(),
            server: service.name_of(Some(server)),
            millis: took.as_millis(),
        });
    }

    fn refuse(&mut self, code: Code, reason: &[u8]) {
        self.front.error(code, reason);
        let told = self.told();
        self.front.ready(told, None);
    }

    fn acknowledge(&mut self) {
        self.front.complete(None);
        let told = self.told();
        self.front.ready(told, None);
    }

    /// Whether a transaction is open, as the caller is told.
    fn told(&self) -> Transaction {
        match self.transaction {
            State::Idle => Transaction::Idle,
            State::Begun(_) | State::Open(_) => Transaction::Open,
            State::Failed => Transaction::Failed,
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

impl<C: Codec> Open<C> {
    /// Rolls the transaction back; the caller need not wait for it.
    fn roll_back(self: Box<Self>) {
        let mut lent = self.lent;
        if lent.pending() > 0 {
            return;
        }
        tokio::task::spawn_local(async move {
            lent.push(&Command::Rollback);
            let ended = tokio::time::timeout(ROLLBACK, async {
                lent.flush().await?;
                lent.outcome().await
            });
            if let Ok(Ok(outcome)) = ended.await
                && outcome.transaction == Transaction::Idle
            {
                lent.give_back();
            }
        });
    }
}

/// Runs a statement of an open transaction, again while the server has no room for it.
async fn insist<C: Codec>(open: &mut Open<C>, job: &Job<'_>, limit: Duration) -> Ran {
    let site = Rc::clone(&open.service.site);
    let deadline = site.now() + limit;
    loop {
        let left = deadline.saturating_sub(site.now());
        let ran = attempt::run(&mut open.lent, job, left).await;
        let full = match &ran {
            Ran::Answered(outcome) => {
                let busy = matches!(&outcome.end, Err(fault) if fault.code == Code::Busy);
                busy && outcome.transaction == Transaction::Open
            }
            _ => false,
        };
        if !full || left < FULL_PAUSE * 2 {
            return ran;
        }
        open.service.full(open.lent.server);
        tokio::time::sleep(FULL_PAUSE).await;
    }
}

/// After which time without an answer a statement is asked of another server, or again.
fn overdue(average: Duration) -> Duration {
    (average * OVERDUE).max(OVERDUE_LEAST)
}

/// What goes around a statement that needs `need`.
///
/// A server that was replaced as primary, and has not heard of it or has only just, goes on
/// answering reads outside of transactions that may write. Data that it lacks then show as an
/// answer that is too old. So whatever relies on a server's lead runs in such a transaction.
fn fence(frame: Frame, access: Access, need: Need) -> Frame {
    match (frame, access, need) {
        (Frame::Bare, Access::Read, Need::Lead) => Frame::Alone,
        (Frame::Opens(_), _, Need::Lead) => Frame::Opens(Access::Write),
        (frame, _, _) => frame,
    }
}

/// A session at a host that serves `database` for this one, if there is one that can be reached.
async fn elsewhere<C: Codec>(context: &Context<C>, database: &str) -> Option<Back<C>> {
    let (route, _) = context.fleet.route(database)?;
    let homes = context.fleet.homes(&route.service)?;
    if homes.contains(&Home::Here) {
        return None;
    }
    let first = usize::try_from(context.site.next_id()).unwrap_or_default();
    for place in 0..homes.len() {
        // Sessions take turns among the hosts that serve.
        if let Home::Peer(address) = homes[(first + place) % homes.len()]
            && let Some(back) = relay::open(context, database, address).await
        {
            return Some(back);
        }
    }
    None
}

fn unserved_as<C: Codec>(unserved: Unserved) -> Served<C> {
    match unserved {
        Unserved::Busy => Served::NotRun(Code::Busy, "no connection was free in time".to_owned()),
        Unserved::NoPrimary => Served::NotRun(
            Code::Busy,
            "the service has no primary at the moment".to_owned(),
        ),
        Unserved::Lagging => Served::NotRun(
            Code::Lagging,
            "no server that can be reached has data young enough".to_owned(),
        ),
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
