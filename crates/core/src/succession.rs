//! When the primary of a service is replaced, by whom and by which server.
//!
//! Every entry host runs one of these for each service. Nothing is promoted on one host's word
//! where others can be asked: a host that is cut off sees every primary dead. The host that acts
//! holds a claim in the platform's store, or, while the store is away, waits its turn behind hosts
//! that come first. Not every platform refuses orders with an outdated token, so a host gives none
//! under a token below one that it has heard of, and drops what it was about to do when it was
//! paused. Where the platform does refuse them, two hosts that act at once do no harm beyond a
//! second change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey};
use crate::position::Position;
use crate::term::Term;

mod action;
mod contact;
mod inquiry;
mod leader_history;
mod prior_orders;
mod promotion_timer;
mod view;

pub use action::{FencingToken, NextStep, Opinion, Order, Report};
pub use contact::{Contact, Trouble};
pub use inquiry::{
    DIVIDED_DELAY, MINORITY_DELAY, OBJECTION_TIMEOUT, REPORT_AGE_MAX, RETURN_TIMEOUT,
};
use inquiry::{Decision, Inquiry};
use leader_history::LeaderHistory;
pub use prior_orders::PriorOrders;
pub use promotion_timer::PromotionTimer;
pub use view::View;

/// How long other hosts and servers may take to say what they see: a few round trips between
/// zones, and the time in which a host tries the primary itself.
pub const INQUIRY_TIMEOUT: Duration = Duration::from_millis(220);

/// A primary that answers nothing is suspected after this long. Slow statements take tens of
/// milliseconds; the bound keeps a burst from looking like a death.
pub const SILENCE_MAX: Duration = Duration::from_millis(300);

/// Pause between two inquiries.
const INQUIRY_BACKOFF: Duration = Duration::from_millis(150);

/// How long an accepted order may take to show before another one is given. A promotion takes
/// about a second.
pub const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long an order without an answer may be carried out late: the platform speaks of seconds, and
/// this is several of them.
const LATE_EXECUTION_WINDOW: Duration = Duration::from_secs(15);

/// Hosts relieve a leaving primary one after the other with this between them: a claim and an
/// order take about as long.
const LEAVING_TURN: Duration = Duration::from_millis(20);

/// The last of many hosts waits no longer than this; a leaving server has seconds.
const LEAVING_DELAY_MAX: Duration = Duration::from_millis(800);

/// How long the holder of a claim may take until its order is heard of.
pub const CLAIM_HOLDER_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Without the store, hosts act one after the other with this between them.
const STORELESS_TURN: Duration = Duration::from_millis(250);

/// A planned change waits at most this long for a replica to have all that its primary has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// A host that takes no step for so long was paused. Others may have acted meanwhile: a claim is
/// taken over after [`CLAIM_HOLDER_TIMEOUT`], and steps are tens of milliseconds apart.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// What one host knows of the succession in one service.
#[derive(Debug, Default)]
pub struct Succession {
    phase: Phase,
    retry_at: Duration,
    reserved_token: Option<FencingToken>,
    outvoted_since: Option<Duration>,
    /// Since when the primary is known to be about to leave.
    leaving_since: Option<Duration>,
    leader_history: LeaderHistory,
    /// An order that had no answer.
    unanswered_order: Option<UnansweredOrder>,
    /// The change that is under way is made in turn, without the store's word that no other host makes it.
    without_claim: bool,
}

/// An order without an answer: the platform may carry it out later.
#[derive(Debug, Clone, Copy)]
struct UnansweredOrder {
    token: FencingToken,
    server: ServerKey,
    at: Duration,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Watching,
    Inquiring(Inquiry),
    /// The store was asked for the claim.
    Claiming(Inquiry),
    /// Another host has the claim, or has said that it acts.
    Deferring {
        until: Duration,
    },
    /// The store is away: hosts act in turn.
    Queued {
        until: Duration,
        inquiry: Inquiry,
    },
    /// This host has the claim and asks servers how far they have received the log.
    Choosing {
        token: FencingToken,
        until: Duration,
        inquiry: Inquiry,
    },
    /// An order is on its way, for a server that has said that it has received `had`.
    Ordering {
        token: FencingToken,
        server: ServerKey,
        had: Position,
    },
    /// An order was accepted.
    Awaiting {
        until: Duration,
    },
}

impl Succession {
    /// Takes note of a token that may be used while the store is away.
    pub fn reserve_token(&mut self, token: FencingToken) {
        self.reserved_token = Some(token);
    }

    /// Whether an order that is given now rests on this host's turn alone: another host may give one in the
    /// same moment.
    pub fn acts_without_claim(&self) -> bool {
        self.without_claim
    }

