//! Selects a server for each statement that is not bound to a connection, and retries the
//! statement.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flamingopost_core::dispatch::{Need, Ticket, Unserved};
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::refusal::Ran as Run;
use flamingopost_core::retry::budget::Budget;
use flamingopost_core::retry::{self, Attempt};

use super::respond::text;
use super::{LOG_LOST, OUT_OF_TOUCH, REPLACED, Session};
use crate::attempt::{self, Job, RunResult, TransactionFrame};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::{Access, Code, Query, Shape, Transaction};
use crate::rejection::Reason;
use crate::route::Route;
use crate::server_connection::Outcome;
use crate::service::{PooledConnection, Service};

/// Maximum number of retries of a statement that did not run. Each takes a round trip; the
/// statement's deadline usually ends them first.
const MAX_RETRIES: u8 = 6;

/// Subtracted from the maximum age that a read accepts. Covers the time between a caller's first
/// byte and the moment when this host reads it under load.
const AGE_MARGIN: Duration = Duration::from_millis(20);

/// A statement that takes this many times the average duration has probably lost its answer.
const OVERDUE_FACTOR: u32 = 8;

/// Minimum time before an answer is overdue. Longer than a full queue of typical statements takes.
const MIN_OVERDUE: Duration = Duration::from_millis(250);

/// Requirements of a statement that selects its own connection.
pub(super) struct Plan {
    pub access: Access,
    pub frame: TransactionFrame,
    /// When the caller's operation was first read.
    pub operation_start: Duration,
    /// When the statement was read.
    pub arrived: Duration,
    pub deadline: Duration,
}

/// Whether the server of a connection may run a statement that needs the primary.
enum Confirmation {
    /// It may, and is known to have had no successor at this time. Any other statement may always run.
    At(Duration),
    /// Its successor may lead.
    Replaced,
    /// This host cannot tell.
    OutOfTouch,
}

/// Result of one attempt.
enum AttemptResult<C: Codec> {
    Final(StatementResult<C>),
    Failed(FailedAttempt<C>),
}

/// A failed attempt.
struct FailedAttempt<C: Codec> {
    service: Rc<Service<C>>,
    server: ServerKey,
    need: Need,
    code: Code,
    run: Run,
    repeatable: bool,
    /// Why the statement is rejected if it did not run and this was the last attempt.
    rejection: Reason,
    reason: String,
}

/// Circumstances of an attempt.
struct AttemptContext<C: Codec> {
    service: Rc<Service<C>>,
    need: Need,
    frame: TransactionFrame,
    repeatable: bool,
    sent: Duration,
    /// Time at which the primary that answers is known to have been current.
    confirmed_at: Duration,
    /// Why a write that the primary has answered is not acknowledged.
    withheld: Option<&'static str>,
    count: u8,
}

impl Plan {
    /// Reports whether this is a write outside of any transaction, which is permanent as soon as it
    /// has run.
    fn is_single_write(&self) -> bool {
        self.access == Access::Write && self.frame == TransactionFrame::Bare
    }
}

/// Result of a statement that selects its own connection.
pub(super) enum StatementResult<C: Codec> {
    Answered(Box<Answered<C>>),
    /// The statement did not run.
    NotRun(Code, Reason, String),
    /// The statement may have run.
    InDoubt(Code, String),
}

pub(super) struct Answered<C: Codec> {
    pub outcome: Outcome,
    pub connection: PooledConnection<C>,
    pub service: Rc<Service<C>>,
    pub by_primary: bool,
}

