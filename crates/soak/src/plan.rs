//! What a seed stands for: the fleet's size, and which faults strike when.

use std::time::Duration;

use flamingopost_standin::pooled::{Garbage, Remains, Sizes};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault::{Fault, StoreFault, Victim};
use crate::net::Endpoint;

/// Mean time between two faults of a run. Most last longer, so that they overlap.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Longest time that a fault lasts: failure detection takes up to two seconds, recovery more.
const MAX_FAULT_TIME: Duration = Duration::from_millis(4_000);

/// Seeds from here on also draw servers that start again under their id, and entries by other
/// writers. Those below draw what they drew before there was that, so that the kept ones still show
/// what they were kept for.
pub const FIRST_RESTART_SEED: u64 = 1 << 32;

/// Seeds from here on are played on a platform where a replaced primary leads its own term on until
/// it is told, and orders are carried out whatever their token is. They draw the faults that the
/// seeds from 0 on draw.
pub const FIRST_LAX_SEED: u64 = 1 << 33;

/// Seeds from here on also draw stores that come back from a copy, beside all that the others draw.
/// Every second one is played on a platform where replaced primaries lead on.
pub const FIRST_RESTORE_SEED: u64 = 1 << 34;

/// Mean time between two servers that start again, or entries by other writers.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_500);

/// Mean time between two returns from a copy.
const RESTORE_INTERVAL: Duration = Duration::from_millis(3_000);

