//! Requests that wait, in the order in which they will run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::cost::Costs;
use super::ticket::Ticket;
use crate::key::{ClassKey, CustomerKey};

/// A queue that knows how much of what waits in it without being looked through.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    tickets: VecDeque<Ticket>,
    classes: BTreeMap<ClassKey, u32>,
    customers: BTreeMap<CustomerKey, CustomerQueue>,
}

/// What waits of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerQueue {
    /// The customer's weight.
    pub share: u32,
    /// Requests.
    pub count: u32,
}

impl Queue {
    /// Where `ticket` belongs: the heaviest first, and of these the earliest deadline.
    pub fn place(&self, ticket: &Ticket) -> usize {
        let order = |ticket: &Ticket| (Reverse(ticket.weight), ticket.deadline);
        let own = order(ticket);
        self.tickets.partition_point(|other| order(other) <= own)
    }

    /// Puts `ticket` at `place`.
    pub fn insert(&mut self, place: usize, ticket: Ticket) {
        *self.classes.entry(ticket.class).or_default() += 1;
        let waiting = self
            .customers
            .entry(ticket.customer)
            .or_insert(CustomerQueue {
                share: ticket.share,
                count: 0,
            });
        waiting.count += 1;
        self.tickets.insert(place, ticket);
    }

    /// Takes the ticket at `place` out.
    pub fn remove(&mut self, place: usize) -> Option<Ticket> {
        let ticket = self.tickets.remove(place)?;
        if let Some(count) = self.classes.get_mut(&ticket.class) {
            *count -= 1;
        }
        if let Some(waiting) = self.customers.get_mut(&ticket.customer) {
            waiting.count -= 1;
        }
        Some(ticket)
    }

    /// The place of request `id`.
    pub fn find(&self, id: u64) -> Option<usize> {
        self.tickets.iter().position(|ticket| ticket.id == id)
    }

    /// The ticket at `place`.
    pub fn get(&self, place: usize) -> Option<&Ticket> {
        self.tickets.get(place)
    }

    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Ticket> + '_ {
        self.tickets.iter()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Customers of whom something waits.
    pub fn customers(&self) -> impl Iterator<Item = (CustomerKey, CustomerQueue)> + '_ {
        let waiting = self.customers.iter().map(|(key, waiting)| (*key, *waiting));
        waiting.filter(|(_, waiting)| waiting.count > 0)
    }

    /// What all that waits takes together.
    pub fn work(&self, costs: &Costs) -> Duration {
        self.classes
            .iter()
            .map(|(class, count)| costs.mean(*class) * *count)
            .sum()
    }
}
