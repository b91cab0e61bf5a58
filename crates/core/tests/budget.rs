//! Connection budgets: all hosts together never pass a server's limit.
//!
//! The randomised runs take `FLAMINGOPOST_SCHEDULES=N` and `FLAMINGOPOST_SEED=N` for longer runs
//! by hand; without them, fixed seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::budget::Grant;
use flamingopost_core::budget::purse::{Advice, CLOSE_MARGIN, Purse};
use flamingopost_core::budget::share::{Floor, Holder, Renewal, Share};
use flamingopost_core::directory::Directory;
use flamingopost_core::key::HostKey;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LEASE: Duration = Duration::from_millis(2500);
const LIMIT: u16 = 16;
const CI_SCHEDULES: u64 = 300;

fn hosts(count: usize) -> Vec<HostKey> {
    let mut names = Directory::default();
    (0..count)
        .map(|index| names.hosts.intern(&format!("host-{index}")))
        .collect()
}

fn renewal(host: HostKey, incarnation: u64, demand: u16) -> Renewal {
    Renewal {
        holder: Holder { host, incarnation },
        demand,
        near: true,
        valid: LEASE,
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn every_host_of_a_fleet_gets_its_part() {
    let mut share = Share::new(LIMIT, Duration::ZERO);
    let hosts = hosts(7);
    let mut last = BTreeMap::new();
    for round in 0..20 {
        for host in &hosts {
            let now = Duration::from_millis(500 * round);
            last.insert(*host, share.renew(renewal(*host, 1, 8), now).leased);
        }
    }
    assert!(last.values().all(|leased| *leased >= 2), "{last:?}");
    assert!(last.values().sum::<u16>() <= LIMIT);
}

/// A host is killed with all its connections open. Nobody closed them for certain, so its part
/// must not be given away before its lease has ended, not even to its own next life.
#[test]
fn a_vanished_host_keeps_its_part_until_its_lease_ends() {
    let mut share = Share::new(LIMIT, Duration::ZERO);
    let host = hosts(1)[0];
    let first = share.renew(renewal(host, 1, 16), Duration::ZERO).leased;
    let second = share.renew(renewal(host, 2, 16), seconds(1)).leased;
    assert!(first + second <= LIMIT, "{first} and {second}");
    let third = share.renew(renewal(host, 2, 16), seconds(3)).leased;
    assert!(third > second);
}

/// The controller is replaced. Its successor does not know what was granted, so it grants
/// nothing but floors it was told of until every lease must have run out.
#[test]
fn a_successor_waits_out_the_leases_of_its_predecessor() {
    let host = hosts(1)[0];
    let mut share = Share::new(LIMIT, seconds(3));
    let holder = Holder {
        host,
        incarnation: 1,
    };
    let floor = Floor {
        connections: 2,
        until: seconds(100),
    };
    share.restore(holder, floor);
    assert_eq!(share.renew(renewal(host, 1, 9), seconds(1)).leased, 2);
    assert!(share.renew(renewal(host, 1, 9), seconds(3)).leased > 2);
}

/// Found by seed 100000 and others of the randomised run: a successor that still waited gave a
/// newcomer a floor, while hosts of its predecessor had every connection open. The newcomer
/// opened one more than the server takes.
#[test]
fn a_successor_that_waits_gives_no_new_floor() {
    let host = hosts(1)[0];
    let mut share = Share::new(LIMIT, seconds(3));
    assert_eq!(share.renew(renewal(host, 1, 9), seconds(1)).leased, 0);
    assert_eq!(share.floors().count(), 0);
}

/// A zone is cut off from its controller. Its hosts cannot renew, but the servers in the zone
/// still answer them: they keep their floors, and close the rest in time.
#[test]
fn a_cut_off_host_keeps_its_floor_and_closes_the_rest() {
    let mut share = Share::new(LIMIT, Duration::ZERO);
    let host = hosts(1)[0];
    let mut purse = Purse::default();
    let grant = share.renew(renewal(host, 1, 6), Duration::ZERO);
    purse.grant(grant, Duration::ZERO, LEASE);
    while purse.open(Duration::ZERO) {}
    assert_eq!(purse.opened(), 6);
    let due = purse.deadline(Duration::ZERO).unwrap();
    assert!(due <= LEASE - CLOSE_MARGIN);
    let excess = 6 - grant.floor;
    assert_eq!(purse.advise(due), Advice::Close(excess));
    (0..excess).for_each(|_| purse.closed());
    purse.check(seconds(3600));
    assert_eq!(purse.advise(seconds(3600)), Advice::Keep);
}

/// Hosts crash and come back under new names all day. Their floors last for hours; if these were
/// given without bound, the last crash would leave no connection for anybody.
#[test]
fn floors_of_vanished_hosts_never_use_up_the_limit() {
    let mut share = Share::new(LIMIT, Duration::ZERO);
    let host = hosts(1)[0];
    for life in 0..100 {
        let now = seconds(5 * life);
        let grant = share.renew(renewal(host, life, 4), now);
        assert!(grant.leased >= 1, "life {life} gets nothing");
    }
    let floors: u16 = share.floors().map(|(_, floor)| floor.connections).sum();
    assert!(floors <= LIMIT / 2);
}

#[test]
fn a_lowered_limit_is_reached_as_leases_end() {
    let mut share = Share::new(LIMIT, Duration::ZERO);
    let hosts = hosts(2);
    for host in &hosts {
        share.renew(renewal(*host, 1, 7), Duration::ZERO);
    }
    share.configure(8);
    for round in 1..20 {
        for host in &hosts {
            share.renew(renewal(*host, 1, 7), Duration::from_millis(500 * round));
        }
    }
    assert!(share.outstanding(seconds(10)) <= 8);
}

#[test]
#[should_panic(expected = "connection_limit")]
fn connections_beyond_a_grant_are_caught() {
    let mut purse = Purse::default();
    let grant = Grant {
        leased: 2,
        ..Grant::default()
    };
    purse.grant(grant, Duration::ZERO, LEASE);
    assert!(purse.open(Duration::ZERO) && purse.open(Duration::ZERO));
    purse.check(LEASE);
}

/// One host of a randomised run.
struct Host {
    key: HostKey,
    life: u64,
    purse: Purse,
    /// Its clock runs at this rate against the controller's.
    rate: f64,
    paused_until: Duration,
    cut_until: Duration,
}

impl Host {
    fn clock(&self, now: Duration) -> Duration {
        now.mul_f64(self.rate)
    }
}

/// A grant that is on its way: when it arrives, at whom, and what it answers.
struct Flight {
    arrives: Duration,
    host: usize,
    life: u64,
    sent: Duration,
    grant: Grant,
}

struct Fleet {
    random: ChaCha8Rng,
    share: Share,
    hosts: Vec<Host>,
    flights: Vec<Flight>,
    /// Connections of killed processes that the server has not yet dropped, and until when it
    /// may keep them: to the end of the grant that they were opened under.
    ghosts: Vec<(Duration, u16)>,
    now: Duration,
    most: u16,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let hosts = hosts(random.random_range(2..9))
            .into_iter()
            .map(|key| Host {
                key,
                life: 0,
                purse: Purse::default(),
                rate: 1.0 + random.random_range(-0.01..0.01),
                paused_until: Duration::ZERO,
                cut_until: Duration::ZERO,
            })
            .collect();
        Fleet {
            random,
            share: Share::new(LIMIT, Duration::ZERO),
            hosts,
            flights: Vec::new(),
            ghosts: Vec::new(),
            now: Duration::from_secs(1),
            most: 0,
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.random.random_range(1..60));
        self.land();
        for index in 0..self.hosts.len() {
            self.act(index);
        }
        if self.random.random_ratio(1, 200) {
            self.replace_controller();
        }
        self.check();
    }

    fn land(&mut self) {
        let now = self.now;
        let (landed, flying) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.arrives <= now);
        self.flights = flying;
        let landed: Vec<Flight> = landed;
        for flight in landed {
            let host = &mut self.hosts[flight.host];
            if host.life == flight.life && now >= host.paused_until {
                host.purse.grant(flight.grant, flight.sent, LEASE);
            }
        }
    }

    fn act(&mut self, index: usize) {
        let dice = self.random.random_range(0..1000);
        let host = &mut self.hosts[index];
        if self.now < host.paused_until {
            return;
        }
        let clock = host.clock(self.now);
        while let Advice::Close(_) = host.purse.advise(clock) {
            host.purse.closed();
        }
        match dice {
            0..600 => {
                let _ = host.purse.open(clock);
            }
            600..640 if host.purse.opened() > 0 => host.purse.closed(),
            640..780 if self.now >= host.cut_until => self.renew(index),
            780..784 => self.kill(index),
            784..787 => host.cut_until = self.now + seconds(8),
            // Shorter than the margin by which connections are closed: see LIMITS.md.
            787..790 => host.paused_until = self.now + CLOSE_MARGIN / 2,
            _ => {}
        }
    }

    fn renew(&mut self, index: usize) {
        let demand = self.random.random_range(0..10);
        let delay = Duration::from_millis(self.random.random_range(0..400));
        let near = self.random.random_bool(0.4);
        let host = &self.hosts[index];
        let ask = Renewal {
            near,
            ..renewal(host.key, host.life, demand)
        };
        let (life, sent) = (host.life, host.clock(self.now));
        let grant = self.share.renew(ask, self.now + delay / 2);
        if self.random.random_ratio(1, 5) {
            return;
        }
        self.flights.push(Flight {
            arrives: self.now + delay,
            host: index,
            life,
            sent,
            grant,
        });
    }

    /// The process dies; the machine it ran on may be gone with it, so that the server keeps its
    /// connections for a while.
    fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let clock = host.clock(self.now);
        let floor = host.purse.allowed(clock + LEASE).min(host.purse.opened());
        let leased = (0..2500)
            .map(Duration::from_millis)
            .find(|wait| host.purse.allowed(clock + *wait) <= floor);
        let rest = host.purse.opened() - floor;
        self.ghosts.push((self.now + leased.unwrap_or(LEASE), rest));
        self.ghosts.push((self.now + seconds(7000), floor));
        host.purse = Purse::default();
        host.life += 1;
    }

    fn replace_controller(&mut self) {
        let floors: Vec<(Holder, Floor)> = self.share.floors().collect();
        self.share = Share::new(LIMIT, self.now + LEASE + LEASE / 50 + seconds(1));
        for (holder, floor) in floors {
            self.share.restore(holder, floor);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        self.ghosts.retain(|(until, _)| now < *until);
        let ghosts: u16 = self.ghosts.iter().map(|(_, count)| count).sum();
        let open: u16 = self.hosts.iter().map(|host| host.purse.opened()).sum();
        assert!(
            open + ghosts <= LIMIT,
            "{open} open and {ghosts} of the dead"
        );
        self.most = self.most.max(open + ghosts);
        for host in &self.hosts {
            if now >= host.paused_until {
                host.purse.check(host.clock(now));
            }
        }
    }
}

/// Hosts renew, lose answers, are cut off, paused for a moment and killed, and the controller is
/// replaced. What all of them have open, the dead included, stays within the limit.
#[test]
fn randomised_schedules_never_pass_the_limit() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let schedules = number("FLAMINGOPOST_SCHEDULES").unwrap_or(CI_SCHEDULES);
    let first = number("FLAMINGOPOST_SEED").unwrap_or(1);
    let mut most = 0;
    for seed in first..first + schedules {
        let mut fleet = Fleet::new(seed);
        (0..600).for_each(|_| fleet.step());
        most = most.max(fleet.most);
    }
    println!("{schedules} schedules from seed {first}: at most {most} of {LIMIT} open");
    assert!(
        most > LIMIT / 2,
        "the runs never come near the limit: {most}"
    );
}
