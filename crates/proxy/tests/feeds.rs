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
    feeds.backends.record_store_answer(at(400));
    let back = async { feeds.cancel_after_outage(at(500)) };
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

/// Guards against needless calls after a restore: a host was told of it before it repeated the call that had
/// failed, and cancelled calls that were made after an answer of the store.
#[tokio::test]
async fn calls_made_after_the_end_of_an_outage_are_not_cancelled() {
    let feeds = Feeds::default();
    feeds.backends.record_store_answer(at(600));
    let back = async { feeds.cancel_after_outage(at(500)) };
    let answered = async {
        tokio::task::yield_now().await;
        7
    };
    let (ended, ()) = tokio::join!(feeds.backends.run_cancellable(answered), back);
    assert_eq!(ended, WaitOutcome::Answered(7));
}

/// Guards against a healthy elector that is paused, and a whole read of the store that is repeated,
/// because a cancellation was stored while no call waited and the feed has caught up since.
#[tokio::test]
async fn a_feed_that_has_caught_up_is_not_cancelled() {
    let feeds = Feeds::default();
    let feed = &feeds.backends;
    feed.record_peer_read(7, at(0));
    feed.check_stuck(StuckDetection::ByPeers, at(400));
    feed.record_read(7, Some(7));
    let ended = feed.run_cancellable(tokio::time::sleep(at(5))).await;
    assert_eq!(ended, WaitOutcome::Answered(()));
}

/// Guards against an elector that is paused for a cancellation from before it was asked, and against
/// one that keeps its followers behind.
#[tokio::test]
async fn only_later_cancellations_concern_a_host_that_is_asked() {
    let feeds = Feeds::default();
    let feed = &feeds.backends;
    feed.record_peer_read(7, at(0));
    feed.check_stuck(StuckDetection::ByPeers, at(400));
    feed.discard_cancellation();
    let ended = feed.run_cancellable(tokio::time::sleep(at(5))).await;
    assert_eq!(ended, WaitOutcome::Answered(()));
    feed.check_stuck(StuckDetection::ByPeers, at(1_200));
    let ended = feed.run_cancellable(pending::<()>()).await;
    assert_eq!(ended, WaitOutcome::Cancelled(CancelReason::Behind));
}
