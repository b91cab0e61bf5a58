//! One service on this host: its servers, the pooled connections to them, and who waits for one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::{self, Dispatch, Need, Standing, Ticket, Unserved};
use flamingopost_core::extent::LogExtent;
use flamingopost_core::freshness::{FreshnessTracker, SAMPLE_SPACING};
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::{LeaderTracker, Role};
use flamingopost_core::position::Position;
use flamingopost_core::quorum::StoreLease;
use flamingopost_core::succession::{Contact, PriorOrders, Trouble};
use flamingopost_core::term::Term;
use tokio::sync::{Notify, oneshot};

use crate::back::{self, Back, Target};
use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::peer;
use crate::site::Site;

mod confirm;
mod connect;
mod hold;
mod lent;
mod life;
mod listing;
mod loss;
mod proof;
mod queue;
mod restart;

use confirm::Confirmation;
pub use lent::{Awaited, Lent};
pub use life::Life;
pub use listing::Source;
pub use proof::Missing;
use restart::Check;
pub use restart::{Meant, Start};

/// Time between two questions to other hosts for a sample, beside those with heartbeats.
///
/// Guards against a storm of datagrams: where the answer does not help the reads that wait, each would
/// lead to the next question a round trip later.
const SAMPLE_PAUSE: Duration = Duration::from_millis(50);

/// One service on this host.
pub struct Service<C: Codec> {
    /// Its name.
    pub name: String,
    /// What all parts share.
    pub site: Rc<Site>,
    /// Something happened that may call for another primary.
    pub alarm: Notify,
    /// A primary has shown how far its log reaches.
    pub vouched: Notify,
    /// Whether reads wait for the primary for want of a sample of how far it is.
    pub lacks_sample: Cell<bool>,
    /// When other hosts were last asked for one.
    asked_for_sample: Cell<Duration>,
    /// A round of questions to the other servers has ended.
    confirmed: Notify,
    state: RefCell<State<C>>,
}

struct State<C: Codec> {
    dispatch: Dispatch,
    vouch: FreshnessTracker,
    extent: LogExtent,
    leader: LeaderTracker,
    /// Since when the service has had a single server.
    alone: Option<Duration>,
    check: Check,
    /// What is held until the primary is checked, which this host did not expect.
    unchecked: Option<dispatch::Hold>,
    /// The primary that was last found to have the service's log.
    proved: Option<ServerKey>,
    /// How far the log of the server that is believed to lead was last seen to reach.
    weighed: Option<Position>,
    /// Whether an order may be on its way that this host has not heard of.
    orders: PriorOrders,
    absent: Option<Duration>,
    servers: BTreeMap<ServerKey, Known>,
    idle: BTreeMap<u64, Back<C>>,
    waiters: BTreeMap<u64, Waiter<C>>,
    allotment: Allotment,
    /// When statements for the primary are held.
    held: Option<dispatch::Hold>,
    replacement: Option<hold::Replacement>,
    /// Servers that were ordered to lead, by identity: as many as there ever were.
    ordered: BTreeMap<String, hold::Ordered>,
    store_lease: StoreLease,
    confirmation: Confirmation,
    /// Servers that are at their limit while this host has less than its part.
    short_of: BTreeSet<ServerKey>,
}

struct Known {
    target: Target,
    incarnation: Incarnation,
    life: Life,
    /// How the server came back, if it is known to have started again.
    back: Option<restart::Back>,
    /// Connections to it have broken while it was believed to lead, and it has shown no write since.
    broke: bool,
    /// It was found without a log, and has shown none since.
    blank: bool,
    /// It has shown how far its log reaches since the primary was last another one.
    shown: bool,
    contact: Contact,
    /// When statements were sent that have no answer yet.
    outstanding: BTreeMap<u64, Duration>,
}

struct Waiter<C: Codec> {
    ticket: Ticket,
    sender: oneshot::Sender<Result<Lent<C>, Unserved>>,
}

/// How many connections this host may have to each server of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allotment {
    /// Those it keeps open.
    pub base: u16,
    /// Its part of what the server accepts.
    pub fair: u16,
    /// Those it may have for a while.
    pub most: u16,
}

