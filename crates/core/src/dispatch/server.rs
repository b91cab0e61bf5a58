//! One backend server and this host's connections to it.

use std::time::Duration;

use crate::position::Position;

use super::window::Window;
use super::{BACKOFF_MAX, BACKOFF_MIN};

/// What a server is assumed to take until it was measured.
pub(super) const INITIAL_LATENCY: Duration = Duration::from_millis(15);

/// Part of a new measurement in the average, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// A replica that seems too far behind is tried again after this long: it says itself whether it
/// has what the read needs, for the price of one round trip.
const LAG_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a replica is taken to be behind until it was measured.
const INITIAL_LAG: Duration = Duration::from_millis(100);

/// Added to a measured lag, which moves with each write.
const LAG_MARGIN: Duration = Duration::from_millis(15);

/// How long a host keeps to its part after another one has asked for connections.
const FAIR_SHARE_DURATION: Duration = Duration::from_millis(1_000);

/// How long a server at its limit of connections is not asked for another.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Serving,
    /// It is leaving: what runs there goes on, nothing new is sent.
    Leaving,
}

/// Why no connection could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The server has no connections left for anybody.
    Full,
    /// It refused, or there was no answer.
    Unreachable,
}

/// One backend server and this host's connections to it.
#[derive(Debug)]
pub struct Server {
    /// Whether it is in the availability zone of this host.
    pub local: bool,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Connections that this host keeps open.
    pub base_connections: u16,
    /// Connections that this host may have while nobody lacks one.
    pub max_connections: u16,
    /// Connections that this host may have in any case: its part of the server's limit.
    pub fair_connections: u16,
    /// The latest position that its data are known to have reached.
    pub applied: Position,
    pub(super) opening: u16,
    lag: Duration,
    lag_measured_at: Duration,
    lag_retry_at: Duration,
    idle: Vec<Idle>,
    busy: u16,
    average_latency: Duration,
    retry_at: Duration,
    backoff: Duration,
    full_until: Duration,
    fair_share_until: Duration,
    window: Window,
    idle_in_transaction: u16,
    transactions: u16,
}

#[derive(Debug, Clone, Copy)]
struct Idle {
    connection: u64,
    since: Duration,
}

