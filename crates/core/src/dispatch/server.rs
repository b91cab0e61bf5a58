//! One backend server and this host's connections to it.

use std::time::Duration;

use crate::position::Position;

use super::window::Window;
use super::{BACKOFF, BACKOFF_MOST};

/// What a server is assumed to take until it was measured.
pub(super) const FIRST_GUESS: Duration = Duration::from_millis(15);

/// Part of a new measurement in the average, as a divisor.
const SMOOTHING: u32 = 8;

/// A replica that seems too far behind is tried again after this long: it says itself whether it
/// has what the read needs, for the price of one round trip.
const LAG_TRIAL: Duration = Duration::from_millis(200);

/// What a replica is taken to be behind until it was measured.
const FIRST_LAG: Duration = Duration::from_millis(100);

/// Added to a measured lag, which moves with each write.
const LAG_MARGIN: Duration = Duration::from_millis(15);

/// How long a host keeps to its part after another one has asked for connections.
const SQUEEZE: Duration = Duration::from_millis(1_000);

/// How long a server at its limit of connections is not asked for another.
const FULL_PAUSE: Duration = Duration::from_millis(250);

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
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
    pub standing: Standing,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Connections that this host keeps open.
    pub base: u16,
    /// Connections that this host may have while nobody lacks one.
    pub most: u16,
    /// Connections that this host may have in any case: its part of the server's limit.
    pub fair: u16,
    /// The latest position that its data are known to have reached.
    pub applied: Position,
    pub(super) opening: u16,
    lag: Duration,
    lag_at: Duration,
    trial_at: Duration,
    idle: Vec<Idle>,
    busy: u16,
    average: Duration,
    retry_at: Duration,
    backoff: Duration,
    full_until: Duration,
    squeezed_until: Duration,
    window: Window,
    resting: u16,
    long: u16,
}

#[derive(Debug, Clone, Copy)]
struct Idle {
    connection: u64,
    since: Duration,
}

