//! When a call that waits for changes is given up.

use std::future::{pending, ready};
use std::time::Duration;

use flamingopost_proxy::feeds::{CancelReason, Feeds, StuckDetection, WaitOutcome};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A host of a large fleet waits long, as others tell it when its call is stuck. An availability
/// zone is cut off, it reads_change_at most of those no longer, and the answer to its call is lost: changes
/// were missed for the rest of 26 s. Now the call is made anew, once, and waits as long as one that
/// nobody else looks after.
#[tokio::test]
async fn a_call_is_cancelled_when_no_peer_monitors_it_any_more() {
    let feeds = Feeds::default();
    let feed = &feeds.configuration;
    assert!(feed.max_wait(StuckDetection::ByPeers) > at(20_000));
    let cut = async {
        feed.check_stuck(StuckDetection::ByPeers, at(500));
        tokio::task::yield_now().await;
        feed.check_stuck(StuckDetection::Local, at(1_000));
    };
    let (ended, ()) = tokio::join!(feed.run_cancellable(pending::<()>()), cut);
    assert_eq!(ended, WaitOutcome::Cancelled(CancelReason::PeersLost));
    assert_eq!(
        feed.max_wait(StuckDetection::Local),
        Feeds::CONFIGURATION_WAIT
    );
    let look = async { feed.check_stuck(StuckDetection::Local, at(1_250)) };
    let (ended, ()) = tokio::join!(feed.run_cancellable(tokio::time::sleep(at(5))), look);
    assert_eq!(ended, WaitOutcome::Answered(()));
}

/// The store comes back after an outage, which one call shows. The others, made before, may have
/// been lost as well, and servers that left meanwhile were used on. They are given up; calls that
/// are made later are not.
#[tokio::test]
async fn calls_from_before_the_end_of_an_outage_are_cancelled() {
    let feeds = Feeds::default();
    let back = async { feeds.cancel_after_outage() };
    let (backends, peers, ()) = tokio::join!(
        feeds.backends.run_cancellable(pending::<()>()),
        feeds.peers.run_cancellable(pending::<()>()),
        back
    );
    assert_eq!(backends, WaitOutcome::Cancelled(CancelReason::Outage));
    assert_eq!(peers, WaitOutcome::Cancelled(CancelReason::Outage));
    let later = feeds.backends.run_cancellable(ready(7)).await;
    assert_eq!(later, WaitOutcome::Answered(7));
}
