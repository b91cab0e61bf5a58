//! The chain that a request goes through: match rules, route, admit, execute, settle, account.

use std::time::Duration;

use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::once::keyed::{Directive as KeyedDirective, Keyed};
use flamingopost_core::refusal::{Doubt, Ran, Refusal};
use flamingopost_core::retry::{self, Failure};
use flamingopost_core::route::TargetRole;
use flamingopost_core::rule::Ack;
use flamingopost_core::session::need::Need;
use flamingopost_core::statement::Action;

use crate::account::By;
use crate::attempt::Fault;
use crate::exchange::Progress;
use crate::front;
use crate::gate::Pass;
use crate::held::Held;
use crate::keyed;
use crate::pool;
use crate::reply;
use crate::request::Request;
use crate::seek::Found;
use crate::service::Way;
use crate::session::{Flow, Session};
use crate::settle::Settled;
use crate::treatment::{self, Treatment};

mod kept;

/// When to come back to a service none of whose servers took a connection.
const UNREACHABLE: Duration = Duration::from_millis(500);

/// Why there is no answer.
#[derive(Debug)]
pub enum Stop {
    /// The caller is told why.
    Refused(Refusal),
    /// The caller is told why, and the session ends: its state on the connection is lost.
    Fatal(Refusal),
    /// The caller is gone.
    Caller(front::Error),
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Stop {
        Stop::Refused(refusal)
    }
}

/// What became of one attempt.
enum Outcome {
    Answered(By),
    /// There is no answer, for this reason.
    Failed {
        failure: Failure,
        ran: Ran,
        refusal: Refusal,
    },
}

impl Session {
    /// Answers `request` through a server.
    ///
    /// # Errors
    /// The caller is gone.
    pub async fn answer(&mut self, request: &Request) -> Result<Flow, front::Error> {
        let arrived = self.now();
        self.service.touch(arrived);
        let (service, context) = (&self.service, &self.context);
        let tag = self.writes.tag();
        let treatment = treatment::choose(context, service, self.caller, request, tag, arrived);
        let treatment = match treatment {
            Ok(treatment) => treatment,
            Err(refusal) => {
                self.refuse(request, &refusal);
                return Ok(Flow::On);
            }
        };
        if keyed::is_keyed(request, treatment.key.as_ref())
            && let Err(refusal) = keyed::check(request, self.held.is_some())
        {
            treatment.book.refused(refusal.sqlstate());
            self.refuse(request, &refusal);
            return Ok(Flow::On);
        }
        let alone = self.held.is_none() && request.only_reads();
        let outcome = match self.held.take() {
            Some(held) => self.go_on(held, request, &treatment).await,
            None => self.begin(request, &treatment).await,
        };
        let took = self.now().saturating_sub(arrived);
        match outcome {
            Ok(by) => {
                let allowed = treatment.deadline.saturating_sub(arrived);
                treatment.book.answered(by, took, allowed);
                if alone {
                    treatment.book.read(treatment.then.target, by);
                }
                Ok(Flow::On)
            }
            Err(Stop::Refused(refusal)) => {
                treatment.book.refused(refusal.sqlstate());
                self.refuse(request, &refusal);
                Ok(Flow::On)
            }
            Err(Stop::Fatal(refusal)) => {
                treatment.book.refused(refusal.sqlstate());
                reply::fatal(
                    &mut self.front.out,
                    refusal.sqlstate(),
                    &refusal.to_string(),
                );
                Ok(Flow::Close)
            }
            Err(Stop::Caller(error)) => Err(error),
        }
    }

