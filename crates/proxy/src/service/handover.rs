//! Use of a leaving primary until its successor is seen to lead.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::quorum::{Handover, Verdict};
use tokio::time::timeout;

use super::hold::SUCCESSOR_HOLD;
use super::{Service, State};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::EndedTerm;

/// Interval at which a statement that waits for the successor's state looks whether the handover is
/// over.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A statement that waits for the state of the successor.
struct Demand<'a, C: Codec> {
    service: &'a Service<C>,
}

impl<'a, C: Codec> Demand<'a, C> {
    fn new(service: &'a Service<C>) -> Demand<'a, C> {
        service
            .handover_waiting
            .set(service.handover_waiting.get() + 1);
        service.handover_demand.notify_one();
        Demand { service }
    }
}

impl<C: Codec> Drop for Demand<'_, C> {
    fn drop(&mut self) {
        let waiting = &self.service.handover_waiting;
        waiting.set(waiting.get().saturating_sub(1));
    }
}

impl<C: Codec> State<C> {
    /// Returns what is known of the successor, if the order under `token` is the newest one and the
    /// primary is used until the successor leads.
    fn handover_mut(&mut self, token: u64) -> Option<&mut Handover> {
        let replacement = self.replacement.as_mut()?;
        let handover = replacement.handover.as_mut();
        handover.filter(|_| replacement.token == token)
    }
}

impl<C: Codec> Service<C> {
    /// Uses the primary whose term ends as `ended` describes until its successor is seen to lead, or
    /// for `serves` at the most. Returns whether that is new.
    pub fn start_handover(&self, ended: &EndedTerm, serves: Duration) -> bool {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let leads_on = state.has_ended(state.dispatch.leader());
        let Some(replacement) = state.replacement.as_mut().filter(|it| it.is_of(ended)) else {
            return false;
        };
        if !leads_on || replacement.handover.is_some() {
            return false;
        }
        replacement.handover = Some(Handover::default());
        replacement.hold_from = now + serves;
        replacement.ignore_from = now + serves;
        state.hold_for_successor(now + serves, now + serves + SUCCESSOR_HOLD);
        true
    }

    /// Returns the token of the order whose successor is watched, while the primary is used.
    pub fn handover_token(&self) -> Option<u64> {
        let now = self.site.now();
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref()?;
        let handover = replacement.handover?;
        let is_used = now < replacement.hold_from && !handover.is_over();
        is_used.then_some(replacement.token)
    }

    /// Returns for how long the primary may still be used, if its successor is watched.
    pub fn remaining_handover_time(&self) -> Option<Duration> {
        self.handover_token()?;
        let state = self.state.borrow();
        let hold_from = state.replacement.as_ref()?.hold_from;
        Some(hold_from.saturating_sub(self.site.now()))
    }

    /// Reports whether statements wait for a successor, so that an order may be in transit.
    pub fn awaits_successor(&self) -> bool {
        self.state.borrow().successor_hold.is_some()
    }

    /// Reports whether `server` is a leaving primary that is used until its successor leads.
    pub fn is_handed_over(&self, server: ServerKey) -> bool {
        let state = self.state.borrow();
        let replacement = state.replacement.as_ref();
        replacement.is_some_and(|it| it.handover.is_some()) && state.leader.is_term_ended(server)
    }

    /// Reports whether uses of `server` rest on answers of another server that may succeed it: it is a
    /// leaving primary, or an order to replace it may be carried out.
    pub fn rests_on_successor(&self, server: ServerKey) -> bool {
        self.is_handed_over(server) || self.is_bound_at(server)
    }

    /// Waits until it is known whether the successor of `server` still followed at `arrived` or later, and
    /// returns when it did.
    pub async fn confirm_read(&self, server: ServerKey, arrived: Duration) -> Option<Duration> {
        let judge = |handover: &Handover| handover.read(arrived);
        self.decide(server, judge).await
    }

    /// Waits until it is known whether the commit counts that the primary `server` answered at `answered`
    /// with `position`. Returns whether it does.
    pub async fn confirm_commit(
        &self,
        server: ServerKey,
        position: Option<Position>,
        answered: Duration,
    ) -> bool {
        let judge = |handover: &Handover| handover.commit(position, answered);
        self.decide(server, judge).await.is_some()
    }

    async fn decide(
        &self,
        server: ServerKey,
        judge: impl Fn(&Handover) -> Verdict,
    ) -> Option<Duration> {
        let _demand = Demand::new(self);
        let is_handed_over = self.is_handed_over(server);
        let token = self.state.borrow().replacement.as_ref().map(|it| it.token);
        loop {
            let answered = self.handover_answered.notified();
            let now = self.site.now();
            let verdict = match is_handed_over {
                true => {
                    let state = self.state.borrow();
                    let newest = state.replacement.as_ref();
                    let replacement = newest.filter(|it| Some(it.token) == token)?;
                    match judge(replacement.handover.as_ref()?) {
                        Verdict::Unknown if now >= replacement.ignore_from => Verdict::Late,
                        verdict => verdict,
                    }
                }
                false => {
                    let state = self.state.borrow();
                    match state.binding(server) {
                        Some(order) => judge(&order.handover),
                        None if state.dispatch.leader() == Some(server) => Verdict::Counts(now),
                        None => Verdict::Late,
                    }
                }
            };
            match verdict {
                Verdict::Counts(at) => return Some(at),
                Verdict::Late => return None,
                Verdict::Unknown => {}
            }
            let _ = timeout(RECHECK_INTERVAL, answered).await;
        }
    }

    /// Reports whether some statement waits for the state of the successor.
    pub fn is_handover_demanded(&self) -> bool {
        self.handover_waiting.get() > 0
    }

    /// Records that the successor ordered under `token`, asked at `asked`, follows and has received the
    /// log up to `received`.
    pub fn record_follower(&self, token: u64, asked: Duration, received: Position) {
        if let Some(handover) = self.state.borrow_mut().handover_mut(token) {
            handover.record_follower(asked, received);
        }
        self.handover_answered.notify_waiters();
    }

    /// Stops using the primary whose successor was ordered under `token`, because that leads or can no
    /// longer be asked.
    pub fn end_handover(self: &Rc<Self>, token: u64, why: &'static str) {
        let now = self.site.now();
        let mut learned_at = now;
        {
            let mut state = self.state.borrow_mut();
            let Some(handover) = state.handover_mut(token).filter(|it| !it.is_over()) else {
                return;
            };
            handover.record_lead();
            if let Some(replacement) = state.replacement.as_mut() {
                learned_at = replacement.learned_at;
                replacement.hold_from = replacement.hold_from.min(now);
                replacement.ignore_from = replacement.ignore_from.min(now);
            }
            if let Some(hold) = state.successor_hold {
                let (from, until) = (hold.from.min(now), hold.until.min(now + SUCCESSOR_HOLD));
                state.successor_hold = Some(dispatch::Hold { from, until });
                state.apply_holds();
            }
        }
        self.site.log(&Event::HandoverEnded {
            service: self.name.clone(),
            why,
            millis: now.saturating_sub(learned_at).as_millis(),
        });
        self.require_tick();
        self.handover_answered.notify_waiters();
    }
}
