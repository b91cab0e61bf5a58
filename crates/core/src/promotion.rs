//! Promotion of one service: from the close of its term to the opening of the next.
//!
//! 1. *Prepare* (planned switchovers only): wait until a replica is close behind.
//! 2. *Close*: the row says that the term is over, and every holder of a running lease is told.
//!    The next step waits until the row is committed and each holder has answered or its lease
//!    has lapsed.
//! 3. *Choose* the reachable server whose data reach furthest, and wait a bounded time for one
//!    that has all that was acknowledged.
//! 4. *Promote* it. The order names its term and is repeated until the server says that it leads
//!    that term; its log ends there, and the term begins there.
//! 5. *Open* the term: the row says so, and once that is committed, holders are told.
//!
//! A successor resumes from the row: a closed term is promoted again from step 3, under a term
//! of the successor's own epoch.

#[path = "promotion_next.rs"]
mod next;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use next::{OrderOutcome, PromotionAction, Reason, Status};

use crate::key::{ServerKey, ServiceKey};
use crate::lease::Instance;
use crate::position::Position;
use crate::row::{Loss, Service};
use crate::term::Term;
use crate::timing;
use crate::view::State;

/// One promotion under way.
#[derive(Debug)]
pub struct Promotion {
    key: ServiceKey,
    reason: Reason,
    servers: BTreeSet<ServerKey>,
    service: Service,
    step: Step,
    awaited_holders: BTreeMap<Instance, Duration>,
    /// Whether every holder told what it had acknowledged.
    acknowledged_complete: bool,
    acknowledged: Option<Position>,
    statuses: BTreeMap<ServerKey, Status>,
    /// The greatest term that any server knows or was ordered to lead.
    greatest_term: Term,
    last_status_query: Option<Duration>,
    last_revocation: Option<Duration>,
    /// How far all servers together had got, and when that last changed.
    progress: (u64, Duration),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Preparing,
    Start,
    Closing {
        revision: u64,
    },
    Choosing {
        since: Duration,
        not_before: Duration,
    },
    Promoting {
        server: ServerKey,
        term: Term,
        at_least: Position,
        since: Duration,
        ordered: Option<Duration>,
    },
    Ready {
        server: ServerKey,
        term: Term,
        start: Position,
    },
    Opening {
        revision: u64,
    },
}

impl Promotion {
    /// A promotion of the service `key`, which the row shows as `service`.
    pub fn new(
        key: ServiceKey,
        servers: BTreeSet<ServerKey>,
        service: Service,
        reason: Reason,
        now: Duration,
    ) -> Promotion {
        let closed = matches!(service.state, State::Closed { .. });
        let step = match reason {
            Reason::Leaving => Step::Preparing,
            _ if closed => Step::Choosing {
                since: now,
                not_before: now,
            },
            _ => Step::Start,
        };
        Promotion {
            key,
            reason,
            servers,
            greatest_term: service.state.term(),
            service,
            step,
            awaited_holders: BTreeMap::new(),
            // A rival's term may have had holders that nobody here knows of.
            acknowledged_complete: !closed && reason != Reason::Rival,
            acknowledged: None,
            statuses: BTreeMap::new(),
            last_status_query: None,
            last_revocation: None,
            progress: (0, now),
        }
    }

    /// The service.
    pub fn key(&self) -> ServiceKey {
        self.key
    }

    /// The servers of its group.
    pub fn servers(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.servers.iter().copied()
    }

    /// Why it gets another primary.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Tells up to where the old primary is known to have written, and whether anything past
    /// that can only have been acknowledged by the holders that are about to be asked.
    pub fn set_known_written(&mut self, position: Position, complete: bool) {
        self.acknowledged = self.acknowledged.max(Some(position));
        self.acknowledged_complete &= complete;
    }

    /// Gives up waiting for a planned switchover's old primary, which has become unreachable.
    pub fn on_primary_unreachable(&mut self) {
        if self.reason == Reason::Leaving {
            self.reason = Reason::Unreachable;
            if self.step == Step::Preparing {
                self.step = Step::Start;
            }
        }
    }

    /// Tells that the closed state is in the row of `revision` and in the view, and which leases
    /// were running when it got there. Leases granted later are on that view.
    pub fn begin_closing(&mut self, revision: u64, running: BTreeMap<Instance, Duration>) {
        self.awaited_holders = running;
        self.step = Step::Closing { revision };
    }

    /// Tells that the open state is in the row of `revision`.
    pub fn begin_opening(&mut self, revision: u64) {
        self.step = Step::Opening { revision };
    }

    /// Takes a holder's answer to the revocation.
    pub fn on_closed(&mut self, holder: Instance, acknowledged: Option<Position>) {
        self.awaited_holders.remove(&holder);
        self.acknowledged = self.acknowledged.max(acknowledged);
    }