impl<C: Codec> Session<C> {
    /// Runs a statement that is not bound to a connection. Selects a server, and retries if the
    /// statement did not run there.
    pub(super) async fn run_with_retries(
        &mut self,
        query: &Query,
        plan: &Plan,
        prepared: Option<(&Shape, &Bytes)>,
    ) -> StatementResult<C> {
        self.retry_budget.record_request();
        let mut avoid = None;
        let mut count = 0;
        loop {
            count += 1;
            let failed = match self.attempt(query, plan, prepared, avoid, count).await {
                AttemptResult::Final(result) => return result,
                AttemptResult::Failed(failed) => failed,
            };
            let now = self.context.site.now();
            let retry::RetryDecision::Retry(wait) = self.decide_retry(plan, count, &failed, now)
            else {
                return self.give_up(query, plan, failed);
            };
            self.context.site.log(&Event::Retried {
                id: text(&query.id),
                database: self.database.clone(),
                reason: failed.reason,
                server: failed.service.name_of(Some(failed.server)),
                attempt: count,
                millis: now.saturating_sub(plan.arrived).as_millis(),
            });
            if failed.code != Code::ReadOnly {
                let elsewhere = plan.access == Access::Read && failed.need != Need::Leader;
                avoid = elsewhere.then_some(failed.server);
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Makes one attempt.
    async fn attempt(
        &mut self,
        query: &Query,
        plan: &Plan,
        prepared: Option<(&Shape, &Bytes)>,
        avoid: Option<ServerKey>,
        count: u8,
    ) -> AttemptResult<C> {
        // The configuration may change while a statement waits for its next attempt.
        let Some((route, service)) = self.context.fleet.route(&self.database) else {
            let reason = "there is no such database any more".to_owned();
            let rejection = Reason::UnknownDatabase;
            let result = StatementResult::NotRun(Code::NoDatabase, rejection, reason);
            return AttemptResult::Final(result);
        };
        let (need, mut connection, confirmed_at) = loop {
            let (need, connection) = match self.acquire(plan, &route, &service, avoid).await {
                Ok(acquired) => acquired,
                Err(result) => return AttemptResult::Final(result),
            };
            // The lease may have expired while the statement waited.
            match self.confirm(plan, need, &connection).await {
                Confirmation::At(at) => break (need, connection, at),
                // The statement waits for the successor.
                Confirmation::Replaced => connection.return_to_pool(),
                Confirmation::OutOfTouch => {
                    connection.return_to_pool();
                    return AttemptResult::Final(refuse_out_of_touch());
                }
            }
        };
        let frame = fence_frame(plan.frame, plan.access, need);
        let job = Job {
            query,
            caller_state: &self.caller_state,
            prepared: prepared.map(|(shape, arguments)| (shape, &arguments[..])),
            frame,
            min_position: required_position(need),
            confirmed_at,
        };
        let sent = self.context.site.now();
        if need == Need::Leader && !self.context.fleet.holds_lease() {
            self.context.site.log(&Event::ReadConfirmed {
                id: text(&query.id),
                database: self.database.clone(),
                server: service.name_of(Some(connection.server)),
                millis: sent.saturating_sub(confirmed_at).as_millis(),
            });
        }
        let repeatable = plan.access == Access::Read || matches!(frame, TransactionFrame::Opens(_));
        let limit = self.attempt_timeout(
            plan,
            repeatable,
            service.average_latency(connection.server),
            sent,
        );
        let ran = attempt::run(&mut connection, &job, limit).await;
        let withheld = match &ran {
            RunResult::Answered(outcome) if plan.is_single_write() && outcome.end.is_ok() => {
                let server = connection.server;
                self.reason_to_withhold_commit(&service, server, outcome.position)
                    .await
            }
            _ => None,
        };
        let context = AttemptContext {
            service,
            need,
            frame,
            repeatable,
            sent,
            confirmed_at,
            withheld,
            count,
        };
        self.evaluate_attempt(query, plan, connection, ran, context)
    }

    /// Waits for a connection to a server that may run a statement of `plan`.
    ///
    /// A read that could use a replica waits for the primary while there is no sample of the
    /// primary's position, against which replicas are measured. Guards against overloading
    /// primaries with all such reads after hosts have started: as soon as a sample arrives, from
    /// this host or another one, these reads wait for any server.
    async fn acquire(
        &self,
        plan: &Plan,
        route: &Route,
        service: &Rc<Service<C>>,
        avoid: Option<ServerKey>,
    ) -> Result<(Need, PooledConnection<C>), StatementResult<C>> {
        loop {
            let new_sample = service.sample_notify.notified();
            let need = self.need(plan, route, service);
            if self.confirmed_at(plan, need, service).await.is_none() {
                return Err(refuse_out_of_touch());
            }
            let ticket = Ticket {
                id: self.context.site.next_id(),
                team: self.gate.team(),
                need,
                priority: route.priority,
                opens_transaction: matches!(plan.frame, TransactionFrame::Opens(_)),
                arrived: plan.arrived,
                goal: plan.operation_start + route.goal,
                deadline: plan.deadline,
                avoid,
            };
            let is_bounded = plan.access == Access::Read && route.consistency.max_age().is_some();
            let lacks_sample = need == Need::Leader && is_bounded;
            if lacks_sample {
                self.context.fleet.request_sample(service);
            }
            tokio::select! {
                biased;
                connection = service.acquire(ticket) => {
                    return connection.map(|connection| (need, connection)).map_err(unserved_result);
                }
                () = new_sample, if lacks_sample => {}
            }
        }
    }

    /// Returns the time limit of an attempt. An overdue statement is sent again while the retry
    /// budget lasts.
    fn attempt_timeout(
        &self,
        plan: &Plan,
        repeatable: bool,
        average: Duration,
        sent: Duration,
    ) -> Duration {
        let left = plan.deadline.saturating_sub(sent);
        let patience = overdue_after(average);
        match repeatable && patience < left / 2 && !self.retry_budget.is_exhausted() {
            true => patience,
            false => left,
        }
    }

    /// Records the result of an attempt, and decides whether it is final.
    fn evaluate_attempt(
        &self,
        query: &Query,
        plan: &Plan,
        connection: PooledConnection<C>,
        ran: RunResult,
        context: AttemptContext<C>,
    ) -> AttemptResult<C> {
        let server = connection.server;
        let AttemptContext {
            service,
            need,
            frame,
            repeatable,
            sent,
            confirmed_at,
            withheld,
            count,
        } = context;
        let (code, run, error) = match ran {
            RunResult::Answered(outcome) => {
                let by_primary = need == Need::Leader;
                let refuted = by_primary && service.is_refuted(server, outcome.position, sent);
                let code = outcome.end.as_ref().err().map(|error| error.code);
                service.record_answer(
                    server,
                    outcome.position,
                    confirmed_at,
                    by_primary && !refuted && withheld.is_none() && code.is_none(),
                );
                if code.is_none()
                    && plan.is_single_write()
                    && let Some(reason) = withheld.or(refuted.then_some(LOG_LOST))
                {
                    connection.return_to_pool();
                    self.log_in_doubt(query, &service, server, reason, plan.arrived);
                    return AttemptResult::Final(StatementResult::InDoubt(
                        Code::InDoubt,
                        reason.to_owned(),
                    ));
                }
                let final_failure =
                    |code: Code| !code.did_not_run() && (plan.access == Access::Write || count > 1);
                let Some(code) = code.filter(|code| !final_failure(*code)) else {
                    service.record_latency(server, self.context.site.now().saturating_sub(sent));
                    return AttemptResult::Final(StatementResult::Answered(Box::new(Answered {
                        outcome,
                        connection,
                        service,
                        by_primary,
                    })));
                };
                match outcome.transaction == Transaction::Idle
                    || frame == TransactionFrame::RolledBack
                {
                    true => connection.return_to_pool(),
                    false => drop(connection),
                }
                let run = if code.did_not_run() {
                    Run::No
                } else {
                    Run::Yes
                };
                (code, run, None)
            }
            RunResult::Refused(code) => {
                service.record_answer(server, None, sent, false);
                connection.return_to_pool();
                (code, Run::No, None)
            }
            RunResult::Unsent(error) => {
                service.record_failure(server, &error, sent);
                (Code::Busy, Run::No, Some(error))
            }
            RunResult::Unanswered(error) => {
                service.record_failure(server, &error, sent);
                (Code::Timeout, Run::Unknown, Some(error))
            }
        };
        match (code, need) {
            (Code::ReadOnly, _) => service.record_not_primary(server),
            (Code::Lagging, Need::Position { at, .. }) => service.record_lagging(server, at),
            (Code::Busy, _) if error.is_none() => service.record_busy(server),
            _ => {}
        }
        let (rejection, reason) = match error {
            Some(error) => (Reason::ConnectionLost, error.to_string()),
            None => (Reason::of_server(code), format!("{code:?}")),
        };
        AttemptResult::Failed(FailedAttempt {
            service,
            server,
            need,
            code,
            run,
            repeatable,
            rejection,
            reason,
        })
    }

    /// Returns the result of a statement after its last attempt.
    fn give_up(&self, query: &Query, plan: &Plan, failed: FailedAttempt<C>) -> StatementResult<C> {
        let FailedAttempt {
            service,
            server,
            code,
            run,
            rejection,
            reason,
            ..
        } = failed;
        match run {
            Run::No => StatementResult::NotRun(code, rejection, reason),
            Run::Unknown | Run::Yes => {
                self.log_in_doubt(query, &service, server, &reason, plan.arrived);
                StatementResult::InDoubt(code, reason)
            }
        }
    }

    fn decide_retry(
        &mut self,
        plan: &Plan,
        count: u8,
        failed: &FailedAttempt<C>,
        now: Duration,
    ) -> retry::RetryDecision {
        let failure = match failed.code {
            Code::Malformed | Code::NoDatabase | Code::Misrouted => retry::Failure::Permanent,
            Code::Busy => retry::Failure::AllServers,
            _ => retry::Failure::ThisServer,
        };
        let ran = match (failed.run, failed.repeatable) {
            // A read that ran and failed may be sent to another server.
            (Run::Yes, true) => Run::Unknown,
            (run, _) => run,
        };
        let attempt = Attempt {
            count,
            failure,
            ran,
            repeatable: failed.repeatable,
            retries: MAX_RETRIES,
            deadline: plan.deadline,
            expected: Duration::ZERO,
            random_bits: rand::random(),
        };
        match failed.code {
            // The routing information was outdated. Such a refusal costs a server nothing, so it is
            // not charged to the retry budget.
            Code::Lagging | Code::ReadOnly => retry::decide(&attempt, &mut Budget::retries(), now),
            _ => retry::decide(&attempt, &mut self.retry_budget, now),
        }
    }

    /// Finds out whether a statement may run on `connection`, after it has waited for that.
    ///
    /// A leaving primary whose term was announced to end gets a statement only if its successor did not
    /// lead yet when that arrived. For a write this keeps the number of those low that are in doubt:
    /// whether it counts is decided when it has been answered.
    async fn confirm(
        &self,
        plan: &Plan,
        need: Need,
        connection: &PooledConnection<C>,
    ) -> Confirmation {
        let service = connection.service();
        let server = connection.server;
        let rests_on_successor = need == Need::Leader && service.rests_on_successor(server);
        if rests_on_successor && self.context.fleet.holds_lease() {
            return match service.confirm_read(server, plan.arrived).await {
                Some(at) => Confirmation::At(at),
                None => Confirmation::Replaced,
            };
        }
        match self.confirmed_at(plan, need, service).await {
            Some(at) => Confirmation::At(at),
            None => Confirmation::OutOfTouch,
        }
    }

    /// Returns a time, no earlier than the arrival of the statement, at which the primary is known
    /// to have had no successor. Returns `None` if that cannot be shown, and the current time if
    /// the statement does not need the primary.
    ///
    /// The evidence is this host's lease or the confirmation by the service's other servers, and for
    /// a write the store's word besides.
    async fn confirmed_at(
        &self,
        plan: &Plan,
        need: Need,
        service: &Rc<Service<C>>,
    ) -> Option<Duration> {
        let fleet = &self.context.fleet;
        if need != Need::Leader || fleet.holds_lease() {
            return Some(self.context.site.now());
        }
        match plan.access {
            // Whether it counts is decided when it has been answered.
            Access::Write if plan.is_single_write() => fleet
                .may_confirm_writes(service)
                .then(|| self.context.site.now()),
            Access::Write if !fleet.may_confirm_writes(service) => None,
            Access::Read if !fleet.knows_all_servers() => None,
            Access::Read | Access::Write => service.confirm_primary(plan.arrived).await,
        }
    }

    /// Returns the reason why a commit that `server` has just answered with `position` is not
    /// acknowledged, if there is one. Waits for the state of the successor of a leaving primary.
    pub(super) async fn reason_to_withhold_commit(
        &self,
        service: &Rc<Service<C>>,
        server: ServerKey,
        position: Option<Position>,
    ) -> Option<&'static str> {
        let answered = self.context.site.now();
        if !self.context.fleet.holds_lease() {
            if service.confirm_primary(answered).await.is_none() {
                return Some(OUT_OF_TOUCH);
            }
            return self.reason_to_withhold(service, server);
        }
        let is_handed_over = service.is_handed_over(server);
        let counts = !service.rests_on_successor(server)
            || service.confirm_commit(server, position, answered).await;
        match counts {
            false => Some(REPLACED),
            true if is_handed_over => None,
            true => self.reason_to_withhold(service, server),
        }
    }

    /// Returns the reason why a write that `server` answered as the primary is not acknowledged, if
    /// there is one.
    pub(super) fn reason_to_withhold(
        &self,
        service: &Service<C>,
        server: ServerKey,
    ) -> Option<&'static str> {
        let fleet = &self.context.fleet;
        if !fleet.holds_lease() && !fleet.may_confirm_writes(service) {
            return Some(OUT_OF_TOUCH);
        }
        service.is_superseded(server).then_some(REPLACED)
    }

    /// Returns what is required of a server that runs a statement of `plan`.
    pub(super) fn need(&self, plan: &Plan, route: &Route, service: &Rc<Service<C>>) -> Need {
        if plan.access == Access::Write {
            return Need::Leader;
        }
        let Some(age) = route.consistency.max_age() else {
            return Need::Leader;
        };
        let since = plan
            .operation_start
            .saturating_sub(age.saturating_sub(AGE_MARGIN));
        let seen = self
            .seen_positions
            .get(&service.name)
            .copied()
            .unwrap_or_default();
        service.need(since, seen)
    }
}

/// Returns the position that a server's log must contain for a statement with the requirement
/// `need`.
fn required_position(need: Need) -> Option<Position> {
    match need {
        Need::Leader => None,
        Need::Position { position, .. } => {
            Some(position).filter(|position| *position > Position::default())
        }
    }
}

/// Returns the time without an answer after which a statement is sent again, possibly to another
/// server.
fn overdue_after(average: Duration) -> Duration {
    (average * OVERDUE_FACTOR).max(MIN_OVERDUE)
}

/// Returns the transaction frame of a statement with the requirement `need`.
///
/// A replaced primary that does not know of its replacement, or has only just learned of it,
/// continues to answer reads outside of writable transactions. Its data may be stale, and so may
/// its answers. Therefore everything that relies on a server being the primary runs in a writable
/// transaction.
fn fence_frame(frame: TransactionFrame, access: Access, need: Need) -> TransactionFrame {
    match (frame, access, need) {
        (TransactionFrame::Bare, Access::Read, Need::Leader) => TransactionFrame::RolledBack,
        (TransactionFrame::Opens(_), _, Need::Leader) => TransactionFrame::Opens(Access::Write),
        (frame, _, _) => frame,
    }
}

/// Returns the refusal of a statement that needs the primary while this host has no lease.
fn refuse_out_of_touch<C: Codec>() -> StatementResult<C> {
    StatementResult::NotRun(Code::Busy, Reason::OutOfContact, OUT_OF_TOUCH.to_owned())
}

fn unserved_result<C: Codec>(unserved: Unserved) -> StatementResult<C> {
    match unserved {
        Unserved::Busy { retry_after } => {
            let millis = retry_after.as_millis();
            let reason = format!("no connection was free in time; retry after {millis} ms");
            StatementResult::NotRun(Code::Busy, Reason::NoConnection, reason)
        }
        Unserved::NoPrimary => StatementResult::NotRun(
            Code::Busy,
            Reason::NoPrimary,
            "the service has no primary at the moment".to_owned(),
        ),
        Unserved::Lagging => StatementResult::NotRun(
            Code::Lagging,
            Reason::DataTooOld,
            "no server that can be reached has data young enough".to_owned(),
        ),
    }
}
