//! Invariants of the program, checked at run time.
//!
//! The checks are always enabled. A violation is counted, and it panics in builds with debug
//! assertions, so that no test can miss it.

use std::sync::atomic::{AtomicU64, Ordering};

/// One invariant. Its text is the label of its counter in the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Invariant {
    /// read_your_writes
    ReadYourWrites,
    /// replaced_primary
    ReplacedPrimary,
    /// mixed_transactions
    MixedTransactions,
    /// whole_answer
    WholeAnswer,
    /// true_refusal
    TrueRefusal,
    /// at_most_once
    AtMostOnce,
    /// no_new_work
    NoNewWork,
    /// graceful_stop
    GracefulStop,
    /// upward_configuration
    UpwardConfiguration,
    /// connection_limit
    ConnectionLimit,
}

impl Invariant {
    /// Every invariant, in the order of their counters.
    pub const ALL: [Invariant; 10] = [
        Invariant::ReadYourWrites,
        Invariant::ReplacedPrimary,
        Invariant::MixedTransactions,
        Invariant::WholeAnswer,
        Invariant::TrueRefusal,
        Invariant::AtMostOnce,
        Invariant::NoNewWork,
        Invariant::GracefulStop,
        Invariant::UpwardConfiguration,
        Invariant::ConnectionLimit,
    ];
}

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Checks that `invariant` holds. `detail` is called only if it does not.
///
/// # Panics
/// Panics in builds with debug assertions if the invariant does not hold.
///
/// ```
/// use flamingopost_core::invariant::{self, Invariant};
///
/// invariant::check(Invariant::AtMostOnce, 1 + 1 == 2, || "sent twice".to_owned());
/// assert_eq!(invariant::violations(Invariant::AtMostOnce), 0);
/// ```
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    if cfg!(debug_assertions) {
        panic!("invariant {invariant} does not hold: {}", detail());
    }
}

/// Returns the number of violations of `invariant` since the process started.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
