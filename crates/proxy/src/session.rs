//! A caller's session: reads statements and answers them until the session ends.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flamingopost_core::key::TeamKey;
use flamingopost_core::position::Position;
use flamingopost_core::retry::budget::Budget;
use flamingopost_core::serving_contact::Next;
use slotmap::Key as _;

use crate::attempt::TransactionFrame;
use crate::caller_connection::{self, CallerConnection};
use crate::caller_state::CallerState;
use crate::codec::Codec;
use crate::fleet::{Fleet, ServingHost, rendezvous_hash};
use crate::gate::{Gate, NO_TEAM};
use crate::host::Stop;
use crate::message::{Access, Code, Query, Request, Shape, Statement, Transaction};
use crate::meter::{self, Contact, StatementEnd};
use crate::rejection::Reason;
use crate::relay::{self, Relay};
use crate::server_connection::ServerConnection;
use crate::site::Site;

mod placement;
mod respond;
mod transaction;

use placement::{Answered, Plan, StatementResult};
use transaction::OpenTransaction;

/// Reason given while this host is out of contact with most other hosts: the primary could be
/// replaced without this host's knowledge, and writes that the old primary then acknowledges would
/// be lost.
const OUT_OF_TOUCH: &str = "this host is out of touch with most others";

/// Reason given when a write was answered by a primary whose successor may already lead.
const REPLACED: &str = "the primary that answered is being replaced";

/// Reason given when a write was run by a primary that has lost the service's log.
const LOG_LOST: &str = "the primary that answered has lost its log";

/// Time limit for a caller to name its database.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a host that relays a session to close it once it was told that the session has ended.
const RELAY_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// State shared by all sessions.
pub struct Context<C: Codec> {
    /// The host.
    pub site: Rc<Site>,
    /// The fleet.
    pub fleet: Rc<Fleet<C>>,
    /// Signals the shutdown of the host.
    pub stop: Rc<Stop>,
}

impl<C: Codec> Context<C> {
    /// Counts a rejected request of `team` on `database`.
    pub fn count_rejection(&self, reason: Reason, database: &str, team: TeamKey) {
        let route = self.fleet.route(database);
        let service = route.map(|(_, service)| service.name.clone());
        let in_contact = self
            .fleet
            .with_quorum(|quorum, now| quorum.holds_lease(now));
        let contact = match in_contact {
            true => Contact::Majority,
            false => Contact::Minority,
        };
        meter::rejection(reason, service, self.fleet.team_label(team), contact);
    }
}

/// One caller's session.
pub struct Session<C: Codec> {
    context: Rc<Context<C>>,
    caller: CallerConnection<C>,
    database: String,
    gate: Gate<C>,
    caller_state: CallerState,
    /// The newest position that the session has written or read, by service.
    seen_positions: BTreeMap<String, Position>,
    transaction: TransactionState<C>,
    retry_budget: Budget,
    /// Value of the host's move counter when this session began. Outside of a transaction, the
    /// session ends once the counter is higher.
    moves: u64,
    relay_policy: RelayPolicy,
}

enum TransactionState<C: Codec> {
    Idle,
    /// Begun by the caller, but not yet opened at a server.
    Begun(PendingTransaction),
    Open(Box<OpenTransaction<C>>),
    /// The transaction has failed and can only be ended.
    Failed,
}

#[derive(Debug, Clone)]
struct PendingTransaction {
    access: Access,
    /// When the caller's `BEGIN` was read.
    begun_at: Duration,
}

/// Whether a session may be relayed to another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayPolicy {
    /// The session may be served here or relayed to another host of the zone.
    Allowed,
    /// The session must be served here, because another host has relayed it.
    Never,
}

/// Whether a session continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    Close,
}

enum SessionEvent {
    Request(Option<Request>),
    Idle,
    Stop,
}

