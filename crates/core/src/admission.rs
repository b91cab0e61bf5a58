//! Which request runs next on a backend server, and which is refused at once.

pub mod cost;
pub mod limit;
pub mod queue;
pub mod ticket;
pub mod work_rate;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::{ClassKey, CustomerKey};
use crate::refusal::Refusal;
use cost::Costs;
use limit::Limit;
use queue::Queue;
use ticket::Ticket;
use work_rate::WorkRate;

/// Longest queue that is looked through for late requests at every change.
const SHORT_QUEUE: usize = 16;
/// Time between two scans through a longer one.
const SCAN_INTERVAL: Duration = Duration::from_millis(1);
/// Part of the slots that is taken to be left for a class whatever arrives that is heavier.
const MIN_FREE_SHARE: f64 = 0.05;

/// What to do about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send it to the server.
    Start(u64),
    /// Answer it with a refusal, now.
    Refuse(u64, Refusal),
}

/// How a request that was started ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
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
/// use flamingopost_core::admission::{Gate, Admission};
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
/// assert_eq!(gate.arrive(ticket, Duration::ZERO), [Admission::Start(1)]);
/// ```
#[derive(Debug, Clone)]
pub struct Gate {
    limit: Limit,
    costs: Costs,
    /// Work that arrived, by weight.
    arrivals: WorkRate<u32>,
    /// Work that was started, by customer.
    usage: WorkRate<CustomerKey>,
    running: BTreeMap<u64, Running>,
    queue: Queue,
    connections: usize,
    /// The request that is just arriving.
    arriving: Option<u64>,
    /// When a long queue was last looked through for those that are late.
    scanned_at: Duration,
}

impl Gate {
    /// The queue before a server that runs `slots` statements at once.
    pub fn new(slots: u16) -> Gate {
        Gate {
            limit: Limit::new(slots),
            costs: Costs::default(),
            arrivals: WorkRate::default(),
            usage: WorkRate::default(),
            running: BTreeMap::new(),
            queue: Queue::default(),
            connections: usize::MAX,
            arriving: None,
            scanned_at: Duration::ZERO,
        }
    }

    /// The host may have so many connections to the server: no more requests run at once. With
    /// none, whatever waits is refused at once.
    pub fn set_connections(&mut self, connections: u16, now: Duration) -> Vec<Admission> {
        self.connections = usize::from(connections);
        self.advance(now)
    }

    /// A request arrived. Where the answer does not name it, it waits.
    pub fn arrive(&mut self, ticket: Ticket, now: Duration) -> Vec<Admission> {
        let mean = self.costs.mean(ticket.class);
        self.arrivals.add(ticket.weight, mean, now);
        let needed = self.costs.upper_estimate(ticket.class);
        if now + needed > ticket.deadline {
            return vec![Admission::Refuse(
                ticket.id,
                self.deadline_too_short(&ticket, needed, now),
            )];
        }
        let place = self.queue.place(&ticket);
        if place == self.queue.len() && self.is_first_to_shed(&ticket, now) {
            return vec![Admission::Refuse(ticket.id, self.overloaded(now))];
        }
        self.queue.insert(place, ticket);
        self.arriving = Some(ticket.id);
        let decisions = self.advance(now);
        self.arriving = None;
        decisions
    }

    /// A request that must not wait starts: a statement of an open transaction, which holds a
    /// connection and perhaps locks that others wait for.
    pub fn start_now(&mut self, id: u64, class: ClassKey, now: Duration) {
        self.running.insert(
            id,
            Running {
                class,
                started: now,
            },
        );
    }

    /// A request that was started has ended.
    pub fn finish(&mut self, id: u64, end: Completion, now: Duration) -> Vec<Admission> {
        if let Some(running) = self.running.remove(&id) {
            let took = now.saturating_sub(running.started);
            match end {
                Completion::Answered => {
                    let full = self.running.len() + 1 >= self.slots();
                    self.costs.record(running.class, took);
                    self.limit
                        .record(took, self.costs.minimum(running.class), full, now);
                }
                Completion::Failed => self.limit.failed(now),
            }
        }
        self.advance(now)
    }

    /// The caller of a request that waits has gone away.
    pub fn abandon(&mut self, id: u64, now: Duration) -> Vec<Admission> {
        if let Some(place) = self.queue.find(id) {
            self.queue.remove(place);
        }
        self.advance(now)
    }

    /// Time has passed; to be called at [`Gate::deadline`].
    pub fn tick(&mut self, now: Duration) -> Vec<Admission> {
        self.advance(now)
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
        self.backlog(now) / self.parallelism() + self.costs.mean(class)
    }

    /// Looking through a long queue at each arrival and each end would cost more than the requests
    /// themselves; what has become late in it is found a moment later.
    fn advance(&mut self, now: Duration) -> Vec<Admission> {
        let mut decisions = Vec::new();
        let scan_due = self.queue.len() <= SHORT_QUEUE || now >= self.scanned_at + SCAN_INTERVAL;
        if scan_due {
            self.scanned_at = now;
            self.expire(now, &mut decisions);
        }
        self.start(now, &mut decisions);
        if scan_due || self.slots() == 0 {
            self.shed(now, &mut decisions);
        }
        decisions
    }