    /// Takes a server's status, or that it could not be asked.
    pub fn on_status(&mut self, server: ServerKey, status: Option<Status>) {
        let Some(status) = status else {
            self.statuses.remove(&server);
            return;
        };
        self.statuses.insert(server, status);
        self.greatest_term = self.greatest_term.max(status.term);
        if let Step::Promoting {
            server: chosen,
            term,
            ..
        } = self.step
            && chosen == server
            && status.leads
            && status.term == term
        {
            self.step = Step::Ready {
                server,
                term,
                start: status.position,
            };
        }
    }

    /// Takes the answer to a promotion order. `Done` and `Unknown` alike are settled by the
    /// server's own status.
    pub fn on_promoted(
        &mut self,
        server: ServerKey,
        term: Term,
        order: OrderOutcome,
        now: Duration,
    ) {
        let Step::Promoting {
            server: chosen,
            term: ordered,
            since,
            ..
        } = self.step
        else {
            return;
        };
        if (chosen, ordered) != (server, term) {
            return;
        }
        match order {
            OrderOutcome::Refused => {
                self.statuses.remove(&server);
                self.step = Step::Choosing {
                    since,
                    not_before: now + timing::RETRY,
                };
            }
            OrderOutcome::Done | OrderOutcome::Unknown => self.last_status_query = None,
        }
    }

    /// What to do at `now`, under the authority of `epoch`, whose row is committed up to
    /// `committed`.
    pub fn step(&mut self, epoch: u32, committed: u64, now: Duration) -> Vec<PromotionAction> {
        let mut actions = Vec::new();
        self.track_progress(now);
        if !matches!(self.step, Step::Start | Step::Opening { .. }) {
            actions.extend(self.query_statuses(now));
        }
        match self.step {
            Step::Preparing => {
                if self.is_prepared() {
                    self.step = Step::Start;
                }
            }
            Step::Start => actions.push(PromotionAction::Commit(self.closed_service())),
            Step::Closing { revision } => {
                actions.extend(self.revoke(now));
                if self.awaited_holders.is_empty() && committed >= revision {
                    self.step = Step::Choosing {
                        since: now,
                        not_before: now,
                    };
                    actions.extend(self.choose(epoch, now));
                }
            }
            Step::Choosing { .. } => actions.extend(self.choose(epoch, now)),
            Step::Promoting { .. } => actions.extend(self.promote(now)),
            Step::Ready {
                server,
                term,
                start,
            } => actions.push(PromotionAction::Commit(
                self.opened_service(server, term, start),
            )),
            Step::Opening { revision } => {
                if committed >= revision {
                    actions.push(PromotionAction::Done);
                }
            }
        }
        actions
    }

    fn query_statuses(&mut self, now: Duration) -> Option<PromotionAction> {
        if self
            .last_status_query
            .is_some_and(|asked| now < asked + timing::RETRY)
        {
            return None;
        }
        self.last_status_query = Some(now);
        Some(PromotionAction::QueryStatus(
            self.servers.iter().copied().collect(),
        ))
    }

    fn is_prepared(&self) -> bool {
        let primary = self.service.primary.and_then(|p| self.statuses.get(&p));
        let is_near = |status: &Status| {
            let caught_up = primary.is_some_and(|p| status.position == p.position);
            !status.leads && !status.leaving && (caught_up || status.age <= timing::RETRY)
        };
        self.statuses.values().any(is_near)
    }

    fn closed_service(&self) -> Service {
        let mut service = self.service.clone();
        service.state = State::Closed {
            term: service.state.term(),
        };
        service
    }

    fn revoke(&mut self, now: Duration) -> Option<PromotionAction> {
        let awaited = self.awaited_holders.len();
        self.awaited_holders.retain(|_, until| *until > now);
        // A lease that lapsed without an answer: its holder may have acknowledged more than
        // anybody knows.
        self.acknowledged_complete &= awaited == self.awaited_holders.len();
        if self.awaited_holders.is_empty()
            || self
                .last_revocation
                .is_some_and(|at| now < at + timing::RETRY)
        {
            return None;
        }
        self.last_revocation = Some(now);
        Some(PromotionAction::Revoke(
            self.awaited_holders.keys().copied().collect(),
        ))
    }

    fn choose(&mut self, epoch: u32, now: Duration) -> Option<PromotionAction> {
        let Step::Choosing { since, not_before } = self.step else {
            return None;
        };
        // A term of a later epoch: this controller has been replaced and will learn of it.
        if now < not_before || self.greatest_term.epoch > epoch {
            return None;
        }
        let (server, status) = self.choose_server(since, now)?;
        let term = self.greatest_term.next(epoch);
        self.greatest_term = term;
        self.step = Step::Promoting {
            server,
            term,
            at_least: status.position,
            since: now,
            ordered: None,
        };
        self.promote(now)
    }

