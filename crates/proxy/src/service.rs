//! State of one service on this host: its servers, the connection pools to them, and the queue of
//! requests that wait for a connection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::{self, Allotment, Dispatch, Need, ServerState, Ticket, Unserved};
use flamingopost_core::extent::LogExtent;
use flamingopost_core::freshness::{FreshnessTracker, SAMPLE_SPACING};
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::LeaderTracker;
use flamingopost_core::position::Position;
use flamingopost_core::quorum::StoreLease;
use flamingopost_core::serving_contact::ServingContact;
use flamingopost_core::succession::{Contact, PriorOrders, Trouble, UnheardOrder};
use flamingopost_core::term::Term;
use tokio::sync::{Notify, oneshot};

use crate::codec::Codec;
use crate::event::Event;
use crate::server_connection::{ServerConnection, Target};
use crate::site::Site;

mod confirm;
mod connect;
mod handover;
mod hold;
mod listing;
mod log_loss;
mod log_proof;
mod observations;
mod open_order;
mod pooled_connection;
mod queue;
mod restart;
mod restart_signal;
mod unheard_order;
mod use_state;

use confirm::Confirmation;
pub use hold::HANDOVER_MARGIN;
pub use listing::Source;
pub use log_proof::MissingEvidence;
pub use pooled_connection::{PendingAnswer, PooledConnection};
use restart::PrimaryCheck;
pub use restart::{ResolvedServer, Start};
pub use restart_signal::RestartSignal;
use use_state::UseState;

/// Minimum interval between requests to other hosts for a position sample, in addition to those
/// sent with heartbeats.
///
/// Prevents a storm of datagrams: if the reply does not help the waiting reads, each of them would
/// trigger the next request one round trip later.
const SAMPLE_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// One service on this host.
pub struct Service<C: Codec> {
    /// Name of the service.
    pub name: String,
    /// State shared by all parts of the host.
    pub site: Rc<Site>,
    /// Notified when something happened that may require a failover.
    pub failover_notify: Notify,
    /// Notified when a sample of the primary's log position arrives.
    pub sample_notify: Notify,
    /// Whether reads wait for the primary because there is no sample of its log position.
    pub lacks_sample: Cell<bool>,
    /// When other hosts were last asked for a sample.
    sample_requested_at: Cell<Duration>,
    /// Contact with the hosts that serve the service on behalf of this one.
    pub serving_contact: RefCell<ServingContact>,
    /// Notified when a round of status queries to the other servers has ended.
    confirmation_notify: Notify,
    /// Number of statements that wait for the state of a leaving primary's successor.
    handover_waiting: Cell<usize>,
    /// Notified when one begins to wait.
    pub handover_demand: Notify,
    /// Notified when that state is known, or the primary is not used any more.
    pub handover_answered: Notify,
    usage: UseState,
    state: RefCell<State<C>>,
}

struct State<C: Codec> {
    dispatch: Dispatch,
    freshness: FreshnessTracker,
    log_extent: LogExtent,
    leader: LeaderTracker,
    /// Since when the service has had only one server.
    single_server_since: Option<Duration>,
    check: PrimaryCheck,
    /// Hold on statements until an unexpected primary has been checked.
    check_hold: Option<dispatch::Hold>,
    /// Whether the log of the believed primary needs no further check: it has entries, or nothing
    /// was ever written to the service.
    is_log_checked: bool,
    /// The last primary that was verified to have the service's log.
    proven_primary: Option<ServerKey>,
    /// Whether all terms that the believed primary is known to lead have ended.
    has_primary_ended: bool,
    /// Last observed log position of the believed primary, while its check is incomplete.
    primary_position: Option<Position>,
    /// Whether a promotion may have been ordered without this host's knowledge.
    prior_orders: PriorOrders,
    /// The search for such a promotion, while it goes on.
    unheard_order: Option<UnheardOrder>,
    /// An order that may still be carried out, and that no running host has given.
    open_order: Option<open_order::OpenOrder>,
    no_primary_since: Option<Duration>,
    servers: BTreeMap<ServerKey, ServerEntry>,
    idle: BTreeMap<u64, ServerConnection<C>>,
    waiters: BTreeMap<u64, Waiter<C>>,
    allotment: Allotment,
    /// Hold on statements for the primary until its successor leads.
    successor_hold: Option<dispatch::Hold>,
    /// ID of the server that the newest order names, while statements are held for it.
    awaited_successor: Option<String>,
    replacement: Option<hold::Replacement>,
    /// Servers that were ordered to become primary, by server ID. Grows to at most the number of
    /// servers that ever existed.
    promotions: BTreeMap<String, hold::PromotionRecord>,
    store_lease: StoreLease,
    confirmation: Confirmation,
    /// Servers that are at their connection limit while this host has less than its fair share.
    connection_shortages: BTreeSet<ServerKey>,
}

