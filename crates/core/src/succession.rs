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

mod contact;
mod effect;
mod inquiry;
mod led;
mod next;
mod orders;
mod view;

pub use contact::{Contact, Trouble};
pub use effect::Effect;
pub use inquiry::{ALONE, DIVIDED, OBJECTION, REPORT_AGE, RETURN};
use inquiry::{Inquiry, Verdict};
use led::Led;
pub use next::{Grant, Next, Opinion, Order, Report};
pub use orders::Orders;
pub use view::View;

/// How long other hosts and servers may take to say what they see: a few round trips between
/// zones, and the time in which a host tries the primary itself.
pub const INQUIRY: Duration = Duration::from_millis(220);

/// A primary that answers nothing is suspected after this long. Slow statements take tens of
/// milliseconds; the bound keeps a burst from looking like a death.
pub const SILENCE: Duration = Duration::from_millis(300);

/// Pause between two inquiries.
const PAUSE: Duration = Duration::from_millis(150);

/// How long an accepted order may take to show before another one is given. A promotion takes
/// about a second.
pub const EFFECT: Duration = Duration::from_millis(2_500);

/// How long an order without an answer may be carried out late: the platform speaks of seconds, and
/// this is several of them.
const LATE: Duration = Duration::from_secs(15);

/// Hosts relieve a leaving primary one after the other with this between them: a claim and an
/// order take about as long.
const RELIEF_TURN: Duration = Duration::from_millis(20);

/// The last of many hosts waits no longer than this; a leaving server has seconds.
const RELIEF_MOST: Duration = Duration::from_millis(800);

/// How long the holder of a claim may take until its order is heard of.
pub const HOLDER: Duration = Duration::from_millis(1_800);

/// Without the store, hosts act one after the other with this between them.
const TURN: Duration = Duration::from_millis(250);

/// A planned change waits at most this long for a replica to have all that its primary has.
const CATCH_UP: Duration = Duration::from_millis(400);

/// A host that takes no step for so long was paused. Others may have acted meanwhile: a claim is
/// taken over after [`HOLDER`], and steps are tens of milliseconds apart.
pub const PAUSED: Duration = Duration::from_secs(1);

/// What one host knows of the succession in one service.
#[derive(Debug, Default)]
pub struct Succession {
    phase: Phase,
    pause_until: Duration,
    reserve: Option<Grant>,
    outvoted: Option<Duration>,
    /// Since when the primary is known to be about to leave.
    leaving: Option<Duration>,
    led: Led,
    /// An order that had no answer.
    unanswered: Option<Unanswered>,
    /// The change that is under way is made in turn, without the store's word that no other host makes it.
    in_turn: bool,
}

