//! Promotion of one service: from the close of its term to the opening of the next.
//!
//! 1. *Prepare* (planned switchovers only): wait until a replica is close behind the primary.
//! 2. *Close*: record in the row that the term is closed, and revoke every running lease. The next
//!    step waits until the row is committed and each holder has answered or its lease has lapsed.
//! 3. *Choose* the reachable server with the highest replication position, and wait a bounded time
//!    for one that has every acknowledged write.
//! 4. *Promote* that server. The order names the new term and is repeated until the server reports
//!    that it leads that term. The term begins at the position that the server reports then.
//! 5. *Open* the term: record it in the row, and once that is committed, send the new view to the
//!    lease holders.
//!
//! A succeeding controller resumes from the row: for a closed term it starts at step 3, with a new
//! term of its own epoch.

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

/// One promotion in progress.
#[derive(Debug)]
pub struct Promotion {
    key: ServiceKey,
    reason: Reason,
    servers: BTreeSet<ServerKey>,
    service: Service,
    step: Step,
    /// Holders that have not answered the revocation, with the times at which their leases end.
    awaited_holders: BTreeMap<Instance, Duration>,
    /// Whether `acknowledged` covers every write that any holder can have acknowledged.
    acknowledged_complete: bool,
    /// The highest position known to have been acknowledged or written.
    acknowledged: Option<Position>,
    statuses: BTreeMap<ServerKey, Status>,
    /// The greatest term that any server knows or was ordered to lead.
    greatest_term: Term,
    last_status_query: Option<Duration>,
    last_revocation: Option<Duration>,
    /// The sum of all servers' log positions, and when it last changed.
    progress: (u64, Duration),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Waiting until a replica is close behind the primary.
    Preparing,
    /// The term is to be closed.
    Start,
    /// Waiting for the commit of the closed term and for the lease holders.
    Closing { revision: u64 },
    /// Waiting for a server that can be promoted.
    Choosing {
        since: Duration,
        not_before: Duration,
    },
    /// Waiting until `server` reports that it leads `term`.
    Promoting {
        server: ServerKey,
        term: Term,
        at_least: Position,
        since: Duration,
        ordered: Option<Duration>,
    },
    /// `server` leads `term`, which is to be opened.
    Ready {
        server: ServerKey,
        term: Term,
        start: Position,
    },
    /// Waiting for the commit of the open term.
    Opening { revision: u64 },
}

