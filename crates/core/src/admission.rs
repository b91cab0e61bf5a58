//! Admission control: which request runs next on a backend server, and which is refused at once.

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

/// Longest queue that is scanned for late requests at every change, in requests.
const SHORT_QUEUE: usize = 16;
/// Time between two scans of a longer queue.
const SCAN_INTERVAL: Duration = Duration::from_millis(1);
/// Fraction of the slots that is assumed to be left for a class, however much work of greater
/// weight arrives.
const MIN_FREE_SHARE: f64 = 0.05;

/// The decision about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send the request to the server.
    Start(u64),
    /// Refuse the request now.
    Refuse(u64, Refusal),
}

/// How a request that was started ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The server answered.
    Answered,
    /// The server did not answer, so the elapsed time does not measure its latency.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Running {
    class: ClassKey,
    started: Duration,
}

/// The admission queue of one entry host for one backend server.
///
/// Requests of the greatest weight go first, and among these the earliest deadline. When the
/// waiting requests can no longer all meet their deadlines, the one of least weight among those
/// ahead of the late one is refused at once, until the others can.
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
    /// Rate of arriving work, by weight.
    arrivals: WorkRate<u32>,
    /// Rate of started work, by customer.
    usage: WorkRate<CustomerKey>,
    running: BTreeMap<u64, Running>,
    queue: Queue,
    connections: usize,
    /// The request whose arrival is being handled.
    arriving: Option<u64>,
    /// Time of the last scan for late requests.
    scanned_at: Duration,
}

impl Gate {
    /// Returns an empty queue for a server that runs `slots` statements at once.
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

    /// Sets the number of connections that the host may have to the server, which bounds the number
    /// of running requests. Without connections, all waiting requests are refused at once.
    pub fn set_connections(&mut self, connections: u16, now: Duration) -> Vec<Admission> {
        self.connections = usize::from(connections);
        self.advance(now)
    }

    /// Adds an arriving request. If the returned decisions do not name it, it waits.
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

    /// Starts a request that must not wait: a statement of an open transaction, which has a
    /// connection and possibly locks that others wait for.
    pub fn start_now(&mut self, id: u64, class: ClassKey, now: Duration) {
        self.running.insert(
            id,
            Running {
                class,
                started: now,
            },
        );
    }

    /// Records the end of a request that was started.
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

    /// Removes a waiting request whose caller has gone.
    pub fn abandon(&mut self, id: u64, now: Duration) -> Vec<Admission> {
        if let Some(place) = self.queue.find(id) {
            self.queue.remove(place);
        }
        self.advance(now)
    }

    /// Advances the time. Has to be called at [`Gate::deadline`].
    pub fn tick(&mut self, now: Duration) -> Vec<Admission> {
        self.advance(now)
    }

    /// Returns the earliest time at which a waiting request can no longer meet its deadline.
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

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that may currently run at once.
    pub fn slots(&self) -> usize {
        self.limit.slots().min(self.connections)
    }

    /// Returns the number of connections that the host could use.
    pub fn demand(&self) -> u16 {
        let demand = self.running.len() + self.queue.len().min(self.limit.slots());
        u16::try_from(demand).unwrap_or(u16::MAX)
    }

    /// Returns the expected time until a request that arrives now has ended.
    pub fn expected(&self, class: ClassKey, now: Duration) -> Duration {
        self.backlog(now) / self.parallelism() + self.costs.mean(class)
    }

    /// Applies the passage of time: refuses late requests, starts others and sheds load.
    ///
    /// Scanning a long queue at each arrival and each end would cost more than the requests
    /// themselves, so its late requests are found up to [`SCAN_INTERVAL`] later.
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

    /// Refuses the waiting requests that can no longer meet their deadlines, even if started now.
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

    /// Starts waiting requests while there are free slots.
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

    /// Refuses requests of least weight until all that wait can meet their deadlines.
    fn shed(&mut self, now: Duration, decisions: &mut Vec<Admission>) {
        while let Some(first_late) = self.first_late(now) {
            let place = self.victim(first_late, now);
            let Some(ticket) = self.queue.remove(place) else {
                return;
            };
            decisions.push(Admission::Refuse(ticket.id, self.overloaded(now)));
        }
    }

    /// Returns whether `ticket`, which would be last in the queue, would miss its deadline and be
    /// the one to refuse. Most refusals under overload are of this kind and need no scan.
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

    /// Returns the recent usage of a customer, relative to its share.
    fn usage_per_share(&self, customer: CustomerKey, share: u32, now: Duration) -> f64 {
        self.usage.rate(&customer, now) / f64::from(share.max(1))
    }

    fn overloaded(&self, now: Duration) -> Refusal {
        Refusal::Overloaded {
            retry_after: self.backlog(now) / self.parallelism(),
        }
    }

    /// Returns the first waiting request that would end after its deadline.
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

    /// Returns the time that has to be left for `ticket` after its wait.
    ///
    /// An arriving request has to fit with a safety margin. A request that already waits must not
    /// be refused just because an estimate fluctuates.
    fn margin(&self, ticket: &Ticket) -> Duration {
        if self.arriving == Some(ticket.id) {
            self.costs.upper_estimate(ticket.class)
        } else {
            self.costs.mean(ticket.class)
        }
    }

    /// Returns how long a request waits that has the work `ahead` before it.
    ///
    /// Requests of greater weight that arrive meanwhile go first, so only the remaining slots work
    /// on what is ahead. Counting them now refuses a request on arrival that would otherwise be
    /// displaced later.
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

    /// Returns the request to refuse among those up to `first_late`: the one of least weight; among
    /// equals, of the customer with the greatest recent usage for its share; among these, the one
    /// that takes longest; and finally the one with the latest deadline, which has waited least.
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

    /// Returns the expected work left in the running requests.
    fn running_work(&self, now: Duration) -> Duration {
        self.running
            .values()
            .map(|running| {
                let spent = now.saturating_sub(running.started);
                self.costs.mean(running.class).saturating_sub(spent)
            })
            .sum()
    }

    /// Returns the expected work of all running and waiting requests.
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
