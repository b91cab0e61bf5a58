//! The queue of waiting requests, in the order in which they will run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::cost::Costs;
use super::ticket::Ticket;
use crate::key::{ClassKey, CustomerKey};

/// A queue that counts its requests by class and customer, so that totals need no scan.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    tickets: VecDeque<Ticket>,
    classes: BTreeMap<ClassKey, u32>,
    customers: BTreeMap<CustomerKey, CustomerQueue>,
}

/// The waiting requests of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerQueue {
    /// The customer's weight.
    pub share: u32,
    /// Number of waiting requests.
    pub count: u32,
}

impl Queue {
    /// Returns the index at which `ticket` belongs: the greatest weight first, and among equals the
    /// earliest deadline.
    pub fn place(&self, ticket: &Ticket) -> usize {
        let order = |ticket: &Ticket| (Reverse(ticket.weight), ticket.deadline);
        let own = order(ticket);
        self.tickets.partition_point(|other| order(other) <= own)
    }

    /// Inserts `ticket` at index `place`.
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

    /// Removes and returns the ticket at index `place`.
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

    /// Returns the index of the request `id`.
    pub fn find(&self, id: u64) -> Option<usize> {
        self.tickets.iter().position(|ticket| ticket.id == id)
    }

    /// Returns the ticket at index `place`.
    pub fn get(&self, place: usize) -> Option<&Ticket> {
        self.tickets.get(place)
    }

    /// Iterates over all tickets in order.
    pub fn iter(&self) -> impl Iterator<Item = &Ticket> + '_ {
        self.tickets.iter()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Iterates over the customers that have waiting requests.
    pub fn customers(&self) -> impl Iterator<Item = (CustomerKey, CustomerQueue)> + '_ {
        let waiting = self.customers.iter().map(|(key, waiting)| (*key, *waiting));
        waiting.filter(|(_, waiting)| waiting.count > 0)
    }

    /// Returns the expected service time of all waiting requests together.
    pub fn work(&self, costs: &Costs) -> Duration {
        self.classes
            .iter()
            .map(|(class, count)| costs.mean(*class) * *count)
            .sum()
    }
}
