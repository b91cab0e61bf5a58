//! Cancellation of calls that wait for changes.

use std::future::{pending, ready};
use std::time::Duration;

use flamingopost_proxy::feeds::{CancelReason, Feeds, StuckDetection, WaitOutcome};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// In a large fleet a host's call waits long, because other hosts notify it when the call is stuck.
/// When an availability zone is partitioned, the host loses contact with most of them. If the
/// answer to its call is lost as well, it missed changes for up to 26 s. The call has to be
/// repeated once, and to wait only as long as a call that no other host monitors.
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

/// The end of an outage is detected by one call. Other calls made before it may have been lost as
/// well, and servers that left meanwhile stayed in use. Such calls have to be cancelled, and later
/// ones must not be.
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
