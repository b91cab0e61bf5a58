//! Where a statement runs that is bound to no connection, and whether it is tried again.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flamingopost_core::dispatch::{Need, Ticket, Unserved};
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::refusal::Ran as Run;
use flamingopost_core::retry::budget::Budget;
use flamingopost_core::retry::{self, Attempt};

use super::tell::text;
use super::{LOG_LOST, OUT_OF_TOUCH, REPLACED, Session};
use crate::attempt::{self, Frame, Job, Ran};
use crate::back::Outcome;
use crate::codec::Codec;
use crate::event::Event;
use crate::message::{Access, Code, Query, Shape, Transaction};
use crate::route::Route;
use crate::service::{Lent, Service};

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

/// Where a statement may run, and what surrounds it.
pub(super) struct Plan {
    pub access: Access,
    pub frame: Frame,
    /// When its caller's operation was first read.
    pub since: Duration,
    /// When the statement was read.
    pub arrived: Duration,
    pub deadline: Duration,
}

/// How one attempt ended.
enum Tried<C: Codec> {
    Served(Served<C>),
    Failed(Failed<C>),
}

/// An attempt that failed.
struct Failed<C: Codec> {
    service: Rc<Service<C>>,
    server: ServerKey,
    need: Need,
    code: Code,
    run: Run,
    repeatable: bool,
    reason: String,
}

/// How an attempt was made.
struct Sending<C: Codec> {
    service: Rc<Service<C>>,
    need: Need,
    frame: Frame,
    repeatable: bool,
    sent: Duration,
    /// Up to when what it shows of a primary is known to be current.
    current: Duration,
    count: u8,
}

impl Plan {
    /// Whether it is a write outside of any transaction, which is kept as soon as it has run.
    fn writes_alone(&self) -> bool {
        self.access == Access::Write && self.frame == Frame::Bare
    }
}

/// How a statement ended that runs on a connection of its own choice.
pub(super) enum Served<C: Codec> {
    Answered(Box<Answered<C>>),
    /// It did not run.
    NotRun(Code, String),
    /// It may have run.
    InDoubt(Code, String),
}

pub(super) struct Answered<C: Codec> {
    pub outcome: Outcome,
    pub lent: Lent<C>,
    pub service: Rc<Service<C>>,
    pub led: bool,
}