struct ServerEntry {
    target: Target,
    incarnation: Incarnation,
    restart_signal: RestartSignal,
    /// How the server came back, if it is known to have restarted.
    restart: Option<restart::RestartRecord>,
    /// Connections have broken while it was the believed primary, and it has shown no write since.
    connections_broke: bool,
    /// Its log was found empty, and it has shown no entry since.
    found_empty: bool,
    /// It has shown its log position since the believed primary last changed.
    has_shown_position: bool,
    contact: Contact,
    /// Send times of the statements that have not been answered yet.
    outstanding: BTreeMap<u64, Duration>,
}

struct Waiter<C: Codec> {
    ticket: Ticket,
    sender: oneshot::Sender<Result<PooledConnection<C>, Unserved>>,
}

impl<C: Codec> Service<C> {
    /// Creates a service without any known server.
    pub fn new(name: String, site: Rc<Site>) -> Service<C> {
        let mut dispatch = Dispatch::default();
        dispatch.set_start(rand::random(), site.now());
        Service {
            name,
            site,
            failover_notify: Notify::new(),
            sample_notify: Notify::new(),
            lacks_sample: Cell::new(false),
            sample_requested_at: Cell::default(),
            serving_contact: RefCell::default(),
            confirmation_notify: Notify::new(),
            handover_waiting: Cell::new(0),
            handover_demand: Notify::new(),
            handover_answered: Notify::new(),
            usage: UseState::default(),
            state: RefCell::new(State {
                dispatch,
                freshness: FreshnessTracker::default(),
                log_extent: LogExtent::default(),
                leader: LeaderTracker::default(),
                single_server_since: None,
                check: PrimaryCheck::default(),
                check_hold: None,
                is_log_checked: false,
                proven_primary: None,
                has_primary_ended: false,
                primary_position: None,
                prior_orders: PriorOrders::default(),
                unheard_order: None,
                open_order: None,
                no_primary_since: Some(Duration::ZERO),
                servers: BTreeMap::new(),
                idle: BTreeMap::new(),
                waiters: BTreeMap::new(),
                allotment: Allotment::NOT_SERVING,
                successor_hold: None,
                awaited_successor: None,
                replacement: None,
                promotions: BTreeMap::new(),
                store_lease: StoreLease::default(),
                confirmation: Confirmation::default(),
                connection_shortages: BTreeSet::new(),
            }),
        }
    }

    /// Runs all work that depends only on the passage of time, if there is any.
    pub fn tick(self: &Rc<Self>) {
        let now = self.site.now();
        if !self.is_tick_due(now) {
            return;
        }
        self.refresh_leader();
        self.tick_hold(now);
        self.tick_dispatch(now);
        self.close_ended_connections();
        self.schedule_tick(now);
    }

    /// Returns the average duration of a request at a server.
    pub fn average_latency(&self, server: ServerKey) -> Duration {
        let state = self.state.borrow();
        let server = state.dispatch.servers().get(&server);
        server.map_or(Duration::ZERO, dispatch::Server::average_latency)
    }

    /// Returns the server that this host believes to be the primary.
    pub fn leader(&self) -> Option<ServerKey> {
        self.state.borrow().dispatch.leader()
    }

    /// Returns the name of a server for logs.
    pub fn name_of(&self, server: Option<ServerKey>) -> String {
        let state = self.state.borrow();
        let entry = server.and_then(|server| state.servers.get(&server));
        entry.map_or_else(|| "nobody".to_owned(), |entry| entry.target.id.clone())
    }