impl Server {
    /// A server to which there is no connection yet.
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
            slots: slots.max(1),
            base_connections,
            max_connections: max_connections.max(1),
            fair_connections: fair_connections.max(1),
            fair_share_until: Duration::ZERO,
            window: Window::default(),
            idle_in_transaction: 0,
            transactions: 0,
            applied: Position::default(),
            opening: 0,
            lag: INITIAL_LAG,
            lag_measured_at: Duration::ZERO,
            lag_retry_at: Duration::ZERO,
            idle: Vec::new(),
            busy: 0,
            average_latency: INITIAL_LATENCY,
            retry_at: Duration::ZERO,
            backoff: Duration::ZERO,
            full_until: Duration::ZERO,
        }
    }

    /// The server said that its data reach `position`; primaries had got further than that by
    /// `passed`, if that is known.
    ///
    /// The last word counts, also when it is lower: a server may come back from a restart with
    /// less, and a promotion rolls those back that were ahead.
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

    /// The server lacked a position that a primary had at `at`.
    pub(super) fn replica_lagging(&mut self, at: Duration, now: Duration) {
        self.lag = self.lag.max(now.saturating_sub(at));
        self.lag_measured_at = now;
        self.lag_retry_at = now + LAG_RETRY_AFTER;
    }

    /// How far the server's data are behind, as a time.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// A request took `took` there.
    pub fn record_latency(&mut self, took: Duration, now: Duration) {
        self.average_latency =
            (self.average_latency * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR;
        self.window.record_latency(took, self.max_connections, now);
    }

    /// How long a request took there lately.
    pub fn average_latency(&self) -> Duration {
        self.average_latency
    }

    /// Connections that are open or being opened.
    pub fn connections(&self) -> u16 {
        let idle = u16::try_from(self.idle.len()).unwrap_or(u16::MAX);
        self.busy.saturating_add(idle).saturating_add(self.opening)
    }

    /// Whether connecting failed and the wait before the next attempt is not over.
    pub fn is_broken(&self, now: Duration) -> bool {
        self.backoff > Duration::ZERO && self.idle.is_empty() && now < self.retry_at + BACKOFF_MAX
    }

    pub(super) fn update(&mut self, newer: &Server) {
        self.local = newer.local;
        self.state = newer.state;
        self.slots = newer.slots;
        self.base_connections = newer.base_connections;
        self.max_connections = newer.max_connections;
        self.fair_connections = newer.fair_connections;
    }

    /// The server's queue was full.
    pub fn shrink_window(&mut self, now: Duration) {
        self.window.queue_full(now);
    }

    /// A connection rests inside a transaction, or does so no more: it takes no slot meanwhile.
    pub(super) fn set_idle_in_transaction(&mut self, is_idle: bool) {
        self.idle_in_transaction = match is_idle {
            true => self.idle_in_transaction.saturating_add(1),
            false => self.idle_in_transaction.saturating_sub(1),
        };
    }

    /// Whether one more transaction may be opened there. One connection stays for single
    /// statements: with all of them kept by transactions, those wait for as long as callers think.
    pub(super) fn accepts_transaction(&self, now: Duration) -> bool {
        self.transactions + 1 < self.connection_limit(now).max(2)
    }

    /// A transaction is opened there, or one has ended.
    pub(super) fn count_transaction(&mut self, opened: bool) {
        self.transactions = match opened {
            true => self.transactions.saturating_add(1),
            false => self.transactions.saturating_sub(1),
        };
    }

    /// Whether one more request may run there beside `others` that do not run yet.
    ///
    /// A request that waits for the window gets nothing from another connection, while opening it
    /// takes a slot of the crowded server for longer than a read does: hosts opened 486 connections
    /// a second, which kept more slots busy than a server has, until it refused connections too.
    pub(super) fn has_room(&self, planned: u16) -> bool {
        self.busy.saturating_sub(self.idle_in_transaction) + planned < self.window.size()
    }

    /// Another host lacks connections to the server: those above this host's part are given
    /// back as they become free.
    ///
    /// Without it, hosts that came first keep what they have while the server is at its limit,
    /// and one that has a single connection serves a queue of a hundred with it.
    pub fn limit_to_fair_share(&mut self, now: Duration) {
        self.fair_share_until = now + FAIR_SHARE_DURATION;
    }

    /// Whether this host has less than its part of the server's connections; those that are only
    /// being opened may be refused as well.
    pub fn is_below_fair_share(&self) -> bool {
        self.connections().saturating_sub(self.opening) < self.fair_connections
    }

    fn connection_limit(&self, now: Duration) -> u16 {
        match now < self.fair_share_until {
            true => self.fair_connections,
            false => self.max_connections,
        }
    }

    pub(super) fn connection_opened(&mut self, connection: u64, now: Duration) {
        self.opening = self.opening.saturating_sub(1);
        self.backoff = Duration::ZERO;
        self.idle.push(Idle {
            connection,
            since: now,
        });
    }

    pub(super) fn connect_failed(&mut self, failure: Failure, now: Duration) {
        self.opening = self.opening.saturating_sub(1);
        match failure {
            Failure::Full => self.full_until = now + FULL_RETRY_AFTER,
            Failure::Unreachable => {
                self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
                self.retry_at = now + self.backoff;
            }
        }
    }

    pub(super) fn connection_returned(&mut self, connection: u64, now: Duration) -> bool {
        self.busy = self.busy.saturating_sub(1);
        if self.state == ServerState::Leaving || self.connections() >= self.connection_limit(now) {
            return false;
        }
        self.idle.push(Idle {
            connection,
            since: now,
        });
        true
    }

    pub(super) fn connection_lost(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    pub(super) fn remove_idle(&mut self, connection: u64) {
        self.idle.retain(|idle| idle.connection != connection);
    }

    pub(super) fn check_out(&mut self) -> Option<u64> {
        let idle = self.idle.pop()?;
        self.busy += 1;
        Some(idle.connection)
    }

    pub(super) fn can_check_out(&self) -> bool {
        !self.idle.is_empty() && self.has_room(0)
    }

    pub(super) fn drain_idle(&mut self) -> Vec<u64> {
        let idle = std::mem::take(&mut self.idle);
        idle.into_iter().map(|idle| idle.connection).collect()
    }

    pub(super) fn can_open(&self, now: Duration) -> bool {
        self.connections() < self.connection_limit(now)
            && now >= self.retry_at
            && now >= self.full_until
    }

    pub(super) fn needs_warming(&self, now: Duration) -> bool {
        self.state == ServerState::Serving
            && self.connections() < self.base_connections
            && self.opening == 0
            && self.can_open(now)
    }

    pub(super) fn may_have_position(
        &self,
        position: Position,
        at: Duration,
        now: Duration,
    ) -> bool {
        if self.applied >= position {
            return true;
        }
        // Every log counts as having the start of a term, also one that has not got there yet:
        // a server cannot refuse by it, so it has to have shown that it is there.
        if position.log == 0 {
            return false;
        }
        let caught_up = now >= at + self.lag + LAG_MARGIN;
        now >= self.lag_retry_at && (caught_up || now >= self.lag_measured_at + LAG_RETRY_AFTER)
    }

    pub(super) fn expected_latency(&self) -> Duration {
        self.average_latency * (u32::from(self.busy) + 1) / u32::from(self.slots)
    }

    pub(super) fn take_surplus(&mut self, now: Duration, max_idle: Duration) -> Vec<u64> {
        let mut surplus = Vec::new();
        let leaving = self.state == ServerState::Leaving;
        // The longest idle stand first: lending takes from the other end.
        while let Some(first) = self.idle.first() {
            let idle = self.connections() > self.base_connections && now >= first.since + max_idle;
            let over = idle || self.connections() > self.connection_limit(now);
            if !over && !leaving {
                break;
            }
            surplus.push(first.connection);
            self.idle.remove(0);
        }
        surplus
    }
}
