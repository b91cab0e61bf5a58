//! Failover of a service: decides when its primary is replaced, by which host, and by which server.
//!
//! Every entry host runs one [`Succession`] for each service. A host that is cut off sees every
//! primary as dead, so no server is promoted on the opinion of one host while others can be asked.
//! The acting host holds a claim in the platform's store. While the store is unavailable, hosts act
//! in order of rank instead. Not every platform refuses orders with an outdated fencing token, so a
//! host gives no order under a token lower than one that it knows to be used, and drops a pending
//! change after a pause of its own process. Where the platform does refuse outdated tokens, two
//! hosts that act at once cause no more harm than a second change of primary.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey};
use crate::position::Position;
use crate::quorum::Closing;
use crate::term::Term;

mod action;
mod choice;
mod contact;
mod inquiry;
mod leader_history;
mod passed_over;
mod prior_orders;
mod unheard_order;
mod view;

pub use action::{FencingToken, Ground, NextStep, Opinion, Order, Report};
pub use contact::{Contact, Trouble};
pub use inquiry::{DIVIDED_DELAY, OBJECTION_TIMEOUT, REPORT_AGE_MAX, RETURN_TIMEOUT};
use inquiry::{Decision, Inquiry};
use leader_history::LeaderHistory;
use passed_over::PassedOver;
pub use prior_orders::PriorOrders;
pub use unheard_order::{ClaimRecord, Finding, UnheardOrder};
pub use view::View;

/// Timeout of an inquiry among hosts and servers: a few round trips between zones, plus the time in
/// which a host probes the primary itself.
pub const INQUIRY_TIMEOUT: Duration = Duration::from_millis(220);

/// A primary that has not answered for this long is suspected. Slow statements take tens of
/// milliseconds; the bound keeps a burst of them from looking like a failure.
pub const SILENCE_MAX: Duration = Duration::from_millis(300);

/// Pause between two inquiries.
const INQUIRY_BACKOFF: Duration = Duration::from_millis(150);

/// How long an accepted order may take to become visible before another one is given. A promotion
/// takes about a second.
pub const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long the platform may take to carry out an order that it did not answer. The platform
/// documents seconds; this is several of them.
pub const LATE_EXECUTION_WINDOW: Duration = Duration::from_secs(15);

/// Delay between the turns of two hosts that replace a leaving primary: about the time that a claim
/// and an order take.
const LEAVING_TURN: Duration = Duration::from_millis(20);

/// Upper bound of the delay of a host's turn to replace a leaving primary. A leaving server has
/// seconds left.
const LEAVING_DELAY_MAX: Duration = Duration::from_millis(800);

/// How long a host waits until a leaving primary has shown its term, and until servers have written
/// their entries again after a restore of the store. A leaving server has seconds left.
const LEAVING_EVIDENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long a host that holds the claim on a leaving primary and hears too few others waits for them. After
/// that it asks the primary to step down. A leaving server has seconds left.
const LEAVING_CONTACT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long the holder of a claim may take until other hosts learn of its order.
pub const CLAIM_HOLDER_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Age at which a claim is renewed until the end of the term is announced, so that no other host takes it
/// over while this one waits for reports.
pub const CLAIM_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay between the turns of two hosts while the store is unavailable.
const STORELESS_TURN: Duration = Duration::from_millis(250);

/// Interval at which the servers of a leaving primary are asked until a replica of a service with
/// synchronous commits has caught up with it.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);

/// A planned change waits at most this long for a replica to receive the whole log of its primary.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// A host that takes no step for this long was paused, and other hosts may have acted meanwhile: a
/// claim is taken over after [`CLAIM_HOLDER_TIMEOUT`], and steps are tens of milliseconds apart.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Failover state of one service on one host.
#[derive(Debug, Default)]
pub struct Succession {
    phase: Phase,
    retry_at: Duration,
    reserved_token: Option<FencingToken>,
    outvoted_since: Option<Duration>,
    /// Since when this host has missed a primary while it may not know all servers.
    servers_lacking_since: Option<Duration>,
    /// When this host learned that the primary is about to leave.
    leaving_since: Option<Duration>,
    leader_history: LeaderHistory,
    /// The last order that got no answer.
    unanswered_order: Option<UnansweredOrder>,
    /// Whether the current change rests on this host's turn alone, without a claim in the store
    /// that excludes other hosts.
    without_claim: bool,
    /// Whether the order that is given rests on this host's claim, without a majority's confirmation.
    rests_on_claim: bool,
    /// The server that the last inquiries have passed over.
    passed_over: Option<PassedOver>,
    /// Why the last server was ordered, and which had the longest log then.
    ground: Option<(Ground, ServerKey)>,
}

