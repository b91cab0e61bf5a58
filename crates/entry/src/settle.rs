//! The end of an answer: what the caller may be told, and what becomes of the connection.

use std::time::Duration;

use flamingopost_core::history::Survival;
use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::lease::Acknowledge;
use flamingopost_core::position::Position;
use flamingopost_core::refusal::{Doubt, Refusal};
use flamingopost_core::route::TargetRole;
use flamingopost_core::rule::{Access, Ack};
use flamingopost_core::session::POSITION;
use flamingopost_core::session::need::Need;
use flamingopost_core::session::state::Transaction;
use flamingopost_core::term::Term;
use pgwire::messages::response::TransactionStatus;

use crate::answer::Stop;
use crate::cancel::CANCELLED;
use crate::exchange::{End, Progress};
use crate::held::Held;
use crate::reply;
use crate::request::{self, Request};
use crate::session::Session;
use crate::tracking;
use crate::treatment::Treatment;

/// SQLSTATE with which a replica refuses a write: nothing ran.
const READ_ONLY: &str = "25006";
/// When to come back while the primary changes.
const PROMOTION: Duration = Duration::from_millis(500);

/// What became of an answer.
#[derive(Debug)]
pub enum Settled {
    /// The caller has it.
    Given,
    /// The caller must not have it; nothing of it has left.
    Elsewhere(Refusal),
}

/// Whether a server's answer may be passed on.
enum Verdict {
    Pass,
    /// With the news that the session's position has risen.
    Report(Position),
    Withhold(Refusal),
}

impl Session {
    /// Decides about the end of an answer that `progress` holds back.
    #[allow(clippy::too_many_arguments)]
    pub async fn settle(
        &mut self,
        mut held: Box<Held>,
        end: End,
        progress: &mut Progress,
        request: &Request,
        treatment: &Treatment,
        sent: Duration,
        mark: usize,
    ) -> Result<Settled, Stop> {
        let cancelled = progress.sqlstate.as_deref() == Some(CANCELLED);
        held.tainted |= self.handle.struck() && !cancelled;
        if request.access() == Access::Write && !request.runs.is_empty() {
            held.wrote = true;
            held.ack = held.ack.max(treatment.then.ack);
        }
        self.service.heard(held.lent.back(), None, sent);
        let End::Ready(status) = end else {
            return Ok(self.flushed(held, progress));
        };
        if progress.sqlstate.as_deref() == Some(READ_ONLY) && unchanged(&held, progress, status) {
            // The primary was demoted between the look at it and the statement, which is why
            // the statement did not run: the next look finds its successor.
            self.front.out.truncate(mark);
            self.service.failed(held.lent.server());
            held.release();
            return Ok(Settled::Elsewhere(Refusal::NoPrimary {
                retry_after: PROMOTION,
            }));
        }
        let ended = self.track(&mut held, progress, request, status);
        let verdict = self.judge(&mut held, progress, status, ended, sent);
        let position = held.position();
        let (part, need) = (held.part, held.need);
        let ack = held.ack;
        if ended != Ended::Not {
            held.ack = Ack::Primary;
        }
        self.keep_or_release(held, status);
        let report = match verdict {
            Verdict::Pass => None,
            Verdict::Report(position) => Some(position),
            Verdict::Withhold(refusal) if progress.streamed => return Err(refusal.into()),
            Verdict::Withhold(refusal) => {
                self.front.out.truncate(mark);
                return Ok(Settled::Elsewhere(refusal));
            }
        };
        if let (Some(position), TargetRole::Primary(term), Ack::Replica, Ended::Written) =
            (position, part, ack, ended)
        {
            self.confirm(position, term, treatment).await?;
        }
        if part == TargetRole::Replica && ended == Ended::Read && progress.sqlstate.is_none() {
            check_own_writes(need, position);
        }
        self.finish(progress, report, request.end);
        Ok(Settled::Given)
    }

    /// The answers to a batch that goes on after a `Flush`; its connection stays.
    fn flushed(&mut self, held: Box<Held>, progress: &mut Progress) -> Settled {
        self.front.out.extend_from_slice(&progress.tail);
        if progress.sqlstate.is_some() {
            self.skip();
        }
        self.held = Some(held);
        Settled::Given
    }

