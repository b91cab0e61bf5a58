//! Which request runs next on a backend server, and which is refused at once.

pub mod cost;
pub mod flow;
pub mod limit;
pub mod queue;
pub mod ticket;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{ClassKey, CustomerKey};
use crate::refusal::Refusal;
use cost::Costs;
use flow::Flow;
use limit::Limit;
use queue::Queue;
use ticket::Ticket;

/// Longest queue that is looked through for late requests at every change.
const SHORT: usize = 16;
/// Time between two looks through a longer one.
const LOOK: Duration = Duration::from_millis(1);
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
    queue: Queue,
    connections: usize,
    /// The request that is just arriving.
    newest: Option<u64>,
    /// When a long queue was last looked through for those that are late.
    looked: Duration,
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
            queue: Queue::default(),
            connections: usize::MAX,
            newest: None,
            looked: Duration::ZERO,
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
        let place = self.queue.place(&ticket);
        if place == self.queue.len() && self.is_one_too_many(&ticket, now) {
            return vec![Next::Refuse(ticket.id, self.overloaded(now))];
        }
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
        if let Some(place) = self.queue.find(id) {
            self.queue.remove(place);
        }
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

    /// Looking through a long queue at each arrival and each end would cost more than the requests
    /// themselves; what has become late in it is found a moment later.
    fn turn(&mut self, now: Duration) -> Vec<Next> {
        let mut next = Vec::new();
        let looks = self.queue.len() <= SHORT || now >= self.looked + LOOK;
        if looks {
            self.looked = now;
            self.expire(now, &mut next);
        }
        self.start(now, &mut next);
        if looks || self.slots() == 0 {
            self.shed(now, &mut next);
        }
        next
    }

    fn expire(&mut self, now: Duration, next: &mut Vec<Next>) {
        let mut place = 0;
        while let Some(ticket) = self.queue.get(place).copied() {
            let needed = self.costs.mean(ticket.class);
            if now + needed <= ticket.deadline {
                place += 1;
                continue;
            }
            self.queue.remove(place);
            let refusal = self.too_short(&ticket, needed, now);
            next.push(Next::Refuse(ticket.id, refusal));
        }
    }

    fn start(&mut self, now: Duration, next: &mut Vec<Next>) {
        while self.running.len() < self.slots() {
            let Some(ticket) = self.queue.remove(0) else {
                return;
            };
            let mean = self.costs.mean(ticket.class);
            if now + mean > ticket.deadline {
                let refusal = self.too_short(&ticket, mean, now);
                next.push(Next::Refuse(ticket.id, refusal));
                continue;
            }
            self.used.add(ticket.customer, mean, now);
            self.resume(ticket.id, ticket.class, now);
            next.push(Next::Start(ticket.id));
        }
    }

    fn shed(&mut self, now: Duration, next: &mut Vec<Next>) {
        while let Some(late) = self.first_late(now) {
            let place = self.least(late, now);
            let Some(ticket) = self.queue.remove(place) else {
                return;
            };
            next.push(Next::Refuse(ticket.id, self.overloaded(now)));
        }
    }

    /// Whether `ticket`, which would be last, comes too late behind all that waits and is the
    /// one to go. Most refusals of an overload are of this kind, and need no look at the queue.
    fn is_one_too_many(&self, ticket: &Ticket, now: Duration) -> bool {
        if self.running.len() < self.slots() {
            return false;
        }
        let ahead = self.rest(now) + self.queue.work(&self.costs);
        let end = now + self.wait(ahead, ticket.weight, now) + self.costs.safe(ticket.class);
        let own = self.used_for_share(ticket.customer, ticket.share, now);
        let first_to_go = self.queue.customers().all(|(customer, crowd)| {
            customer == ticket.customer || self.used_for_share(customer, crowd.share, now) < own
        });
        end > ticket.deadline && first_to_go
    }

    fn used_for_share(&self, customer: CustomerKey, share: u32, now: Duration) -> f64 {
        self.used.rate(&customer, now) / f64::from(share.max(1))
    }

    fn overloaded(&self, now: Duration) -> Refusal {
        Refusal::Overloaded {
            retry_after: self.backlog(now) / self.divisor(),
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
        let value = |ticket: &Ticket| {
            let used = self.used_for_share(ticket.customer, ticket.share, now);
            (ticket.weight, -used, Reverse(self.costs.mean(ticket.class)))
        };
        let mut least = None;
        for (place, ticket) in self.queue.iter().enumerate().take(late + 1) {
            let value = value(ticket);
            if least.is_none_or(|(least, _)| value <= least) {
                least = Some((value, place));
            }
        }
        least.map_or(late, |(_, place)| place)
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
        self.rest(now) + self.queue.work(&self.costs)
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