    /// Whether a change is under way, as far as this host knows: whoever waits for a primary has
    /// reason to wait on.
    pub fn is_under_way(&self) -> bool {
        !matches!(self.phase, Phase::Watching | Phase::Inquiring(_))
    }

    /// Hosts that have answered the inquiry that is under way.
    pub fn answered_hosts(&self) -> BTreeSet<HostKey> {
        match &self.phase {
            Phase::Inquiring(inquiry)
            | Phase::Claiming(inquiry)
            | Phase::Queued { inquiry, .. }
            | Phase::Choosing { inquiry, .. } => inquiry.opinions.keys().copied().collect(),
            Phase::Watching
            | Phase::Deferring { .. }
            | Phase::Ordering { .. }
            | Phase::Awaiting { .. } => BTreeSet::new(),
        }
    }

    /// Servers that were seen to lead, by this host or another, each with the newest term in which it did.
    pub fn known_leaders(&self) -> &BTreeMap<ServerKey, Term> {
        self.leader_history.terms()
    }

    /// Another host has seen `server` lead `term`.
    ///
    /// Guards against the promotion of a replaced primary by a host that has started since, and has not seen
    /// it lead: its log is the longest, and ends with what the change dropped.
    pub fn record_leader(&mut self, server: ServerKey, term: Term) {
        self.leader_history.record_term_led(server, term);
    }

    /// How far the server that is being ordered to lead has received the log, by its own word: its term
    /// begins there or after that.
    pub fn successor_position(&self) -> Position {
        match self.phase {
            Phase::Ordering { had, .. } => had,
            _ => Position::default(),
        }
    }

    /// Since when this host has missed a primary that is not replaced, because others reach it or
    /// too few miss it: callers are served better elsewhere.
    pub fn outvoted(&self) -> Option<Duration> {
        self.outvoted_since
    }

    /// Another host says what it sees of the primary.
    pub fn record_opinion(&mut self, host: HostKey, opinion: Opinion) {
        if let Some(inquiry) = self.inquiry_mut() {
            inquiry.opinions.insert(host, opinion);
        }
    }

    /// A server has said how far it is.
    pub fn record_report(&mut self, server: ServerKey, report: Report) {
        if let Some(inquiry) = self.inquiry_mut() {
            inquiry.record_report(server, report);
        }
    }

    /// Another host says that it changes the primary.
    pub fn defer_to_peer(&mut self, now: Duration) {
        match self.phase {
            Phase::Ordering { .. } | Phase::Awaiting { .. } => {}
            _ => {
                self.phase = Phase::Deferring {
                    until: now + CLAIM_HOLDER_TIMEOUT,
                }
            }
        }
    }

