//! A request that asks for admission.

use std::time::Duration;

use crate::key::{ClassKey, CustomerKey};

/// A request as admission sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// Identifier chosen by the user of the gate; unique among its current requests.
    pub id: u64,
    /// Its class.
    pub class: ClassKey,
    /// The weight of the class: the value of serving the request in time.
    pub weight: u32,
    /// The customer that pays for it.
    pub customer: CustomerKey,
    /// The customer's weight relative to other customers.
    pub share: u32,
    /// Time by which it has to be answered.
    pub deadline: Duration,
}
