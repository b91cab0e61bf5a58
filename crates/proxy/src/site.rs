//! What all parts of a host share: who it is, its clock, its logs.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::clock::Clock;

use crate::event::{Event, Limit};
use crate::service::HOLD;

/// A change is seen this much after it has taken effect: a write of the platform's and a feed.
const SEEN_LATE: Duration = Duration::from_millis(20);

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
    /// How long a promotion takes at the least.
    pub promotion: Cell<Duration>,
    ids: Cell<u64>,
}

impl Site {
    /// Host `host` in `zone`, on a platform where a promotion takes `promotion` until it is
    /// measured.
    pub fn new(host: String, zone: String, promotion: Duration, clock: Arc<dyn Clock>) -> Site {
        Site {
            promotion: Cell::new(promotion),
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

    /// A promotion took `took` from its order until it was seen here.
    pub(crate) fn promoted(&self, took: Duration) {
        if took < HOLD {
            self.promotion.set(took.saturating_sub(SEEN_LATE));
        }
    }

    /// A number that this process has not used.
    pub fn next_id(&self) -> u64 {
        let id = self.ids.get() + 1;
        self.ids.set(id);
        id
    }
}
