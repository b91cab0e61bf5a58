//! Whether a session waits for the hosts that serve its service.

use std::time::Duration;

use flamingopost_core::serving_contact::{Next, ServingContact};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against hosts that use up the connections of a full server for their own callers because
/// the process of a serving host starts some hundred milliseconds after theirs.
#[test]
fn a_session_waits_for_a_serving_host_that_is_starting() {
    let mut contact = ServingContact::default();
    let mut now = ms(1_000);
    while now < ms(1_450) {
        let Next::RetryAfter(pause) = contact.record_failure(now) else {
            panic!("served here {now:?} after a start at 1 s");
        };
        now += pause;
    }
    contact.record_success();
    assert!(matches!(
        contact.record_failure(ms(9_000)),
        Next::RetryAfter(_)
    ));
}

/// Guards against each new session waiting while the serving hosts of a zone are lost for long.
#[test]
fn a_lost_serving_host_is_waited_for_once() {
    let mut contact = ServingContact::default();
    contact.record_failure(ms(1_000));
    assert_eq!(contact.record_failure(ms(1_500)), Next::ServeHere);
    assert_eq!(contact.record_failure(ms(7_000)), Next::ServeHere);
}