/// How a run is made.
#[derive(Debug, Clone)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Availability zones that they are spread over.
    pub zones: usize,
    /// The servers of the one service.
    pub sizes: Sizes,
    /// Callers that work all the while.
    pub callers: usize,
    /// For how long faults strike.
    pub length: Duration,
    /// Replaced primaries lead on, and tokens are not checked.
    pub lax: bool,
    /// A host whose log nobody reads.
    pub unread: Option<usize>,
    /// The faults, by when they strike.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// `hosts` hosts in as many as three zones before servers of `sizes`, and no faults.
    pub fn without_faults(hosts: usize, sizes: Sizes) -> Plan {
        Plan {
            seed: 0,
            hosts,
            zones: hosts.min(3),
            sizes,
            callers: 0,
            length: Duration::ZERO,
            lax: false,
            unread: None,
            faults: Vec::new(),
        }
    }

    /// Draws a plan for `length`; `hosts` asks for a fleet of that size.
    pub fn draw(seed: u64, length: Duration, hosts: Option<usize>) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let drawn = rng.random_range(2..=7);
        let hosts = hosts.unwrap_or(drawn).max(1);
        let sizes = Sizes {
            servers: rng.random_range(2..=3),
            slots: rng.random_range(1..=3),
            connections: rng.random_range(8..=24),
            work: Duration::from_millis(rng.random_range(1..=8)),
            lag: Duration::from_millis(rng.random_range(5..=120)),
            promotion: Duration::from_millis(rng.random_range(150..=600)),
        };
        let mut plan = Plan {
            seed,
            hosts,
            zones: rng.random_range(1..=3),
            sizes,
            callers: (hosts * 3).clamp(6, 60),
            length,
            lax: (FIRST_LAX_SEED..FIRST_RESTORE_SEED).contains(&seed)
                || seed >= FIRST_RESTORE_SEED && seed.is_multiple_of(2),
            unread: rng.random_bool(0.3).then(|| rng.random_range(0..hosts)),
            faults: Vec::new(),
        };
        plan.draw_faults(&mut rng);
        if (FIRST_RESTART_SEED..FIRST_LAX_SEED).contains(&seed) || seed >= FIRST_RESTORE_SEED {
            plan.draw_restarts(&mut rng);
        }
        if seed >= FIRST_RESTORE_SEED {
            plan.draw_restores(&mut rng);
        }
        plan
    }

    fn draw_faults(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = Duration::from_millis(rng.random_range(200..=1_500));
        while at < self.length {
            let fault = self.draw_fault(rng);
            // Series: the same trouble again, before everything has settled.
            let repeats = if rng.random_bool(0.2) { 3 } else { 1 };
            for repeat in 0..repeats {
                let pause = Duration::from_millis(rng.random_range(150..=1_200)) * repeat;
                self.faults.push((at + pause, fault));
            }
            at += FAULT_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    fn draw_restarts(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = Duration::from_millis(rng.random_range(200..=1_500));
        while at < self.length {
            let fault = match rng.random_bool(0.7) {
                true => self.draw_restart(rng),
                false => self.draw_overwrite(rng),
            };
            self.faults.push((at, fault));
            at += RESTART_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Copies are some seconds old, and the store is away for a moment.
    fn draw_restores(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = Duration::from_millis(rng.random_range(200..=2_000));
        while at < self.length {
            let fault = Fault::Restore {
                age: Duration::from_millis(rng.random_range(200..=5_000)),
                away: Duration::from_millis(rng.random_range(50..=1_500)),
                rewritten: Duration::from_millis(rng.random_range(50..=2_000)),
            };
            self.faults.push((at, fault));
            at += RESTORE_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Quickly, before the entry of the former start has lapsed, or slowly; listed at once or late.
    fn draw_restart(&self, rng: &mut ChaCha8Rng) -> Fault {
        let number = rng.random_range(0..self.sizes.servers);
        let server = match rng.random_bool(0.5) {
            true => Victim::Primary,
            false => Victim::Number(number),
        };
        let after = match rng.random_bool(0.6) {
            true => rng.random_range(20..=400),
            false => rng.random_range(400..=2_500),
        };
        let late = match rng.random_bool(0.5) {
            true => 0,
            false => rng.random_range(50..=2_500),
        };
        Fault::Restart {
            server,
            after: Duration::from_millis(after),
            late: Duration::from_millis(late),
            remains: match rng.random_bool(0.7) {
                true => Remains::Nothing,
                false => Remains::Log,
            },
        }
    }

    fn draw_overwrite(&self, rng: &mut ChaCha8Rng) -> Fault {
        Fault::Overwrite {
            server: rng.random_range(0..self.sizes.servers),
            what: match rng.random_range(0..4) {
                0 => Garbage::Stranger,
                1 => Garbage::Unreadable,
                2 => Garbage::UnknownState,
                _ => Garbage::FormerStart,
            },
            lasts: Duration::from_millis(rng.random_range(50..=3_000)),
        }
    }

    fn draw_fault(&self, rng: &mut ChaCha8Rng) -> Fault {
        let host = rng.random_range(0..self.hosts);
        let other = rng.random_range(0..self.hosts);
        let number = rng.random_range(0..self.sizes.servers);
        let server = match rng.random_bool(0.6) {
            true => Victim::Primary,
            false => Victim::Number(number),
        };
        let lasts = Duration::from_millis(300)
            + MAX_FAULT_TIME.mul_f64(rng.random_range(0.0_f64..1.0).powi(2));
        let to = match rng.random_range(0..5) {
            0 => Endpoint::Store,
            1 => Endpoint::Orders,
            2 => Endpoint::Host(other),
            _ => Endpoint::Server(number),
        };
        let from = Endpoint::Host(host);
        match rng.random_range(0..34) {
            0..=2 => Fault::Stop { host },
            3..=5 => Fault::Kill { host, lasts },
            6 => Fault::KillAll,
            7..=9 => Fault::Pause { host, lasts },
            10 => Fault::Reload { host },
            11..=13 => Fault::Crash { server, lasts },
            14..=15 => Fault::Silence { server, lasts },
            16 => Fault::Full { server, lasts },
            17..=18 => Fault::LoseAnswers {
                server,
                count: rng.random_range(1..=6),
            },
            19..=20 => Fault::Deaf { server, lasts },
            21..=22 => Fault::Leave { server },
            23..=25 => Fault::Store {
                how: match rng.random_range(0..4) {
                    0 => StoreFault::Busy,
                    1 => StoreFault::Silent,
                    2 => StoreFault::Slow,
                    _ => StoreFault::Lossy,
                },
                lasts,
            },
            26 => Fault::Forget,
            27 => Fault::Configure,
            28..=29 => match rng.random_bool(0.5) {
                true => Fault::Cut { from, to, lasts },
                false => Fault::Cut {
                    from: to,
                    to: from,
                    lasts,
                },
            },
            30 => Fault::Delay {
                from,
                to,
                by: Duration::from_millis(rng.random_range(5..=300)),
                lasts,
            },
            31 => Fault::Reset { from, to },
            _ => Fault::Isolate { host, lasts },
        }
    }
}