/// An order without an answer, which the platform may still carry out.
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
    /// This host has requested the claim from the store.
    Claiming(Inquiry),
    /// Another host holds the claim, or has announced that it replaces the primary.
    Deferring {
        until: Duration,
    },
    /// The store is unavailable; this host waits for its turn.
    Queued {
        until: Duration,
        inquiry: Inquiry,
    },
    /// This host holds the claim and asks servers for their replication positions. Once a successor is
    /// found, it announces the end of the term, and waits until no host uses the primary.
    Choosing {
        token: FencingToken,
        until: Duration,
        inquiry: Inquiry,
    },
    /// An order to promote `server` was sent. The server has reported the replication position
    /// `position`.
    Ordering {
        token: FencingToken,
        server: ServerKey,
        position: Position,
    },
    /// An order was accepted and has not taken effect yet.
    Awaiting {
        until: Duration,
    },
}

impl Succession {
    /// Stores a token that may be used while the store is unavailable.
    pub fn reserve_token(&mut self, token: FencingToken) {
        self.reserved_token = Some(token);
    }

    /// Reports whether an order given now rests on this host's turn alone. Another host may give
    /// one at the same moment.
    pub fn acts_without_claim(&self) -> bool {
        self.without_claim
    }

    /// Reports whether the order that is given rests on this host's claim alone, which the store has to
    /// confirm.
    pub fn rests_on_claim(&self) -> bool {
        self.rests_on_claim
    }

    /// Reports whether this host knows of a change under way, so that requests that need a primary
    /// are worth holding back.
    pub fn is_under_way(&self) -> bool {
        !matches!(self.phase, Phase::Watching | Phase::Inquiring(_))
    }

    /// Forgets what it has observed of the primary if no change is pending, because the host stops
    /// following the service. Returns whether that is the case.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_core::succession::Succession;
    ///
    /// let mut succession = Succession::default();
    /// assert!(succession.suspend());
    /// succession.defer_to_peer(Duration::ZERO);
    /// assert!(!succession.suspend(), "another host's change is pending");
    /// ```
    pub fn suspend(&mut self) -> bool {
        let is_watching = matches!(self.phase, Phase::Watching);
        if is_watching {
            self.outvoted_since = None;
            self.servers_lacking_since = None;
            self.leaving_since = None;
            self.passed_over = None;
        }
        is_watching
    }