    /// Notes what the request left behind.
    fn track(
        &mut self,
        held: &mut Held,
        progress: &Progress,
        request: &Request,
        status: TransactionStatus,
    ) -> Ended {
        let failed = progress.sqlstate.is_some();
        let was = self.state.transaction();
        if failed {
            self.forget_unparsed(held, request);
        } else {
            let tag = &progress.tag;
            tracking::apply(&mut self.state, request, tag);
        }
        let now = match status {
            TransactionStatus::Idle => Transaction::Idle,
            TransactionStatus::Transaction => Transaction::Open,
            TransactionStatus::Error => Transaction::Failed,
        };
        self.state.set_transaction(now);
        held.lent.back().carried = self.state.connection_parameters();
        if now != Transaction::Idle {
            return Ended::Not;
        }
        let rolled_back = progress.tag == "ROLLBACK" && !request.commits_inside();
        // An error in a request of several statements may come after a commit inside it.
        let undone = (failed && !request.commits_inside()) || rolled_back;
        match (held.wrote && !undone, was) {
            (true, _) => Ended::Written,
            (false, _) if undone => Ended::Undone,
            (false, _) => Ended::Read,
        }
    }

    /// Names whose `Parse` failed do not exist.
    fn forget_unparsed(&mut self, held: &mut Held, request: &Request) {
        let back = held.lent.back();
        for name in &request.parsed {
            let known = self.statements.find(name);
            let there = known.is_some_and(|known| {
                back.prepared.contains(&known.number) || back.unnamed == Some(known.number)
            });
            if !there {
                self.statements.remove(name);
            }
        }
    }

    fn judge(
        &mut self,
        held: &mut Held,
        progress: &Progress,
        status: TransactionStatus,
        ended: Ended,
        sent: Duration,
    ) -> Verdict {
        let position = held.position();
        match (held.part, ended) {
            (TargetRole::Primary(term), Ended::Written) => {
                held.wrote = false;
                self.acknowledge(term, position)
            }
            (_, Ended::Undone) => Verdict::Pass,
            (TargetRole::Primary(term), Ended::Read) if progress.sqlstate.is_none() => {
                self.judge_primary_read(held.need, term, position, sent)
            }
            (TargetRole::Primary(term), Ended::Not)
                if progress.sqlstate.is_none() && status == TransactionStatus::Transaction =>
            {
                self.judge_open(term)
            }
            (TargetRole::Replica, _) if progress.sqlstate.is_none() => {
                self.judge_replica_read(held.need, position)
            }
            _ => Verdict::Pass,
        }
    }

    /// Whether a write may be acknowledged: the lease is looked at after the answer came.
    fn acknowledge(&mut self, term: Term, position: Option<Position>) -> Verdict {
        let unknown = Verdict::Withhold(Refusal::OutcomeUnknown {
            doubt: Doubt::LeaseEnded,
        });
        let shared = &self.context.shared;
        let Some(position) = position else {
            return unknown;
        };
        if position.term < term && self.is_kept(position) && self.service.leads_under_lease(term) {
            // Nothing was written in this term yet, so neither did this statement: an update of
            // no rows, for example. There is no position to acknowledge.
            return Verdict::Pass;
        }
        match shared.acknowledge(self.service.key, term, position) {
            Acknowledge::Done => {}
            Acknowledge::Unknown => {
                shared.renew_soon();
                return unknown;
            }
        }
        let Session {
            service, writes, ..
        } = self;
        let risen = service.with_table(|table, _| writes.record_write(position, table.history()));
        if risen {
            Verdict::Report(position)
        } else {
            Verdict::Pass
        }
    }

    /// The end of a request with a key whose transaction is committed under `term`.
    ///
    /// # Errors
    /// It may not be acknowledged.
    pub async fn commit_keyed(
        &mut self,
        term: Term,
        position: Option<Position>,
        progress: &Progress,
        treatment: &Treatment,
    ) -> Result<(), Stop> {
        let report = match self.acknowledge(term, position) {
            Verdict::Pass => None,
            Verdict::Report(position) => Some(position),
            Verdict::Withhold(refusal) => return Err(refusal.into()),
        };
        if let (Some(position), Ack::Replica) = (position, treatment.then.ack) {
            self.confirm(position, term, treatment).await?;
        }
        self.finish(progress, report, request::End::Sync);
        Ok(())
    }

