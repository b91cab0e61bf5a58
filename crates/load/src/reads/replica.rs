//! A replica of the model.

use std::collections::VecDeque;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use rand_chacha::ChaCha8Rng;

use super::exponential;

/// Time after which a replica's lag is drawn anew.
const MOOD: Duration = Duration::from_millis(50);

/// Applies what the primary wrote a while ago.
#[derive(Debug)]
pub struct Replica {
    /// The server.
    pub server: ServerKey,
    /// Round trip to it.
    pub trip: Duration,
    /// Its lag at the moment.
    pub lag: Duration,
    /// How far its data reach.
    pub applied: u64,
    mean: Duration,
    drawn: Duration,
    written: VecDeque<(Duration, u64)>,
}

impl Replica {
    /// A replica that lags by `mean` on average.
    pub fn new(server: ServerKey, trip: Duration, mean: Duration) -> Replica {
        Replica {
            server,
            trip,
            lag: mean,
            applied: 0,
            mean,
            drawn: Duration::ZERO,
            written: VecDeque::new(),
        }
    }

    /// Time has come to `now`, with the primary at `head`.
    pub(super) fn follow(&mut self, now: Duration, head: u64, random: &mut ChaCha8Rng) {
        if now >= self.drawn + MOOD {
            self.drawn = now;
            self.lag = exponential(random, self.mean);
        }
        if self.written.back().is_none_or(|(_, log)| *log < head) {
            self.written.push_back((now, head));
        }
        while let Some((at, log)) = self.written.front().copied() {
            if at + self.lag > now {
                break;
            }
            self.applied = log;
            self.written.pop_front();
        }
    }
}
