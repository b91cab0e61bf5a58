//! The choice of a successor: from a claim, or a turn without one, to the order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::ServerKey;

use super::action::{FencingToken, NextStep};
use super::contact::Trouble;
use super::inquiry::Inquiry;
use super::view::View;
use super::{
    CATCH_UP_INTERVAL, CATCH_UP_TIMEOUT, CLAIM_RENEWAL_INTERVAL, INQUIRY_BACKOFF, INQUIRY_TIMEOUT,
    LATE_EXECUTION_WINDOW, LEAVING_CONTACT_TIMEOUT, Phase, Succession,
};

/// What follows from the reports of servers so far.
enum Choice {
    /// Ask the servers again. The round ends at the time given, or when it would have ended before.
    AskAgain(Option<Duration>),
    /// Ask the servers again, and the hosts until the end of the term is announced.
    AskAll,
    /// Announce the end of the term, with this successor.
    EndTerm(ServerKey),
    /// Order this server to lead.
    Order(ServerKey),
    /// No server may be promoted.
    PassOver,
    /// Wait for reports, or for hosts to stop using the primary.
    Wait,
}

impl Succession {
    /// Starts to choose a successor under `token`. The servers of a leaving primary have not been asked
    /// yet.
    pub(super) fn start_choosing(
        &mut self,
        token: FencingToken,
        inquiry: Inquiry,
        now: Duration,
    ) -> Vec<NextStep> {
        if inquiry.cause != Some(Trouble::Leaving) {
            // A failed primary sends nothing more, so the reports collected so far are final, and
            // servers that did not answer have had their time.
            let until = inquiry.deadline;
            self.phase = Phase::Choosing {
                token,
                until,
                inquiry,
            };
            return Vec::new();
        }
        let inquiry = Inquiry {
            reports: BTreeMap::new(),
            report_rounds: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            servers_asked_at: now,
            ..inquiry
        };
        self.phase = Phase::Choosing {
            token,
            until: now + CATCH_UP_TIMEOUT,
            inquiry,
        };
        vec![NextStep::AskServers]
    }

    /// Makes one step of the choice, whose round of requests ends at `until`.
    pub(super) fn choose_successor(
        &mut self,
        token: FencingToken,
        until: Duration,
        mut inquiry: Inquiry,
        view: &View,
        now: Duration,
    ) -> Vec<NextStep> {
        // Another host's order may have taken effect while the store decided on the claim. The
        // result of an inquiry about one primary is no reason to replace the next. Once its term was
        // announced to end, hosts do not go back to a primary that is well again.
        let ends_term = inquiry.closing.is_none();
        let is_well = view.trouble.is_none() && ends_term;
        if is_well || view.term > inquiry.term || inquiry.sees_newer_leader(view) {
            return Vec::new();
        }
        let must_renew = inquiry
            .claimed_at
            .is_some_and(|at| now >= at + CLAIM_RENEWAL_INTERVAL);
        if ends_term && must_renew {
            inquiry.deadline = until;
            self.phase = Phase::Claiming(inquiry);
            return vec![NextStep::RenewClaim { token }];
        }
        let (until, steps) = match self.choice(token, until, &inquiry, view, now) {
            Choice::AskAgain(round) => {
                inquiry.ask_again(now);
                (round.unwrap_or(until), vec![NextStep::AskServers])
            }
            Choice::AskAll => {
                inquiry.ask_again(now);
                // A host that is reachable and has not answered may have missed the request. The
                // announcement of the term's end is repeated by itself.
                let steps = match ends_term {
                    true => vec![NextStep::AskHosts, NextStep::AskServers],
                    false => vec![NextStep::AskServers],
                };
                (now + INQUIRY_TIMEOUT, steps)
            }
            Choice::EndTerm(server) => (until, vec![NextStep::EndTerm { server, token }]),
            Choice::Wait => (until, Vec::new()),
            Choice::Order(server) => {
                let position = inquiry.received_position(server);
                self.rests_on_claim = inquiry.rests_on_claim();
                self.ground = inquiry.ground(server, view);
                self.phase = Phase::Ordering {
                    token,
                    server,
                    position,
                };
                return vec![NextStep::Promote { server, token }];
            }
            Choice::PassOver => {
                self.passed_over = inquiry.passed_over(view, &self.leader_history, now);
                self.retry_at = now + INQUIRY_BACKOFF;
                return Vec::new();
            }
        };
        self.phase = Phase::Choosing {
            token,
            until,
            inquiry,
        };
        steps
    }

