//! Reads after writes in a model: one entry host, a primary and two replicas that lag, sessions
//! that write and then read. Shows which share of reads replicas serve, and what waiting costs.

pub mod replica;

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;
use flamingopost_core::route::server::{Freshness, ServerSettings, Status};
use flamingopost_core::route::{ReadRequest, Route, Table, TargetRole};
use flamingopost_core::session::need::Need;
use flamingopost_core::term::Term;
use flamingopost_core::view::{Service, State};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use replica::Replica;

const TERM: Term = Term { epoch: 1, count: 0 };
const NEAR_TRIP: Duration = Duration::from_micros(500);
const FAR_TRIP: Duration = Duration::from_micros(3_500);
const STEP: Duration = Duration::from_micros(500);
/// Longest wait before a read looks again.
const LOOK: Duration = Duration::from_millis(5);

/// One run of the model.
#[derive(Debug, Clone)]
pub struct Run {
    /// Lag of the replica in the host's zone, on average.
    pub near_lag: Duration,
    /// Lag of the other replica, on average.
    pub far_lag: Duration,
    /// Time between a session's write and each of its reads, on average.
    pub think: Duration,
    /// Time between two probes of each server.
    pub probe: Duration,
    /// How long a read waits for a replica that is about to have its position.
    pub patience: Duration,
    /// How long a read waits for the replica in its zone before it looks at any other.
    pub locality: Duration,
    /// Writes a second.
    pub writes: f64,
    /// Reads that follow each write.
    pub reads: u32,
    /// How long the run is.
    pub length: Duration,
    /// Seed of everything random.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Reads by server: the replica in the zone, the other one, the primary.
    pub served: [u64; 3],
    /// Reads answered from data without their session's write.
    pub stale: u64,
    /// Microseconds that each read took, its wait and the way included, the statement not.
    pub times: Histogram<u64>,
}

impl Tally {
    /// Share of reads on replicas.
    pub fn replica_share(&self) -> f64 {
        let [near, far, primary] = self.served;
        (near + far) as f64 / (near + far + primary).max(1) as f64
    }

    /// A quantile of the times.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.times.value_at_quantile(quantile))
    }
}

/// A read that looks for a server.
#[derive(Debug, Clone, Copy)]
struct Read {
    arrived: Duration,
    log: u64,
}

/// A status on its way to the host.
#[derive(Debug, Clone, Copy)]
struct Word {
    server: ServerKey,
    status: Status,
    sent: Duration,
}

struct Model<'a> {
    run: &'a Run,
    random: ChaCha8Rng,
    now: Duration,
    table: Table,
    primary: ServerKey,
    head: u64,
    replicas: Vec<Replica>,
    reads: BTreeMap<(Duration, u64), Read>,
    words: BTreeMap<(Duration, u64), Word>,
    count: u64,
    tally: Tally,
}

impl Run {
    /// Runs the model to its end.
    pub fn play(&self) -> Tally {
        let mut model = Model::new(self);
        while model.now < self.length {
            model.step();
        }
        model.tally
    }
}

