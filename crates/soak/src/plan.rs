//! What a seed determines: the size of the fleet, and which faults are injected when.

use std::time::Duration;

use flamingopost_standin::pooled::{Garbage, Odd, OrderMode, Remains, Sizes};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault::{Fault, Moment, StoreFault, Victim};
use crate::net::Endpoint;
use crate::start::{Cut, Form, Start};
use crate::teams::TEAMS;

/// Mean time between two faults. Most faults last longer, so that they overlap.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Maximum duration of a fault beyond its minimum of 300 ms: failure detection takes up to two
/// seconds, and recovery takes longer.
const MAX_FAULT_TIME: Duration = Duration::from_millis(4_000);

/// The first seed that also draws servers that restart under the same id, and entries of other
/// writers. Lower seeds draw exactly what they drew before these faults existed, so that seeds that
/// are kept as regression tests still reproduce their faults.
pub const FIRST_RESTART_SEED: u64 = 1 << 32;

/// The first seed that is played on a platform where a replaced primary keeps leading its own term
/// until it is told to step down, and where orders are carried out regardless of their fencing
/// token. These seeds draw the same kinds of faults as the seeds from 0 on.
pub const FIRST_LAX_SEED: u64 = 1 << 33;

/// The first seed that also draws stores that are restored from a backup, in addition to the faults
/// of all lower seeds. Even seeds are played on a platform as described at [`FIRST_LAX_SEED`].
pub const FIRST_RESTORE_SEED: u64 = 1 << 34;

/// The first seed whose callers belong to teams with API keys and limits. Its other faults are those
/// of the seeds from [`FIRST_RESTORE_SEED`] on.
pub const FIRST_TEAM_SEED: u64 = 1 << 35;

/// The first seed that also draws how long each promotion takes, and orders that get no answer. Its
/// other faults are those of the seeds from [`FIRST_TEAM_SEED`] on.
pub const FIRST_ORDER_SEED: u64 = 1 << 36;

/// The first seed that also draws hosts that are cut off as they replace a primary, server lists that are
/// late, and in which datagrams sent into a cut arrive after it. Its other faults are those of the seeds
/// from [`FIRST_RESTORE_SEED`] on, all on a platform as described at [`FIRST_LAX_SEED`].
pub const FIRST_LATE_SEED: u64 = 1 << 37;

/// The first seed whose faults follow each other over tens of seconds, which no other seed draws: hosts
/// that are silent and back as others are cut off, and orders that nobody knows of after a restart of all
/// hosts. They are played on a platform as described at [`FIRST_LAX_SEED`], with commits that wait for a
/// replica where one is lost.
pub const FIRST_LONG_SEED: u64 = 1 << 38;

/// The first seed that also draws what goes wrong as hosts start: signals, ports in use, incomplete
/// settings and odd rows of other writers. Of the faults of all seeds it draws every second one, and of those
/// from [`FIRST_RESTART_SEED`] on servers that restart with their log and entries of other writers.
/// Even seeds are played on a platform as described at [`FIRST_LAX_SEED`].
pub const FIRST_START_SEED: u64 = 1 << 39;

/// Number of starts of a host for which a seed draws what goes wrong.
const STARTS: usize = 12;

/// Mean time between two faults that end hosts, rewrite their settings or add odd rows.
const START_INTERVAL: Duration = Duration::from_millis(1_200);

/// Mean time between two hosts that are cut off as they replace a primary, or late server lists.
const ACTING_INTERVAL: Duration = Duration::from_millis(4_500);

/// Mean time between two changes of the time that a promotion takes.
const PROMOTION_INTERVAL: Duration = Duration::from_millis(1_500);

/// Mean time between two periods in which orders get no answer.
const ORDER_FAULT_INTERVAL: Duration = Duration::from_millis(4_000);

/// Mean time between two changes of a team's keys or limit.
const TEAM_INTERVAL: Duration = Duration::from_millis(2_500);

/// Mean time between two faults that restart a server or overwrite an entry.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_500);

/// Mean time between two restores of the store.
const RESTORE_INTERVAL: Duration = Duration::from_millis(3_000);