    /// Returns the newest known position of the primary's log, and the time since the request that
    /// returned it was sent.
    pub fn newest_sample(&self) -> Option<(Position, Duration)> {
        let now = self.site.now();
        let state = self.state.borrow();
        let (position, at) = state.freshness.last_sample()?;
        Some((position, now.saturating_sub(at)))
    }

    /// Records that reads wait for a sample of the primary's position. Returns whether the other
    /// hosts should be asked immediately, without waiting for the next heartbeat.
    pub fn request_sample(&self) -> bool {
        let now = self.site.now();
        let is_due = now >= self.sample_requested_at.get() + SAMPLE_REQUEST_INTERVAL;
        let is_new = !self.lacks_sample.replace(true);
        if is_due && is_new {
            self.sample_requested_at.set(now);
        }
        is_due && is_new
    }

    /// Records the report of another host that the primary still led at `at` or later, and that its
    /// log had reached `position`.
    pub fn record_peer_sample(&self, position: Position, at: Duration) {
        let mut state = self.state.borrow_mut();
        // Samples this close together count as one. Otherwise each reply would trigger the next
        // request.
        let is_known = state
            .freshness
            .last_sample()
            .is_some_and(|(_, last)| at < last + SAMPLE_SPACING);
        if is_known
            || position.term < state.freshness.term()
            || state.log_extent.lacks(position, at)
        {
            return;
        }
        state.freshness.add_sample(position, at);
        drop(state);
        self.sample_arrived();
    }

    /// Wakes the reads that wait for a sample of the primary's position, so that they are
    /// dispatched again.
    fn sample_arrived(&self) {
        self.lacks_sample.set(false);
        self.sample_notify.notify_waiters();
    }

    /// Returns what is required of a server for a read that must see everything acknowledged before
    /// `since`, and `seen`.
    pub fn need(&self, since: Duration, seen: Position) -> Need {
        let now = self.site.now();
        let state = self.state.borrow();
        let Some(floor) = state.freshness.required_position(since) else {
            return Need::Leader;
        };
        let position = floor.max(state.freshness.in_current_term(seen));
        let at = state.freshness.reached_at(position).unwrap_or(now);
        Need::Position { position, at }
    }

    /// Reports whether this host has requests for the service, waiting or sent.
    pub fn has_requests(&self) -> bool {
        let state = self.state.borrow();
        let mut servers = state.servers.values();
        state.dispatch.waiting() > 0 || servers.any(|it| !it.outstanding.is_empty())
    }

    /// Returns the state of this host's own connections to a server.
    pub fn contact(&self, server: ServerKey) -> Option<Contact> {
        let state = self.state.borrow();
        state.servers.get(&server).map(|entry| entry.contact)
    }

    /// Returns and clears the servers to which this host has lacked connections since the last
    /// call.
    pub fn take_connection_shortages(&self) -> BTreeSet<ServerKey> {
        std::mem::take(&mut self.state.borrow_mut().connection_shortages)
    }

