//! How a controller carries out promotions.

use std::time::Duration;

use super::{Lead, PrimaryPosition, RunningPromotion};
use crate::key::ServiceKey;
use crate::leadership::{Action, Group, Note};
use crate::lease::Ledger;
use crate::position::Position;
use crate::promotion::{Promotion, PromotionAction, Reason};
use crate::row::Service;
use crate::view::State;

impl Lead {
    pub(super) fn begin_promotion(
        &mut self,
        key: ServiceKey,
        group: &Group,
        reason: Reason,
        now: Duration,
    ) {
        let Some(service) = self.authority.row().services.get(&key).cloned() else {
            return;
        };
        let servers = group.servers.keys().copied().collect();
        let promotion = Promotion::new(key, servers, service, reason, now);
        let running = RunningPromotion {
            promotion,
            started: now,
            closing_version: None,
        };
        self.promotions.insert(key, running);
        let service = key;
        self.notes.push(Note::Promoting { service, reason });
    }

    pub(super) fn step_promotions(
        &mut self,
        ledger: &Ledger,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let keys: Vec<ServiceKey> = self.promotions.keys().copied().collect();
        for key in keys {
            // Removed for the step, so that it can be changed together with the rest of `self`.
            let Some(mut running) = self.promotions.remove(&key) else {
                continue;
            };
            let (epoch, committed) = (self.authority.epoch(), self.authority.committed_revision());
            let mut done = false;
            for next in running.promotion.step(epoch, committed, now) {
                done |= next == PromotionAction::Done;
                self.carry_out(key, &mut running, next, ledger, now, actions);
            }
            match done {
                true => self.finish_promotion(key, &running, now, actions),
                false => {
                    self.promotions.insert(key, running);
                }
            }
        }
    }

    fn carry_out(
        &mut self,
        key: ServiceKey,
        running: &mut RunningPromotion,
        next: PromotionAction,
        ledger: &Ledger,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        match next {
            PromotionAction::Commit(service) => self.commit(key, running, service, ledger, now),
            PromotionAction::Revoke(to) => actions.push(Action::Close {
                to,
                view: self.view.clone(),
            }),
            PromotionAction::QueryStatus(servers) => {
                actions.extend(servers.into_iter().map(Action::QueryStatus))
            }
            PromotionAction::Promote {
                server,
                term,
                at_least,
            } => actions.push(Action::Promote {
                server,
                term,
                at_least,
            }),
            PromotionAction::Done => {}
        }
    }

    /// Sets the service's new state in the row, to be committed. A closed term is shown in the view
    /// at once, an open one only after the commit.
    fn commit(
        &mut self,
        key: ServiceKey,
        running: &mut RunningPromotion,
        service: Service,
        ledger: &Ledger,
        now: Duration,
    ) {
        let revision = self.authority.set_service(key, service.clone());
        match service.state {
            State::Closed { term } => {
                if let Some(shown) = self.view.services.get_mut(&key) {
                    shown.state = State::Closed { term };
                }
                // The view is published before the row is committed. Leases from here on are
                // granted for the view that closes the term.
                self.advance_view();
                running.closing_version = Some(self.view.version);
                self.pass_known_written(key, running, ledger, now);
                running
                    .promotion
                    .begin_closing(revision, ledger.running(now));
            }
            State::Open { .. } => running.promotion.begin_opening(revision),
        }
    }

    /// Passes the last known position of the old primary to the promotion.
    ///
    /// Holders whose leases have lapsed cannot be asked what they acknowledged. If their leases had
    /// lapsed when the primary was last queried, the position that it reported covers their writes.
    fn pass_known_written(
        &mut self,
        key: ServiceKey,
        running: &mut RunningPromotion,
        ledger: &Ledger,
        now: Duration,
    ) {
        let written = self
            .primary_positions
            .remove(&key)
            .filter(|w| w.sent >= self.authority.settled_at());
        let Some(written) = written else {
            running
                .promotion
                .set_known_written(Position::default(), false);
            return;
        };
        let after_query = |lapse| lapse >= written.sent;
        let complete = !ledger.last_lapse(now).is_some_and(after_query);
        running
            .promotion
            .set_known_written(written.position, complete);
    }

    /// Publishes the new term after its commit, and orders the other servers to follow its primary.
    fn finish_promotion(
        &mut self,
        key: ServiceKey,
        running: &RunningPromotion,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.authority.row().services.get(&key) else {
            return;
        };
        let State::Open { term, primary } = service.state else {
            return;
        };
        if let Some(shown) = self.view.services.get_mut(&key) {
            shown.state = service.state;
            shown.history = service.history.clone();
        }
        let loss = service.losses.iter().find(|loss| loss.opened == term);
        let lost = loss.map(|loss| Note::Lost {
            service: key,
            loss: *loss,
        });
        self.notes.extend(lost);
        self.notes.push(Note::Opened {
            service: key,
            term,
            primary,
            took: now.saturating_sub(running.started),
        });
        self.opened_at.insert(key, now);
        if let Some((_, start)) = service.history.starts().last() {
            let position = Position { term, log: start };
            self.primary_positions.insert(
                key,
                PrimaryPosition {
                    sent: now,
                    position,
                },
            );
        }
        // The known statuses are from before the promotion. The other servers are ordered to follow
        // the new primary at once.
        self.statuses.remove(&primary);
        for server in running.promotion.servers().filter(|s| *s != primary) {
            actions.push(Action::Follow {
                server,
                primary,
                term,
            });
            self.statuses.remove(&server);
        }
        self.advance_view();
    }
}
