//! One backend server and this host's connections to it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::TeamKey;
use crate::position::Position;

use super::allotment::Allotment;
use super::window::Window;

mod answers;
mod connections;
mod full;

use answers::Answers;
use full::Full;

/// Assumed latency of a server before the first measurement.
pub(super) const INITIAL_LATENCY: Duration = Duration::from_millis(15);

/// Divisor of the weight of a new measurement in the moving average.
const SMOOTHING_DIVISOR: u32 = 8;

/// Time after which a replica that seems to lag too far is tried again. The replica itself refuses
/// a read that it cannot answer, at the cost of one round trip.
const LAG_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Assumed replication lag of a server before the first measurement.
const INITIAL_LAG: Duration = Duration::from_millis(100);

/// Margin added to a measured lag, which changes with each write.
const LAG_MARGIN: Duration = Duration::from_millis(15);

/// Whether a server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes new requests.
    Serving,
    /// It is leaving: running requests go on, and no new reads are sent to it. As the primary it
    /// still takes writes for a while.
    Leaving,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The server has reached its connection limit.
    Full,
    /// The server's request queue is full, which ends within moments.
    Busy,
    /// The server refused for another reason, or did not answer.
    Unreachable,
}

/// One backend server and this host's connections to it.
#[derive(Debug)]
pub struct Server {
    /// Whether it is in the availability zone of this host.
    pub local: bool,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// Time from which it takes no requests as the primary either, while it is leaving.
    pub serves_until: Duration,
    /// Number of requests that it runs at once.
    pub slots: u16,
    /// Number of connections that this host keeps open.
    pub base_connections: u16,
    /// Number of connections that this host may have while no other host lacks any.
    pub max_connections: u16,
    /// Number of connections that this host may always have: its fair share of the server's limit.
    pub fair_connections: u16,
    /// Number of connections that this host may have while the server may still count those of its
    /// former process.
    pub restart_connections: u16,
    /// Replication position that it last reported.
    pub applied: Position,
    /// Number of connections that are being opened, by team.
    opening: BTreeMap<TeamKey, u16>,
    /// Estimated replication lag.
    lag: Duration,
    lag_measured_at: Duration,
    /// Time before which reads that the server may lack the position for are not sent there.
    lag_retry_at: Duration,
    /// Idle connections; the one that has been idle longest is first.
    idle: Vec<Idle>,
    /// Number of connections in use.
    busy: u16,
    average_latency: Duration,
    answers: Answers,
    /// Time before which no connect is tried, after one failed.
    retry_at: Duration,
    /// Current backoff between connects; zero after a success.
    backoff: Duration,
    full: Full,
    /// Time until which this host keeps to `restart_connections`.
    restart_until: Duration,
    /// Time until which this host keeps to `fair_connections`.
    fair_share_until: Duration,
    window: Window,
    /// Number of connections in use that are idle inside a transaction.
    idle_in_transaction: u16,
    /// Number of open transactions.
    transactions: u16,
}

#[derive(Debug, Clone, Copy)]
struct Idle {
    connection: u64,
    team: TeamKey,
    since: Duration,
}

impl Server {
    /// Returns a server without connections.
    pub fn new(
        local: bool,
        slots: u16,
        base_connections: u16,
        fair_connections: u16,
        max_connections: u16,
    ) -> Server {
        Server {
            local,
            state: ServerState::Serving,
            serves_until: Duration::MAX,
            slots: slots.max(1),
            base_connections,
            max_connections: max_connections.max(1),
            fair_connections: fair_connections.max(1),
            restart_connections: max_connections.max(1),
            fair_share_until: Duration::ZERO,
            window: Window::default(),
            idle_in_transaction: 0,
            transactions: 0,
            applied: Position::default(),
            opening: BTreeMap::new(),
            lag: INITIAL_LAG,
            lag_measured_at: Duration::ZERO,
            lag_retry_at: Duration::ZERO,
            idle: Vec::new(),
            busy: 0,
            average_latency: INITIAL_LATENCY,
            answers: Answers::default(),
            retry_at: Duration::ZERO,
            backoff: Duration::ZERO,
            full: Full::default(),
            restart_until: Duration::ZERO,
        }
    }

    /// Records the replication position that the server reported. `passed_at` is the time at which
    /// a primary was known to be past that position, if any.
    ///
    /// The newest report replaces the older one even when it is lower: a server may have less data
    /// after a restart, and a promotion rolls back servers that were ahead.
    pub fn record_position(
        &mut self,
        position: Position,
        passed_at: Option<Duration>,
        now: Duration,
    ) {
        self.applied = position;
        let behind = passed_at.map_or(Duration::ZERO, |passed_at| now.saturating_sub(passed_at));
        self.lag = match behind > self.lag {
            true => behind,
            false => (self.lag * 3 + behind) / 4,
        };
        self.lag_measured_at = now;
    }

    /// Records that the server lacked a position that a primary had at time `at`.
    pub(super) fn replica_lagging(&mut self, at: Duration, now: Duration) {
        self.lag = self.lag.max(now.saturating_sub(at));
        self.lag_measured_at = now;
        self.lag_retry_at = now + LAG_RETRY_AFTER;
    }