/// An order without an answer: the platform may carry it out later.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    grant: Grant,
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
    Standing {
        until: Duration,
    },
    /// The store is away: hosts act in turn.
    Queued {
        until: Duration,
        inquiry: Inquiry,
    },
    /// This host has the claim and asks servers how far they have received the log.
    Choosing {
        grant: Grant,
        until: Duration,
        inquiry: Inquiry,
    },
    /// An order is on its way, for a server that has said that it has received `had`.
    Ordering {
        grant: Grant,
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
    pub fn reserve(&mut self, grant: Grant) {
        self.reserve = Some(grant);
    }

    /// Whether an order that is given now rests on this host's turn alone: another host may give one in the
    /// same moment.
    pub fn is_in_turn(&self) -> bool {
        self.in_turn
    }

    /// Whether a change is under way, as far as this host knows: whoever waits for a primary has
    /// reason to wait on.
    pub fn is_under_way(&self) -> bool {
        !matches!(self.phase, Phase::Watching | Phase::Inquiring(_))
    }

    /// Hosts that have answered the inquiry that is under way.
    pub fn answered(&self) -> BTreeSet<HostKey> {
        match &self.phase {
            Phase::Inquiring(inquiry)
            | Phase::Claiming(inquiry)
            | Phase::Queued { inquiry, .. }
            | Phase::Choosing { inquiry, .. } => inquiry.opinions.keys().copied().collect(),
            Phase::Watching
            | Phase::Standing { .. }
            | Phase::Ordering { .. }
            | Phase::Awaiting { .. } => BTreeSet::new(),
        }
    }

    /// Servers that were seen to lead, by this host or another, each with the newest term in which it did.
    pub fn led(&self) -> &BTreeMap<ServerKey, Term> {
        self.led.terms()
    }

    /// Another host has seen `server` lead `term`.
    ///
    /// Guards against the promotion of a replaced primary by a host that has started since, and has not seen
    /// it lead: its log is the longest, and ends with what the change dropped.
    pub fn told_led(&mut self, server: ServerKey, term: Term) {
        self.led.told(server, term);
    }

    /// How far the server that is being ordered to lead has received the log, by its own word: its term
    /// begins there or after that.
    pub fn received(&self) -> Position {
        match self.phase {
            Phase::Ordering { had, .. } => had,
            _ => Position::default(),
        }
    }

    /// Since when this host has missed a primary that is not replaced, because others reach it or
    /// too few miss it: callers are served better elsewhere.
    pub fn outvoted(&self) -> Option<Duration> {
        self.outvoted
    }

    /// Another host says what it sees of the primary.
    pub fn opinion(&mut self, host: HostKey, opinion: Opinion) {
        if let Some(inquiry) = self.inquiry() {
            inquiry.opinions.insert(host, opinion);
        }
    }

    /// A server has said how far it is.
    pub fn report(&mut self, server: ServerKey, report: Report) {
        if let Some(inquiry) = self.inquiry() {
            inquiry.report(server, report);
        }
    }

    /// Another host says that it changes the primary.
    pub fn other_acts(&mut self, now: Duration) {
        match self.phase {
            Phase::Ordering { .. } | Phase::Awaiting { .. } => {}
            _ => {
                self.phase = Phase::Standing {
                    until: now + HOLDER,
                }
            }
        }
    }

    /// The claim was won.
    pub fn won(&mut self, grant: Grant, now: Duration) -> Vec<Next> {
        self.reserve = Some(grant);
        match std::mem::take(&mut self.phase) {
            Phase::Claiming(inquiry) => {
                self.in_turn = false;
                self.choose(grant, inquiry, now)
            }
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    /// Somebody else has the claim.
    pub fn held(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Claiming(_)) {
            self.phase = Phase::Standing {
                until: now + HOLDER,
            };
        }
    }

    /// The store cannot say who has the claim.
    pub fn unclaimed(&mut self, rank: u32, now: Duration) {
        if let Phase::Claiming(inquiry) = &mut self.phase {
            let inquiry = std::mem::take(inquiry);
            self.phase = Phase::Queued {
                until: now + TURN * rank,
                inquiry,
            };
        }
    }

    /// How the order ended.
    pub fn ordered(&mut self, order: Order, now: Duration) {
        let Phase::Ordering { grant, server, .. } = self.phase else {
            return;
        };
        if order == Order::Unknown {
            let at = now;
            self.unanswered = Some(Unanswered { grant, server, at });
        }
        self.phase = match order {
            Order::Accepted | Order::Unknown => Phase::Awaiting {
                until: now + EFFECT,
            },
            Order::Refused => {
                // The token is outdated, or the server is not there. Either way somebody has to
                // look again; a token that was refused is never used again.
                self.reserve = None;
                self.pause_until = now + PAUSE;
                Phase::Watching
            }
        };
    }

    /// Takes the next step.
    pub fn step(&mut self, view: &View, now: Duration) -> Vec<Next> {
        self.led.saw(view);
        if matches!(view.trouble, None | Some(Trouble::Leaving)) {
            self.outvoted = None;
        }
        if view.trouble.is_none() {
            self.leaving = None;
        }
        match std::mem::take(&mut self.phase) {
            Phase::Watching => self.watch(view, now),
            Phase::Inquiring(inquiry) => self.judge(inquiry, view, now),
            Phase::Claiming(inquiry) => {
                self.phase = Phase::Claiming(inquiry);
                Vec::new()
            }
            Phase::Standing { until } => self.wait(Phase::Standing { until }, until, view, now),
            Phase::Queued { until, inquiry } => self.queue(until, inquiry, view, now),
            Phase::Choosing {
                grant,
                until,
                inquiry,
            } => self.pick(grant, until, inquiry, view, now),
            Phase::Ordering { grant, server, had } => {
                self.phase = Phase::Ordering { grant, server, had };
                Vec::new()
            }
            Phase::Awaiting { until } => self.wait(Phase::Awaiting { until }, until, view, now),
        }
    }

    /// This host was paused for [`PAUSED`] or longer: what it was about to do is dropped, since what
    /// that rests on is outdated.
    ///
    /// Guards against an order under a claim that another host has taken over, on a platform that
    /// carries out whatever it is told.
    pub fn paused(&mut self, now: Duration) {
        if !matches!(self.phase, Phase::Ordering { .. }) {
            self.phase = Phase::Watching;
            self.pause_until = now + INQUIRY;
        }
    }

    /// The store was restored from a copy, which may lack the claim that this host has won: another
    /// host may win it too, so this one drops it and claims anew.
    ///
    /// Guards against two hosts that carry out the same change, one after the other: what the first
    /// successor has acknowledged is rolled back by the second.
    pub fn restored(&mut self, now: Duration) {
        let inquiry = match std::mem::take(&mut self.phase) {
            Phase::Claiming(inquiry) | Phase::Choosing { inquiry, .. } => inquiry,
            phase => {
                self.phase = phase;
                return;
            }
        };
        if inquiry.cause != Some(Trouble::Leaving) {
            self.phase = Phase::Inquiring(Inquiry {
                until: now + INQUIRY,
                ..inquiry
            });
        }
    }

    fn watch(&mut self, view: &View, now: Duration) -> Vec<Next> {
        let Some(trouble) = view.trouble else {
            return Vec::new();
        };
        if now < self.pause_until || view.candidates.is_empty() {
            return Vec::new();
        }
        if trouble == Trouble::Leaving {
            return self.relieve(view, now);
        }
        self.leaving = None;
        self.phase = Phase::Inquiring(Inquiry {
            cause: Some(trouble),
            term: view.term,
            since: now,
            until: now + INQUIRY,
            asked: now,
            ..Inquiry::default()
        });
        vec![Next::AskHosts, Next::AskServers]
    }

    /// A primary is about to leave. Nobody has to be asked, and seconds are left: hosts claim one
    /// after the other, so that most of them hear of the first one's order before their turn.
    fn relieve(&mut self, view: &View, now: Duration) -> Vec<Next> {
        let since = *self.leaving.get_or_insert(now);
        let turn = (RELIEF_TURN * view.rank).min(RELIEF_MOST);
        if now < since + turn {
            return Vec::new();
        }
        self.phase = Phase::Claiming(Inquiry {
            cause: Some(Trouble::Leaving),
            term: view.term,
            since: now,
            until: now + INQUIRY,
            ..Inquiry::default()
        });
        vec![Next::Claim]
    }

    fn judge(&mut self, inquiry: Inquiry, view: &View, now: Duration) -> Vec<Next> {
        let Some(trouble) = view.trouble else {
            return Vec::new();
        };
        let verdict = inquiry.verdict(trouble, view, &self.led, now);
        match verdict {
            Verdict::Open => {
                self.phase = Phase::Inquiring(inquiry);
                Vec::new()
            }
            Verdict::Keep => {
                self.pause_until = now + PAUSE;
                self.outvoted.get_or_insert(now);
                Vec::new()
            }
            Verdict::Replace => {
                self.outvoted = None;
                self.phase = Phase::Claiming(inquiry);
                vec![Next::Claim]
            }
        }
    }

    fn queue(
        &mut self,
        until: Duration,
        inquiry: Inquiry,
        view: &View,
        now: Duration,
    ) -> Vec<Next> {
        if view.trouble.is_none() {
            return Vec::new();
        }
        match self.reserve.filter(|grant| Some(*grant) >= view.ordered) {
            Some(grant) if now >= until => {
                self.in_turn = true;
                self.choose(grant, inquiry, now)
            }
            Some(_) => {
                self.phase = Phase::Queued { until, inquiry };
                Vec::new()
            }
            None => {
                self.pause_until = now + PAUSE;
                Vec::new()
            }
        }
    }

    fn choose(&mut self, grant: Grant, inquiry: Inquiry, now: Duration) -> Vec<Next> {
        if inquiry.cause != Some(Trouble::Leaving) {
            // Nothing more arrives from a primary that is gone: what servers have said stands,
            // and those that were silent have had their time.
            let until = inquiry.until;
            self.phase = Phase::Choosing {
                grant,
                until,
                inquiry,
            };
            return Vec::new();
        }
        let inquiry = Inquiry {
            reports: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            asked: now,
            ..inquiry
        };
        self.phase = Phase::Choosing {
            grant,
            until: now + CATCH_UP,
            inquiry,
        };
        vec![Next::AskServers]
    }

    fn pick(
        &mut self,
        grant: Grant,
        until: Duration,
        mut inquiry: Inquiry,
        view: &View,
        now: Duration,
    ) -> Vec<Next> {
        // Another host's order may have taken effect while the store decided on this one's claim.
        // What was found out of one primary is no reason to replace the next.
        let over = view.term > inquiry.term;
        if view.trouble.is_none() || over || inquiry.newer_leader(view) {
            return Vec::new();
        }
        // Hosts that are cut off together with the primary may go on relying on it; what they
        // acknowledge after the order, the successor lacks.
        let quiet = now >= view.quiet_at;
        let best = inquiry.best(view, &self.led, now);
        let best = best.filter(|best| quiet && self.may_order(grant, *best, view, now));
        let over = now >= until;
        let complete = inquiry.is_complete(view, &self.led, now);
        let gains = inquiry.may_gain(view, &self.led, now);
        let lacks = view.synchronous && !complete || gains;
        match best {
            Some(_) if inquiry.is_outdated(now) && (complete || over && !lacks) => {
                inquiry.ask_again(now);
                self.phase = Phase::Choosing {
                    grant,
                    until: now + INQUIRY,
                    inquiry,
                };
                vec![Next::AskServers]
            }
            Some(server) if complete && inquiry.has_confirmed(server) || over && !lacks => {
                let had = inquiry.received(server);
                self.phase = Phase::Ordering { grant, server, had };
                vec![Next::Promote { server, grant }]
            }
            _ if over && (lacks || !quiet) => {
                inquiry.ask_again(now);
                self.phase = Phase::Choosing {
                    grant,
                    until: now + INQUIRY,
                    inquiry,
                };
                // A host that is heard and has not answered may only have missed the question.
                vec![Next::AskHosts, Next::AskServers]
            }
            None if over => {
                self.pause_until = now + PAUSE;
                Vec::new()
            }
            _ => {
                self.phase = Phase::Choosing {
                    grant,
                    until,
                    inquiry,
                };
                Vec::new()
            }
        }
    }

    /// Whether an order for `server` may go out under `grant`.
    ///
    /// Guards against an order without an answer that the platform carries out after a later one:
    /// the platform refuses lower tokens only, so under one token the earlier order would replace
    /// the server of the later one and roll back what that has acknowledged. And against an order
    /// under a token below one that was used: whoever used that one has acted since.
    fn may_order(&self, grant: Grant, server: ServerKey, view: &View, now: Duration) -> bool {
        let newest = Some(grant) >= view.ordered;
        newest
            && self.unanswered.is_none_or(|order| {
                order.grant != grant || order.server == server || now >= order.at + LATE
            })
    }

    /// Stays in `phase` until the trouble or the wait is over.
    fn wait(&mut self, phase: Phase, until: Duration, view: &View, now: Duration) -> Vec<Next> {
        if view.trouble.is_none() {
            return Vec::new();
        }
        if now >= until {
            return self.watch(view, now);
        }
        self.phase = phase;
        Vec::new()
    }

    fn inquiry(&mut self) -> Option<&mut Inquiry> {
        match &mut self.phase {
            Phase::Inquiring(inquiry)
            | Phase::Claiming(inquiry)
            | Phase::Queued { inquiry, .. }
            | Phase::Choosing { inquiry, .. } => Some(inquiry),
            Phase::Watching
            | Phase::Standing { .. }
            | Phase::Ordering { .. }
            | Phase::Awaiting { .. } => None,
        }
    }
}