    /// The claim was won.
    pub fn claim_won(&mut self, token: FencingToken, now: Duration) -> Vec<NextStep> {
        self.reserved_token = Some(token);
        match std::mem::take(&mut self.phase) {
            Phase::Claiming(inquiry) => {
                self.without_claim = false;
                self.start_choosing(token, inquiry, now)
            }
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    /// Somebody else has the claim.
    pub fn claim_lost(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Claiming(_)) {
            self.phase = Phase::Deferring {
                until: now + CLAIM_HOLDER_TIMEOUT,
            };
        }
    }

    /// The store cannot say who has the claim.
    pub fn claim_undecided(&mut self, rank: u32, now: Duration) {
        if let Phase::Claiming(inquiry) = &mut self.phase {
            let inquiry = std::mem::take(inquiry);
            self.phase = Phase::Queued {
                until: now + STORELESS_TURN * rank,
                inquiry,
            };
        }
    }

    /// How the order ended.
    pub fn order_finished(&mut self, order: Order, now: Duration) {
        let Phase::Ordering { token, server, .. } = self.phase else {
            return;
        };
        if order == Order::Unknown {
            let at = now;
            self.unanswered_order = Some(UnansweredOrder { token, server, at });
        }
        self.phase = match order {
            Order::Accepted | Order::Unknown => Phase::Awaiting {
                until: now + PROMOTION_TIMEOUT,
            },
            Order::Refused => {
                // The token is outdated, or the server is not there. Either way somebody has to
                // look again; a token that was refused is never used again.
                self.reserved_token = None;
                self.retry_at = now + INQUIRY_BACKOFF;
                Phase::Watching
            }
        };
    }

    /// Takes the next step.
    pub fn step(&mut self, view: &View, now: Duration) -> Vec<NextStep> {
        self.leader_history.observe_view(view);
        if matches!(view.trouble, None | Some(Trouble::Leaving)) {
            self.outvoted_since = None;
        }
        if view.trouble.is_none() {
            self.leaving_since = None;
        }
        match std::mem::take(&mut self.phase) {
            Phase::Watching => self.detect_failure(view, now),
            Phase::Inquiring(inquiry) => self.evaluate_inquiry(inquiry, view, now),
            Phase::Claiming(inquiry) => {
                self.phase = Phase::Claiming(inquiry);
                Vec::new()
            }
            Phase::Deferring { until } => self.wait(Phase::Deferring { until }, until, view, now),
            Phase::Queued { until, inquiry } => self.wait_for_turn(until, inquiry, view, now),
            Phase::Choosing {
                token,
                until,
                inquiry,
            } => self.choose_successor(token, until, inquiry, view, now),
            Phase::Ordering { token, server, had } => {
                self.phase = Phase::Ordering { token, server, had };
                Vec::new()
            }
            Phase::Awaiting { until } => self.wait(Phase::Awaiting { until }, until, view, now),
        }
    }

    /// This host was paused for [`PAUSE_THRESHOLD`] or longer: what it was about to do is dropped, since what
    /// that rests on is outdated.
    ///
    /// Guards against an order under a claim that another host has taken over, on a platform that
    /// carries out whatever it is told.
    pub fn resume_after_pause(&mut self, now: Duration) {
        if !matches!(self.phase, Phase::Ordering { .. }) {
            self.phase = Phase::Watching;
            self.retry_at = now + INQUIRY_TIMEOUT;
        }
    }

    /// The store was restored from a copy, which may lack the claim that this host has won: another
    /// host may win it too, so this one drops it and claims anew.
    ///
    /// Guards against two hosts that carry out the same change, one after the other: what the first
    /// successor has acknowledged is rolled back by the second.
    pub fn invalidate_claim(&mut self, now: Duration) {
        let inquiry = match std::mem::take(&mut self.phase) {
            Phase::Claiming(inquiry) | Phase::Choosing { inquiry, .. } => inquiry,
            phase => {
                self.phase = phase;
                return;
            }
        };
        if inquiry.cause != Some(Trouble::Leaving) {
            self.phase = Phase::Inquiring(Inquiry {
                deadline: now + INQUIRY_TIMEOUT,
                ..inquiry
            });
        }
    }

    fn detect_failure(&mut self, view: &View, now: Duration) -> Vec<NextStep> {
        let Some(trouble) = view.trouble else {
            return Vec::new();
        };
        if now < self.retry_at || view.candidates.is_empty() {
            return Vec::new();
        }
        if trouble == Trouble::Leaving {
            return self.replace_leaving(view, now);
        }
        self.leaving_since = None;
        self.phase = Phase::Inquiring(Inquiry {
            cause: Some(trouble),
            term: view.term,
            started_at: now,
            deadline: now + INQUIRY_TIMEOUT,
            servers_asked_at: now,
            ..Inquiry::default()
        });
        vec![NextStep::AskHosts, NextStep::AskServers]
    }

    /// A primary is about to leave. Nobody has to be asked, and seconds are left: hosts claim one
    /// after the other, so that most of them hear of the first one's order before their turn.
    fn replace_leaving(&mut self, view: &View, now: Duration) -> Vec<NextStep> {
        let since = *self.leaving_since.get_or_insert(now);
        let turn = (LEAVING_TURN * view.rank).min(LEAVING_DELAY_MAX);
        if now < since + turn {
            return Vec::new();
        }
        self.phase = Phase::Claiming(Inquiry {
            cause: Some(Trouble::Leaving),
            term: view.term,
            started_at: now,
            deadline: now + INQUIRY_TIMEOUT,
            ..Inquiry::default()
        });
        vec![NextStep::Claim]
    }

    fn evaluate_inquiry(&mut self, inquiry: Inquiry, view: &View, now: Duration) -> Vec<NextStep> {
        let Some(trouble) = view.trouble else {
            return Vec::new();
        };
        let verdict = inquiry.decide(trouble, view, &self.leader_history, now);
        match verdict {
            Decision::Pending => {
                self.phase = Phase::Inquiring(inquiry);
                Vec::new()
            }
            Decision::Keep => {
                self.retry_at = now + INQUIRY_BACKOFF;
                self.outvoted_since.get_or_insert(now);
                Vec::new()
            }
            Decision::Replace => {
                self.outvoted_since = None;
                self.phase = Phase::Claiming(inquiry);
                vec![NextStep::Claim]
            }
        }
    }

    fn wait_for_turn(
        &mut self,
        until: Duration,
        inquiry: Inquiry,
        view: &View,
        now: Duration,
    ) -> Vec<NextStep> {
        if view.trouble.is_none() {
            return Vec::new();
        }
        match self
            .reserved_token
            .filter(|token| Some(*token) >= view.newest_token)
        {
            Some(token) if now >= until => {
                self.without_claim = true;
                self.start_choosing(token, inquiry, now)
            }
            Some(_) => {
                self.phase = Phase::Queued { until, inquiry };
                Vec::new()
            }
            None => {
                self.retry_at = now + INQUIRY_BACKOFF;
                Vec::new()
            }
        }
    }

    fn start_choosing(
        &mut self,
        token: FencingToken,
        inquiry: Inquiry,
        now: Duration,
    ) -> Vec<NextStep> {
        if inquiry.cause != Some(Trouble::Leaving) {
            // Nothing more arrives from a primary that is gone: what servers have said stands,
            // and those that were silent have had their time.
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

    fn choose_successor(
        &mut self,
        token: FencingToken,
        until: Duration,
        mut inquiry: Inquiry,
        view: &View,
        now: Duration,
    ) -> Vec<NextStep> {
        // Another host's order may have taken effect while the store decided on this one's claim.
        // What was found out of one primary is no reason to replace the next.
        let over = view.term > inquiry.term;
        if view.trouble.is_none() || over || inquiry.sees_newer_leader(view) {
            return Vec::new();
        }
        // Hosts that are cut off together with the primary may go on relying on it; what they
        // acknowledge after the order, the successor lacks.
        let quiet = now >= view.leases_end;
        let best = inquiry.best_candidate(view, &self.leader_history, now);
        let best = best.filter(|best| quiet && self.may_order(token, *best, view, now));
        let over = now >= until;
        let complete = inquiry.is_complete(view, &self.leader_history, now);
        let gains = inquiry.may_find_better(view, &self.leader_history, now);
        let lacks = view.synchronous && !complete || gains;
        match best {
            Some(_) if inquiry.are_reports_outdated(now) && (complete || over && !lacks) => {
                inquiry.ask_again(now);
                self.phase = Phase::Choosing {
                    token,
                    until: now + INQUIRY_TIMEOUT,
                    inquiry,
                };
                vec![NextStep::AskServers]
            }
            Some(server) if complete && inquiry.has_confirmed(server) || over && !lacks => {
                let had = inquiry.received_position(server);
                self.phase = Phase::Ordering { token, server, had };
                vec![NextStep::Promote { server, token }]
            }
            _ if over && (lacks || !quiet) => {
                inquiry.ask_again(now);
                self.phase = Phase::Choosing {
                    token,
                    until: now + INQUIRY_TIMEOUT,
                    inquiry,
                };
                // A host that is heard and has not answered may only have missed the question.
                vec![NextStep::AskHosts, NextStep::AskServers]
            }
            None if over => {
                self.retry_at = now + INQUIRY_BACKOFF;
                Vec::new()
            }
            _ => {
                self.phase = Phase::Choosing {
                    token,
                    until,
                    inquiry,
                };
                Vec::new()
            }
        }
    }

    /// Whether an order for `server` may go out under `token`.
    ///
    /// Guards against an order without an answer that the platform carries out after a later one:
    /// the platform refuses lower tokens only, so under one token the earlier order would replace
    /// the server of the later one and roll back what that has acknowledged. And against an order
    /// under a token below one that was used: whoever used that one has acted since.
    fn may_order(
        &self,
        token: FencingToken,
        server: ServerKey,
        view: &View,
        now: Duration,
    ) -> bool {
        let newest = Some(token) >= view.newest_token;
        newest
            && self.unanswered_order.is_none_or(|order| {
                order.token != token
                    || order.server == server
                    || now >= order.at + LATE_EXECUTION_WINDOW
            })
    }

    /// Stays in `phase` until the trouble or the wait is over.
    fn wait(&mut self, phase: Phase, until: Duration, view: &View, now: Duration) -> Vec<NextStep> {
        if view.trouble.is_none() {
            return Vec::new();
        }
        if now >= until {
            return self.detect_failure(view, now);
        }
        self.phase = phase;
        Vec::new()
    }

    fn inquiry_mut(&mut self) -> Option<&mut Inquiry> {
        match &mut self.phase {
            Phase::Inquiring(inquiry)
            | Phase::Claiming(inquiry)
            | Phase::Queued { inquiry, .. }
            | Phase::Choosing { inquiry, .. } => Some(inquiry),
            Phase::Watching
            | Phase::Deferring { .. }
            | Phase::Ordering { .. }
            | Phase::Awaiting { .. } => None,
        }
    }
}