impl Promotion {
    /// Creates a promotion of the service `key`, whose state in the row is `service`.
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
            // A rival's term may have had lease holders that this controller does not know of.
            acknowledged_complete: !closed && reason != Reason::Rival,
            acknowledged: None,
            statuses: BTreeMap::new(),
            last_status_query: None,
            last_revocation: None,
            progress: (0, now),
        }
    }

    /// Returns the key of the service.
    pub fn key(&self) -> ServiceKey {
        self.key
    }

    /// Returns the servers of the service.
    pub fn servers(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.servers.iter().copied()
    }

    /// Returns why the service gets another primary.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Records the position up to which the old primary is known to have written.
    ///
    /// `complete` states that anything past it can only have been acknowledged by the holders whose
    /// leases are about to be revoked.
    pub fn set_known_written(&mut self, position: Position, complete: bool) {
        self.acknowledged = self.acknowledged.max(Some(position));
        self.acknowledged_complete &= complete;
    }

    /// Turns a planned switchover into a failover, because the old primary is unreachable.
    ///
    /// Has no effect on other promotions.
    pub fn on_primary_unreachable(&mut self) {
        if self.reason == Reason::Leaving {
            self.reason = Reason::Unreachable;
            if self.step == Step::Preparing {
                self.step = Step::Start;
            }
        }
    }

    /// Records that the closed state is in the row of `revision` and in the view.
    ///
    /// `running` are the leases that were running at that time. Leases granted later are for that
    /// view.
    pub fn begin_closing(&mut self, revision: u64, running: BTreeMap<Instance, Duration>) {
        self.awaited_holders = running;
        self.step = Step::Closing { revision };
    }

    /// Records that the open state is in the row of `revision`.
    pub fn begin_opening(&mut self, revision: u64) {
        self.step = Step::Opening { revision };
    }

    /// Handles a holder's answer to the revocation.
    pub fn on_closed(&mut self, holder: Instance, acknowledged: Option<Position>) {
        self.awaited_holders.remove(&holder);
        self.acknowledged = self.acknowledged.max(acknowledged);
    }

    /// Handles a server's status, or `None` if the query failed.
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

    /// Handles the outcome of a promotion order.
    ///
    /// After both `Done` and `Unknown`, the server's own status decides.
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
                    not_before: now + timing::RESEND_INTERVAL,
                };
            }
            OrderOutcome::Done | OrderOutcome::Unknown => self.last_status_query = None,
        }
    }

    /// Advances the promotion and returns the actions that are due at `now`.
    ///
    /// `epoch` is that of the controller's authority, and `committed` the committed revision of its
    /// row.
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
            .is_some_and(|asked| now < asked + timing::RESEND_INTERVAL)
        {
            return None;
        }
        self.last_status_query = Some(now);
        Some(PromotionAction::QueryStatus(
            self.servers.iter().copied().collect(),
        ))
    }

    /// Reports whether a replica that is not leaving is close behind the primary.
    fn is_prepared(&self) -> bool {
        let primary = self.service.primary.and_then(|p| self.statuses.get(&p));
        let is_near = |status: &Status| {
            let caught_up = primary.is_some_and(|p| status.position == p.position);
            !status.leads && !status.leaving && (caught_up || status.age <= timing::RESEND_INTERVAL)
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
        // A lease lapsed without an answer. Its holder may have acknowledged writes that are not
        // covered by `acknowledged`.
        self.acknowledged_complete &= awaited == self.awaited_holders.len();
        if self.awaited_holders.is_empty()
            || self
                .last_revocation
                .is_some_and(|at| now < at + timing::RESEND_INTERVAL)
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
        // A term of a later epoch shows that this controller has been replaced. It will learn of
        // that from the table.
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
        if now >= since + timing::CONFIRM_TIMEOUT {
            // The server may have taken the term and may yet report it. The next order uses a
            // greater term, and a term that was not opened is never published.
            self.statuses.remove(&server);
            self.step = Step::Choosing {
                since,
                not_before: now + timing::RESEND_INTERVAL,
            };
            return None;
        }
        if ordered.is_some_and(|ordered| now < ordered + timing::RESEND_INTERVAL) {
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

    /// Returns the server to promote at `now`, or `None` if the choice, which began at `since`, has
    /// to wait longer.
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
        let complete = self.acknowledged_complete && self.acknowledged.is_some();
        // All candidates have answered, the old primary is gone, and replication has stopped:
        // waiting longer gains nothing.
        let gone = replaced.is_none_or(|server| !self.statuses.contains_key(&server));
        let stalled = now >= self.progress.1.max(since) + timing::REPLICATION_IDLE;
        let is_final = all_answered && gone && stalled;
        match best {
            Some((_, status)) if self.has_all_writes(status) && (gathered || complete) => best,
            _ if waited < self.catch_up_timeout() && !is_final => None,
            // No other server has everything, or no other server is reachable: the replaced
            // primary is chosen if it is reachable and has the highest position.
            _ => self.most_advanced(|_| true),
        }
    }

    fn catch_up_timeout(&self) -> Duration {
        match self.reason {
            Reason::Leaving => timing::SWITCHOVER_CATCH_UP_TIMEOUT,
            _ => timing::CATCH_UP_TIMEOUT,
        }
    }

    fn answer_timeout(&self) -> Duration {
        match self.reason {
            // The server that has not answered may be the one that led the greater term.
            Reason::Rival => timing::CATCH_UP_TIMEOUT,
            _ => timing::GATHER_TIMEOUT,
        }
    }

    /// Reports whether the replaced primary is chosen only if no other server qualifies.
    fn avoids_replaced(&self) -> bool {
        !matches!(self.reason, Reason::Rival | Reason::Created(_))
    }

    /// Returns the server with the highest position. Ties go to a server that is not leaving, then
    /// to the preferred one: the configured first primary, or else the present primary.
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

    /// Reports whether a log contains every position known to have been acknowledged. For a planned
    /// switchover it must also reach the position that the old primary last reported.
    fn has_all_writes(&self, status: Status) -> bool {
        let history = self.service.lineage(status.position);
        let reaches = |wanted| history.covers(status.position, wanted);
        let planned = self.reason == Reason::Leaving;
        let written = self.service.primary.and_then(|p| self.statuses.get(&p));
        let written = written.filter(|_| planned).map(|status| status.position);
        self.acknowledged.is_none_or(reaches) && written.is_none_or(reaches)
    }

    /// Returns the service with `term` open, and with a record of what the promotion lost or may
    /// have lost.
    fn opened_service(&self, server: ServerKey, term: Term, start: Position) -> Service {
        let mut service = self.service.clone();
        service.open(term, server, start);
        let created = matches!(self.reason, Reason::Created(_));
        let lost = self
            .acknowledged
            .filter(|p| !service.history.covers(start, *p));
        // This promotion may start before an earlier one did whose record of losses is incomplete.
        // Its own record is incomplete then as well.
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