impl<C: Codec> Session<C> {
    /// Serves `caller` until the caller or this host ends the session.
    ///
    /// # Errors
    /// The caller's connection is lost, or the caller sent an invalid message.
    pub async fn serve(
        context: Rc<Context<C>>,
        mut caller: CallerConnection<C>,
        relay_policy: RelayPolicy,
    ) -> Result<(), caller_connection::Error> {
        let started = tokio::time::timeout(STARTUP_TIMEOUT, caller.request()).await;
        let (database, credential) = match started {
            Ok(Ok(Some(Request::Startup { meant, .. }))) if context.fleet.is_server(&meant) => {
                context.count_rejection(Reason::InvalidRequest, "", TeamKey::default());
                caller.error(Code::Misrouted, b"this is no server");
                return caller.close().await;
            }
            Ok(Ok(Some(Request::Startup {
                database,
                credential,
                ..
            }))) => (database, credential),
            Ok(Ok(None)) | Err(_) => return Ok(()),
            Ok(Ok(Some(_))) => {
                let reason = b"a session starts with the name of its database";
                context.count_rejection(Reason::InvalidRequest, "", TeamKey::default());
                caller.error(Code::Malformed, reason);
                return caller.close().await;
            }
            Ok(Err(error)) => {
                if let caller_connection::Error::Codec(_) = error {
                    context.count_rejection(Reason::InvalidRequest, "", TeamKey::default());
                }
                return caller.reject(error).await;
            }
        };
        let database = String::from_utf8_lossy(&database).into_owned();
        if context.fleet.version() == 0 {
            context.count_rejection(Reason::NoConfiguration, &database, TeamKey::default());
            caller.error(Code::Busy, b"not run: this host has no configuration yet");
            return caller.close().await;
        }
        if context.fleet.route(&database).is_none() {
            context.count_rejection(Reason::UnknownDatabase, &database, TeamKey::default());
            caller.error(Code::NoDatabase, b"there is no such database");
            return caller.close().await;
        }
        let authenticated = match relay_policy {
            RelayPolicy::Allowed => Gate::authenticate(&context, &database, &credential),
            RelayPolicy::Never => Ok(Gate::relayed(&context, &database, &credential)),
        };
        let gate = match authenticated {
            Ok(gate) => gate,
            Err(refusal) => {
                caller.error(refusal.code, refusal.reason.as_bytes());
                return caller.close().await;
            }
        };
        if relay_policy == RelayPolicy::Allowed
            && let Some(peer) = connect_to_home(&context, &database, gate.team()).await
        {
            caller.ready(Transaction::Idle, None);
            caller.flush().await?;
            let relay = Relay::new(context, database, caller, peer, gate);
            return relay.run().await;
        }
        caller.ready(Transaction::Idle, None);
        caller.flush().await?;
        let moves = context.stop.moves();
        let session = Session {
            moves,
            context,
            caller,
            database,
            gate,
            caller_state: CallerState::default(),
            seen_positions: BTreeMap::new(),
            transaction: TransactionState::Idle,
            retry_budget: Budget::retries(),
            relay_policy,
        };
        session.run().await
    }

    async fn run(mut self) -> Result<(), caller_connection::Error> {
        loop {
            let event = match self.next_event().await {
                Ok(event) => event,
                Err(error) => {
                    self.abandon();
                    if let caller_connection::Error::Codec(_) = error {
                        self.count_rejection(Reason::InvalidRequest);
                    }
                    return self.caller.reject(error).await;
                }
            };
            let flow = match event {
                SessionEvent::Request(Some(Request::Query(query))) => self.query(&query).await?,
                SessionEvent::Request(Some(Request::Startup { .. })) => {
                    let reason = b"the session has started already";
                    self.refuse(Code::Malformed, Reason::InvalidRequest, reason);
                    Flow::Continue
                }
                SessionEvent::Request(Some(Request::Terminate) | None) => Flow::Close,
                SessionEvent::Stop => return self.stop().await,
                SessionEvent::Idle => {
                    self.abandon();
                    Flow::Continue
                }
            };
            if flow == Flow::Close {
                break;
            }
            self.caller.flush().await?;
        }
        self.abandon();
        self.caller.close().await
    }

    /// Ends the session on this host's initiative. A host that relays the session may have sent its next
    /// statement just now: it is told that nothing further is run, which answers that statement.
    async fn stop(mut self) -> Result<(), caller_connection::Error> {
        self.abandon();
        if self.relay_policy == RelayPolicy::Allowed {
            return self.caller.close().await;
        }
        self.caller.error(Code::Aborted, relay::SESSION_ENDED);
        self.caller.ready(Transaction::Idle, None);
        self.caller.close_gracefully(RELAY_CLOSE_TIMEOUT).await
    }

