//! What all parts of a host share: who it is, its clock, its logs.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::clock::Clock;

use crate::event::{Event, Limit};

/// What all of a host's parts share.
pub struct Site {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Keeps logs bounded.
    pub limit: Limit,
    /// How long a promotion takes at the least, until one was measured.
    assumed: Duration,
    /// How long a promotion has taken at the least.
    measured: Cell<Option<Duration>>,
    ids: Cell<u64>,
}

impl Site {
    /// Host `host` in `zone`, on a platform where a promotion takes `promotion` until it is
    /// measured.
    pub fn new(host: String, zone: String, promotion: Duration, clock: Arc<dyn Clock>) -> Site {
        Site {
            assumed: promotion,
            measured: Cell::new(None),
            host,
            zone,
            clock,
            limit: Limit::default(),
            ids: Cell::new(0),
        }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Logs `event`, within bounds.
    pub fn log(&self, event: &Event) {
        self.limit.log(event, self.now());
    }

    /// How long a promotion takes at the least.
    pub fn promotion(&self) -> Duration {
        self.measured.get().unwrap_or(self.assumed)
    }

    /// A server that was ordered to lead did not `took` after the order.
    ///
    /// A bound from below is what counts: taken for longer than it is, the primary before would
    /// still be written to while its successor leads. When a change is seen is no such bound, since
    /// the list of servers may be late by seconds.
    pub fn promoted(&self, took: Duration) {
        let least = self.measured.get().unwrap_or(took).min(took);
        self.measured.set(Some(least));
    }

    /// A number that this process has not used.
    pub fn next_id(&self) -> u64 {
        let id = self.ids.get() + 1;
        self.ids.set(id);
        id
    }
}
