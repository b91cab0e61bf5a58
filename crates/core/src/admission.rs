//! Which request runs next on a backend server, and which is refused at once.

pub mod cost;
pub mod flow;
pub mod limit;
pub mod ticket;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{ClassKey, CustomerKey};
use crate::refusal::Refusal;
use cost::Costs;
use flow::Flow;
use limit::Limit;
use ticket::Ticket;

/// Part of the slots that is taken to be left for a class whatever arrives that is heavier.
const LEAST_LEFT: f64 = 0.05;

/// What to do about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Send it to the server.
    Start(u64),
    /// Answer it with a refusal, now.
    Refuse(u64, Refusal),
}

/// How a request that was started ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The server answered.
    Answered,
    /// It did not: the time says nothing about the server's speed.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Running {
    class: ClassKey,
    started: Duration,
}

/// One entry host's queue before one backend server.
///
/// The heaviest class goes first, and within it the earliest deadline. Whenever what waits can no
/// longer all be done in time, the least weighty of those in the way is refused at once, until
/// the rest can.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::admission::{Gate, Next};
/// use flamingopost_core::admission::ticket::Ticket;
/// use flamingopost_core::directory::Directory;
///
/// let mut directory = Directory::default();
/// let mut gate = Gate::new(2);
/// let ticket = Ticket {
///     id: 1,
///     class: directory.classes.intern("bid"),
///     weight: 10,
///     customer: directory.customers.intern("tesfa"),
///     share: 1,
///     deadline: Duration::from_millis(200),
/// };
/// assert_eq!(gate.arrive(ticket, Duration::ZERO), [Next::Start(1)]);
/// ```
#[derive(Debug, Clone)]
pub struct Gate {
    limit: Limit,
    costs: Costs,
    /// Work that arrived, by weight.
    arrived: Flow<u32>,
    /// Work that was started, by customer.
    used: Flow<CustomerKey>,
    running: BTreeMap<u64, Running>,
    queue: Vec<Ticket>,
    connections: usize,
    /// The request that is just arriving.
    newest: Option<u64>,
}

impl Gate {
    /// The queue before a server that runs `slots` statements at once.
    pub fn new(slots: u16) -> Gate {
        Gate {
            limit: Limit::new(slots),
            costs: Costs::default(),
            arrived: Flow::default(),
            used: Flow::default(),
            running: BTreeMap::new(),
            queue: Vec::new(),
            connections: usize::MAX,
            newest: None,
        }
    }

    /// The host may have so many connections to the server: no more requests run at once. With
    /// none, whatever waits is refused at once.
    pub fn allow(&mut self, connections: u16, now: Duration) -> Vec<Next> {
        self.connections = usize::from(connections);
        self.turn(now)
    }

    /// A request arrived. Where the answer does not name it, it waits.
    pub fn arrive(&mut self, ticket: Ticket, now: Duration) -> Vec<Next> {
        let mean = self.costs.mean(ticket.class);
        self.arrived.add(ticket.weight, mean, now);
        let needed = self.costs.safe(ticket.class);
        if now + needed > ticket.deadline {
            return vec![Next::Refuse(
                ticket.id,
                self.too_short(&ticket, needed, now),
            )];
        }
        let place = self.queue.partition_point(|other| {
            (std::cmp::Reverse(other.weight), other.deadline)
                <= (std::cmp::Reverse(ticket.weight), ticket.deadline)
        });
        self.queue.insert(place, ticket);
        self.newest = Some(ticket.id);
        let next = self.turn(now);
        self.newest = None;
        next
    }

    /// A request that must not wait starts: a statement of an open transaction, which holds a
    /// connection and perhaps locks that others wait for.
    pub fn resume(&mut self, id: u64, class: ClassKey, now: Duration) {
        self.running.insert(
            id,
            Running {
                class,
                started: now,
            },
        );
    }

    /// A request that was started has ended.
    pub fn finish(&mut self, id: u64, end: End, now: Duration) -> Vec<Next> {
        if let Some(running) = self.running.remove(&id) {
            let took = now.saturating_sub(running.started);
            match end {
                End::Answered => {
                    let full = self.running.len() + 1 >= self.slots();
                    self.costs.record(running.class, took);
                    self.limit
                        .record(took, self.costs.least(running.class), full, now);
                }
                End::Failed => self.limit.failed(now),
            }
        }
        self.turn(now)
    }

    /// The caller of a request that waits has gone away.
    pub fn abandon(&mut self, id: u64, now: Duration) -> Vec<Next> {
        self.queue.retain(|ticket| ticket.id != id);
        self.turn(now)
    }

    /// Time has passed; to be called at [`Gate::deadline`].
    pub fn tick(&mut self, now: Duration) -> Vec<Next> {
        self.turn(now)
    }