    fn promote(&mut self, now: Duration) -> Option<PromotionAction> {
        let Step::Promoting {
            server,
            term,
            at_least,
            since,
            ref mut ordered,
        } = self.step
        else {
            return None;
        };
        if now >= since + timing::CONFIRM {
            // It may have taken the term and may yet say so; the next order uses a greater one,
            // and nobody is told of a term that was not opened.
            self.statuses.remove(&server);
            self.step = Step::Choosing {
                since,
                not_before: now + timing::RETRY,
            };
            return None;
        }
        if ordered.is_some_and(|ordered| now < ordered + timing::RETRY) {
            return None;
        }
        *ordered = Some(now);
        self.last_status_query = None;
        Some(PromotionAction::Promote {
            server,
            term,
            at_least,
        })
    }

    fn track_progress(&mut self, now: Duration) {
        let reached = self
            .statuses
            .values()
            .map(|status| status.position.log)
            .sum();
        if reached != self.progress.0 {
            self.progress = (reached, now);
        }
    }

    /// The server to promote at `now`, where the choice began at `since`, if it is time.
    fn choose_server(&self, since: Duration, now: Duration) -> Option<(ServerKey, Status)> {
        let waited = now.saturating_sub(since);
        let replaced = self.service.primary.filter(|_| self.avoids_replaced());
        let is_candidate = |server: &ServerKey| Some(*server) != replaced;
        let best = self.most_advanced(is_candidate);
        let candidates = self.servers.iter().filter(|server| is_candidate(server));
        let all_answered = candidates
            .into_iter()
            .all(|s| self.statuses.contains_key(s));
        let gathered = all_answered || waited >= self.answer_timeout();
        let known_complete = self.acknowledged_complete && self.acknowledged.is_some();
        // Everybody has been asked, the old primary is gone, and nothing moves any more: more
        // waiting brings nothing.
        let gone = replaced.is_none_or(|server| !self.statuses.contains_key(&server));
        let stalled = now >= self.progress.1.max(since) + timing::STILL;
        let is_final = all_answered && gone && stalled;
        match best {
            Some((_, status))
                if self.has_all_acknowledged(status) && (gathered || known_complete) =>
            {
                best
            }
            _ if waited < self.catch_up_timeout() && !is_final => None,
            // Nobody else has all, or nobody else is there: the replaced primary is taken if
            // it can be reached and has more.
            _ => self.most_advanced(|_| true),
        }
    }

    fn catch_up_timeout(&self) -> Duration {
        match self.reason {
            Reason::Leaving => timing::CATCH_UP_PLANNED,
            _ => timing::CATCH_UP,
        }
    }

    fn answer_timeout(&self) -> Duration {
        match self.reason {
            // The one that does not answer may be the one that led the greater term.
            Reason::Rival => timing::CATCH_UP,
            _ => timing::GATHER,
        }
    }

    fn avoids_replaced(&self) -> bool {
        !matches!(self.reason, Reason::Rival | Reason::Created(_))
    }

    /// Data decide; among equals, one that stays, then the one that is wanted or leads already.
    fn most_advanced(&self, filter: impl Fn(&ServerKey) -> bool) -> Option<(ServerKey, Status)> {
        let wanted = match self.reason {
            Reason::Created(first) => Some(first),
            _ => self.service.primary,
        };
        self.statuses
            .iter()
            .filter(|(server, _)| filter(server))
            .max_by_key(|(server, status)| {
                let is_wanted = Some(**server) == wanted;
                (status.position, !status.leaving, is_wanted)
            })
            .map(|(server, status)| (*server, *status))
    }

    fn has_all_acknowledged(&self, status: Status) -> bool {
        let history = self.service.lineage(status.position);
        let reaches = |wanted| history.covers(status.position, wanted);
        let planned = self.reason == Reason::Leaving;
        let written = self.service.primary.and_then(|p| self.statuses.get(&p));
        let written = written.filter(|_| planned).map(|status| status.position);
        self.acknowledged.is_none_or(reaches) && written.is_none_or(reaches)
    }

    fn opened_service(&self, server: ServerKey, term: Term, start: Position) -> Service {
        let mut service = self.service.clone();
        service.open(term, server, start);
        let created = matches!(self.reason, Reason::Created(_));
        let lost = self
            .acknowledged
            .filter(|p| !service.history.covers(start, *p));
        // An earlier promotion that this one goes back behind may have lost more than it knew.
        let incomplete_loss = |loss: &Loss| loss.opened > start.term && !loss.complete;
        let complete = self.acknowledged_complete && !service.losses.iter().any(incomplete_loss);
        if lost.is_some() || !(complete || created) {
            service.losses.insert(Loss {
                opened: term,
                start: start.log,
                acknowledged: lost,
                complete,
            });
        }
        service
    }
}