    /// Answers a request that begins on a connection of its own choice.
    async fn begin(&mut self, request: &Request, treatment: &Treatment) -> Result<By, Stop> {
        self.service.tell_first_attempt();
        let mut count = 0;
        loop {
            count += 1;
            let outcome = self.try_once(request, treatment).await?;
            let (failure, ran, refusal) = match outcome {
                Outcome::Answered(by) => return Ok(by),
                Outcome::Failed {
                    failure,
                    ran,
                    refusal,
                } => (failure, ran, refusal),
            };
            // What certainly did not run is worth another try whatever the rule says of
            // repeating it.
            let retries = match ran {
                Ran::No => treatment.then.retries.max(1),
                _ => treatment.then.retries,
            };
            let attempt = retry::Attempt {
                count,
                failure,
                ran,
                repeatable: treatment.then.repeatable,
                retries,
                deadline: treatment.deadline,
                expected: Duration::ZERO,
                random_bits: rand::random(),
            };
            match self.service.retry(&attempt) {
                retry::RetryDecision::Retry(wait) => {
                    let safe = ran == Ran::No || treatment.then.repeatable;
                    invariant::check(Invariant::AtMostOnce, safe, || {
                        format!("sent again after {refusal}")
                    });
                    tokio::time::sleep(wait).await;
                }
                retry::RetryDecision::GiveUp => {
                    let truthful = refusal.ran() != Ran::No || ran == Ran::No;
                    invariant::check(Invariant::TrueRefusal, truthful, || {
                        format!("{refusal} is told of a request that may have run")
                    });
                    return Err(refusal.into());
                }
            }
        }
    }

    /// Route, admit, execute, once.
    async fn try_once(
        &mut self,
        request: &Request,
        treatment: &Treatment,
    ) -> Result<Outcome, Stop> {
        let (found, way, pass) = self.admitted(request, treatment).await?;
        let left = treatment.deadline.saturating_sub(self.now());
        let lent = match way.pool.lend(&self.state, left).await {
            Ok(lent) => lent,
            Err(pool::Error::Late) => {
                return Err(Stop::Refused(Refusal::Overloaded {
                    retry_after: UNREACHABLE,
                }));
            }
            Err(pool::Error::Connect(error)) => {
                self.service.stumbled(found.server, &error);
                return Ok(Outcome::Failed {
                    failure: Failure::ThisServer,
                    ran: Ran::No,
                    refusal: Refusal::NoServer {
                        retry_after: UNREACHABLE,
                    },
                });
            }
        };
        let held = Box::new(Held {
            lent,
            part: found.part,
            need: found.need,
            wrote: false,
            ack: Ack::Primary,
            tainted: false,
        });
        let sent = self.now();
        self.service.started(found.server);
        let outcome = match &treatment.key {
            Some(key) if keyed::is_keyed(request, Some(key)) => {
                let key = key.clone();
                self.execute_keyed(held, request, treatment, &key, pass, sent)
                    .await
            }
            _ => self.execute(held, request, treatment, pass, sent).await,
        };
        let took = self.now().saturating_sub(sent);
        let answered = matches!(outcome, Ok(Outcome::Answered(_)));
        let took = answered.then_some(took);
        self.service.finished(found.server, took);
        outcome
    }

    /// A server for `request` that it is let through to.
    async fn admitted(
        &mut self,
        request: &Request,
        treatment: &Treatment,
    ) -> Result<(Found, Way, Pass), Refusal> {
        loop {
            let found = self.seek(request, treatment).await?;
            let Some(way) = self.service.way(found.server) else {
                continue;
            };
            let pass = way.gate.enter(treatment.asker).await?;
            // The wait may have been long: the server may be leaving by now, or lead no more.
            if self.still_fits(&found, request) {
                return Ok((found, way, pass));
            }
        }
    }

    async fn execute(
        &mut self,
        mut held: Box<Held>,
        request: &Request,
        treatment: &Treatment,
        pass: Pass,
        sent: Duration,
    ) -> Result<Outcome, Stop> {
        let mark = self.front.out.len();
        let mut progress = Progress::default();
        let attempt = self.race(&mut held, request, treatment, sent, &mut progress);
        let end = match attempt.await {
            Ok(end) => end,
            Err(fault) => return self.broken(*held, fault, mark, &progress),
        };
        pass.answered();
        let by = by(held.part);
        let settled = self
            .settle(held, end, &mut progress, request, treatment, sent, mark)
            .await?;
        Ok(match settled {
            Settled::Given => Outcome::Answered(by),
            Settled::Elsewhere(refusal) => Outcome::Failed {
                failure: Failure::AllServers,
                ran: refusal.ran(),
                refusal,
            },
        })
    }

