//! Requests on the connection that a session keeps, and what is told when it is lost.

use flamingopost_core::refusal::{Doubt, Refusal};
use flamingopost_core::route::TargetRole;
use flamingopost_core::rule::Access;
use flamingopost_core::session::state::Transaction;
use flamingopost_core::statement::Action;

use super::{Stop, by};
use crate::account::By;
use crate::attempt::Fault;
use crate::exchange::Progress;
use crate::held::Held;
use crate::request::Request;
use crate::session::Session;
use crate::settle::Settled;
use crate::treatment::Treatment;

impl Session {
    /// Answers a request on the connection that the session keeps.
    pub(super) async fn go_on(
        &mut self,
        mut held: Box<Held>,
        request: &Request,
        treatment: &Treatment,
    ) -> Result<By, Stop> {
        // A replaced primary would go on answering statements of a transaction that nobody may
        // acknowledge any more.
        if !self.still_leads(held.part) {
            return Err(self.lost(held.wrote, request, false, Doubt::ConnectionLost));
        }
        let server = held.lent.server();
        let pass = self
            .service
            .way(server)
            .map(|way| way.gate.resume(treatment.asker.class));
        let mark = self.front.out.len();
        let sent = self.now();
        let mut progress = Progress::default();
        let attempt = self.attempt(&mut held, request, treatment.deadline, &mut progress);
        let end = match attempt.await {
            Ok(end) => end,
            Err(Fault::Caller(error)) => return Err(Stop::Caller(error)),
            Err(fault) => {
                let (wrote, doubt) = (held.wrote, fault.doubt());
                match fault {
                    Fault::Late => held.retire(),
                    Fault::Broken => self.service.broke(server),
                    _ => self.service.failed(server),
                }
                return Err(self.lost(wrote, request, progress.sent, doubt));
            }
        };
        if let Some(pass) = pass {
            pass.answered();
        }
        let by = by(held.part);
        let settled = self
            .settle(held, end, &mut progress, request, treatment, sent, mark)
            .await?;
        match settled {
            Settled::Given => Ok(by),
            Settled::Elsewhere(refusal) => Err(refusal.into()),
        }
    }

    /// What to tell when the connection that the session kept is gone.
    fn lost(&mut self, wrote: bool, request: &Request, sent: bool, doubt: Doubt) -> Stop {
        let open = self.state.transaction() != Transaction::Idle;
        let commits = |action: &Action| matches!(action, Action::Commit { .. });
        let commits = sent && request.parts().any(|part| commits(&part.action));
        let writes = sent && request.access() == Access::Write;
        let refusal = if commits && (wrote || writes) {
            let doubt = match doubt {
                Doubt::ConnectionLost => Doubt::CommitUnconfirmed,
                other => other,
            };
            self.state.set_transaction(Transaction::Idle);
            Refusal::OutcomeUnknown { doubt }
        } else if open {
            self.orphan();
            Refusal::TransactionLost
        } else if writes || wrote {
            Refusal::OutcomeUnknown { doubt }
        } else {
            Refusal::TransactionLost
        };
        if self.state.pins().next().is_some() {
            return Stop::Fatal(refusal);
        }
        Stop::Refused(refusal)
    }

    /// Whether `part` is still what the connection's server was when the session came to it.
    fn still_leads(&self, part: TargetRole) -> bool {
        match part {
            TargetRole::Primary(term) => self.service.leads(term),
            TargetRole::Replica => true,
        }
    }
}