    /// Gives the caller the end of its answer.
    fn finish(&mut self, progress: &Progress, report: Option<Position>, end: request::End) {
        self.front.out.extend_from_slice(&progress.tail);
        if let Some(position) = report {
            reply::parameter(&mut self.front.out, POSITION, &position.to_string());
        }
        // After a `Flush` the caller's own `Sync` is still to come, and gets this answer.
        match end {
            request::End::Simple | request::End::Sync => self.ready(),
            request::End::Flush if progress.sqlstate.is_some() => self.skip(),
            request::End::Flush => {}
        }
    }

    /// A read by the primary: current if the term was still led when the answer came.
    fn judge_primary_read(
        &mut self,
        need: Need,
        term: Term,
        position: Option<Position>,
        sent: Duration,
    ) -> Verdict {
        if self.service.leads_under_lease(term) {
            let Some(position) = position.filter(|position| self.is_kept(*position)) else {
                return Verdict::Pass;
            };
            return if self.writes.observe_primary(position, sent) {
                Verdict::Report(position)
            } else {
                Verdict::Pass
            };
        }
        match need {
            Need::Any { max_age: None } => Verdict::Pass,
            Need::Position {
                max_age: None,
                position: wanted,
            } if self.reached(position, wanted) => Verdict::Pass,
            _ => Verdict::Withhold(Refusal::OutcomeUnknown {
                doubt: Doubt::LeaseEnded,
            }),
        }
    }

    /// A statement of an open transaction on the primary: its reads have to be current too.
    fn judge_open(&mut self, term: Term) -> Verdict {
        if self.service.leads(term) {
            return Verdict::Pass;
        }
        self.orphan();
        Verdict::Withhold(Refusal::TransactionLost)
    }

    /// A read by a replica: its position is looked at again, since a replica that follows a new
    /// primary may have gone back behind what it had when it was chosen.
    fn judge_replica_read(&mut self, need: Need, position: Option<Position>) -> Verdict {
        let Some(wanted) = need.position() else {
            return Verdict::Pass;
        };
        if !self.reached(position, wanted) {
            return Verdict::Withhold(Refusal::OutcomeUnknown {
                doubt: Doubt::LeaseEnded,
            });
        }
        Verdict::Pass
    }

    /// Whether `position` is part of the service's log as this host knows it.
    fn is_kept(&self, position: Position) -> bool {
        let service = &self.service;
        service.with_table(|table, _| table.history().survival(position)) == Survival::Kept
    }

    fn reached(&self, position: Option<Position>, wanted: Position) -> bool {
        position.is_some_and(|position| self.service.covers(position, wanted))
    }

    /// Keeps the connection while the session is bound to it, else lets it go.
    fn keep_or_release(&mut self, held: Box<Held>, status: TransactionStatus) {
        if self.orphaned {
            return;
        }
        let idle = status == TransactionStatus::Idle;
        if idle && !self.state.is_bound() {
            held.release();
        } else {
            self.held = Some(held);
        }
    }
}

/// Whatever the history of terms says, a server that lies behind a session's position in its log
/// cannot have answered it.
fn check_own_writes(need: Need, position: Option<Position>) {
    let Some(wanted) = need.position() else {
        return;
    };
    let reached = position.is_some_and(|at| at.term >= wanted.term && at.log >= wanted.log);
    invariant::check(Invariant::ReadYourWrites, reached, || {
        format!("answered at {position:?} to a session at {wanted}")
    });
}

/// How the transaction of a request stands after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// It goes on.
    Not,
    /// It wrote and is committed, as far as its server knows.
    Written,
    /// It only read.
    Read,
    /// It was rolled back.
    Undone,
}

/// Whether nothing of the request ran and nothing of the answer has left.
fn unchanged(held: &Held, progress: &Progress, status: TransactionStatus) -> bool {
    let primary = matches!(held.part, TargetRole::Primary(_));
    let idle = status == TransactionStatus::Idle;
    primary && idle && !progress.streamed && progress.completed == 0
}
