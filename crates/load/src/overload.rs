//! Overload in a model: entry hosts that cannot see each other share one backend server, and
//! arrivals pass what it can do. Runs in no time and gives the same figures for the same seed.

pub mod mix;
pub mod policy;
pub mod server;
pub mod tally;

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::admission::Completion;
use flamingopost_core::admission::ticket::Ticket;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mix::{Kind, Mix};
use policy::{Host, Move, Policy};
use server::Server;
use tally::Tally;

/// One run of the model.
#[derive(Debug, Clone)]
pub struct Run {
    /// What callers send.
    pub mix: Mix,
    /// How hosts treat it.
    pub policy: Policy,
    /// Entry hosts.
    pub hosts: usize,
    /// Statements that the server runs at once.
    pub slots: u16,
    /// Connections that the server accepts.
    pub connections: u16,
    /// Arrivals as a multiple of what the server can do.
    pub load: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// Arrivals before this moment are not counted.
    pub warm_up: Duration,
    /// Time from host to server, one way.
    pub distance: Duration,
    /// Seed of everything random.
    pub seed: u64,
}

/// What happens at a moment.
#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive,
    Reach(u64),
    Done(u64),
    Answer(u64),
    Wake(usize),
}

/// One request.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    host: usize,
    arrived: Duration,
    deadline: Duration,
    cost: Duration,
}

/// The model while it runs.
#[derive(Debug)]
struct Model<'a> {
    run: &'a Run,
    random: ChaCha8Rng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    requests: BTreeMap<u64, Request>,
    hosts: Vec<Host>,
    server: Server,
    tally: Tally,
}

impl Run {
    /// Runs the model to its end.
    pub fn play(&self) -> Tally {
        let hosts = (0..self.hosts)
            .map(|index| Host::new(self, index))
            .collect();
        let mut model = Model {
            run: self,
            random: ChaCha8Rng::seed_from_u64(self.seed),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            count: 0,
            requests: BTreeMap::new(),
            hosts,
            server: Server::new(self.slots),
            tally: Tally::new(self.mix.kinds.len()),
        };
        model.play();
        model.tally
    }

    /// Arrivals a second.
    fn rate(&self) -> f64 {
        self.load * f64::from(self.slots) / self.mix.mean_cost().as_secs_f64()
    }
}

impl Model<'_> {
    fn play(&mut self) {
        self.at(Duration::ZERO, Event::Arrive);
        while let Some(((when, _), event)) = self.events.pop_first() {
            self.now = when;
            match event {
                Event::Arrive => self.arrive(),
                Event::Reach(id) => self.reach(id),
                Event::Done(id) => self.done(id),
                Event::Answer(id) => self.answer(id),
                Event::Wake(host) => self.wake(host),
            }
        }
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.count += 1;
        self.events.insert((when, self.count), event);
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / self.run.rate());
        if self.now + gap < self.run.length {
            self.at(self.now + gap, Event::Arrive);
        }
        self.count += 1;
        let id = self.count;
        let kind = self.run.mix.pick(self.random.random());
        let spec = &self.run.mix.kinds[kind];
        let request = Request {
            kind,
            host: self.random.random_range(0..self.run.hosts),
            arrived: self.now,
            deadline: self.now + spec.deadline,
            cost: spec.cost / 2 + self.exponential(spec.cost.as_secs_f64() / 2.0),
        };
        self.requests.insert(id, request);
        let ticket = self.ticket(id, &request);
        let moves = self.hosts[request.host].arrive(ticket, self.now);
        self.apply(request.host, moves);
    }

    fn ticket(&self, id: u64, request: &Request) -> Ticket {
        let kind: &Kind = &self.run.mix.kinds[request.kind];
        Ticket {
            id,
            class: kind.class,
            weight: kind.weight,
            customer: kind.customer,
            share: 1,
            deadline: request.deadline,
        }
    }

    fn apply(&mut self, host: usize, moves: Vec<Move>) {
        for next in moves {
            match next {
                Move::Send(id) => self.at(self.now + self.run.distance, Event::Reach(id)),
                Move::Refuse(id) => self.refuse(id),
            }
        }
        if let Some(when) = self.hosts[host].deadline() {
            let step = Duration::from_micros(1);
            self.at(when.max(self.now) + step, Event::Wake(host));
        }
    }

    fn reach(&mut self, id: u64) {
        if let Some(id) = self.server.take(id) {
            self.run_on_server(id);
        }
    }

    fn run_on_server(&mut self, id: u64) {
        let cost = self.requests[&id].cost;
        self.at(self.now + cost, Event::Done(id));
    }

    fn done(&mut self, id: u64) {
        if let Some(next) = self.server.finish() {
            self.run_on_server(next);
        }
        self.at(self.now + self.run.distance, Event::Answer(id));
    }

    fn answer(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if self.counts(&request) {
            let took = self.now - request.arrived;
            let in_time = self.now <= request.deadline;
            self.tally.answered(request.kind, took, in_time);
        }
        let moves = self.hosts[request.host].finish(id, Completion::Answered, self.now);
        self.apply(request.host, moves);
    }

    fn refuse(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if self.counts(&request) {
            let took = self.now - request.arrived;
            self.tally.refused(request.kind, took);
        }
    }

    fn wake(&mut self, host: usize) {
        let due = self.hosts[host].deadline();
        if due.is_some_and(|due| due < self.now) {
            let moves = self.hosts[host].tick(self.now);
            self.apply(host, moves);
        }
    }

    fn counts(&self, request: &Request) -> bool {
        request.arrived >= self.run.warm_up
    }

    fn exponential(&mut self, mean_seconds: f64) -> Duration {
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-mean_seconds * (1.0 - uniform).ln())
    }
}
