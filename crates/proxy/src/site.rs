//! What all parts of a host share: who it is, its clock, its logs.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::clock::Clock;

use crate::event::{Event, LogLimit};

/// What all of a host's parts share.
pub struct Site {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Keeps logs bounded.
    pub limit: LogLimit,
    /// How long a promotion takes at the shortest, until one was measured.
    assumed_promotion: Duration,
    /// How long a promotion has taken at the shortest.
    measured_promotion: Cell<Option<Duration>>,
    ids: Cell<u64>,
}

impl Site {
    /// Host `host` in `zone`, on a platform where a promotion takes `promotion` until it is
    /// measured.
    pub fn new(host: String, zone: String, promotion: Duration, clock: Arc<dyn Clock>) -> Site {
        Site {
            assumed_promotion: promotion,
            measured_promotion: Cell::new(None),
            host,
            zone,
            clock,
            limit: LogLimit::default(),
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

    /// How long a promotion takes at the shortest.
    pub fn shortest_promotion(&self) -> Duration {
        self.measured_promotion
            .get()
            .unwrap_or(self.assumed_promotion)
    }

    /// A server that was ordered to lead did not `took` after the order.
    ///
    /// A bound from below is what counts: taken for longer than it is, the primary before would
    /// still be written to while its successor leads. When a change is seen is no such bound, since
    /// the list of servers may be late by seconds.
    pub fn record_promotion_time(&self, took: Duration) {
        let shortest = self.measured_promotion.get().unwrap_or(took).min(took);
        self.measured_promotion.set(Some(shortest));
    }

    /// A number that this process has not used.
    pub fn next_id(&self) -> u64 {
        let id = self.ids.get() + 1;
        self.ids.set(id);
        id
    }
}
