//! One backend server and this host's connections to it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::TeamKey;
use crate::position::Position;

use super::window::Window;
use super::{BACKOFF_MAX, BACKOFF_MIN};

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

/// How long a host keeps to its fair share after another host has reported a lack of connections.
const FAIR_SHARE_DURATION: Duration = Duration::from_millis(1_000);

/// Pause before the next connect to a server that has reached its connection limit.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Whether a server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes new requests.
    Serving,
    /// It is leaving: running requests go on, and no new reads are sent to it. As the primary it
    /// still takes writes.
    Leaving,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The server has reached its connection limit.
    Full,
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
    /// Number of requests that it runs at once.
    pub slots: u16,
    /// Number of connections that this host keeps open.
    pub base_connections: u16,
    /// Number of connections that this host may have while no other host lacks any.
    pub max_connections: u16,
    /// Number of connections that this host may always have: its fair share of the server's limit.
    pub fair_connections: u16,
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
    /// Time before which no connect is tried, after one failed.
    retry_at: Duration,
    /// Current backoff between connects; zero after a success.
    backoff: Duration,
    /// Time until which the server counts as being at its connection limit.
    full_until: Duration,
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
            slots: slots.max(1),
            base_connections,
            max_connections: max_connections.max(1),
            fair_connections: fair_connections.max(1),
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
            retry_at: Duration::ZERO,
            backoff: Duration::ZERO,
            full_until: Duration::ZERO,
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
        self.window.record_latency(took, self.max_connections, now);
    }

    /// Returns the moving average of the latency.
    pub fn average_latency(&self) -> Duration {
        self.average_latency
    }

    /// Returns the number of connections that are open or being opened.
    pub fn connections(&self) -> u16 {
        let idle = u16::try_from(self.idle.len()).unwrap_or(u16::MAX);
        self.busy
            .saturating_add(idle)
            .saturating_add(self.opening())
    }

    /// Returns the number of connections that are being opened.
    pub(super) fn opening(&self) -> u16 {
        self.opening.values().sum()
    }

    /// Returns the number of connections that are being opened for `team`.
    pub(super) fn opening_for(&self, team: TeamKey) -> u16 {
        self.opening.get(&team).copied().unwrap_or_default()
    }

    /// Counts a connection for `team` that is opened now.
    pub(super) fn start_opening(&mut self, team: TeamKey) {
        *self.opening.entry(team).or_default() += 1;
    }

    /// Counts a connection for `team` that is no longer being opened.
    fn end_opening(&mut self, team: TeamKey) {
        if let Some(count) = self.opening.get_mut(&team) {
            *count = count.saturating_sub(1);
        }
        self.opening.retain(|_, count| *count > 0);
    }

    /// Returns whether the last connect failed and no connection is idle. This no longer holds once
    /// the next attempt has been due for the time of the longest backoff.
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

    /// Limits this host to its fair share for a while, because another host lacks connections.
    /// Connections above the share are closed as they become idle.
    ///
    /// Without it, the hosts that connected first keep their connections while the server is at its
    /// limit, and a host with a single connection has to serve a queue of a hundred with it.
    pub fn limit_to_fair_share(&mut self, now: Duration) {
        self.fair_share_until = now + FAIR_SHARE_DURATION;
    }

    /// Returns whether this host has fewer connections than its fair share. Connections that are
    /// being opened do not count, because the server may still refuse them.
    pub fn is_below_fair_share(&self) -> bool {
        self.connections().saturating_sub(self.opening()) < self.fair_connections
    }

    /// Returns the number of connections that this host may have at `now`.
    fn connection_limit(&self, now: Duration) -> u16 {
        match now < self.fair_share_until {
            true => self.fair_connections,
            false => self.max_connections,
        }
    }

    pub(super) fn connection_opened(&mut self, connection: u64, team: TeamKey, now: Duration) {
        self.end_opening(team);
        self.backoff = Duration::ZERO;
        self.idle.push(Idle {
            connection,
            team,
            since: now,
        });
    }

    pub(super) fn connect_failed(&mut self, team: TeamKey, failure: Failure, now: Duration) {
        self.end_opening(team);
        match failure {
            Failure::Full => self.full_until = now + FULL_RETRY_AFTER,
            Failure::Unreachable => {
                self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
                self.retry_at = now + self.backoff;
            }
        }
    }

    /// Takes back a connection. Returns `false` if it has to be closed instead.
    pub(super) fn connection_returned(
        &mut self,
        connection: u64,
        team: TeamKey,
        now: Duration,
    ) -> bool {
        self.busy = self.busy.saturating_sub(1);
        if self.state == ServerState::Leaving || self.connections() >= self.connection_limit(now) {
            return false;
        }
        self.idle.push(Idle {
            connection,
            team,
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

    /// Takes the idle connection of `team` that was used last.
    pub(super) fn check_out(&mut self, team: TeamKey) -> Option<u64> {
        let place = self.idle.iter().rposition(|idle| idle.team == team)?;
        let idle = self.idle.remove(place);
        self.busy += 1;
        Some(idle.connection)
    }

    pub(super) fn can_check_out(&self, team: TeamKey) -> bool {
        self.idle.iter().any(|idle| idle.team == team) && self.has_room(0)
    }

    pub(super) fn drain_idle(&mut self) -> Vec<u64> {
        let idle = std::mem::take(&mut self.idle);
        idle.into_iter().map(|idle| idle.connection).collect()
    }

    pub(super) fn can_open(&self, now: Duration) -> bool {
        self.connections() < self.connection_limit(now) && self.accepts_connects(now)
    }

    /// Returns whether the server may accept a new connection at `now`, as far as its earlier
    /// answers tell.
    fn accepts_connects(&self, now: Duration) -> bool {
        now >= self.retry_at && now >= self.full_until
    }

    /// Removes and returns the connection of another team than `team` that has been idle longest,
    /// so that one for `team` can be opened in its place.
    pub(super) fn evict(&mut self, team: TeamKey, now: Duration) -> Option<u64> {
        if !self.accepts_connects(now) {
            return None;
        }
        let place = self.idle.iter().position(|idle| idle.team != team)?;
        Some(self.idle.remove(place).connection)
    }

    /// Returns whether there are fewer than `wanted` connections and one can be opened now.
    pub(super) fn needs_warming(&self, wanted: u16, now: Duration) -> bool {
        self.state == ServerState::Serving
            && self.connections() < wanted
            && self.opening.is_empty()
            && self.can_open(now)
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

    /// Returns the expected latency of one more request.
    pub(super) fn expected_latency(&self) -> Duration {
        self.average_latency * (u32::from(self.busy) + 1) / u32::from(self.slots)
    }

    /// Removes the idle connections to close: those above `base_connections` that have been idle
    /// for `max_idle`, those above the connection limit, and all if the server is leaving.
    pub(super) fn take_surplus(&mut self, now: Duration, max_idle: Duration) -> Vec<u64> {
        let mut surplus = Vec::new();
        let leaving = self.state == ServerState::Leaving;
        // The connections that have been idle longest come first: `check_out` takes the last one.
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