    /// Gives up connections to a server because another host lacks connections to it.
    pub fn yield_connections(self: &Rc<Self>, server: ServerKey) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if let Some(server) = state.dispatch.server_mut(server) {
            server.limit_to_fair_share(now);
        }
    }

    /// Returns the primary and the send time of its oldest unanswered statement, if the answer is
    /// overdue and nothing else has been answered since.
    pub fn overdue_statement(&self) -> Option<(Target, Duration)> {
        let now = self.site.now();
        let state = self.state.borrow();
        let entry = state.servers.get(&state.dispatch.leader()?)?;
        let oldest = entry.outstanding.values().min().copied()?;
        let doubtful = entry.contact.is_overdue(oldest, now);
        doubtful.then(|| (entry.target.clone(), oldest))
    }

    /// Returns the current problem with the primary, if any.
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
        let leaving = server.is_some_and(|server| server.state == ServerState::Leaving);
        leaving.then_some(Trouble::Leaving)
    }

    /// Returns all servers with their addresses and whether they are leaving.
    pub fn targets(&self) -> Vec<(Target, ServerState)> {
        let state = self.state.borrow();
        let server_state = |key: &ServerKey| {
            let server = state.dispatch.servers().get(key);
            server.map_or(ServerState::Leaving, |server| server.state)
        };
        state
            .servers
            .iter()
            .map(|(key, entry)| (entry.target.clone(), server_state(key)))
            .collect()
    }

    /// Returns the number of requests that each server runs concurrently, or `None` if no server is
    /// listed.
    pub fn slots(&self) -> Option<u16> {
        let state = self.state.borrow();
        let servers = state.dispatch.servers().values();
        servers.map(|server| server.slots).min()
    }

    /// Returns the server with the ID `id`.
    pub fn find_server(&self, id: &str) -> Option<ServerKey> {
        let state = self.state.borrow();
        let mut entries = state.servers.iter();
        entries
            .find(|(_, entry)| entry.target.id == id)
            .map(|(key, _)| *key)
    }

    /// Returns the newest term in which the primary itself has shown that it leads.
    pub fn term_led(&self) -> Term {
        let state = self.state.borrow();
        let leader = state.dispatch.leader();
        leader.map_or_else(Default::default, |leader| state.leader.term_led(leader))
    }

    /// Returns the newest term in which a server has shown that it leads, whether it is used or not.
    pub fn newest_term_led(&self) -> Term {
        self.state.borrow().leader.newest_term_led()
    }

    /// Returns all servers that have shown that they lead, whether believed or not, each with the
    /// newest term in which it did.
    pub fn led_by(&self) -> BTreeMap<ServerKey, Term> {
        self.state.borrow().leader.terms_led()
    }

    /// Returns the servers that report that they lead, while another one leads a newer term.
    pub fn replaced_primaries(&self) -> Vec<Target> {
        let state = self.state.borrow();
        let replaced = state.leader.replaced_primaries();
        let entries = replaced.iter().filter_map(|key| state.servers.get(key));
        entries.map(|entry| entry.target.clone()).collect()
    }

    /// Returns the newest position of a primary's log that this host knows of.
    pub fn newest_position(&self) -> Position {
        self.state.borrow().freshness.newest()
    }

    /// Returns the newest term that is known to have begun.
    pub fn newest_term(&self) -> Term {
        self.state.borrow().freshness.term()
    }

    fn refresh_leader(self: &Rc<Self>) {
        let now = self.site.now();
        let (change, succeeds, is_awaited) = {
            let mut state = self.state.borrow_mut();
            state.trust_only_server(now);
            let newest = state.freshness.term();
            state.leader.record_term_start(newest);
            let Some(change) = state.leader.refresh(now) else {
                let has_shown_lead = state.has_primary_shown_new_term();
                drop(state);
                if has_shown_lead {
                    self.end_hold("the primary was seen to lead a newer term");
                }
                return;
            };
            let succeeds = state.is_successor(change.after);
            let is_awaited = state.is_awaited(change.after);
            state.dispatch.set_leader(change.after);
            state.has_primary_ended = state.has_ended(change.after);
            state.schedule_leader_check(succeeds, now);
            state.no_primary_since = change.after.is_none().then_some(now);
            (change, succeeds, is_awaited)
        };
        self.site.record_primary_change();
        self.site.log(&Event::Leads {
            service: self.name.clone(),
            after: self.name_of(change.after),
            before: self.name_of(change.before),
            millis: change.lasted.as_millis(),
        });
        let is_searching = self.state.borrow().unheard_order.is_some();
        if succeeds && is_awaited && !is_searching {
            self.end_hold("a server was seen to lead");
        }
        self.failover_notify.notify_one();
        self.require_tick();
        self.tick_dispatch(now);
    }

    fn tick_dispatch(self: &Rc<Self>, now: Duration) {
        let next = self.state.borrow_mut().dispatch.tick(now);
        self.apply(next);
    }

    /// Closes idle connections that the server has already closed, before a request is sent on
    /// them.
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
                state.dispatch.idle_connection_closed(connection.server, id);
            }
        }
    }
}
