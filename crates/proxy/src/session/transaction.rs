//! Statements inside a caller's transaction, from its first to its end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::place::{Answered, Plan, Served};
use super::{Begun, LOG_LOST, Session, State};
use crate::attempt::{self, Frame, Job, Ran};
use crate::back::Outcome;
use crate::codec::Codec;
use crate::message::{Access, Code, Command, Query, Shape, Transaction};
use crate::meter::StatementEnd;
use crate::route::Consistency;
use crate::service::{Lent, Service};

/// Pause before a statement of an open transaction is sent again to a server without room.
const FULL_PAUSE: Duration = Duration::from_millis(10);

/// How long the end of a transaction that its caller has left may take at the server.
const ROLLBACK: Duration = Duration::from_millis(500);

/// A transaction that is open at a server.
pub(super) struct Open<C: Codec> {
    pub lent: Lent<C>,
    pub service: Rc<Service<C>>,
    pub wrote: bool,
    /// Only a server that leads answers within it.
    pub led: bool,
}

impl<C: Codec> Session<C> {
    /// The first statement of a transaction, or its end if it has none.
    pub(super) async fn first(
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
                let end = if led {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
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
    pub(super) async fn further(
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
            current: arrived,
        };
        let holds_lease = self.context.fleet.holds_lease(&open.service);
        open.lent.rest(false);
        let ran = insist(&mut open, &job, self.timeout()).await;
        match ran {
            Ran::Answered(outcome) => {
                let is_past = open.service.is_past(open.lent.server);
                let led = open.led && holds_lease && !is_past && outcome.end.is_ok();
                open.heard(&outcome, arrived, led);
                let transaction = outcome.transaction;
                let end = if open.led {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
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

    pub(super) async fn commit_open(&mut self, query: &Query, mut open: Box<Open<C>>) {
        let arrived = self.context.site.now();
        if open.wrote
            && let Some(reason) = self.unacknowledged(&open.service, open.lent.server)
        {
            open.roll_back();
            self.tell(query, Code::Aborted, reason, arrived);
            return;
        }
        let job = Job {
            query,
            carry: &self.carry,
            prepared: None,
            frame: Frame::Bare,
            after: None,
            current: arrived,
        };
        open.lent.rest(false);
        let ran = insist(&mut open, &job, self.timeout()).await;
        let server = open.lent.server;
        match ran {
            Ran::Answered(outcome) => {
                let refuted =
                    open.led && open.service.is_refuted(server, outcome.position, arrived);
                if open.wrote
                    && outcome.end.is_ok()
                    && let Some(reason) = self
                        .unacknowledged(&open.service, server)
                        .or(refuted.then_some(LOG_LOST))
                {
                    open.service.heard(server, outcome.position, arrived, false);
                    open.lent.give_back();
                    self.doubt(query, &open.service, server, reason, arrived);
                    self.tell(query, Code::InDoubt, reason, arrived);
                    return;
                }
                let led = open.led && open.wrote && !refuted && outcome.end.is_ok();
                open.heard(&outcome, arrived, led);
                self.saw(&open.service, outcome.position);
                if open.wrote && outcome.end.is_ok() {
                    open.service.acknowledged(&query.id, outcome.position);
                }
                let end = if open.led {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
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
}

impl<C: Codec> Open<C> {
    /// Takes in what the server's answer to something sent at `sent` shows of it.
    fn heard(&self, outcome: &Outcome, sent: Duration, led: bool) {
        let server = self.lent.server;
        self.service.heard(server, outcome.position, sent, led);
        if let Err(fault) = &outcome.end
            && fault.code == Code::ReadOnly
        {
            self.service.does_not_lead(server);
        }
    }

    /// Rolls the transaction back; the caller need not wait for it.
    pub(super) fn roll_back(self: Box<Self>) {
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
