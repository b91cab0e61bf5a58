//! Backoff from a server that has reached its connection limit.

use std::time::Duration;

use crate::dispatch::allotment::DEAD_CONNECTION_LIFETIME;

/// Mean pause before the next connect to a full server for a host that has no connection to it.
///
/// A few hosts serve a service for all others, so that a server sees some dozens of attempts in a
/// second at most while dead connections fill it.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Factor by which a host that has a connection waits longer, so that hosts without any go first.
const CONNECTED_FACTOR: u32 = 2;

/// Factor by which the pause grows once dead connections cannot be the reason any more, and living
/// hosts use the server's connections.
const LASTING_FACTOR: u32 = 4;

/// Refusals of a server because of its connection limit.
#[derive(Debug, Default)]
pub(super) struct Full {
    /// The first of the refusals that lasted until now.
    since: Option<Duration>,
    /// Time before which no connect is tried that adds a connection.
    retry_at: Duration,
    /// Time before which no connection is closed to open another in its place.
    replace_at: Duration,
    /// State of the generator of pauses, different on each host.
    spread: u64,
}

impl Full {
    /// Sets the seed from which pauses are spread.
    pub(super) fn set_seed(&mut self, seed: u64) {
        self.spread = seed;
    }

    /// Returns whether the server may accept one more connection at `now`.
    pub(super) fn accepts_connects(&self, now: Duration) -> bool {
        now >= self.retry_at
    }

    /// Returns whether the server may accept a connection at `now` in place of one that is closed.
    ///
    /// Such a connect makes its own room, so that it does not wait for that of others.
    pub(super) fn accepts_replacements(&self, now: Duration) -> bool {
        now >= self.replace_at
    }

    /// Records that the server accepted a connection, which tells that there is room.
    pub(super) fn record_success(&mut self) {
        self.since = None;
        self.retry_at = Duration::ZERO;
        self.replace_at = Duration::ZERO;
    }

    /// Records a refusal because of the connection limit. `is_connected` tells whether this host has
    /// another connection there.
    ///
    /// Guards against hosts that all come back at the same moment: after a loss of power, 1,319
    /// connects were refused within 250 ms.
    pub(super) fn record_full(&mut self, is_connected: bool, now: Duration) {
        // Without any attempt for so long, it is not known whether the server was full meanwhile.
        if now >= self.retry_at + DEAD_CONNECTION_LIFETIME {
            self.since = None;
        }
        let since = *self.since.get_or_insert(now);
        let is_lasting = now >= since + DEAD_CONNECTION_LIFETIME;
        let factor = if is_lasting { LASTING_FACTOR } else { 1 };
        self.pause(is_connected, factor, now);
    }

    /// Records a refusal because the server's request queue was full, which says nothing of its
    /// connections.
    pub(super) fn record_busy(&mut self, is_connected: bool, now: Duration) {
        self.pause(is_connected, 1, now);
    }

    /// Sets when this host connects again. `factor` prolongs the pause before a connect that adds a
    /// connection.
    fn pause(&mut self, is_connected: bool, factor: u32, now: Duration) {
        let connected_factor = if is_connected { CONNECTED_FACTOR } else { 1 };
        let pause = self.spread(RETRY_AFTER);
        self.replace_at = now + pause;
        self.retry_at = now + pause * factor * connected_factor;
    }

    /// Returns a duration between half of `mean` and one and a half times `mean`.
    fn spread(&mut self, mean: Duration) -> Duration {
        // SplitMix64, which needs no more than a counter as its state.
        self.spread = self.spread.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.spread;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let thousandths = u32::try_from((bits ^ (bits >> 31)) % 1_000).unwrap_or_default();
        mean / 2 + mean * thousandths / 1_000
    }
}
