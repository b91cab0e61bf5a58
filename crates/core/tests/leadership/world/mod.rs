//! A simulated deployment around the leadership state machines: availability zones with hosts, each
//! with a control and an entry process; backend servers; one table; links that are cut, lose and
//! delay messages; clocks that drift.

mod control;
mod entry;
mod fault;
mod server;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::key::{HostKey, ServerKey, ServiceKey, ZoneKey};
use flamingopost_core::leadership::{Controller, Group, Leaving};
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::row::Row;
use flamingopost_core::term::Term;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use entry::Entry;
pub use fault::Fault;
pub use server::Server;

pub const ZONES: usize = 3;
pub const HOSTS: usize = 6;
pub const SERVICES: usize = 2;
/// The platform's index in the matrix of cuts.
pub const PLATFORM: usize = ZONES;

type Callback = Box<dyn FnOnce(&mut World)>;

/// A process that can be paused and restarted.
#[derive(Debug, Clone, Copy)]
pub struct Process {
    /// Number of starts, from 1; a restart discards callbacks of earlier generations.
    pub boot: u64,
    pub paused: Duration,
    offset: Duration,
    /// Rate of its clock, in thousandths of real time: 1005 is 0.5 % fast.
    rate: u32,
}

/// A process of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Control(usize),
    Entry(usize),
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now: Duration,
    queue: BTreeMap<(Duration, u64), Callback>,
    sequence: u64,
    pub cut: [[bool; ZONES + 1]; ZONES + 1],
    pub isolated: [bool; HOSTS],
    /// Lost messages of a thousand.
    pub loss: u32,
    /// Late messages of a thousand.
    pub late: u32,
    pub table: Option<Row>,
    pub table_down: bool,
    pub table_slow: Duration,
    pub answers_lost: bool,
    pub controls: Vec<(Process, Controller)>,
    pub entries: Vec<(Process, Entry)>,
    pub servers: Vec<Server>,
    pub hosts: Vec<HostKey>,
    pub zones: Vec<ZoneKey>,
    pub services: Vec<ServiceKey>,
    pub server_keys: Vec<ServerKey>,
    /// The newest term that a controller has opened for each service.
    pub opened: Vec<Term>,
    promoted: BTreeMap<(usize, Term), usize>,
    /// Service, write number, position and time of each acknowledged write.
    pub acknowledged: Vec<(usize, u64, Position, Duration)>,
    pub writes: u64,
    /// The latest trace lines, printed for a failed seed.
    pub trace_lines: VecDeque<String>,
    pub writing: bool,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts = Names::default();
        let mut zones = Names::default();
        let mut services = Names::default();
        let mut servers = Names::default();
        let hosts: Vec<HostKey> = (0..HOSTS).map(|i| hosts.intern(&format!("h{i}"))).collect();
        let zones = (0..ZONES).map(|i| zones.intern(&format!("z{i}"))).collect();
        let services = (0..SERVICES)
            .map(|i| services.intern(&format!("s{i}")))
            .collect();
        let server_keys: Vec<ServerKey> = (0..SERVICES * ZONES)
            .map(|i| servers.intern(&format!("b{i}")))
            .collect();
        let fake = |i| Server {
            zone: i % ZONES,
            service: i / ZONES,
            ..Server::default()
        };
        let mut world = World {
            controls: Vec::new(),
            entries: Vec::new(),
            servers: (0..SERVICES * ZONES).map(fake).collect(),
            now: Duration::from_secs(1),
            queue: BTreeMap::new(),
            sequence: 0,
            cut: [[false; ZONES + 1]; ZONES + 1],
            isolated: [false; HOSTS],
            loss: 0,
            late: 0,
            table: None,
            table_down: false,
            table_slow: Duration::ZERO,
            answers_lost: false,
            hosts,
            zones,
            services,
            server_keys,
            opened: vec![Term::default(); SERVICES],
            promoted: BTreeMap::new(),
            acknowledged: Vec::new(),
            writes: 0,
            trace_lines: VecDeque::new(),
            writing: true,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        for host in 0..HOSTS {
            let process = world.process(rng.random_range(0..10_000), rng.random_range(995..=1005));
            let control = world.controller(host, process);
            world.controls.push((process, control));
            let process = world.process(rng.random_range(0..10_000), rng.random_range(995..=1005));
            let entry = Entry::new(host, process.boot, process.local(world.now));
            world.entries.push((process, entry));
        }
        for host in 0..HOSTS {
            world.control_tick(host, 1);
            world.entry_tick(host, 1);
        }
        world.replicate();
        world
    }

    fn process(&mut self, offset: u64, rate: u32) -> Process {
        Process {
            boot: 1,
            paused: Duration::ZERO,
            offset: Duration::from_millis(offset),
            rate,
        }
    }

    fn controller(&self, host: usize, process: Process) -> Controller {
        let local = process.local(self.now);
        let boot = process.boot * 100 + host as u64;
        let mut controller = Controller::new(self.hosts[host], boot, local);
        controller.configure(self.groups());
        let others = (1..HOSTS).map(|step| self.hosts[(host + step) % HOSTS]);
        controller.set_standby_candidates(others.collect());
        controller
    }

    pub fn groups(&self) -> BTreeMap<ServiceKey, Group> {
        let group = |service: usize| {
            let servers = (0..ZONES).map(|zone| (service * ZONES + zone, Leaving::No));
            Group {
                servers: servers.map(|(i, no)| (self.server_keys[i], no)).collect(),
                first_primary: self.server_keys[service * ZONES + service],
            }
        };
        (0..SERVICES)
            .map(|i| (self.services[i], group(i)))
            .collect()
    }

    pub fn host(&self, key: HostKey) -> usize {
        self.hosts.iter().position(|host| *host == key).unwrap()
    }

    pub fn server(&self, key: ServerKey) -> usize {
        self.server_keys
            .iter()
            .position(|server| *server == key)
            .unwrap()
    }

    pub fn trace(&mut self, text: String) {
        if self.trace_lines.len() > 400 {
            self.trace_lines.pop_front();
        }
        self.trace_lines
            .push_back(format!("{:9.3} {text}", self.now.as_secs_f64()));
    }

    /// Runs the simulation until `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), act) = entry.remove_entry();
            self.now = at;
            act(self);
        }
        self.now = until;
    }

    pub fn schedule(&mut self, delay: Duration, act: impl FnOnce(&mut World) + 'static) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, Box::new(act));
    }

    /// Runs `act` at a process after `delay`, or when its pause ends, unless it restarts before.
    fn at(
        &mut self,
        place: Place,
        boot: u64,
        delay: Duration,
        act: impl FnOnce(&mut World) + 'static,
    ) {
        self.schedule(delay, move |world| {
            let process = world.process_at(place);
            if process.boot != boot {
                return;
            }
            if process.paused > world.now {
                let wait = process.paused - world.now;
                return world.at(place, boot, wait, act);
            }
            act(world);
        });
    }

    pub fn process_at(&self, place: Place) -> Process {
        match place {
            Place::Control(host) => self.controls[host].0,
            Place::Entry(host) => self.entries[host].0,
        }
    }

    pub fn local(&self, place: Place) -> Duration {
        self.process_at(place).local(self.now)
    }

    /// Returns the delay of a message from a host to a zone or the platform, or `None` if it is
    /// lost.
    pub fn message_delay(&mut self, host: usize, to: usize) -> Option<Duration> {
        let from = host % ZONES;
        if self.cut[from][to] || self.isolated[host] {
            return None;
        }
        if self.rng.random_range(0..1000) < self.loss {
            return None;
        }
        if self.rng.random_range(0..1000) < self.late {
            return Some(Duration::from_millis(self.rng.random_range(0..4_000)));
        }
        Some(Duration::from_micros(self.rng.random_range(300..2_500)))
    }

    /// Returns the delay of a message between two hosts, or `None` if it is lost.
    pub fn host_message_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.isolated[to] && from != to {
            return None;
        }
        self.message_delay(from, to % ZONES)
    }

    fn replicate(&mut self) {
        for index in 0..self.servers.len() {
            self.replicate_one(index);
        }
        self.schedule(Duration::from_millis(25), World::replicate);
    }

    fn replicate_one(&mut self, index: usize) {
        let server = &self.servers[index];
        let Some(primary) = server.follows.filter(|_| !server.down && !server.lagging) else {
            return;
        };
        let upstream = &self.servers[primary];
        let same = upstream.leads && upstream.term == server.term && !upstream.down;
        if !same || self.cut[server.zone][upstream.zone] {
            return;
        }
        let log = upstream.log.clone();
        let most = self.rng.random_range(0..8);
        self.servers[index].replicate(&log, most);
    }

    /// Records an acknowledged write and checks that its term has not been replaced.
    pub fn acknowledge(&mut self, service: usize, id: u64, position: Position) {
        let opened = self.opened[service];
        invariant::check(Invariant::ReplacedPrimary, position.term >= opened, || {
            format!("write {id} of s{service} at {position} after {opened} was opened")
        });
        self.acknowledged.push((service, id, position, self.now));
    }

    pub fn restart(&mut self, place: Place) {
        self.trace(format!("{place:?} restarts"));
        match place {
            Place::Control(host) => {
                let mut process = self.controls[host].0;
                process.boot += 1;
                process.paused = self.now + Duration::from_millis(self.rng.random_range(0..800));
                let controller = self.controller(host, process);
                self.controls[host] = (process, controller);
                self.control_tick(host, process.boot);
            }
            Place::Entry(host) => {
                let mut process = self.entries[host].0;
                process.boot += 1;
                process.paused = self.now + Duration::from_millis(self.rng.random_range(0..800));
                let entry = Entry::new(host, process.boot, process.local(self.now));
                self.entries[host] = (process, entry);
                self.entry_tick(host, process.boot);
            }
        }
    }
}

impl Process {
    pub fn local(self, now: Duration) -> Duration {
        self.offset + now * self.rate / 1000
    }
}
