//! The entry host's side of a connection budget.

use std::time::Duration;

use super::Grant;
use crate::invariant::{self, Invariant};

/// Time before the end of a grant at which its connections are closed, so that the server has
/// seen them go when the controller gives them to another host.
pub const CLOSE_MARGIN: Duration = Duration::from_millis(250);

/// A number of connections and the moment until which they may be open.
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

/// What a host should do about its connections to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Up to so many more may be opened.
    Open(u16),
    /// Exactly as many as allowed are open.
    Keep,
    /// So many have to be closed now, idle ones first.
    Close(u16),
}

/// The connections that one host has and may have to one server.
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
    /// Takes a grant that answers a renewal sent at `sent`; its lease runs `valid` from then.
    /// Answers can overtake each other: one to an older renewal than the last is ignored.
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

    /// Connections that may be open at `now`.
    pub fn allowed(&self, now: Duration) -> u16 {
        self.leased.at(now).max(self.floor.at(now))
    }

    /// Connections that are open, those being opened included.
    pub fn open_connections(&self) -> u16 {
        self.open
    }

    /// Counts a connection that is about to be opened. `false`: it must not be.
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
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// What to do about open connections; to be asked at least at [`HostBudget::deadline`].
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

    /// When the next of the open connections has to be closed unless a grant arrives.
    pub fn deadline(&self, now: Duration) -> Option<Duration> {
        [self.leased, self.floor]
            .into_iter()
            .filter(|hold| hold.connections > 0)
            .map(|hold| hold.until.saturating_sub(CLOSE_MARGIN))
            .filter(|end| *end > now)
            .min()
    }

    /// Takes note of how many connections the host had use for, queued requests included.
    pub fn record_demand(&mut self, wanted: u16) {
        self.wanted = self.wanted.max(wanted);
    }

    /// The greatest use since the last call, for the next renewal.
    pub fn take_demand(&mut self) -> u16 {
        std::mem::take(&mut self.wanted)
    }

    /// Asserts that no more is open than allowed. Called with every change and every tick.
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