impl<C: Codec> Service<C> {
    /// A service of which no server is known yet.
    pub fn new(name: String, site: Rc<Site>) -> Service<C> {
        Service {
            name,
            site,
            alarm: Notify::new(),
            vouched: Notify::new(),
            lacks_sample: Cell::new(false),
            asked_for_sample: Cell::default(),
            confirmed: Notify::new(),
            state: RefCell::new(State {
                dispatch: Dispatch::default(),
                vouch: FreshnessTracker::default(),
                extent: LogExtent::default(),
                leader: LeaderTracker::default(),
                alone: None,
                check: Check::default(),
                unchecked: None,
                proved: None,
                weighed: None,
                orders: PriorOrders::default(),
                absent: Some(Duration::ZERO),
                servers: BTreeMap::new(),
                idle: BTreeMap::new(),
                waiters: BTreeMap::new(),
                allotment: Allotment {
                    base: 1,
                    fair: 1,
                    most: 1,
                },
                held: None,
                replacement: None,
                ordered: BTreeMap::new(),
                store_lease: StoreLease::default(),
                confirmation: Confirmation::default(),
                short_of: BTreeSet::new(),
            }),
        }
    }

    /// Runs what is due by time alone.
    pub fn tick(self: &Rc<Self>) {
        let now = self.site.now();
        self.refresh();
        self.tick_hold(now);
        self.tick_dispatch(now);
        self.sweep();
    }

    /// How long a request takes at a server.
    pub fn average(&self, server: ServerKey) -> Duration {
        let state = self.state.borrow();
        let server = state.dispatch.servers().get(&server);
        server.map_or(Duration::ZERO, dispatch::Server::average)
    }

    /// Who leads, as far as this host knows.
    pub fn leader(&self) -> Option<ServerKey> {
        self.state.borrow().dispatch.leader()
    }

    /// Name of a server, for logs.
    pub fn name_of(&self, server: Option<ServerKey>) -> String {
        let state = self.state.borrow();
        let known = server.and_then(|server| state.servers.get(&server));
        known.map_or_else(|| "nobody".to_owned(), |known| known.target.id.clone())
    }

