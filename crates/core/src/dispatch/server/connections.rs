//! The connections of this host to one server: the pool, its limits, and backoff.

use std::time::Duration;

use crate::key::TeamKey;

use super::{Failure, Idle, Server, ServerState};

/// How long a host keeps to its fair share after another host has reported a lack of connections.
const FAIR_SHARE_DURATION: Duration = Duration::from_millis(1_000);

/// Backoff after the first failed connect; it doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(40);

/// Longest backoff between two attempts to connect.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

impl Server {
    /// Returns the number of connections that are open or being opened.
    pub fn connections(&self) -> u16 {
        let idle = u16::try_from(self.idle.len()).unwrap_or(u16::MAX);
        self.busy
            .saturating_add(idle)
            .saturating_add(self.opening())
    }

    /// Returns the number of connections that are being opened.
    pub(in crate::dispatch) fn opening(&self) -> u16 {
        self.opening.values().sum()
    }

    /// Returns the number of connections that are being opened for `team`.
    pub(in crate::dispatch) fn opening_for(&self, team: TeamKey) -> u16 {
        self.opening.get(&team).copied().unwrap_or_default()
    }

    /// Counts a connection for `team` that is opened now.
    pub(in crate::dispatch) fn start_opening(&mut self, team: TeamKey) {
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

    /// Returns whether this host serves the service and has fewer connections than its fair share, so
    /// that other hosts have to give some up.
    pub fn lacks_connections(&self) -> bool {
        self.base_connections > 0 && self.is_below_fair_share()
    }

    /// Returns the number of connections that this host may have at `now`.
    pub(super) fn connection_limit(&self, now: Duration) -> u16 {
        let shared = match now < self.fair_share_until {
            true => self.fair_connections,
            false => self.max_connections,
        };
        match now < self.restart_until {
            true => self.restart_connections.min(shared),
            false => shared,
        }
    }

    pub(in crate::dispatch) fn connection_opened(
        &mut self,
        connection: u64,
        team: TeamKey,
        now: Duration,
    ) {
        self.end_opening(team);
        self.backoff = Duration::ZERO;
        self.full.record_success();
        self.idle.push(Idle {
            connection,
            team,
            since: now,
        });
    }

    pub(in crate::dispatch) fn connect_failed(
        &mut self,
        team: TeamKey,
        failure: Failure,
        now: Duration,
    ) {
        self.end_opening(team);
        match failure {
            Failure::Full => self.full.record_full(self.connections() > 0, now),
            Failure::Busy => self.full.record_busy(self.connections() > 0, now),
            Failure::Unreachable => {
                self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
                self.retry_at = now + self.backoff;
            }
        }
    }

    /// Takes back a connection. Returns `false` if it has to be closed instead.
    pub(in crate::dispatch) fn connection_returned(
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

    pub(in crate::dispatch) fn connection_lost(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    pub(in crate::dispatch) fn remove_idle(&mut self, connection: u64) {
        self.idle.retain(|idle| idle.connection != connection);
    }

    /// Takes the idle connection of `team` that was used last.
    pub(in crate::dispatch) fn check_out(&mut self, team: TeamKey) -> Option<u64> {
        let place = self.idle.iter().rposition(|idle| idle.team == team)?;
        let idle = self.idle.remove(place);
        self.busy += 1;
        Some(idle.connection)
    }

    pub(in crate::dispatch) fn can_check_out(&self, team: TeamKey) -> bool {
        self.idle.iter().any(|idle| idle.team == team) && self.has_room(0)
    }

    pub(in crate::dispatch) fn drain_idle(&mut self) -> Vec<u64> {
        let idle = std::mem::take(&mut self.idle);
        idle.into_iter().map(|idle| idle.connection).collect()
    }

    pub(in crate::dispatch) fn can_open(&self, now: Duration) -> bool {
        self.connections() < self.connection_limit(now) && self.accepts_connects(now)
    }

    /// Returns whether the server may accept a new connection at `now`, as far as its earlier
    /// answers tell.
    fn accepts_connects(&self, now: Duration) -> bool {
        now >= self.retry_at && self.full.accepts_connects(now)
    }

    /// Removes and returns the connection of another team than `team` that has been idle longest,
    /// so that one for `team` can be opened in its place.
    pub(in crate::dispatch) fn evict(&mut self, team: TeamKey, now: Duration) -> Option<u64> {
        if now < self.retry_at || !self.full.accepts_replacements(now) {
            return None;
        }
        let place = self.idle.iter().position(|idle| idle.team != team)?;
        Some(self.idle.remove(place).connection)
    }

    /// Returns whether there are fewer than `wanted` connections and one can be opened now.
    pub(in crate::dispatch) fn needs_warming(&self, wanted: u16, now: Duration) -> bool {
        self.state == ServerState::Serving
            && self.connections() < wanted
            && self.opening.is_empty()
            && self.can_open(now)
    }

    /// Removes the idle connections to close: those above `base_connections` that have been idle
    /// for `max_idle`, those above the connection limit, and all if the server is leaving.
    pub(in crate::dispatch) fn take_surplus(
        &mut self,
        now: Duration,
        max_idle: Duration,
    ) -> Vec<u64> {
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