impl Server {
    /// A server to which there is no connection yet.
    pub fn new(local: bool, slots: u16, base: u16, fair: u16, most: u16) -> Server {
        Server {
            local,
            standing: Standing::Serving,
            slots: slots.max(1),
            base,
            most: most.max(1),
            fair: fair.max(1),
            squeezed_until: Duration::ZERO,
            window: Window::default(),
            resting: 0,
            long: 0,
            applied: Position::default(),
            opening: 0,
            lag: FIRST_LAG,
            lag_at: Duration::ZERO,
            trial_at: Duration::ZERO,
            idle: Vec::new(),
            busy: 0,
            average: FIRST_GUESS,
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
    pub fn saw(&mut self, position: Position, passed: Option<Duration>, now: Duration) {
        self.applied = position;
        let behind = passed.map_or(Duration::ZERO, |passed| now.saturating_sub(passed));
        self.lag = match behind > self.lag {
            true => behind,
            false => (self.lag * 3 + behind) / 4,
        };
        self.lag_at = now;
    }

    /// The server lacked a position that a primary had at `at`.
    pub(super) fn lagged(&mut self, at: Duration, now: Duration) {
        self.lag = self.lag.max(now.saturating_sub(at));
        self.lag_at = now;
        self.trial_at = now + LAG_TRIAL;
    }

    /// How far the server's data are behind, as a time.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// A request took `took` there.
    pub fn took(&mut self, took: Duration, now: Duration) {
        self.average = (self.average * (SMOOTHING - 1) + took) / SMOOTHING;
        self.window.took(took, self.most, now);
    }

    /// How long a request took there lately.
    pub fn average(&self) -> Duration {
        self.average
    }

    /// Connections that are open or being opened.
    pub fn connections(&self) -> u16 {
        let idle = u16::try_from(self.idle.len()).unwrap_or(u16::MAX);
        self.busy.saturating_add(idle).saturating_add(self.opening)
    }

    /// Whether connecting failed and the wait before the next attempt is not over.
    pub fn is_broken(&self, now: Duration) -> bool {
        self.backoff > Duration::ZERO && self.idle.is_empty() && now < self.retry_at + BACKOFF_MOST
    }

    pub(super) fn update(&mut self, newer: &Server) {
        self.local = newer.local;
        self.standing = newer.standing;
        self.slots = newer.slots;
        self.base = newer.base;
        self.most = newer.most;
        self.fair = newer.fair;
    }

    /// The server's queue was full.
    pub fn narrow(&mut self, now: Duration) {
        self.window.refused(now);
    }

    /// A connection rests inside a transaction, or does so no more: it takes no slot meanwhile.
    pub(super) fn rest(&mut self, rests: bool) {
        self.resting = match rests {
            true => self.resting.saturating_add(1),
            false => self.resting.saturating_sub(1),
        };
    }

    /// Whether one more transaction may be opened there. One connection stays for single
    /// statements: with all of them kept by transactions, those wait for as long as callers think.
    pub(super) fn takes_long(&self, now: Duration) -> bool {
        self.long + 1 < self.most_at(now).max(2)
    }

    /// A transaction is opened there, or one has ended.
    pub(super) fn count_long(&mut self, opened: bool) {
        self.long = match opened {
            true => self.long.saturating_add(1),
            false => self.long.saturating_sub(1),
        };
    }

    /// Whether one more request may run there beside `others` that do not run yet.
    ///
    /// A request that waits for the window gets nothing from another connection, while opening it
    /// takes a slot of the crowded server for longer than a read does: hosts opened 486 connections
    /// a second, which kept more slots busy than a server has, until it refused connections too.
    pub(super) fn has_room(&self, others: u16) -> bool {
        self.busy.saturating_sub(self.resting) + others < self.window.size()
    }

    /// Another host lacks connections to the server: those above this host's part are given
    /// back as they become free.
    ///
    /// Without it, hosts that came first keep what they have while the server is at its limit,
    /// and one that has a single connection serves a queue of a hundred with it.
    pub fn squeeze(&mut self, now: Duration) {
        self.squeezed_until = now + SQUEEZE;
    }

    /// Whether this host has less than its part of the server's connections; those that are only
    /// being opened may be refused as well.
    pub fn is_short(&self) -> bool {
        self.connections().saturating_sub(self.opening) < self.fair
    }

    fn most_at(&self, now: Duration) -> u16 {
        match now < self.squeezed_until {
            true => self.fair,
            false => self.most,
        }
    }

    pub(super) fn opened(&mut self, connection: u64, now: Duration) {
        self.opening = self.opening.saturating_sub(1);
        self.backoff = Duration::ZERO;
        self.idle.push(Idle {
            connection,
            since: now,
        });
    }

    pub(super) fn failed(&mut self, failure: Failure, now: Duration) {
        self.opening = self.opening.saturating_sub(1);
        match failure {
            Failure::Full => self.full_until = now + FULL_PAUSE,
            Failure::Unreachable => {
                self.backoff = (self.backoff * 2).clamp(BACKOFF, BACKOFF_MOST);
                self.retry_at = now + self.backoff;
            }
        }
    }

    pub(super) fn returned(&mut self, connection: u64, now: Duration) -> bool {
        self.busy = self.busy.saturating_sub(1);
        if self.standing == Standing::Leaving || self.connections() >= self.most_at(now) {
            return false;
        }
        self.idle.push(Idle {
            connection,
            since: now,
        });
        true
    }

    pub(super) fn lost(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    pub(super) fn forget(&mut self, connection: u64) {
        self.idle.retain(|idle| idle.connection != connection);
    }

    pub(super) fn lend(&mut self) -> Option<u64> {
        let idle = self.idle.pop()?;
        self.busy += 1;
        Some(idle.connection)
    }

    pub(super) fn may_lend(&self) -> bool {
        !self.idle.is_empty() && self.has_room(0)
    }

    pub(super) fn take_idle(&mut self) -> Vec<u64> {
        let idle = std::mem::take(&mut self.idle);
        idle.into_iter().map(|idle| idle.connection).collect()
    }

    pub(super) fn may_open(&self, now: Duration) -> bool {
        self.connections() < self.most_at(now) && now >= self.retry_at && now >= self.full_until
    }

    pub(super) fn is_cold(&self, now: Duration) -> bool {
        self.standing == Standing::Serving
            && self.connections() < self.base
            && self.opening == 0
            && self.may_open(now)
    }

    pub(super) fn may_have(&self, position: Position, at: Duration, now: Duration) -> bool {
        if self.applied >= position {
            return true;
        }
        // Every log counts as having the start of a term, also one that has not got there yet:
        // a server cannot refuse by it, so it has to have shown that it is there.
        if position.log == 0 {
            return false;
        }
        let caught_up = now >= at + self.lag + LAG_MARGIN;
        now >= self.trial_at && (caught_up || now >= self.lag_at + LAG_TRIAL)
    }

    pub(super) fn expected(&self) -> Duration {
        self.average * (u32::from(self.busy) + 1) / u32::from(self.slots)
    }

    pub(super) fn surplus(&mut self, now: Duration, patience: Duration) -> Vec<u64> {
        let mut surplus = Vec::new();
        let leaving = self.standing == Standing::Leaving;
        // The longest idle stand first: lending takes from the other end.
        while let Some(first) = self.idle.first() {
            let idle = self.connections() > self.base && now >= first.since + patience;
            let over = idle || self.connections() > self.most_at(now);
            if !over && !leaving {
                break;
            }
            surplus.push(first.connection);
            self.idle.remove(0);
        }
        surplus
    }
}
