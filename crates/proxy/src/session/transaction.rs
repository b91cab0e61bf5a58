//! Statements inside a caller's transaction, from the first one to the end of the transaction.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flamingopost_daemon::task;

use super::placement::{Answered, Plan, StatementResult};
use super::{LOG_LOST, OUT_OF_TOUCH, PendingTransaction, Session, TransactionState};
use crate::attempt::{self, Job, RunResult, TransactionFrame};
use crate::codec::Codec;
use crate::message::{Access, Code, Command, Query, Shape, Transaction};
use crate::meter::StatementEnd;
use crate::rejection::Reason;
use crate::route::Consistency;
use crate::server_connection::Outcome;
use crate::service::{PooledConnection, Service};

/// Delay before a statement of an open transaction is sent again to a busy server.
const BUSY_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit for rolling back an abandoned transaction at the server.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// A transaction that is open at a server.
pub(super) struct OpenTransaction<C: Codec> {
    pub connection: PooledConnection<C>,
    pub service: Rc<Service<C>>,
    pub wrote: bool,
    /// Whether every answer within the transaction proves that the server is the primary.
    pub by_primary: bool,
}

impl<C: Codec> Session<C> {
    /// Runs the first statement of a transaction, or the end of a transaction without statements.
    pub(super) async fn first_statement(
        &mut self,
        query: &Query,
        begun: PendingTransaction,
        access: Access,
        prepared: Option<(&Shape, &Bytes)>,
    ) {
        let arrived = self.context.site.now();
        let Some((route, _)) = self.context.fleet.route(&self.database) else {
            self.transaction = TransactionState::Failed;
            self.refuse_without_route();
            return;
        };
        // Statements that a server does not refuse because of its role may be answered by a
        // replaced primary. If only current data is acceptable, the transaction is therefore opened
        // for writing.
        let opens = match route.consistency {
            Consistency::Primary => Access::Write,
            Consistency::Bounded(_) | Consistency::Session(_) => begun.access,
        };
        let plan = Plan {
            access: opens.max(access.min(begun.access)),
            frame: TransactionFrame::Opens(opens),
            operation_start: begun.begun_at,
            arrived,
            deadline: arrived + route.timeout,
        };
        match self.run_with_retries(query, &plan, prepared).await {
            StatementResult::Answered(answered) => {
                let Answered {
                    outcome,
                    mut connection,
                    service,
                    by_primary,
                } = *answered;
                let end = if by_primary {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
                let wrote = access == Access::Write;
                let transaction = outcome.transaction;
                self.transaction = match transaction {
                    Transaction::Idle => {
                        connection.return_to_pool();
                        TransactionState::Idle
                    }
                    Transaction::Open | Transaction::Failed => {
                        connection.set_idle_in_transaction(true);
                        TransactionState::Open(Box::new(OpenTransaction {
                            connection,
                            service,
                            wrote,
                            by_primary,
                        }))
                    }
                };
                self.deliver(&outcome, transaction, end, arrived);
            }
            // Nothing of a transaction is kept unless it is committed.
            StatementResult::NotRun(code, why, reason) => {
                self.fail_first_statement(query, code, why, &reason, arrived);
            }
            StatementResult::InDoubt(code, reason) => {
                let why = Reason::TransactionLost;
                self.fail_first_statement(query, code, why, &reason, arrived);
            }
        }
    }

    /// Ends a transaction whose first statement failed.
    fn fail_first_statement(
        &mut self,
        query: &Query,
        code: Code,
        why: Reason,
        reason: &str,
        arrived: Duration,
    ) {
        self.transaction = TransactionState::Failed;
        let code = match code.did_not_run() {
            true => code,
            false => Code::Aborted,
        };
        self.report_error(query, code, Some(why), reason, arrived);
    }

    /// Runs a further statement of an open transaction.
    pub(super) async fn further_statement(
        &mut self,
        query: &Query,
        mut open: Box<OpenTransaction<C>>,
        access: Access,
        prepared: Option<(&Shape, &Bytes)>,
    ) {
        let arrived = self.context.site.now();
        open.wrote |= access == Access::Write;
        let job = Job {
            query,
            caller_state: &self.caller_state,
            prepared: prepared.map(|(shape, arguments)| (shape, &arguments[..])),
            frame: TransactionFrame::Bare,
            min_position: None,
            confirmed_at: arrived,
        };
        let holds_lease = self.context.fleet.holds_lease();
        open.connection.set_idle_in_transaction(false);
        let ran = run_with_busy_retries(&mut open, &job, self.timeout()).await;
        match ran {
            RunResult::Answered(outcome) => {
                let server = open.connection.server;
                // Of a primary that is handed over, only the successor can tell whether it still leads.
                let is_doubtful =
                    open.service.is_superseded(server) || open.service.rests_on_successor(server);
                let by_primary =
                    open.by_primary && holds_lease && !is_doubtful && outcome.end.is_ok();
                open.record_answer(&outcome, arrived, by_primary);
                let transaction = outcome.transaction;
                let end = if open.by_primary {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
                self.transaction = match transaction {
                    Transaction::Idle => {
                        open.connection.return_to_pool();
                        TransactionState::Failed
                    }
                    Transaction::Open | Transaction::Failed => {
                        open.connection.set_idle_in_transaction(true);
                        TransactionState::Open(open)
                    }
                };
                let reported = match self.transaction {
                    TransactionState::Failed => Transaction::Failed,
                    _ => transaction,
                };
                self.deliver(&outcome, reported, end, arrived);
            }
            RunResult::Refused(code) => {
                self.transaction = TransactionState::Failed;
                let why = Some(Reason::of_server(code));
                self.report_error(query, code, why, "the server refused", arrived);
            }
            RunResult::Unsent(error) | RunResult::Unanswered(error) => {
                let server = open.connection.server;
                open.service.record_failure(server, &error, arrived);
                self.log_transaction_lost(query, &open.service, server, &error.to_string());
                self.transaction = TransactionState::Failed;
                let (why, reason) = (Some(Reason::TransactionLost), "its connection is lost");
                self.report_error(query, Code::Aborted, why, reason, arrived);
            }
        }
    }

    pub(super) async fn commit_open(&mut self, query: &Query, mut open: Box<OpenTransaction<C>>) {
        let arrived = self.context.site.now();
        if open.wrote
            && let Some(reason) = self.reason_to_withhold(&open.service, open.connection.server)
        {
            open.roll_back();
            let why = match reason {
                OUT_OF_TOUCH => Reason::OutOfContact,
                _ => Reason::PrimaryReplaced,
            };
            self.report_error(query, Code::Aborted, Some(why), reason, arrived);
            return;
        }
        let job = Job {
            query,
            caller_state: &self.caller_state,
            prepared: None,
            frame: TransactionFrame::Bare,
            min_position: None,
            confirmed_at: arrived,
        };
        open.connection.set_idle_in_transaction(false);
        let ran = run_with_busy_retries(&mut open, &job, self.timeout()).await;
        let server = open.connection.server;
        match ran {
            RunResult::Answered(outcome) => {
                let refuted =
                    open.by_primary && open.service.is_refuted(server, outcome.position, arrived);
                let has_committed = open.wrote && outcome.end.is_ok();
                let withheld = match has_committed {
                    true => {
                        let position = outcome.position;
                        self.reason_to_withhold_commit(&open.service, server, position)
                            .await
                    }
                    false => None,
                };
                if has_committed && let Some(reason) = withheld.or(refuted.then_some(LOG_LOST)) {
                    open.service
                        .record_answer(server, outcome.position, arrived, false);
                    open.connection.return_to_pool();
                    self.log_in_doubt(query, &open.service, server, reason, arrived);
                    self.report_error(query, Code::InDoubt, None, reason, arrived);
                    return;
                }
                let by_primary = open.by_primary && open.wrote && !refuted && outcome.end.is_ok();
                open.record_answer(&outcome, arrived, by_primary);
                self.record_seen(&open.service, outcome.position);
                if open.wrote && outcome.end.is_ok() {
                    open.service
                        .record_acknowledgement(&query.id, outcome.position);
                }
                let end = if open.by_primary {
                    StatementEnd::Primary
                } else {
                    StatementEnd::Replica
                };
                self.deliver(&outcome, Transaction::Idle, end, arrived);
                if outcome.transaction == Transaction::Idle {
                    open.connection.return_to_pool();
                }
            }
            RunResult::Refused(code) => {
                let why = Some(Reason::of_server(code));
                self.report_error(query, code, why, "the server refused", arrived)
            }
            RunResult::Unsent(error) => {
                open.service.record_failure(server, &error, arrived);
                let (why, reason) = (Some(Reason::TransactionLost), "its connection is lost");
                self.report_error(query, Code::Aborted, why, reason, arrived);
            }
            RunResult::Unanswered(error) => {
                open.service.record_failure(server, &error, arrived);
                self.log_transaction_lost(query, &open.service, server, &error.to_string());
                let (code, why) = match open.wrote {
                    true => (Code::InDoubt, None),
                    // The transaction wrote nothing, so nothing can have been committed.
                    false => (Code::Aborted, Some(Reason::TransactionLost)),
                };
                let reason = "the end of the transaction has no answer";
                self.report_error(query, code, why, reason, arrived);
            }
        }
    }
}

impl<C: Codec> OpenTransaction<C> {
    /// Records what the server's answer to a request sent at `sent` shows.
    fn record_answer(&self, outcome: &Outcome, sent: Duration, by_primary: bool) {
        let server = self.connection.server;
        self.service
            .record_answer(server, outcome.position, sent, by_primary);
        if let Err(error) = &outcome.end
            && error.code == Code::ReadOnly
        {
            self.service.record_not_primary(server);
        }
    }

    /// Rolls the transaction back in the background.
    pub(super) fn roll_back(self: Box<Self>) {
        let mut connection = self.connection;
        if connection.pending() > 0 {
            return;
        }
        task::spawn("rollback", async move {
            connection.push(&Command::Rollback);
            let ended = tokio::time::timeout(ROLLBACK_TIMEOUT, async {
                connection.flush().await?;
                connection.outcome().await
            });
            if let Ok(Ok(outcome)) = ended.await
                && outcome.transaction == Transaction::Idle
            {
                connection.return_to_pool();
            }
        });
    }
}

/// Runs a statement of an open transaction, and repeats it while the server is busy.
async fn run_with_busy_retries<C: Codec>(
    open: &mut OpenTransaction<C>,
    job: &Job<'_>,
    limit: Duration,
) -> RunResult {
    let site = Rc::clone(&open.service.site);
    let deadline = site.now() + limit;
    loop {
        let left = deadline.saturating_sub(site.now());
        let ran = attempt::run(&mut open.connection, job, left).await;
        let full = match &ran {
            RunResult::Answered(outcome) => {
                let busy = matches!(&outcome.end, Err(error) if error.code == Code::Busy);
                busy && outcome.transaction == Transaction::Open
            }
            _ => false,
        };
        if !full || left < BUSY_RETRY_INTERVAL * 2 {
            return ran;
        }
        open.service.record_busy(open.connection.server);
        tokio::time::sleep(BUSY_RETRY_INTERVAL).await;
    }
}
