//! What lets an order go.

use std::time::Duration;

/// From when on a successor may be ordered, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clearance {
    /// The earliest time of the order.
    pub from: Duration,
    /// What shows that no host uses the primary from then on.
    pub basis: Basis,
}

/// What shows that no host uses a primary any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Basis {
    /// all hosts that extend leases have confirmed the end of the term
    AllConfirmed,
    /// most hosts have confirmed the end of the term, and the leases of the others are over
    MajorityConfirmed,
    /// the primary has stepped down
    SteppedDown,
}
