//! One service on this host: its servers, the pooled connections to them, and who waits for one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::{self, Dispatch, Need, Standing, Ticket, Unserved};
use flamingopost_core::extent::Extent;
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::{Leader, Role};
use flamingopost_core::position::Position;
use flamingopost_core::quorum::StoreLease;
use flamingopost_core::succession::{Contact, Orders, Trouble};
use flamingopost_core::term::Term;
use flamingopost_core::vouch::{SPACING, Vouch};
use tokio::sync::{Notify, oneshot};

use crate::codec::Codec;
use crate::event::Event;
use crate::message::Status;
use crate::peer;
use crate::server_connection::{self, ServerConnection, Target};
use crate::site::Site;

mod confirm;
mod connect;
mod hold;
mod listing;
mod log_loss;
mod log_proof;
mod pooled_connection;
mod queue;
mod restart;
mod restart_signal;

use confirm::Confirmation;
pub use listing::Source;
pub use log_proof::MissingEvidence;
pub use pooled_connection::{PendingAnswer, PooledConnection};
use restart::PrimaryCheck;
pub use restart::{ResolvedServer, Start};
pub use restart_signal::RestartSignal;

/// Time between two questions to other hosts for a sample, beside those with heartbeats.
///
/// Guards against a storm of datagrams: where the answer does not help the reads that wait, each would
/// lead to the next question a round trip later.
const SAMPLE_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// One service on this host.
pub struct Service<C: Codec> {
    /// Its name.
    pub name: String,
    /// What all parts share.
    pub site: Rc<Site>,
    /// Something happened that may call for another primary.
    pub failover_notify: Notify,
    /// A primary has shown how far its log reaches.
    pub sample_notify: Notify,
    /// Whether reads wait for the primary for want of a sample of how far it is.
    pub lacks_sample: Cell<bool>,
    /// When other hosts were last asked for one.
    sample_requested_at: Cell<Duration>,
    /// A round of questions to the other servers has ended.
    confirmation_notify: Notify,
    state: RefCell<State<C>>,
}

struct State<C: Codec> {
    dispatch: Dispatch,
    vouch: Vouch,
    extent: Extent,
    leader: Leader,
    /// Since when the service has had a single server.
    single_server_since: Option<Duration>,
    check: PrimaryCheck,
    /// What is held until the primary is checked, which this host did not expect.
    check_hold: Option<dispatch::Hold>,
    /// The primary that was last found to have the service's log.
    proven_primary: Option<ServerKey>,
    /// How far the log of the server that is believed to lead was last seen to reach.
    primary_position: Option<Position>,
    /// Whether an order may be on its way that this host has not heard of.
    orders: Orders,
    no_primary_since: Option<Duration>,
    servers: BTreeMap<ServerKey, ServerEntry>,
    idle: BTreeMap<u64, ServerConnection<C>>,
    waiters: BTreeMap<u64, Waiter<C>>,
    allotment: Allotment,
    /// When statements for the primary are held.
    successor_hold: Option<dispatch::Hold>,
    replacement: Option<hold::Replacement>,
    /// Servers that were ordered to lead, by identity: as many as there ever were.
    promotions: BTreeMap<String, hold::PromotionRecord>,
    store_lease: StoreLease,
    confirmation: Confirmation,
    /// Servers that are at their limit while this host has less than its part.
    connection_shortages: BTreeSet<ServerKey>,
}

struct ServerEntry {
    target: Target,
    incarnation: Incarnation,
    restart_signal: RestartSignal,
    /// How the server came back, if it is known to have started again.
    restart: Option<restart::RestartRecord>,
    /// Connections to it have broken while it was believed to lead, and it has shown no write since.
    connections_broke: bool,
    /// It was found without a log, and has shown none since.
    found_empty: bool,
    /// It has shown how far its log reaches since the primary was last another one.
    has_shown_position: bool,
    contact: Contact,
    /// When statements were sent that have no answer yet.
    outstanding: BTreeMap<u64, Duration>,
}