    /// Returns the estimated replication lag.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Records the latency of one request.
    pub fn record_latency(&mut self, took: Duration, now: Duration) {
        self.average_latency =
            (self.average_latency * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR;
        self.answers.record(took, now);
        self.window.record_latency(took, self.max_connections, now);
    }

    /// Returns the moving average of the latency.
    pub fn average_latency(&self) -> Duration {
        self.average_latency
    }

    pub(super) fn update(&mut self, newer: &Server) {
        self.local = newer.local;
        // The time counts from the first report that the server is leaving.
        if self.state == ServerState::Serving || newer.state == ServerState::Serving {
            self.serves_until = newer.serves_until;
        }
        self.state = newer.state;
        self.slots = newer.slots;
        self.base_connections = newer.base_connections;
        self.max_connections = newer.max_connections;
        self.fair_connections = newer.fair_connections;
        self.restart_connections = newer.restart_connections;
    }

    /// Marks the server as leaving. As the primary, it takes requests before `until`.
    pub fn leave(&mut self, until: Duration) {
        self.state = ServerState::Leaving;
        self.serves_until = until;
    }

    /// Reports whether the server takes requests at `now` if it is the primary.
    pub(super) fn serves_as_primary(&self, now: Duration) -> bool {
        self.state == ServerState::Serving || now < self.serves_until
    }

    /// Sets the number of connections that this host may have.
    pub fn set_allotment(&mut self, allotment: Allotment) {
        self.base_connections = allotment.base;
        self.max_connections = allotment.most.max(1);
        self.fair_connections = allotment.fair.max(1);
        self.restart_connections = allotment.restart.max(1);
    }

    /// Sets the time until which the server may count connections of this host's former process,
    /// and a number that differs from host to host.
    pub(super) fn set_start(&mut self, counted_until: Duration, seed: u64) {
        self.restart_until = counted_until;
        self.full.set_seed(seed);
    }

    /// Shrinks the window after the server refused a request because its queue was full.
    pub fn shrink_window(&mut self, now: Duration) {
        self.window.queue_full(now);
    }

    /// Counts a connection that is idle inside a transaction, or no longer is. An idle transaction
    /// takes no slot.
    pub(super) fn set_idle_in_transaction(&mut self, is_idle: bool) {
        self.idle_in_transaction = match is_idle {
            true => self.idle_in_transaction.saturating_add(1),
            false => self.idle_in_transaction.saturating_sub(1),
        };
    }

    /// Returns whether one more transaction may be opened.
    ///
    /// One connection is reserved for single statements. If transactions used all of them, single
    /// statements would wait for as long as the callers keep their transactions open.
    pub(super) fn accepts_transaction(&self, now: Duration) -> bool {
        self.transactions + 1 < self.connection_limit(now).max(2)
    }

    /// Counts a transaction that was opened, or one that has ended.
    pub(super) fn count_transaction(&mut self, opened: bool) {
        self.transactions = match opened {
            true => self.transactions.saturating_add(1),
            false => self.transactions.saturating_sub(1),
        };
    }

    /// Returns whether the window admits one more request besides those running and `planned`
    /// ones that do not run yet.
    ///
    /// Another connection does not help a request that waits for the window, and opening one takes
    /// a slot of the overloaded server for longer than a read does. Without this check, hosts
    /// opened 486 connections a second. That kept more slots busy than the server has, until it
    /// refused connections as well.
    pub(super) fn has_room(&self, planned: u16) -> bool {
        self.busy.saturating_sub(self.idle_in_transaction) + planned < self.window.size()
    }

    /// Returns whether the server may have reached `position`, which a primary had at time `at`, so
    /// that a read that needs it is worth sending.
    pub(super) fn may_have_position(
        &self,
        position: Position,
        at: Duration,
        now: Duration,
    ) -> bool {
        if self.applied >= position {
            return true;
        }
        // Servers treat every log as containing the start of a term, even one that has not reached
        // it, and cannot refuse the read. So the server must already have reported this position.
        if position.log == 0 {
            return false;
        }
        let caught_up = now >= at + self.lag + LAG_MARGIN;
        now >= self.lag_retry_at && (caught_up || now >= self.lag_measured_at + LAG_RETRY_AFTER)
    }

    /// Returns how many requests this host can start here in a second, or `None` if that is not
    /// known: it has no open connection, or the server has given too few answers lately.
    pub(super) fn starts_per_second(&self, now: Duration) -> Option<f64> {
        let is_open = self.connections() > self.opening();
        let latency = self.answers.fastest(now).filter(|_| is_open)?;
        let running = self.window.size().min(self.connection_limit(now));
        (!latency.is_zero()).then(|| f64::from(running) / latency.as_secs_f64())
    }

    /// Returns the expected latency of one more request.
    pub(super) fn expected_latency(&self) -> Duration {
        self.average_latency * (u32::from(self.busy) + 1) / u32::from(self.slots)
    }
}