    /// Decides what to do next about the primary of `inquiry`, whose round of requests ends at
    /// `until`.
    fn choice(
        &self,
        token: FencingToken,
        until: Duration,
        inquiry: &Inquiry,
        view: &View,
        now: Duration,
    ) -> Choice {
        let ends_term = inquiry.closing.is_none();
        let leaves = inquiry.cause == Some(Trouble::Leaving);
        // The others would not hear of the end of the term. Their opinions may be from before this host
        // was cut off from them.
        let may_announce = view.in_contact || self.may_act_alone(inquiry, now);
        if ends_term && !may_announce {
            return Choice::PassOver;
        }
        // Hosts that are cut off together with the primary may keep relying on it until their
        // leases end. The successor would lack what they acknowledge after the order. The end of
        // the term is announced before, except that a leaving primary serves meanwhile.
        let leases_ended = now >= view.leases_end || ends_term && !leaves;
        let best = inquiry.best_candidate(view, &self.leader_history, now);
        let best = best.filter(|best| leases_ended && self.may_order(token, *best, view, now));
        let timed_out = now >= until;
        let complete = inquiry.is_complete(view, &self.leader_history, now);
        let may_improve = inquiry.may_find_better(view, &self.leader_history, now);
        let must_wait = view.synchronous && !complete || may_improve;
        let may_settle = timed_out && !must_wait;
        let Some(server) = best else {
            return match timed_out {
                true if must_wait || !leases_ended => Choice::AskAll,
                true => Choice::PassOver,
                false => Choice::Wait,
            };
        };
        let is_outdated = inquiry.are_reports_outdated(now) && (complete || may_settle);
        if is_outdated || inquiry.may_lack_commits(view) {
            return Choice::AskAgain(Some(now + INQUIRY_TIMEOUT));
        }
        let must_catch_up = ends_term && leaves && view.synchronous;
        if complete && must_catch_up && !inquiry.has_caught_up(server) {
            let is_first = inquiry.earlier_extent.is_none();
            let is_due = is_first || now >= inquiry.servers_asked_at + CATCH_UP_INTERVAL;
            return match is_due {
                true => Choice::AskAgain(None),
                false => Choice::Wait,
            };
        }
        let is_chosen = inquiry.has_confirmed(server) && complete
            || inquiry.may_rest_on(server, now) && may_settle;
        let closing = inquiry.closing.as_ref();
        match (is_chosen, ends_term) {
            (true, true) => Choice::EndTerm(server),
            (true, false) if closing.is_some_and(|it| !it.may_order(server)) => Choice::PassOver,
            (true, false) => Choice::Order(server),
            (false, _) if timed_out => Choice::AskAll,
            (false, _) => Choice::Wait,
        }
    }

    /// Reports whether the claim that this host holds stands in for hosts that it cannot ask, because a
    /// leaving primary is asked to step down.
    fn may_act_alone(&self, inquiry: &Inquiry, now: Duration) -> bool {
        let leaving_since = self
            .leaving_since
            .filter(|_| inquiry.cause == Some(Trouble::Leaving));
        let leaves_for_long =
            leaving_since.is_some_and(|since| now >= since + LEAVING_CONTACT_TIMEOUT);
        inquiry.claimed_at.is_some() && leaves_for_long
    }

    /// Reports whether an order to promote `server` may be given under `token`.
    ///
    /// Guards against an unanswered order that the platform carries out after a later one: the
    /// platform refuses lower tokens only, so under the same token the earlier order would replace
    /// the server of the later one and roll back what that server has acknowledged. Also guards
    /// against an order under a token lower than one already used, whose holder has acted since.
    fn may_order(
        &self,
        token: FencingToken,
        server: ServerKey,
        view: &View,
        now: Duration,
    ) -> bool {
        let is_newest = Some(token) >= view.newest_token;
        is_newest
            && self.unanswered_order.is_none_or(|order| {
                order.token != token
                    || order.server == server
                    || now >= order.at + LATE_EXECUTION_WINDOW
            })
    }
}
