//! A request that asks to run.

use std::time::Duration;

use crate::key::{ClassKey, CustomerKey};

/// A request as admission sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// Number by which the caller of admission knows it; never used twice at once.
    pub id: u64,
    /// Its class.
    pub class: ClassKey,
    /// The weight of the class: what it is worth to serve it in time.
    pub weight: u32,
    /// Who pays for it.
    pub customer: CustomerKey,
    /// The customer's weight against other customers.
    pub share: u32,
    /// When it has to be answered.
    pub deadline: Duration,
}