    fn expire(&mut self, now: Duration, decisions: &mut Vec<Admission>) {
        let mut place = 0;
        while let Some(ticket) = self.queue.get(place).copied() {
            let needed = self.costs.mean(ticket.class);
            if now + needed <= ticket.deadline {
                place += 1;
                continue;
            }
            self.queue.remove(place);
            let refusal = self.deadline_too_short(&ticket, needed, now);
            decisions.push(Admission::Refuse(ticket.id, refusal));
        }
    }

    fn start(&mut self, now: Duration, decisions: &mut Vec<Admission>) {
        while self.running.len() < self.slots() {
            let Some(ticket) = self.queue.remove(0) else {
                return;
            };
            let mean = self.costs.mean(ticket.class);
            if now + mean > ticket.deadline {
                let refusal = self.deadline_too_short(&ticket, mean, now);
                decisions.push(Admission::Refuse(ticket.id, refusal));
                continue;
            }
            self.usage.add(ticket.customer, mean, now);
            self.start_now(ticket.id, ticket.class, now);
            decisions.push(Admission::Start(ticket.id));
        }
    }

    fn shed(&mut self, now: Duration, decisions: &mut Vec<Admission>) {
        while let Some(first_late) = self.first_late(now) {
            let place = self.victim(first_late, now);
            let Some(ticket) = self.queue.remove(place) else {
                return;
            };
            decisions.push(Admission::Refuse(ticket.id, self.overloaded(now)));
        }
    }

    /// Whether `ticket`, which would be last, comes too late behind all that waits and is the
    /// one to go. Most refusals of an overload are of this kind, and need no look at the queue.
    fn is_first_to_shed(&self, ticket: &Ticket, now: Duration) -> bool {
        if self.running.len() < self.slots() {
            return false;
        }
        let ahead = self.running_work(now) + self.queue.work(&self.costs);
        let end =
            now + self.wait(ahead, ticket.weight, now) + self.costs.upper_estimate(ticket.class);
        let own = self.usage_per_share(ticket.customer, ticket.share, now);
        let is_heaviest_user = self.queue.customers().all(|(customer, waiting)| {
            customer == ticket.customer || self.usage_per_share(customer, waiting.share, now) < own
        });
        end > ticket.deadline && is_heaviest_user
    }

    fn usage_per_share(&self, customer: CustomerKey, share: u32, now: Duration) -> f64 {
        self.usage.rate(&customer, now) / f64::from(share.max(1))
    }

    fn overloaded(&self, now: Duration) -> Refusal {
        Refusal::Overloaded {
            retry_after: self.backlog(now) / self.parallelism(),
        }
    }

    /// The first waiting request that would end after its deadline.
    fn first_late(&self, now: Duration) -> Option<usize> {
        if self.slots() == 0 {
            return self.queue.len().checked_sub(1);
        }
        let mut ahead = self.running_work(now);
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
        if self.arriving == Some(ticket.id) {
            self.costs.upper_estimate(ticket.class)
        } else {
            self.costs.mean(ticket.class)
        }
    }

    /// How long a request waits that has `ahead` before it. What is heavier and arrives in the
    /// meantime goes first, so only the rest of the slots works off what is ahead: counted out
    /// now, a request that would be pushed out later is refused when it comes.
    fn wait(&self, ahead: Duration, weight: u32, now: Duration) -> Duration {
        let slots = f64::from(self.parallelism());
        let left = slots - self.arrivals.rate_above(weight, now);
        if ahead.is_zero() {
            return Duration::ZERO;
        }
        if left <= slots * MIN_FREE_SHARE {
            return ahead.mul_f64(1.0 / (slots * MIN_FREE_SHARE));
        }
        ahead.mul_f64(1.0 / left)
    }

    /// Among those up to `late`, the one of least weight; among equals, of the customer that has
    /// used most for its share lately; among those, the one that takes longest; and at last the
    /// one whose deadline is furthest, which has waited least.
    fn victim(&self, first_late: usize, now: Duration) -> usize {
        let value = |ticket: &Ticket| {
            let used = self.usage_per_share(ticket.customer, ticket.share, now);
            (ticket.weight, -used, Reverse(self.costs.mean(ticket.class)))
        };
        let mut lowest = None;
        for (place, ticket) in self.queue.iter().enumerate().take(first_late + 1) {
            let value = value(ticket);
            if lowest.is_none_or(|(lowest, _)| value <= lowest) {
                lowest = Some((value, place));
            }
        }
        lowest.map_or(first_late, |(_, place)| place)
    }

    /// Work left in what runs.
    fn running_work(&self, now: Duration) -> Duration {
        self.running
            .values()
            .map(|running| {
                let spent = now.saturating_sub(running.started);
                self.costs.mean(running.class).saturating_sub(spent)
            })
            .sum()
    }

    fn backlog(&self, now: Duration) -> Duration {
        self.running_work(now) + self.queue.work(&self.costs)
    }

    fn parallelism(&self) -> u32 {
        self.slots().max(1) as u32
    }

    fn deadline_too_short(&self, ticket: &Ticket, needed: Duration, now: Duration) -> Refusal {
        Refusal::DeadlineTooShort {
            needed,
            left: ticket.deadline.saturating_sub(now),
            retry_after: self.backlog(now) / self.parallelism(),
        }
    }
}