/// The setup and the faults of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of availability zones that the hosts are spread over.
    pub zones: usize,
    /// The servers of the service.
    pub sizes: Sizes,
    /// Number of callers, which work during the whole run.
    pub callers: usize,
    /// For how long faults are injected.
    pub length: Duration,
    /// Whether a replaced primary keeps leading its own term, and fencing tokens are not checked.
    pub lax: bool,
    /// Whether datagrams that are sent into a cut arrive after it.
    pub late_datagrams: bool,
    /// Number of a host whose log goes to a pipe that is never read.
    pub unread: Option<usize>,
    /// What goes wrong at the first starts of each host, in order; empty if hosts just start.
    pub starts: Vec<Vec<Start>>,
    /// The faults with their start times, in order.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Creates a plan without faults, of `hosts` hosts in up to three zones and servers of `sizes`.
    pub fn without_faults(hosts: usize, sizes: Sizes) -> Plan {
        Plan {
            seed: 0,
            hosts,
            zones: hosts.min(3),
            sizes,
            callers: 0,
            length: Duration::ZERO,
            lax: false,
            late_datagrams: false,
            unread: None,
            starts: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Draws the plan of `seed` for a run of `length`. `hosts` overrides the number of hosts.
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
            synchronous: false,
        };
        let mut plan = Plan {
            seed,
            hosts,
            zones: rng.random_range(1..=3),
            sizes,
            callers: (hosts * 3).clamp(6, 60),
            length,
            lax: (FIRST_LAX_SEED..FIRST_RESTORE_SEED).contains(&seed)
                || seed >= FIRST_RESTORE_SEED && seed.is_multiple_of(2)
                || (FIRST_LATE_SEED..FIRST_START_SEED).contains(&seed),
            late_datagrams: (FIRST_LATE_SEED..FIRST_LONG_SEED).contains(&seed),
            unread: rng.random_bool(0.3).then(|| rng.random_range(0..hosts)),
            starts: Vec::new(),
            faults: Vec::new(),
        };
        if seed >= FIRST_START_SEED {
            plan.draw_starts(&mut rng);
            return plan;
        }
        if seed >= FIRST_LONG_SEED {
            plan.draw_long_faults(&mut rng);
            return plan;
        }
        plan.draw_faults(&mut rng);
        if (FIRST_RESTART_SEED..FIRST_LAX_SEED).contains(&seed) || seed >= FIRST_RESTORE_SEED {
            plan.draw_restarts(&mut rng);
        }
        if seed >= FIRST_RESTORE_SEED {
            plan.draw_restores(&mut rng);
        }
        if plan.has_teams() {
            plan.draw_team_changes(&mut rng);
        }
        if seed >= FIRST_ORDER_SEED {
            plan.draw_orders(&mut rng);
        }
        if seed >= FIRST_LATE_SEED {
            plan.draw_cut_off_actors(&mut rng);
        }
        plan
    }

    /// Reports whether callers belong to teams.
    pub fn has_teams(&self) -> bool {
        (FIRST_TEAM_SEED..FIRST_LATE_SEED).contains(&self.seed)
    }

    /// Draws what goes wrong as hosts start, faults that make them start again, and some others.
    fn draw_starts(&mut self, rng: &mut ChaCha8Rng) {
        self.draw_faults(rng);
        let faults = std::mem::take(&mut self.faults);
        self.faults.extend(faults.into_iter().step_by(2));
        self.draw_restarts(rng);
        for (_, fault) in &mut self.faults {
            if let Fault::Restart { remains, .. } = fault {
                *remains = Remains::Log;
            }
        }
        let starts = |_| (0..STARTS).map(|_| Start::draw(rng)).collect();
        self.starts = (0..self.hosts).map(starts).collect();
        let mut at = Duration::from_millis(rng.random_range(0..=500));
        while at < self.length {
            let fault = self.draw_start_fault(rng);
            self.faults.push((at, fault));
            at += START_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Draws a fault that makes a host start again, rewrites its settings or adds an odd row.
    fn draw_start_fault(&self, rng: &mut ChaCha8Rng) -> Fault {
        let host = rng.random_range(0..self.hosts);
        let lasts = Duration::from_millis(rng.random_range(50..=1_000));
        match rng.random_range(0..10) {
            0..=1 => Fault::Kill { host, lasts },
            2 => Fault::KillAll,
            3..=4 => Fault::StopAndReload {
                host,
                count: rng.random_range(1..=5),
                pause: Duration::from_millis(rng.random_range(1..=300)),
            },
            5..=6 => Fault::Rewrite {
                host,
                form: Form::draw(rng),
                cut: Cut::draw(rng),
            },
            _ => Fault::OddRow {
                table: Odd::TABLES[rng.random_range(0..Odd::TABLES.len())],
                what: Odd::ALL[rng.random_range(0..Odd::ALL.len())],
                lasts: rng.random_bool(0.7).then_some(lasts * 5),
            },
        }
    }

    /// Draws one of the series of faults that take long, by the seed.
    fn draw_long_faults(&mut self, rng: &mut ChaCha8Rng) {
        self.hosts = self.hosts.max(3);
        self.sizes.servers = 3;
        // Commits that wait for a replica take their slots for longer.
        self.sizes.slots = 3;
        self.sizes.connections = self.sizes.connections.max(36);
        self.sizes.lag = self.sizes.lag.min(Duration::from_millis(30));
        let mut between = |from, to| Duration::from_millis(rng.random_range(from..=to));
        let start = between(2_000, 4_000);
        let lasts = between(1_800, 2_600);
        let after = between(20, 200);
        let mut faults = match self.seed % 3 {
            0 => {
                // Of those that are not silent, the first ones are more than half.
                self.hosts = 5 + 2 * usize::from(self.hosts > 5);
                let near = self.hosts / 2;
                vec![Fault::CutInTurn {
                    silent: 2,
                    silent_for: between(11_000, 13_000),
                    near,
                    cut_for: between(5_000, 7_000),
                }]
            }
            1 => {
                let mode = OrderMode::Late(between(6_000, 11_000));
                vec![Fault::AbandonOrder { mode, lasts, after }]
            }
            _ => {
                self.sizes.synchronous = true;
                let mode = OrderMode::Refused;
                vec![Fault::AbandonOrder { mode, lasts, after }]
            }
        };
        let second = start + lasts + between(4_000, 9_000);
        self.faults.push((start, faults.remove(0)));
        if self.sizes.synchronous {
            let lasts = between(2_500, 5_000);
            self.faults.push((second, Fault::LoseBehind { lasts }));
        }
    }

    /// Draws hosts that are cut off as they replace a primary, and late server lists.
    fn draw_cut_off_actors(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = Duration::from_millis(rng.random_range(500..=2_500));
        while at < self.length {
            let lasts = Duration::from_millis(rng.random_range(300..=5_000));
            let fault = match rng.random_bool(0.7) {
                true => Fault::CutOffActing {
                    moment: match rng.random_bool(0.5) {
                        true => Moment::Claim,
                        false => Moment::Order,
                    },
                    with_orders: rng.random_bool(0.6),
                    lasts,
                },
                false => Fault::LateList {
                    by: Duration::from_millis(rng.random_range(200..=2_000)),
                    lasts,
                },
            };
            self.faults.push((at, fault));
            at += ACTING_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Draws changes of the teams' keys and limits.
    fn draw_team_changes(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = Duration::from_millis(rng.random_range(500..=2_500));
        while at < self.length {
            let team = rng.random_range(0..TEAMS);
            let fault = match rng.random_bool(0.5) {
                true => Fault::ReplaceKey { team },
                false => Fault::ChangeLimit {
                    team,
                    rate: rng.random_range(5..=150),
                },
            };
            self.faults.push((at, fault));
            at += TEAM_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Draws how long promotions take, and periods in which orders get no answer.
    fn draw_orders(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = Duration::ZERO;
        while at < self.length {
            let takes = Duration::from_millis(rng.random_range(10..=1_000));
            self.faults.push((at, Fault::Promotion { takes }));
            at += PROMOTION_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        let mut at = Duration::from_millis(rng.random_range(500..=3_000));
        while at < self.length {
            let mode = match rng.random_bool(0.5) {
                true => OrderMode::AnswerLost,
                false => OrderMode::Late(Duration::from_millis(rng.random_range(50..=6_000))),
            };
            let lasts = Duration::from_millis(rng.random_range(300..=3_000));
            self.faults.push((at, Fault::Orders { mode, lasts }));
            at += ORDER_FAULT_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Draws the faults that all seeds have.
    fn draw_faults(&mut self, rng: &mut ChaCha8Rng) {
        let mut at = Duration::from_millis(rng.random_range(200..=1_500));
        while at < self.length {
            let fault = self.draw_fault(rng);
            // A series repeats the same fault before the fleet has recovered.
            let repeats = if rng.random_bool(0.2) { 3 } else { 1 };
            for repeat in 0..repeats {
                let pause = Duration::from_millis(rng.random_range(150..=1_200)) * repeat;
                self.faults.push((at + pause, fault));
            }
            at += FAULT_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Draws restarts of servers, and invalid entries in the server list.
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

    /// Draws restores of the store. A backup is up to 5 s old, and the store is unavailable for up
    /// to 1.5 s.
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

    /// Draws a restart: either quick, before the entry of the previous start has expired, or slow;
    /// and with an entry that is updated at once or late.
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

    /// Draws an invalid entry in the server list.
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

    /// Draws a fault of the kinds that all seeds have.
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
