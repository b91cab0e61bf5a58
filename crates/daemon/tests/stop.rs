//! How a daemon is told to finish.

use flamingopost_daemon::stop::{Phase, Stop};

#[tokio::test]
async fn all_who_share_it_hear_of_it() {
    let stop = Stop::default();
    let waiting = stop.clone();
    let waiter = tokio::spawn(async move {
        waiting.draining().await;
        let phase = waiting.phase();
        waiting.stopped().await;
        (phase, waiting.phase())
    });
    tokio::task::yield_now().await;
    stop.drain();
    tokio::task::yield_now().await;
    stop.stop();
    let (_, last) = waiter.await.unwrap();
    assert_eq!(last, Phase::Stopped);
}

#[tokio::test]
async fn who_comes_late_does_not_wait() {
    let stop = Stop::default();
    stop.stop();
    stop.draining().await;
    stop.stopped().await;
    stop.drain();
    assert_eq!(stop.phase(), Phase::Stopped);
}