struct Waiter<C: Codec> {
    ticket: Ticket,
    sender: oneshot::Sender<Result<PooledConnection<C>, Unserved>>,
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
            failover_notify: Notify::new(),
            sample_notify: Notify::new(),
            lacks_sample: Cell::new(false),
            sample_requested_at: Cell::default(),
            confirmation_notify: Notify::new(),
            state: RefCell::new(State {
                dispatch: Dispatch::default(),
                vouch: Vouch::default(),
                extent: Extent::default(),
                leader: Leader::default(),
                single_server_since: None,
                check: PrimaryCheck::default(),
                check_hold: None,
                proven_primary: None,
                primary_position: None,
                orders: Orders::default(),
                no_primary_since: Some(Duration::ZERO),
                servers: BTreeMap::new(),
                idle: BTreeMap::new(),
                waiters: BTreeMap::new(),
                allotment: Allotment {
                    base: 1,
                    fair: 1,
                    most: 1,
                },
                successor_hold: None,
                replacement: None,
                promotions: BTreeMap::new(),
                store_lease: StoreLease::default(),
                confirmation: Confirmation::default(),
                connection_shortages: BTreeSet::new(),
            }),
        }
    }

    /// Runs what is due by time alone.
    pub fn tick(self: &Rc<Self>) {
        let now = self.site.now();
        self.refresh_leader();
        self.tick_hold(now);
        self.tick_dispatch(now);
        self.close_ended_connections();
    }

    /// How long a request takes at a server.
    pub fn average_latency(&self, server: ServerKey) -> Duration {
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
        let entry = server.and_then(|server| state.servers.get(&server));
        entry.map_or_else(|| "nobody".to_owned(), |entry| entry.target.id.clone())
    }

    /// A server answered at `position` to what was sent at `sent`. With `led`, it could only
    /// answer because it led, and this host had a lease when it asked.
    pub fn record_answer(
        self: &Rc<Self>,
        server: ServerKey,
        position: Option<Position>,
        sent: Duration,
        led: bool,
    ) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if let Some(entry) = state.servers.get_mut(&server) {
            entry.contact.answered(now);
            entry.has_shown_position |= position.is_some();
        }
        let Some(position) = position else {
            return;
        };
        if state.can_check_now() {
            self.failover_notify.notify_one();
        }
        let passed = state.vouch.passed(position);
        let proven = state.proven_position(server, position);
        if let Some(server) = state.dispatch.server_mut(server) {
            server.saw(proven, passed, now);
        }
        state.vouch.saw_term(position.term);
        state.leader.saw_term(server, position.term);
        if led && !state.extent.lacks(position, sent) {
            state.vouch.led(position, sent);
            state.leader.led(server, position.term);
            self.sample_arrived();
        }
        // What is written to an empty log would look like the proof of a whole one.
        if !state.leader.is_doubted(server) {
            state.record_position(server, position, now);
        }
    }

    /// A request took `took` at a server.
    pub fn record_latency(&self, server: ServerKey, took: Duration) {
        let now = self.site.now();
        if let Some(server) = self.state.borrow_mut().dispatch.server_mut(server) {
            server.took(took, now);
        }
    }

    /// A server's queue was full.
    pub fn record_busy(&self, server: ServerKey) {
        let now = self.site.now();
        self.state.borrow_mut().dispatch.refused(server, now);
    }

    /// A server refused a request because it does not lead.
    pub fn record_not_primary(self: &Rc<Self>, server: ServerKey) {
        self.state.borrow_mut().leader.refused(server);
        self.refresh_leader();
    }

    /// A server refused a read because it lacks a position that a primary had at `at`.
    pub fn record_lagging(&self, server: ServerKey, at: Duration) {
        let now = self.site.now();
        self.state.borrow_mut().dispatch.lagged(server, at, now);
    }

    /// How far the primary's log reached when this host last heard of it, and how long ago it was asked.
    pub fn newest_sample(&self) -> Option<(Position, Duration)> {
        let now = self.site.now();
        let state = self.state.borrow();
        let (position, at) = state.vouch.last()?;
        Some((position, now.saturating_sub(at)))
    }

    /// Reads wait for a sample of how far the primary is. Returns whether the other hosts are to be asked at
    /// once, rather than with the next heartbeat.
    pub fn request_sample(&self) -> bool {
        let now = self.site.now();
        let is_due = now >= self.sample_requested_at.get() + SAMPLE_REQUEST_INTERVAL;
        let is_new = !self.lacks_sample.replace(true);
        if is_due && is_new {
            self.sample_requested_at.set(now);
        }
        is_due && is_new
    }

    /// Another host vouches that the primary still led at `at`, or later, and its log reached `position`.
    pub fn record_peer_sample(&self, position: Position, at: Duration) {
        let mut state = self.state.borrow_mut();
        // Samples that are closer together are one: acted on, an answer would lead to the next question.
        let is_known = state
            .vouch
            .last()
            .is_some_and(|(_, last)| at < last + SPACING);
        if is_known || position.term < state.vouch.term() || state.extent.lacks(position, at) {
            return;
        }
        state.vouch.led(position, at);
        drop(state);
        self.sample_arrived();
    }

    /// A sample of how far the primary is has come: reads that wait for one are placed anew.
    fn sample_arrived(&self) {
        self.lacks_sample.set(false);
        self.sample_notify.notify_waiters();
    }

    /// What a read needs that has to see everything acknowledged before `since`, and `seen`.
    pub fn need(&self, since: Duration, seen: Position) -> Need {
        let now = self.site.now();
        let state = self.state.borrow();
        let Some(floor) = state.vouch.floor(since) else {
            return Need::Lead;
        };
        let position = floor.max(state.vouch.current(seen));
        let at = state.vouch.reached(position).unwrap_or(now);
        Need::Position { position, at }
    }

    /// A server that was asked at `sent` said what it is.
    pub fn record_status(self: &Rc<Self>, server: ServerKey, status: &Status, sent: Duration) {
        let now = self.site.now();
        {
            let mut state = self.state.borrow_mut();
            if let Some(entry) = state.servers.get_mut(&server) {
                entry.contact.answered(now);
            }
            state.leader.said(server, status.role, status.term);
            if status.role == Role::Primary {
                state.vouch.saw_term(status.term);
            }
        }
        self.check_log(server, status.received, sent);
        self.refresh_leader();
    }

    /// Another host has seen `server` lead `term`.
    pub fn record_peer_leader(self: &Rc<Self>, server: &peer::Server, term: Term) {
        let ResolvedServer::Listed(server) = self.resolve_server(server) else {
            return;
        };
        {
            let mut state = self.state.borrow_mut();
            state.vouch.saw_term(term);
            state.leader.said(server, Role::Primary, term);
        }
        self.refresh_leader();
    }

    /// Something sent to a server at `sent` came to nothing.
    pub fn record_failure(
        &self,
        server: ServerKey,
        error: &server_connection::Error,
        sent: Duration,
    ) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.servers.get_mut(&server) else {
            return;
        };
        match failure_kind(error) {
            FailureKind::Refused => entry.contact.refused(now),
            FailureKind::Silent => entry.contact.silent(sent),
            FailureKind::None => entry.contact.answered(now),
        }
        if matches!(failure_kind(error), FailureKind::Refused) {
            state.record_broken_connection(server);
        }
        let leads = state.dispatch.leader() == Some(server);
        drop(state);
        if leads {
            self.failover_notify.notify_one();
        }
    }

    /// A server has answered nothing that was sent since `since`, and not on another connection.
    pub fn record_silence(&self, server: ServerKey, since: Duration) {
        if let Some(entry) = self.state.borrow_mut().servers.get_mut(&server) {
            entry.contact.silent(since);
        }
        self.failover_notify.notify_one();
    }

    /// How this host's own connections to a server fare.
    pub fn contact(&self, server: ServerKey) -> Option<Contact> {
        let state = self.state.borrow();
        state.servers.get(&server).map(|entry| entry.contact)
    }

    /// Takes the servers of which this host lacks connections since the last call.
    pub fn take_connection_shortages(&self) -> BTreeSet<ServerKey> {
        std::mem::take(&mut self.state.borrow_mut().connection_shortages)
    }

    /// Another host lacks connections to a server.
    pub fn yield_connections(self: &Rc<Self>, server: ServerKey) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if let Some(server) = state.dispatch.server_mut(server) {
            server.squeeze(now);
        }
    }

    /// When the oldest statement was sent that the primary should have answered by now, if it has
    /// answered nothing since.
    pub fn overdue_statement(&self) -> Option<(Target, Duration)> {
        let now = self.site.now();
        let state = self.state.borrow();
        let entry = state.servers.get(&state.dispatch.leader()?)?;
        let oldest = entry.outstanding.values().min().copied()?;
        let doubtful = entry.contact.waits(oldest, now);
        doubtful.then(|| (entry.target.clone(), oldest))
    }

    /// What is wrong with the primary.
    pub fn trouble(&self) -> Option<Trouble> {
        let now = self.site.now();
        let state = self.state.borrow();
        let Some(leader) = state.dispatch.leader() else {
            let since = state.no_primary_since.unwrap_or(now);
            return Some(Trouble::Absent { since });
        };
        let contact = state.servers.get(&leader).map(|entry| entry.contact);
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
            .map(|(key, entry)| (entry.target.clone(), standing(key)))
            .collect()
    }

    /// Requests that each of its servers runs at once; `None` while none is listed.
    pub fn slots(&self) -> Option<u16> {
        let state = self.state.borrow();
        let servers = state.dispatch.servers().values();
        servers.map(|server| server.slots).min()
    }

    /// The server called `id`.
    pub fn find_server(&self, id: &str) -> Option<ServerKey> {
        let state = self.state.borrow();
        let mut entries = state.servers.iter();
        entries
            .find(|(_, entry)| entry.target.id == id)
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
        self.state.borrow().leader.led_by()
    }

    /// The newest position of a primary's log that this host has heard of.
    pub fn newest_position(&self) -> Position {
        self.state.borrow().vouch.newest()
    }

    /// The newest term that is known to have begun.
    pub fn newest_term(&self) -> Term {
        self.state.borrow().vouch.term()
    }

    fn refresh_leader(self: &Rc<Self>) {
        let now = self.site.now();
        let (change, succeeds) = {
            let mut state = self.state.borrow_mut();
            state.trust_only_server(now);
            let newest = state.vouch.term();
            state.leader.began(newest);
            let Some(change) = state.leader.refresh(now) else {
                return;
            };
            let succeeds = state.is_successor(change.after);
            let hold = state.dispatch.held().filter(|_| !succeeds);
            state.dispatch.lead(change.after);
            if let Some(hold) = hold {
                state.dispatch.hold(hold);
            }
            state.schedule_leader_check(now);
            state.no_primary_since = change.after.is_none().then_some(now);
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
        self.failover_notify.notify_one();
        self.tick_dispatch(now);
    }

    fn tick_dispatch(self: &Rc<Self>, now: Duration) {
        let next = self.state.borrow_mut().dispatch.tick(now);
        self.apply(next);
    }

    /// Closes idle connections that their server has ended, before a request is sent there.
    fn close_ended_connections(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let closed: Vec<u64> = state
            .idle
            .iter()
            .filter(|(_, connection)| connection.is_closed())
            .map(|(id, _)| *id)
            .collect();
        for id in closed {
            if let Some(connection) = state.idle.remove(&id) {
                state.record_broken_connection(connection.server);
                state.dispatch.ended(connection.server, id);
            }
        }
    }
}

enum FailureKind {
    Refused,
    Silent,
    /// The server answered, so it is there.
    None,
}

fn failure_kind(error: &server_connection::Error) -> FailureKind {
    match error {
        server_connection::Error::Io(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            FailureKind::Silent
        }
        server_connection::Error::Io(_) => FailureKind::Refused,
        server_connection::Error::Codec(_) | server_connection::Error::Refused(_) => {
            FailureKind::None
        }
    }
}