    /// Returns the hosts that have answered the current inquiry, or that have confirmed the end of the
    /// term once it was announced.
    pub fn answered_hosts(&self) -> BTreeSet<HostKey> {
        if let Some(closing) = self.closing() {
            return closing.confirmed_hosts();
        }
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

    /// Returns the servers that this or another host has seen as primary, each with the newest term
    /// in which it was.
    pub fn known_leaders(&self) -> &BTreeMap<ServerKey, Term> {
        self.leader_history.terms()
    }

    /// Records that another host has seen `server` as the primary of `term`.
    ///
    /// Guards against the promotion of a replaced primary by a host that has started since and has
    /// not seen it lead. The log of a replaced primary is the longest and ends with writes that the
    /// change has dropped.
    pub fn record_leader(&mut self, server: ServerKey, term: Term) {
        self.leader_history.record_term_led(server, term);
    }

    /// Returns the replication position that `server` has reported, which is to be promoted. Its term
    /// begins there or later.
    pub fn successor_position(&self, server: ServerKey) -> Position {
        match &self.phase {
            Phase::Ordering { position, .. } => *position,
            Phase::Choosing { inquiry, .. } => inquiry.received_position(server),
            _ => Position::default(),
        }
    }

    /// Returns why the last server was ordered, and which had the longest log then.
    pub fn ground(&self) -> Option<(Ground, ServerKey)> {
        self.ground
    }

    /// Records that the end of the primary's term was announced to the other hosts, as `closing`
    /// describes.
    pub fn record_end_of_term(&mut self, closing: Closing) {
        if let Phase::Choosing { inquiry, .. } = &mut self.phase {
            inquiry.closing = Some(closing.with_claim(inquiry.claimed_since));
        }
    }

    /// Returns the end of the primary's term that this host has announced, while the order waits for
    /// it.
    pub fn closing(&self) -> Option<&Closing> {
        Some(self.closing_under()?.0)
    }

    /// Returns the same with the token under which it was announced.
    pub fn closing_under(&self) -> Option<(&Closing, FencingToken)> {
        match &self.phase {
            Phase::Choosing { token, inquiry, .. } => Some((inquiry.closing.as_ref()?, *token)),
            _ => None,
        }
    }

    /// Records that `host` has confirmed the end of a term announced under a token, and when it last
    /// heard from each of the other hosts. A host of an earlier build does not name the term.
    ///
    /// Guards against a late confirmation of an earlier end under the same token.
    pub fn record_closed(
        &mut self,
        host: HostKey,
        (term, under): (Option<Term>, FencingToken),
        heard: impl IntoIterator<Item = (HostKey, Duration)>,
        now: Duration,
    ) {
        if let Phase::Choosing { token, inquiry, .. } = &mut self.phase
            && *token == under
            && term.is_none_or(|term| term == inquiry.term)
            && let Some(closing) = &mut inquiry.closing
        {
            closing.confirm(host, heard, now);
        }
    }

    /// Records that a host which has confirmed such an end last heard at `at` from one that is not listed
    /// here.
    pub fn record_unlisted(&mut self, under: FencingToken, at: Duration) {
        if let Phase::Choosing { token, inquiry, .. } = &mut self.phase
            && *token == under
            && let Some(closing) = &mut inquiry.closing
        {
            closing.record_unlisted(at);
        }
    }

    /// Forgets who has confirmed the end of the term, because another electorate decides now.
    pub fn forget_confirmations(&mut self) {
        if let Phase::Choosing { inquiry, .. } = &mut self.phase
            && let Some(closing) = &mut inquiry.closing
        {
            closing.forget_confirmations();
        }
    }

    /// Records that the primary whose end was announced under `token` has stepped down.
    pub fn record_step_down(&mut self, under: FencingToken, now: Duration) {
        if let Phase::Choosing { token, inquiry, .. } = &mut self.phase
            && *token == under
            && let Some(closing) = &mut inquiry.closing
        {
            closing.record_step_down(now);
        }
    }

    /// Returns since when this host has missed a primary that is not replaced, because other hosts
    /// reach it or too few miss it. Callers are served better by another host.
    pub fn outvoted(&self) -> Option<Duration> {
        self.outvoted_since
    }

    /// Records the opinion of another host on the primary.
    pub fn record_opinion(&mut self, host: HostKey, opinion: Opinion) {
        if let Some(inquiry) = self.inquiry_mut() {
            inquiry.opinions.insert(host, opinion);
        }
    }

    /// Records the status report of a server.
    pub fn record_report(&mut self, server: ServerKey, report: Report) {
        if let Some(inquiry) = self.inquiry_mut() {
            inquiry.record_report(server, report);
        }
    }

    /// Reports whether a status that a server was asked for at `asked` counts. Once the end of a term
    /// was announced, only the answers to the newest request do.
    pub fn counts_status(&self, asked: Duration) -> bool {
        match &self.phase {
            Phase::Choosing { inquiry, .. } if inquiry.closing.is_some() => {
                asked >= inquiry.servers_asked_at
            }
            _ => true,
        }
    }

    /// Records that `server` has refused a connection or closed it: its process may have ended since
    /// its report, and its log may be gone.
    pub fn record_refusal(&mut self, server: ServerKey) {
        if let Some(inquiry) = self.inquiry_mut() {
            inquiry.drop_report(server);
        }
    }

    /// Records that another host is replacing the primary, and waits for the effect.
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

    /// Records that this host has won the claim.
    pub fn claim_won(&mut self, token: FencingToken, now: Duration) -> Vec<NextStep> {
        self.reserved_token = Some(token);
        match std::mem::take(&mut self.phase) {
            Phase::Claiming(inquiry) => {
                self.without_claim = false;
                let is_renewed = inquiry.claimed_at.is_some();
                let inquiry = Inquiry {
                    claimed_at: Some(now),
                    claimed_since: inquiry.claimed_since.or(Some(now)),
                    ..inquiry
                };
                if !is_renewed {
                    return self.start_choosing(token, inquiry, now);
                }
                self.phase = Phase::Choosing {
                    token,
                    until: inquiry.deadline,
                    inquiry,
                };
                Vec::new()
            }
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    /// Records that another host, from which this one takes the claim over, has held it since `since` or
    /// longer: no lease rests on the lack of a claim from then on.
    pub fn record_earlier_claim(&mut self, since: Duration) {
        if let Phase::Claiming(inquiry) = &mut self.phase {
            inquiry.claimed_since.get_or_insert(since);
        }
    }

    /// Records that another host holds the claim.
    pub fn claim_lost(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Claiming(_)) {
            self.phase = Phase::Deferring {
                until: now + CLAIM_HOLDER_TIMEOUT,
            };
        }
    }

    /// Records that the store could not decide the claim. `rank` is the number of hosts whose turn
    /// comes first.
    pub fn claim_undecided(&mut self, rank: u32, now: Duration) {
        if let Phase::Claiming(inquiry) = &mut self.phase {
            let inquiry = std::mem::take(inquiry);
            self.phase = Phase::Queued {
                until: now + STORELESS_TURN * rank,
                inquiry,
            };
        }
    }

    /// Records the outcome of the order.
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
                // The token is outdated, or the server is not running. In both cases a new inquiry
                // is needed, and a refused token is never used again.
                self.reserved_token = None;
                self.retry_at = now + INQUIRY_BACKOFF;
                Phase::Watching
            }
        };
    }

    /// Advances the state machine and returns what to do next.
    pub fn step(&mut self, view: &View, now: Duration) -> Vec<NextStep> {
        self.leader_history.observe_view(view);
        if matches!(view.trouble, None | Some(Trouble::Leaving)) {
            self.outvoted_since = None;
        }
        if view.trouble.is_none() {
            self.leaving_since = None;
            self.passed_over = None;
        }
        let may_lack_servers = self.may_lack_servers(view, now);
        if let Some(inquiry) = self.inquiry_mut() {
            inquiry.may_lack_servers = may_lack_servers;
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
            Phase::Ordering {
                token,
                server,
                position,
            } => {
                self.phase = Phase::Ordering {
                    token,
                    server,
                    position,
                };
                Vec::new()
            }
            Phase::Awaiting { until } => self.wait(Phase::Awaiting { until }, until, view, now),
        }
    }

    /// Drops a pending change after this host was paused for [`PAUSE_THRESHOLD`] or longer, since
    /// the information that it rests on is outdated.
    ///
    /// Guards against an order under a claim that another host has taken over, on a platform that
    /// carries out orders whatever their token.
    pub fn resume_after_pause(&mut self, now: Duration) {
        if !matches!(self.phase, Phase::Ordering { .. }) {
            self.phase = Phase::Watching;
            self.passed_over = None;
            self.retry_at = now + INQUIRY_TIMEOUT;
        }
    }

    /// Drops a claim because the store was restored from a copy, which may lack it. Another host
    /// may win the same claim, so this host has to claim again.
    ///
    /// Guards against two hosts that carry out the same change one after the other: the second
    /// successor rolls back what the first has acknowledged.
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

    /// Reports whether servers that this host does not know may have the service's log, and are
    /// still worth waiting for.
    fn may_lack_servers(&mut self, view: &View, now: Duration) -> bool {
        if view.trouble.is_none() {
            self.servers_lacking_since = None;
        }
        // A leaving primary is known, and there are only seconds left to replace it.
        let misses_primary = !matches!(view.trouble, None | Some(Trouble::Leaving));
        if !misses_primary || !view.may_lack_servers {
            return false;
        }
        let since = *self.servers_lacking_since.get_or_insert(now);
        now < since + RETURN_TIMEOUT
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
        let passed_over = self.passed_over.take();
        self.phase = Phase::Inquiring(Inquiry {
            cause: Some(trouble),
            primary: view.leader,
            term: view.term,
            started_at: now,
            deadline: now + INQUIRY_TIMEOUT,
            servers_asked_at: now,
            passed_over: passed_over.filter(|it| it.is_of_term(view.term)),
            ..Inquiry::default()
        });
        vec![NextStep::AskHosts, NextStep::AskServers]
    }

    /// Replaces a primary that is about to leave. No inquiry is needed, and only seconds are left:
    /// hosts claim one after the other, so that most of them learn of the first host's order before
    /// their own turn.
    ///
    /// Guards against a host that has just started and replaces a primary by an entry from a backup of
    /// the store: it claimed to end term 0 and gave an order 2 ms after its first look at the list.
    fn replace_leaving(&mut self, view: &View, now: Duration) -> Vec<NextStep> {
        let since = *self.leaving_since.get_or_insert(now);
        let is_known = view.leader_term > Term::default() && !view.may_lack_servers;
        if !is_known && now < since + LEAVING_EVIDENCE_TIMEOUT {
            return Vec::new();
        }
        let delay = (LEAVING_TURN * view.rank).min(LEAVING_DELAY_MAX);
        let is_heard = view.in_contact || now >= since + LEAVING_CONTACT_TIMEOUT;
        if now < since + delay || !is_heard {
            return Vec::new();
        }
        self.phase = Phase::Claiming(Inquiry {
            cause: Some(Trouble::Leaving),
            primary: view.leader,
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
            // Most hosts have missed the primary, and may have answered before this host was cut off.
            Decision::Replace if !view.in_contact => {
                self.retry_at = now + INQUIRY_BACKOFF;
                Vec::new()
            }
            Decision::Replace if inquiry.must_await_servers(view, &self.leader_history, now) => {
                match now >= inquiry.deadline {
                    true => self.retry_at = now + INQUIRY_BACKOFF,
                    false => self.phase = Phase::Inquiring(inquiry),
                }
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

    /// Stays in `phase` until the primary is well again or `until` has passed.
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