    /// A server answered at `position` to what was sent at `sent`. With `led`, it could only
    /// answer because it led, and this host had a lease when it asked.
    pub fn heard(
        self: &Rc<Self>,
        server: ServerKey,
        position: Option<Position>,
        sent: Duration,
        led: bool,
    ) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.servers.get_mut(&server) {
            known.contact.record_answer(now);
            known.shown |= position.is_some();
        }
        let Some(position) = position else {
            return;
        };
        if state.may_check() {
            self.alarm.notify_one();
        }
        let passed = state.vouch.passed_at(position);
        let holds = state.holds(server, position);
        if let Some(server) = state.dispatch.server_mut(server) {
            server.saw(holds, passed, now);
        }
        state.vouch.record_term(position.term);
        state.leader.record_log_term(server, position.term);
        if led && !state.extent.lacks(position, sent) {
            state.vouch.add_sample(position, sent);
            state.leader.record_term_led(server, position.term);
            self.has_sample();
        }
        // What is written to an empty log would look like the proof of a whole one.
        if !state.leader.is_distrusted(server) {
            state.showed(server, position, now);
        }
    }

    /// A request took `took` at a server.
    pub fn took(&self, server: ServerKey, took: Duration) {
        let now = self.site.now();
        if let Some(server) = self.state.borrow_mut().dispatch.server_mut(server) {
            server.took(took, now);
        }
    }

    /// A server's queue was full.
    pub fn full(&self, server: ServerKey) {
        let now = self.site.now();
        self.state.borrow_mut().dispatch.refused(server, now);
    }

    /// A server refused a request because it does not lead.
    pub fn does_not_lead(self: &Rc<Self>, server: ServerKey) {
        self.state.borrow_mut().leader.record_not_primary(server);
        self.refresh();
    }

    /// A server refused a read because it lacks a position that a primary had at `at`.
    pub fn lags(&self, server: ServerKey, at: Duration) {
        let now = self.site.now();
        self.state.borrow_mut().dispatch.lagged(server, at, now);
    }

    /// How far the primary's log reached when this host last heard of it, and how long ago it was asked.
    pub fn newest_sample(&self) -> Option<(Position, Duration)> {
        let now = self.site.now();
        let state = self.state.borrow();
        let (position, at) = state.vouch.last_sample()?;
        Some((position, now.saturating_sub(at)))
    }

    /// Reads wait for a sample of how far the primary is. Returns whether the other hosts are to be asked at
    /// once, rather than with the next heartbeat.
    pub fn want_sample(&self) -> bool {
        let now = self.site.now();
        let is_due = now >= self.asked_for_sample.get() + SAMPLE_PAUSE;
        let is_news = !self.lacks_sample.replace(true);
        if is_due && is_news {
            self.asked_for_sample.set(now);
        }
        is_due && is_news
    }

    /// Another host vouches that the primary still led at `at`, or later, and its log reached `position`.
    pub fn told_sample(&self, position: Position, at: Duration) {
        let mut state = self.state.borrow_mut();
        // Samples that are closer together are one: acted on, an answer would lead to the next question.
        let is_known = state
            .vouch
            .last_sample()
            .is_some_and(|(_, last)| at < last + SAMPLE_SPACING);
        if is_known || position.term < state.vouch.term() || state.extent.lacks(position, at) {
            return;
        }
        state.vouch.add_sample(position, at);
        drop(state);
        self.has_sample();
    }

    /// A sample of how far the primary is has come: reads that wait for one are placed anew.
    fn has_sample(&self) {
        self.lacks_sample.set(false);
        self.vouched.notify_waiters();
    }

    /// What a read needs that has to see everything acknowledged before `since`, and `seen`.
    pub fn need(&self, since: Duration, seen: Position) -> Need {
        let now = self.site.now();
        let state = self.state.borrow();
        let Some(floor) = state.vouch.required_position(since) else {
            return Need::Lead;
        };
        let position = floor.max(state.vouch.in_current_term(seen));
        let at = state.vouch.reached_at(position).unwrap_or(now);
        Need::Position { position, at }
    }

    /// A server that was asked at `sent` said what it is.
    pub fn said(self: &Rc<Self>, server: ServerKey, status: &Status, sent: Duration) {
        let now = self.site.now();
        {
            let mut state = self.state.borrow_mut();
            if let Some(known) = state.servers.get_mut(&server) {
                known.contact.record_answer(now);
            }
            state.leader.record_role(server, status.role, status.term);
            if status.role == Role::Primary {
                state.vouch.record_term(status.term);
            }
        }
        self.weigh(server, status.received, sent);
        self.refresh();
    }

    /// Another host has seen `server` lead `term`.
    pub fn seen_to_lead(self: &Rc<Self>, server: &peer::Server, term: Term) {
        let Meant::Listed(server) = self.meant(server) else {
            return;
        };
        {
            let mut state = self.state.borrow_mut();
            state.vouch.record_term(term);
            state.leader.record_role(server, Role::Primary, term);
        }
        self.refresh();
    }

    /// Something sent to a server at `sent` came to nothing.
    pub fn missed(&self, server: ServerKey, error: &back::Error, sent: Duration) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.servers.get_mut(&server) else {
            return;
        };
        match miss(error) {
            Miss::Refused => known.contact.record_refusal(now),
            Miss::Silent => known.contact.record_timeout(sent),
            Miss::None => known.contact.record_answer(now),
        }
        if matches!(miss(error), Miss::Refused) {
            state.broke(server);
        }
        let leads = state.dispatch.leader() == Some(server);
        drop(state);
        if leads {
            self.alarm.notify_one();
        }
    }

    /// A server has answered nothing that was sent since `since`, and not on another connection.
    pub fn silent(&self, server: ServerKey, since: Duration) {
        if let Some(known) = self.state.borrow_mut().servers.get_mut(&server) {
            known.contact.record_timeout(since);
        }
        self.alarm.notify_one();
    }

    /// How this host's own connections to a server fare.
    pub fn contact(&self, server: ServerKey) -> Option<Contact> {
        let state = self.state.borrow();
        state.servers.get(&server).map(|known| known.contact)
    }

    /// Takes the servers of which this host lacks connections since the last call.
    pub fn take_short(&self) -> BTreeSet<ServerKey> {
        std::mem::take(&mut self.state.borrow_mut().short_of)
    }

    /// Another host lacks connections to a server.
    pub fn squeeze(self: &Rc<Self>, server: ServerKey) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if let Some(server) = state.dispatch.server_mut(server) {
            server.squeeze(now);
        }
    }

    /// When the oldest statement was sent that the primary should have answered by now, if it has
    /// answered nothing since.
    pub fn doubt(&self) -> Option<(Target, Duration)> {
        let now = self.site.now();
        let state = self.state.borrow();
        let known = state.servers.get(&state.dispatch.leader()?)?;
        let oldest = known.outstanding.values().min().copied()?;
        let doubtful = known.contact.is_overdue(oldest, now);
        doubtful.then(|| (known.target.clone(), oldest))
    }

    /// What is wrong with the primary.
    pub fn trouble(&self) -> Option<Trouble> {
        let now = self.site.now();
        let state = self.state.borrow();
        let Some(leader) = state.dispatch.leader() else {
            let since = state.absent.unwrap_or(now);
            return Some(Trouble::Absent { since });
        };
        let contact = state.servers.get(&leader).map(|known| known.contact);
        let trouble = contact.and_then(|contact| contact.trouble(now));
        if trouble.is_some() {
            return trouble;
        }
        let server = state.dispatch.servers().get(&leader);
        let leaving = server.is_some_and(|server| server.standing == Standing::Leaving);
        leaving.then_some(Trouble::Leaving)
    }

    /// Servers with where they are, and whether each is leaving.
    pub fn targets(&self) -> Vec<(Target, Standing)> {
        let state = self.state.borrow();
        let standing = |key: &ServerKey| {
            let server = state.dispatch.servers().get(key);
            server.map_or(Standing::Leaving, |server| server.standing)
        };
        state
            .servers
            .iter()
            .map(|(key, known)| (known.target.clone(), standing(key)))
            .collect()
    }

    /// Requests that each of its servers runs at once; `None` while none is listed.
    pub fn slots(&self) -> Option<u16> {
        let state = self.state.borrow();
        let servers = state.dispatch.servers().values();
        servers.map(|server| server.slots).min()
    }

    /// The server called `id`.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        let state = self.state.borrow();
        let mut known = state.servers.iter();
        known
            .find(|(_, known)| known.target.id == id)
            .map(|(key, _)| *key)
    }

    /// The newest term in which the primary has itself shown that it leads.
    pub fn term_led(&self) -> Term {
        let state = self.state.borrow();
        let leader = state.dispatch.leader();
        leader.map_or_else(Default::default, |leader| state.leader.term_led(leader))
    }

    /// Servers that have themselves shown that they lead, believed or not, and the newest term in which they
    /// did.
    pub fn led_by(&self) -> BTreeMap<ServerKey, Term> {
        self.state.borrow().leader.terms_led()
    }

    /// The newest position of a primary's log that this host has heard of.
    pub fn newest(&self) -> Position {
        self.state.borrow().vouch.newest()
    }

    /// The newest term that is known to have begun.
    pub fn term(&self) -> Term {
        self.state.borrow().vouch.term()
    }

    fn refresh(self: &Rc<Self>) {
        let now = self.site.now();
        let (change, succeeds) = {
            let mut state = self.state.borrow_mut();
            state.trust_the_last(now);
            let newest = state.vouch.term();
            state.leader.record_term_start(newest);
            let Some(change) = state.leader.refresh(now) else {
                return;
            };
            let succeeds = state.succeeds(change.after);
            let hold = state.dispatch.held().filter(|_| !succeeds);
            state.dispatch.lead(change.after);
            if let Some(hold) = hold {
                state.dispatch.hold(hold);
            }
            state.check_leader(now);
            state.absent = change.after.is_none().then_some(now);
            (change, succeeds)
        };
        self.site.log(&Event::Leads {
            service: self.name.clone(),
            after: self.name_of(change.after),
            before: self.name_of(change.before),
            millis: change.lasted.as_millis(),
        });
        if succeeds {
            self.end_hold("a server is seen to lead");
        }
        self.alarm.notify_one();
        self.tick_dispatch(now);
    }

    fn tick_dispatch(self: &Rc<Self>, now: Duration) {
        let next = self.state.borrow_mut().dispatch.tick(now);
        self.apply(next);
    }

    /// Closes idle connections that their server has ended, before a request is sent there.
    fn sweep(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let over: Vec<u64> = state
            .idle
            .iter()
            .filter(|(_, back)| back.is_over())
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(back) = state.idle.remove(&id) {
                state.broke(back.server);
                state.dispatch.ended(back.server, id);
            }
        }
    }
}

enum Miss {
    Refused,
    Silent,
    /// The server answered, so it is there.
    None,
}

fn miss(error: &back::Error) -> Miss {
    match error {
        back::Error::Io(error) if error.kind() == std::io::ErrorKind::TimedOut => Miss::Silent,
        back::Error::Io(_) => Miss::Refused,
        back::Error::Codec(_) | back::Error::Refused(_) => Miss::None,
    }
}
