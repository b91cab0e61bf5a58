//! State shared by all parts of a host: its identity, clock and log.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::clock::Clock;
use flamingopost_core::key::TeamKey;
use flamingopost_core::names::Names;

use crate::event::{Event, LogLimit};
use crate::platform::Strength;

/// Part of the time for which a leaving server serves that its report may take to reach this host.
const REPORT_SHARE: u32 = 8;

/// State shared by all parts of a host.
pub struct Site {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Strength of the host, if the settings name one.
    pub strength: Option<Strength>,
    /// How long a leaving server serves, if the settings tell.
    pub leaving: Option<Duration>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Limits the volume of logs.
    pub limit: LogLimit,
    /// Names of the teams that callers have belonged to.
    teams: RefCell<Names<TeamKey>>,
    ids: Cell<u64>,
    primary_changes: Cell<u64>,
}

impl Site {
    /// Creates the state of host `host` in `zone`.
    pub fn new(host: String, zone: String, clock: Arc<dyn Clock>) -> Site {
        Site {
            host,
            zone,
            strength: None,
            leaving: None,
            clock,
            limit: LogLimit::default(),
            teams: RefCell::default(),
            ids: Cell::new(0),
            primary_changes: Cell::new(0),
        }
    }

    /// Sets the strength of the host.
    pub fn with_strength(self, strength: Option<Strength>) -> Site {
        Site { strength, ..self }
    }

    /// Sets how long a leaving server serves.
    pub fn with_leaving(self, leaving: Option<Duration>) -> Site {
        Site { leaving, ..self }
    }

    /// Returns until when a primary gets requests that reports now that it is leaving.
    pub fn leaving_until(&self) -> Duration {
        let served = self.leaving.map(|leaving| leaving - leaving / REPORT_SHARE);
        served.map_or(Duration::MAX, |served| self.now() + served)
    }

    /// Returns the current time.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Logs `event`, within limits.
    pub fn log(&self, event: &Event) {
        self.limit.log(event, self.now());
    }

    /// Returns the key of the team called `name`.
    pub fn team(&self, name: &str) -> TeamKey {
        self.teams.borrow_mut().intern(name)
    }

    /// Returns the name under which connections for `team` are opened: the team's, or that of this
    /// host for no team.
    pub fn client_name(&self, team: TeamKey) -> String {
        let teams = self.teams.borrow();
        teams.name(team).unwrap_or(&self.host).to_owned()
    }

    /// Records that this host believes in another primary of some service than before, or has learned
    /// of an order to replace one.
    pub fn record_primary_change(&self) {
        self.primary_changes.set(self.primary_changes.get() + 1);
    }

    /// Returns the number of such changes.
    pub fn primary_changes(&self) -> u64 {
        self.primary_changes.get()
    }

    /// Returns a number that this process has not used before.
    pub fn next_id(&self) -> u64 {
        let id = self.ids.get() + 1;
        self.ids.set(id);
        id
    }
}