impl<'a> Model<'a> {
    fn new(run: &'a Run) -> Model<'a> {
        let mut names = Directory::default();
        let zones = ["one", "two", "three"].map(|zone| names.zones.intern(zone));
        let [primary, near, far] = ["a", "b", "c"].map(|server| names.servers.intern(server));
        let facts = [primary, near, far].into_iter().zip(zones);
        let facts = facts.map(|(server, zone)| {
            let facts = ServerSettings {
                zone,
                slots: 3,
                distance: FAR_TRIP - NEAR_TRIP,
                leaving: false,
            };
            (server, facts)
        });
        let mut table = Table::new(zones[1]);
        table.configure(&facts.collect(), Duration::ZERO);
        let open = State::Open {
            term: TERM,
            primary,
        };
        table.adopt(Service::new(open), Duration::ZERO);
        table.extend_lease(TERM, run.length * 2);
        Model {
            run,
            random: ChaCha8Rng::seed_from_u64(run.seed),
            now: Duration::from_secs(1),
            table,
            primary,
            head: 0,
            replicas: vec![
                Replica::new(near, NEAR_TRIP, run.near_lag),
                Replica::new(far, FAR_TRIP, run.far_lag),
            ],
            reads: BTreeMap::new(),
            words: BTreeMap::new(),
            count: 0,
            tally: Tally {
                served: [0; 3],
                stale: 0,
                times: Histogram::new_with_bounds(1, 60_000_000, 3)
                    .unwrap_or_else(|_| unreachable!("the bounds are constant and valid")),
            },
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.write();
        for replica in &mut self.replicas {
            replica.follow(self.now, self.head, &mut self.random);
        }
        self.probe();
        self.listen();
        while let Some(entry) = self.reads.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let read = entry.remove();
            self.read(read);
        }
    }

    fn write(&mut self) {
        if !self
            .random
            .random_bool(self.run.writes * STEP.as_secs_f64())
        {
            return;
        }
        self.head += 1;
        let position = self.at(self.head);
        self.say(self.primary, position, None, FAR_TRIP);
        for _ in 0..self.run.reads {
            let think = exponential(&mut self.random, self.run.think);
            let arrived = self.now + FAR_TRIP + think;
            let read = Read {
                arrived,
                log: self.head,
            };
            self.ask_at(arrived, read);
        }
    }

    fn probe(&mut self) {
        let every = self.run.probe.as_micros() / STEP.as_micros();
        if !(self.now.as_micros() / STEP.as_micros()).is_multiple_of(every) {
            return;
        }
        self.say(
            self.primary,
            self.at(self.head),
            Some(Duration::ZERO),
            FAR_TRIP,
        );
        for index in 0..self.replicas.len() {
            let replica = &self.replicas[index];
            let (server, trip, lag) = (replica.server, replica.trip, replica.lag);
            let position = self.at(replica.applied);
            self.say(server, position, Some(lag), trip);
        }
    }

    fn listen(&mut self) {
        while let Some(entry) = self.words.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let word = entry.remove();
            self.table
                .record_status(word.server, word.status, word.sent, self.now);
        }
    }

    fn read(&mut self, read: Read) {
        let waited = self.now.saturating_sub(read.arrived);
        let need = Need::Position {
            position: self.at(read.log),
            max_age: None,
        };
        let ask = ReadRequest {
            need,
            max_wait: self.run.patience.saturating_sub(waited),
            random_bits: self.random.random(),
        };
        match self.table.read(&ask, self.now) {
            Route::Go { server, part } => {
                let near = server == self.replicas[0].server;
                if !near && waited < self.run.locality {
                    return self.ask_at(self.now + STEP, read);
                }
                self.serve(server, part, read);
            }
            Route::Wait { wait } => self.ask_at(self.now + wait.min(LOOK), read),
            Route::Refuse(_) => self.ask_at(self.now + LOOK, read),
        }
    }

    fn serve(&mut self, server: ServerKey, part: TargetRole, read: Read) {
        let waited = self.now.saturating_sub(read.arrived);
        let place = self
            .replicas
            .iter()
            .position(|known| known.server == server);
        let trip = match (part, place) {
            (TargetRole::Replica, Some(place)) => {
                let replica = &self.replicas[place];
                let (applied, trip) = (replica.applied, replica.trip);
                self.tally.stale += u64::from(applied < read.log);
                self.say(server, self.at(applied), None, trip);
                trip
            }
            _ => FAR_TRIP,
        };
        self.tally.served[place.unwrap_or(2)] += 1;
        let took = (waited + trip).as_micros() as u64;
        self.tally.times.saturating_record(took);
    }

    fn say(
        &mut self,
        server: ServerKey,
        position: Position,
        age: Option<Duration>,
        trip: Duration,
    ) {
        let fresh = age.map(|age| Freshness { term: TERM, age });
        let word = Word {
            server,
            status: Status { position, fresh },
            sent: self.now,
        };
        self.count += 1;
        self.words.insert((self.now + trip, self.count), word);
    }

    fn ask_at(&mut self, when: Duration, read: Read) {
        self.count += 1;
        let when = when.max(self.now + STEP);
        self.reads.insert((when, self.count), read);
    }

    fn at(&self, log: u64) -> Position {
        Position { term: TERM, log }
    }
}

/// A random time with this mean.
fn exponential(random: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let uniform: f64 = random.random();
    mean.mul_f64(-(1.0 - uniform).ln())
}