    /// When the first of the waiting requests can no longer be done in time.
    pub fn deadline(&self) -> Option<Duration> {
        self.queue
            .iter()
            .map(|ticket| {
                ticket
                    .deadline
                    .saturating_sub(self.costs.mean(ticket.class))
            })
            .min()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many may run at once at the moment.
    pub fn slots(&self) -> usize {
        self.limit.slots().min(self.connections)
    }

    /// Connections there would be use for.
    pub fn demand(&self) -> u16 {
        let demand = self.running.len() + self.queue.len().min(self.limit.slots());
        u16::try_from(demand).unwrap_or(u16::MAX)
    }

    /// When a request that arrives now should have ended.
    pub fn expected(&self, class: ClassKey, now: Duration) -> Duration {
        self.backlog(now) / self.divisor() + self.costs.mean(class)
    }

    fn turn(&mut self, now: Duration) -> Vec<Next> {
        let mut next = Vec::new();
        self.expire(now, &mut next);
        self.start(now, &mut next);
        self.shed(now, &mut next);
        next
    }

    fn expire(&mut self, now: Duration, next: &mut Vec<Next>) {
        let (kept, late): (Vec<Ticket>, Vec<Ticket>) = self
            .queue
            .drain(..)
            .partition(|ticket| now + self.costs.mean(ticket.class) <= ticket.deadline);
        self.queue = kept;
        for ticket in late {
            let needed = self.costs.mean(ticket.class);
            next.push(Next::Refuse(
                ticket.id,
                self.too_short(&ticket, needed, now),
            ));
        }
    }

    fn start(&mut self, now: Duration, next: &mut Vec<Next>) {
        while self.running.len() < self.slots() && !self.queue.is_empty() {
            let ticket = self.queue.remove(0);
            let mean = self.costs.mean(ticket.class);
            self.used.add(ticket.customer, mean, now);
            self.resume(ticket.id, ticket.class, now);
            next.push(Next::Start(ticket.id));
        }
    }

    fn shed(&mut self, now: Duration, next: &mut Vec<Next>) {
        while let Some(late) = self.first_late(now) {
            let index = self.least(late, now);
            let ticket = self.queue.remove(index);
            let retry_after = self.backlog(now) / self.divisor();
            next.push(Next::Refuse(ticket.id, Refusal::Overloaded { retry_after }));
        }
    }

    /// The first waiting request that would end after its deadline.
    fn first_late(&self, now: Duration) -> Option<usize> {
        if self.slots() == 0 {
            return self.queue.len().checked_sub(1);
        }
        let mut ahead = self.rest(now);
        for (index, ticket) in self.queue.iter().enumerate() {
            let wait = self.wait(ahead, ticket.weight, now);
            if now + wait + self.margin(ticket) > ticket.deadline {
                return Some(index);
            }
            ahead += self.costs.mean(ticket.class);
        }
        None
    }

    /// Time that has to be left for `ticket` after its wait. One that has just come has to fit
    /// with room to spare; with one that already waits, an estimate that wavers must not be
    /// enough to give it up.
    fn margin(&self, ticket: &Ticket) -> Duration {
        if self.newest == Some(ticket.id) {
            self.costs.safe(ticket.class)
        } else {
            self.costs.mean(ticket.class)
        }
    }

    /// How long a request waits that has `ahead` before it. What is heavier and arrives in the
    /// meantime goes first, so only the rest of the slots works off what is ahead: counted out
    /// now, a request that would be pushed out later is refused when it comes.
    fn wait(&self, ahead: Duration, weight: u32, now: Duration) -> Duration {
        let slots = f64::from(self.divisor());
        let left = slots - self.arrived.above(weight, now);
        if ahead.is_zero() {
            return Duration::ZERO;
        }
        if left <= slots * LEAST_LEFT {
            return ahead.mul_f64(1.0 / (slots * LEAST_LEFT));
        }
        ahead.mul_f64(1.0 / left)
    }

    /// Among those up to `late`, the one of least weight; among equals, of the customer that has
    /// used most for its share lately; among those, the one that takes longest; and at last the
    /// one whose deadline is furthest, which has waited least.
    fn least(&self, late: usize, now: Duration) -> usize {
        let value = |index: usize| {
            let ticket = &self.queue[index];
            let used = self.used.rate(&ticket.customer, now) / f64::from(ticket.share.max(1));
            let cost = self.costs.mean(ticket.class);
            (ticket.weight, -used, std::cmp::Reverse(cost))
        };
        (0..=late)
            .rev()
            .map(|index| (value(index), index))
            .min_by(|(one, _), (other, _)| {
                one.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal)
            })
            .map_or(late, |(_, index)| index)
    }

    /// Work left in what runs.
    fn rest(&self, now: Duration) -> Duration {
        self.running
            .values()
            .map(|running| {
                let spent = now.saturating_sub(running.started);
                self.costs.mean(running.class).saturating_sub(spent)
            })
            .sum()
    }

    fn backlog(&self, now: Duration) -> Duration {
        let waiting = self
            .queue
            .iter()
            .map(|ticket| self.costs.mean(ticket.class));
        self.rest(now) + waiting.sum::<Duration>()
    }

    fn divisor(&self) -> u32 {
        self.slots().max(1) as u32
    }

    fn too_short(&self, ticket: &Ticket, needed: Duration, now: Duration) -> Refusal {
        Refusal::DeadlineTooShort {
            needed,
            left: ticket.deadline.saturating_sub(now),
            retry_after: self.backlog(now) / self.divisor(),
        }
    }
}
