//! Open-loop arrivals: when each session's requests are due, whatever became of earlier ones.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The arrivals of one session: a Poisson process that no answer can slow down.
#[derive(Debug, Clone)]
pub struct Arrivals {
    random: ChaCha8Rng,
    rate: f64,
    next: Duration,
    end: Duration,
}

impl Arrivals {
    /// Arrivals at `rate` a second until `end`, the same for the same `seed` and `session`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use flamingopost_load::arrival::Arrivals;
    ///
    /// let end = Duration::from_secs(10);
    /// let due: Vec<Duration> = Arrivals::new(7, 0, 20.0, end).collect();
    /// assert!((150..250).contains(&due.len()));
    /// assert_eq!(due, Arrivals::new(7, 0, 20.0, end).collect::<Vec<_>>());
    /// ```
    pub fn new(seed: u64, session: u32, rate: f64, end: Duration) -> Arrivals {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(u64::from(session));
        Arrivals {
            random,
            rate,
            next: Duration::ZERO,
            end,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let draw: f64 = self.random.random();
        let wait = -(1.0 - draw).ln() / self.rate;
        self.next += Duration::from_secs_f64(wait);
        (self.next < self.end).then_some(self.next)
    }
}