    async fn next_event(&mut self) -> Result<SessionEvent, caller_connection::Error> {
        let stop = Rc::clone(&self.context.stop);
        let open = match self.transaction {
            TransactionState::Idle | TransactionState::Failed => false,
            TransactionState::Begun(_) | TransactionState::Open(_) => true,
        };
        let configuration = self.context.fleet.configuration();
        let max_idle = configuration.map_or(Duration::MAX, |config| config.transaction_idle);
        if open {
            return tokio::select! {
                biased;
                request = self.caller.request() => Ok(SessionEvent::Request(request?)),
                () = tokio::time::sleep(max_idle.min(caller_connection::MAX_TRANSACTION_IDLE)) =>
                    Ok(SessionEvent::Idle),
                () = stop.transactions_must_end() => Ok(SessionEvent::Stop),
            };
        }
        tokio::select! {
            biased;
            request = self.caller.request() => Ok(SessionEvent::Request(request?)),
            () = stop.sessions_must_end(self.moves) => Ok(SessionEvent::Stop),
        }
    }

    async fn query(&mut self, query: &Query) -> Result<Flow, caller_connection::Error> {
        if matches!(self.transaction, TransactionState::Idle)
            && let Err(refusal) = self.gate.admit(query).await
        {
            self.caller.refuse(&refusal);
            return Ok(match refusal.ends_session {
                true => Flow::Close,
                false => Flow::Continue,
            });
        }
        match &query.statement {
            Statement::Begin(access) => self.begin(*access),
            Statement::Commit => self.commit(query).await,
            Statement::Rollback => self.rollback(),
            Statement::Run(access) => self.statement(query, *access, None).await,
            Statement::Execute { name, arguments } => {
                let Some(shape) = self.caller_state.prepared(name).cloned() else {
                    self.refuse_unprepared();
                    return Ok(Flow::Continue);
                };
                let prepared = Some((&shape, arguments));
                self.statement(query, shape.access, prepared).await;
            }
            Statement::Set { name, value } => {
                let kept = self.caller_state.set(name, value);
                self.acknowledge_state(kept);
            }
            Statement::Prepare { name, shape } => {
                let kept = self.caller_state.prepare(name, shape);
                self.acknowledge_state(kept);
            }
            Statement::Deallocate { name } => match self.caller_state.deallocate(name) {
                true => self.acknowledge(),
                false => self.refuse_unprepared(),
            },
            Statement::Unknown => self.refuse(
                Code::Malformed,
                Reason::InvalidRequest,
                b"no such statement",
            ),
        }
        Ok(Flow::Continue)
    }

    fn begin(&mut self, access: Access) {
        match self.transaction {
            TransactionState::Idle => {
                let begun_at = self.context.site.now();
                self.transaction = TransactionState::Begun(PendingTransaction { access, begun_at });
                self.acknowledge();
            }
            _ => {
                let reason = b"a transaction is open already";
                self.refuse(Code::Malformed, Reason::InvalidRequest, reason)
            }
        }
    }

    fn rollback(&mut self) {
        match std::mem::replace(&mut self.transaction, TransactionState::Idle) {
            TransactionState::Idle => self.refuse_outside_transaction(),
            TransactionState::Begun(_) | TransactionState::Failed => self.acknowledge(),
            TransactionState::Open(open) => {
                open.roll_back();
                self.acknowledge();
            }
        }
    }

    async fn commit(&mut self, query: &Query) {
        match std::mem::replace(&mut self.transaction, TransactionState::Idle) {
            TransactionState::Idle => self.refuse_outside_transaction(),
            TransactionState::Failed => {
                let reason = b"the transaction was rolled back";
                self.refuse(Code::Aborted, Reason::TransactionFailed, reason)
            }
            TransactionState::Begun(begun) => {
                self.first_statement(query, begun, Access::Read, None).await;
                // An error has ended the transaction, or success has committed it.
                self.transaction = TransactionState::Idle;
            }
            TransactionState::Open(open) => self.commit_open(query, open).await,
        }
    }

    async fn statement(
        &mut self,
        query: &Query,
        access: Access,
        prepared: Option<(&Shape, &Bytes)>,
    ) {
        match std::mem::replace(&mut self.transaction, TransactionState::Idle) {
            TransactionState::Idle => self.single_statement(query, access, prepared).await,
            TransactionState::Begun(begun) => {
                self.first_statement(query, begun, access, prepared).await
            }
            TransactionState::Open(open) => {
                self.further_statement(query, open, access, prepared).await
            }
            TransactionState::Failed => {
                self.transaction = TransactionState::Failed;
                let reason = b"the transaction has failed";
                self.refuse(Code::Malformed, Reason::TransactionFailed, reason);
            }
        }
    }