impl<C: Codec> Session<C> {
    /// Finds a server for a statement that is bound to none, again if it did not run there.
    pub(super) async fn place(
        &mut self,
        query: &Query,
        plan: &Plan,
        prepared: Option<(&Shape, &Bytes)>,
    ) -> Served<C> {
        self.retries.record_request();
        let mut avoid = None;
        let mut count = 0;
        loop {
            count += 1;
            let failed = match self.attempt(query, plan, prepared, avoid, count).await {
                Tried::Served(served) => return served,
                Tried::Failed(failed) => failed,
            };
            let now = self.context.site.now();
            let retry::RetryDecision::Retry(wait) = self.again(plan, count, &failed, now) else {
                return self.given_up(query, plan, failed);
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
    ) -> Tried<C> {
        // The configuration may change while a statement waits for its next attempt.
        let Some((route, service)) = self.context.fleet.route(&self.database) else {
            let reason = "there is no such database any more".to_owned();
            return Tried::Served(Served::NotRun(Code::NoDatabase, reason));
        };
        let (need, mut lent) = match self.acquire(plan, &route, &service, avoid).await {
            Ok(acquired) => acquired,
            Err(served) => return Tried::Served(served),
        };
        let frame = fence(plan.frame, plan.access, need);
        // A lease may have run out while the statement waited.
        let Some(current) = self.current_at(plan, need, &service).await else {
            lent.give_back();
            return Tried::Served(out_of_touch());
        };
        let job = Job {
            query,
            carry: &self.carry,
            prepared: prepared.map(|(shape, arguments)| (shape, &arguments[..])),
            frame,
            after: position_of(need),
            current,
        };
        let sent = self.context.site.now();
        if need == Need::Leader && !self.context.fleet.holds_lease(&service) {
            self.context.site.log(&Event::ReadConfirmed {
                id: text(&query.id),
                database: self.database.clone(),
                server: service.name_of(Some(lent.server)),
                millis: sent.saturating_sub(current).as_millis(),
            });
        }
        let repeatable = plan.access == Access::Read || matches!(frame, Frame::Opens(_));
        let limit = self.limit(plan, repeatable, service.average(lent.server), sent);
        let ran = attempt::run(&mut lent, &job, limit).await;
        let sending = Sending {
            service,
            need,
            frame,
            repeatable,
            sent,
            current,
            count,
        };
        self.judge(query, plan, lent, ran, sending)
    }

    /// Waits for a connection to a server that may run a statement of `plan`.
    ///
    /// A read that could go to a replica waits for the primary while there is no sample of how far that
    /// one is, by which replicas are measured. Guards against primaries that all of these reads press on
    /// once hosts have started: as soon as there is one, from this host or another, they wait for any
    /// server.
    async fn acquire(
        &self,
        plan: &Plan,
        route: &Route,
        service: &Rc<Service<C>>,
        avoid: Option<ServerKey>,
    ) -> Result<(Need, Lent<C>), Served<C>> {
        loop {
            let vouched = service.vouched.notified();
            let need = self.need(plan, route, service);
            if self.current_at(plan, need, service).await.is_none() {
                return Err(out_of_touch());
            }
            let ticket = Ticket {
                id: self.context.site.next_id(),
                need,
                priority: route.priority,
                opens_transaction: matches!(plan.frame, Frame::Opens(_)),
                arrived: plan.arrived,
                goal: plan.since + route.goal,
                deadline: plan.deadline,
                avoid,
            };
            let is_bounded = plan.access == Access::Read && route.consistency.max_age().is_some();
            let lacks_sample = need == Need::Leader && is_bounded;
            if lacks_sample {
                self.context.fleet.ask_for_sample(service);
            }
            tokio::select! {
                biased;
                lent = service.acquire(ticket) => {
                    return lent.map(|lent| (need, lent)).map_err(unserved_as);
                }
                () = vouched, if lacks_sample => {}
            }
        }
    }

    /// How long an attempt may take: what is overdue is asked again while retries are left.
    fn limit(&self, plan: &Plan, repeatable: bool, average: Duration, sent: Duration) -> Duration {
        let left = plan.deadline.saturating_sub(sent);
        let patience = overdue(average);
        match repeatable && patience < left / 2 && !self.retries.is_exhausted() {
            true => patience,
            false => left,
        }
    }

    /// Takes in how an attempt ended.
    fn judge(
        &self,
        query: &Query,
        plan: &Plan,
        lent: Lent<C>,
        ran: Ran,
        sending: Sending<C>,
    ) -> Tried<C> {
        let server = lent.server;
        let Sending {
            service,
            need,
            frame,
            repeatable,
            sent,
            current,
            count,
        } = sending;
        let (code, run, error) = match ran {
            Ran::Answered(outcome) => {
                let led = need == Need::Leader;
                let refuted = led && service.is_refuted(server, outcome.position, sent);
                let code = outcome.end.as_ref().err().map(|fault| fault.code);
                service.heard(
                    server,
                    outcome.position,
                    current,
                    led && !refuted && code.is_none(),
                );
                if code.is_none()
                    && plan.writes_alone()
                    && let Some(reason) = self
                        .unacknowledged(&service, server)
                        .or(refuted.then_some(LOG_LOST))
                {
                    lent.give_back();
                    self.doubt(query, &service, server, reason, plan.arrived);
                    return Tried::Served(Served::InDoubt(Code::InDoubt, reason.to_owned()));
                }
                let final_failure =
                    |code: Code| !code.did_not_run() && (plan.access == Access::Write || count > 1);
                let Some(code) = code.filter(|code| !final_failure(*code)) else {
                    service.took(server, self.context.site.now().saturating_sub(sent));
                    return Tried::Served(Served::Answered(Box::new(Answered {
                        outcome,
                        lent,
                        service,
                        led,
                    })));
                };
                match outcome.transaction == Transaction::Idle || frame == Frame::Alone {
                    true => lent.give_back(),
                    false => drop(lent),
                }
                let run = if code.did_not_run() {
                    Run::No
                } else {
                    Run::Yes
                };
                (code, run, None)
            }
            Ran::Refused(code) => {
                service.heard(server, None, sent, false);
                lent.give_back();
                (code, Run::No, None)
            }
            Ran::Unsent(error) => {
                service.missed(server, &error, sent);
                (Code::Busy, Run::No, Some(error))
            }
            Ran::Unanswered(error) => {
                service.missed(server, &error, sent);
                (Code::Timeout, Run::Unknown, Some(error))
            }
        };
        match (code, need) {
            (Code::ReadOnly, _) => service.does_not_lead(server),
            (Code::Lagging, Need::Position { at, .. }) => service.lags(server, at),
            (Code::Busy, _) if error.is_none() => service.full(server),
            _ => {}
        }
        let reason = match error {
            Some(error) => error.to_string(),
            None => format!("{code:?}"),
        };
        Tried::Failed(Failed {
            service,
            server,
            need,
            code,
            run,
            repeatable,
            reason,
        })
    }

    /// What a statement ends with after its last attempt.
    fn given_up(&self, query: &Query, plan: &Plan, failed: Failed<C>) -> Served<C> {
        let Failed {
            service,
            server,
            code,
            run,
            reason,
            ..
        } = failed;
        match run {
            Run::No => Served::NotRun(code, reason),
            Run::Unknown | Run::Yes => {
                self.doubt(query, &service, server, &reason, plan.arrived);
                Served::InDoubt(code, reason)
            }
        }
    }

    fn again(
        &mut self,
        plan: &Plan,
        count: u8,
        failed: &Failed<C>,
        now: Duration,
    ) -> retry::RetryDecision {
        let failure = match failed.code {
            Code::Malformed | Code::NoDatabase | Code::Misrouted => retry::Failure::Permanent,
            Code::Busy => retry::Failure::AllServers,
            _ => retry::Failure::ThisServer,
        };
        let ran = match (failed.run, failed.repeatable) {
            // A read that ran and failed may be asked of another server.
            (Run::Yes, true) => Run::Unknown,
            (run, _) => run,
        };
        let attempt = Attempt {
            count,
            failure,
            ran,
            repeatable: failed.repeatable,
            retries: RETRIES,
            deadline: plan.deadline,
            expected: Duration::ZERO,
            random_bits: rand::random(),
        };
        match failed.code {
            // Where to send it was not known well enough: that costs a server nothing.
            Code::Lagging | Code::ReadOnly => retry::decide(&attempt, &mut Budget::retries(), now),
            _ => retry::decide(&attempt, &mut self.retries, now),
        }
    }

    /// A moment, no earlier than that at which the statement was asked for, up to which the primary
    /// is known to have had no successor; `None` where that cannot be shown, and now where it does
    /// not matter.
    ///
    /// By this host's lease, or for a statement that only reads by the word of the service's other
    /// servers.
    async fn current_at(
        &self,
        plan: &Plan,
        need: Need,
        service: &Rc<Service<C>>,
    ) -> Option<Duration> {
        if need != Need::Leader || self.context.fleet.holds_lease(service) {
            return Some(self.context.site.now());
        }
        match plan.access {
            Access::Read if self.context.fleet.knows_all_servers() => {
                service.confirm(plan.arrived).await
            }
            Access::Read | Access::Write => None,
        }
    }

    /// Why a write is not acknowledged that `server` has answered as the primary, if it is not.
    pub(super) fn unacknowledged(
        &self,
        service: &Service<C>,
        server: ServerKey,
    ) -> Option<&'static str> {
        if !self.context.fleet.holds_lease(service) {
            return Some(OUT_OF_TOUCH);
        }
        service.is_past(server).then_some(REPLACED)
    }

    /// Who may run a statement of `plan`.
    pub(super) fn need(&self, plan: &Plan, route: &Route, service: &Rc<Service<C>>) -> Need {
        if plan.access == Access::Write {
            return Need::Leader;
        }
        let Some(age) = route.consistency.max_age() else {
            return Need::Leader;
        };
        let since = plan.since.saturating_sub(age.saturating_sub(AGE_MARGIN));
        let seen = self.seen.get(&service.name).copied().unwrap_or_default();
        service.need(since, seen)
    }
}

/// What a server's log must contain for a statement that needs `need`.
fn position_of(need: Need) -> Option<Position> {
    match need {
        Need::Leader => None,
        Need::Position { position, .. } => {
            Some(position).filter(|position| *position > Position::default())
        }
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
        (Frame::Bare, Access::Read, Need::Leader) => Frame::Alone,
        (Frame::Opens(_), _, Need::Leader) => Frame::Opens(Access::Write),
        (frame, _, _) => frame,
    }
}

/// A statement needs a primary, and this host has no lease.
fn out_of_touch<C: Codec>() -> Served<C> {
    Served::NotRun(Code::Busy, OUT_OF_TOUCH.to_owned())
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
