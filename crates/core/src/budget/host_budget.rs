//! The entry host's side of a connection budget.

use std::time::Duration;

use super::Grant;
use crate::invariant::{self, Invariant};

/// Time before the end of a grant at which its connections are closed, so that they are closed at
/// the server before the controller grants them to another host.
pub const CLOSE_MARGIN: Duration = Duration::from_millis(250);

/// A number of connections and the time until which they may be open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Allowance {
    connections: u16,
    until: Duration,
}

impl Allowance {
    fn at(self, now: Duration) -> u16 {
        if now < self.until {
            self.connections
        } else {
            0
        }
    }
}

/// What a host has to do about its connections to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Up to this many more may be opened.
    Open(u16),
    /// Exactly as many as allowed are open.
    Keep,
    /// This many have to be closed now, idle ones first.
    Close(u16),
}

/// The connections that one host has, and may have, to one server.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::budget::Grant;
/// use flamingopost_core::budget::host_budget::HostBudget;
///
/// let mut budget = HostBudget::default();
/// let grant = Grant { leased: 1, ..Grant::default() };
/// budget.grant(grant, Duration::ZERO, Duration::from_secs(3));
/// assert!(budget.try_open(Duration::from_secs(1)));
/// assert!(!budget.try_open(Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostBudget {
    leased: Allowance,
    floor: Allowance,
    open: u16,
    wanted: u16,
}

impl HostBudget {
    /// Applies a grant that answers a renewal sent at `sent`; its lease is valid for `valid` from
    /// then. Answers can overtake each other, so an answer to an older renewal is ignored.
    pub fn grant(&mut self, grant: Grant, sent: Duration, valid: Duration) {
        let until = sent + valid;
        if until < self.leased.until {
            return;
        }
        self.leased = Allowance {
            connections: grant.leased,
            until,
        };
        self.floor = Allowance {
            connections: grant.floor,
            until: sent + grant.floor_valid,
        };
    }

    /// Returns the number of connections that may be open at `now`.
    pub fn allowed(&self, now: Duration) -> u16 {
        self.leased.at(now).max(self.floor.at(now))
    }

    /// Returns the number of open connections, including those being opened.
    pub fn open_connections(&self) -> u16 {
        self.open
    }

    /// Counts a connection that is about to be opened. Returns `false` if it must not be opened.
    #[must_use]
    pub fn try_open(&mut self, now: Duration) -> bool {
        if self.open >= self.allowed(now + CLOSE_MARGIN) {
            return false;
        }
        self.open += 1;
        self.check(now);
        true
    }

    /// Counts a connection that was closed, or failed to open.
    pub fn connection_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns what to do about the connections. Has to be called at [`HostBudget::deadline`] at the
    /// latest.
    pub fn advise(&self, now: Duration) -> Advice {
        let allowed = self.allowed(now + CLOSE_MARGIN);
        if self.open > allowed {
            Advice::Close(self.open - allowed)
        } else if self.open < allowed {
            Advice::Open(allowed - self.open)
        } else {
            Advice::Keep
        }
    }

    /// Returns the next time at which connections have to be closed unless a grant arrives.
    pub fn deadline(&self, now: Duration) -> Option<Duration> {
        [self.leased, self.floor]
            .into_iter()
            .filter(|hold| hold.connections > 0)
            .map(|hold| hold.until.saturating_sub(CLOSE_MARGIN))
            .filter(|end| *end > now)
            .min()
    }

    /// Records how many connections the host could use, including those for queued requests.
    pub fn record_demand(&mut self, wanted: u16) {
        self.wanted = self.wanted.max(wanted);
    }

    /// Returns the greatest demand since the last call, for the next renewal.
    pub fn take_demand(&mut self) -> u16 {
        std::mem::take(&mut self.wanted)
    }

    /// Asserts that no more connections are open than allowed. Called at every change and every
    /// tick.
    pub fn check(&self, now: Duration) {
        invariant::check(
            Invariant::ConnectionLimit,
            self.open <= self.allowed(now),
            || {
                format!(
                    "{} connections are open and {} allowed at {now:?}",
                    self.open,
                    self.allowed(now)
                )
            },
        );
    }
}
