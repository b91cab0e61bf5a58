//! Tests of holds on statements.

use std::time::Duration;

use flamingopost_core::dispatch::Hold;

/// Guards against a process that ends by an overflow: a host that searches for an order which it has not
/// heard of holds statements without an end, and was told that an order was given.
#[test]
fn a_hold_without_an_end_is_not_extended() {
    let hold = Hold {
        from: Duration::from_secs(1),
        until: Duration::MAX,
    };
    let (until, min) = (Duration::from_secs(9), Duration::from_millis(200));
    assert_eq!(hold.extended(until, min), None);
}
