//! Shutdown phases of a daemon.

use flamingopost_daemon::stop::{Phase, Stop};

#[tokio::test]
async fn clones_observe_every_phase() {
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
async fn late_waiters_return_immediately() {
    let stop = Stop::default();
    stop.stop();
    stop.draining().await;
    stop.stopped().await;
    stop.drain();
    assert_eq!(stop.phase(), Phase::Stopped);
}