    /// Runs a statement outside of any transaction.
    async fn single_statement(
        &mut self,
        query: &Query,
        access: Access,
        prepared: Option<(&Shape, &Bytes)>,
    ) {
        let arrived = self.context.site.now();
        let Some((route, _)) = self.context.fleet.route(&self.database) else {
            self.refuse_without_route();
            return;
        };
        let plan = Plan {
            access,
            frame: TransactionFrame::Bare,
            operation_start: arrived,
            arrived,
            deadline: arrived + route.timeout,
        };
        match self.run_with_retries(query, &plan, prepared).await {
            StatementResult::Answered(answered) => {
                let Answered {
                    outcome,
                    connection,
                    service,
                    by_primary,
                } = *answered;
                if access == Access::Write || by_primary {
                    self.record_seen(&service, outcome.position);
                }
                if access == Access::Write && outcome.end.is_ok() {
                    service.record_acknowledgement(&query.id, outcome.position);
                }
                self.record_seen(&service, outcome.position.filter(|_| outcome.end.is_ok()));
                let end = if by_primary {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
                self.deliver(&outcome, Transaction::Idle, end, arrived);
                connection.return_to_pool();
            }
            StatementResult::NotRun(code, why, reason) => {
                self.report_error(query, code, Some(why), &reason, arrived)
            }
            StatementResult::InDoubt(code, reason) => {
                let code = match access {
                    Access::Read => code,
                    Access::Write => Code::InDoubt,
                };
                self.report_error(query, code, None, &reason, arrived);
            }
        }
    }

    /// Ends the open transaction on this host's initiative.
    fn abandon(&mut self) {
        match std::mem::replace(&mut self.transaction, TransactionState::Failed) {
            TransactionState::Idle => self.transaction = TransactionState::Idle,
            TransactionState::Begun(_) | TransactionState::Failed => {}
            TransactionState::Open(open) => open.roll_back(),
        }
    }
}

/// Returns the number of the serving host at which a session of `team` is tried first.
///
/// Sessions of no team are distributed over the serving hosts in turn. Those of a team go to the same
/// one, where the connections that serve the team are: at a random one of several, more connections
/// would be opened for one session and closed for the next.
fn first_home<C: Codec>(context: &Context<C>, team: TeamKey) -> usize {
    match team.is_null() {
        true => usize::try_from(context.site.next_id()).unwrap_or_default(),
        false => {
            let order = rendezvous_hash("home", &context.site.client_name(team));
            // Any part of the hash will do.
            order as usize
        }
    }
}

/// Connects to a host that serves `database` on behalf of this host, for a caller of `team`. Returns
/// `None` if this host serves it, or if no such host could be reached for a while.
async fn connect_to_home<C: Codec>(
    context: &Context<C>,
    database: &str,
    team: TeamKey,
) -> Option<ServerConnection<C>> {
    loop {
        let (route, service) = context.fleet.route(database)?;
        // Without the list of hosts, this host cannot tell whether it serves the service.
        if context.fleet.knows_hosts() {
            let homes = context.fleet.serving_hosts(&route.service)?;
            if homes.contains(&ServingHost::Local) {
                return None;
            }
            if let Some(peer) = try_homes(context, database, team, &homes).await {
                service.serving_contact.borrow_mut().record_success();
                return Some(peer);
            }
        }
        let now = context.site.now();
        let next = service.serving_contact.borrow_mut().record_failure(now);
        match next {
            Next::RetryAfter(pause) => tokio::time::sleep(pause).await,
            Next::ServeHere => return None,
        }
    }
}

/// Connects to the first of `homes` that answers.
async fn try_homes<C: Codec>(
    context: &Context<C>,
    database: &str,
    team: TeamKey,
    homes: &[ServingHost],
) -> Option<ServerConnection<C>> {
    let name = match team.is_null() && context.fleet.has_teams() {
        true => NO_TEAM.to_owned(),
        // Without teams, it is the name of this host.
        false => context.site.client_name(team),
    };
    let first = first_home(context, team);
    for place in 0..homes.len() {
        if let ServingHost::Remote(address) = homes[(first.wrapping_add(place)) % homes.len()]
            && let Some(peer) = relay::open(context, database, &name, address).await
        {
            return Some(peer);
        }
    }
    None
}