    /// The same for a request with a key.
    async fn execute_keyed(
        &mut self,
        mut held: Box<Held>,
        request: &Request,
        treatment: &Treatment,
        key: &str,
        pass: Pass,
        sent: Duration,
    ) -> Result<Outcome, Stop> {
        let mark = self.front.out.len();
        let mut progress = Progress::default();
        let mut attempt = Keyed::start(key, &keyed::digest(request));
        let deadline = treatment.deadline;
        let run = self.run_keyed(&mut held, &mut attempt, request, deadline, &mut progress);
        let next = match run.await {
            Ok(next) => next,
            Err(fault) => return self.broken(*held, fault, mark, &progress),
        };
        pass.answered();
        self.service.heard(held.lent.back(), None, sent);
        let (position, part) = (held.position(), held.part);
        let late = self.now() >= deadline;
        if late && held.lent.back().pending > 0 {
            held.retire();
        } else {
            held.release();
        }
        match (next, part) {
            (KeyedDirective::Done { .. }, TargetRole::Primary(term)) => {
                self.commit_keyed(term, position, &progress, treatment)
                    .await?;
                Ok(Outcome::Answered(By::Primary))
            }
            (KeyedDirective::AlreadyDone { tag }, _) => {
                let key = key.to_owned();
                Err(Stop::Refused(Refusal::AlreadyRan { key, tag }))
            }
            (KeyedDirective::Failed, _) => {
                self.ready();
                Ok(Outcome::Answered(By::Primary))
            }
            (KeyedDirective::Retry(refusal), _) if !progress.streamed && !late => {
                self.front.out.truncate(mark);
                // The key makes another run from the start safe, whatever became of this one.
                Ok(Outcome::Failed {
                    failure: Failure::ThisServer,
                    ran: Ran::No,
                    refusal,
                })
            }
            (KeyedDirective::Retry(refusal) | KeyedDirective::Refuse(refusal), _) => {
                if !progress.streamed {
                    self.front.out.truncate(mark);
                }
                Err(Stop::Refused(refusal))
            }
            (KeyedDirective::Done { .. } | KeyedDirective::Send(_), _) => {
                let doubt = Doubt::CommitUnconfirmed;
                Err(Stop::Refused(Refusal::OutcomeUnknown { doubt }))
            }
        }
    }

    /// The first request on a connection got no answer.
    fn broken(
        &mut self,
        held: Held,
        fault: Fault,
        mark: usize,
        progress: &Progress,
    ) -> Result<Outcome, Stop> {
        let server = held.lent.server();
        let doubt = fault.doubt();
        match fault {
            Fault::Caller(error) => return Err(Stop::Caller(error)),
            Fault::Late => held.retire(),
            Fault::Broken => self.service.broke(server),
            Fault::Settings => {}
        }
        if progress.streamed {
            return Err(Stop::Refused(Refusal::OutcomeUnknown { doubt }));
        }
        self.front.out.truncate(mark);
        if !progress.sent {
            return Ok(Outcome::Failed {
                failure: Failure::ThisServer,
                ran: Ran::No,
                refusal: unsent(doubt),
            });
        }
        Ok(Outcome::Failed {
            failure: Failure::ThisServer,
            ran: Ran::Unknown,
            refusal: Refusal::OutcomeUnknown { doubt },
        })
    }

    fn still_fits(&self, found: &Found, request: &Request) -> bool {
        let begins = self.service.takes_work(found.server);
        let leads = match found.part {
            TargetRole::Primary(term) => self.service.may_write(found.server, term),
            TargetRole::Replica => true,
        };
        // A read that was sent to the primary for lack of replicas may go on without the lease
        // if its need does not ask for it.
        let current = leads || (!needs_primary(request) && found.need != Need::Primary);
        begins && current
    }
}

/// Why something that was never sent is not answered.
fn unsent(doubt: Doubt) -> Refusal {
    match doubt {
        Doubt::DeadlinePassed => Refusal::DeadlineTooShort {
            needed: Duration::ZERO,
            left: Duration::ZERO,
            retry_after: Duration::ZERO,
        },
        _ => Refusal::NoServer {
            retry_after: UNREACHABLE,
        },
    }
}

/// Whether `request` has to run on the primary under a valid write lease.
pub fn needs_primary(request: &Request) -> bool {
    use flamingopost_core::rule::Access;
    use flamingopost_core::statement::SessionState;

    let begins = request
        .parts()
        .any(|part| matches!(part.action, Action::Begin { read_only: false }));
    begins || request.access() == Access::Write || request.session_state() == SessionState::Pinned
}

fn by(part: TargetRole) -> By {
    match part {
        TargetRole::Primary(_) => By::Primary,
        TargetRole::Replica => By::Replica,
    }
}
