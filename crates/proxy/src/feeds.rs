//! The platform's feeds, as followed by this host.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::feed::Feed;
use flamingopost_core::feed::source::Selector;
use flamingopost_core::key::HostKey;
use tokio::sync::Notify;

use crate::platform::{Backend, Configuration, Peer, Read, Revision};

pub mod client;
pub mod published;
pub mod query;
pub mod server;
pub mod wire;

use client::Client;
use published::Published;

/// The platform's feeds.
#[derive(Debug)]
pub struct Feeds {
    /// The configuration. Its positions are configuration versions.
    pub configuration: Follower,
    /// The list of backend servers. Its positions are revisions.
    pub backends: Follower,
    /// The list of entry hosts. Hosts do not report to each other how far they have read it.
    pub peers: Follower,
    /// The configuration, for hosts that follow this one.
    pub published_configuration: Published<Rc<Configuration>>,
    /// The list of backend servers, for hosts that follow this one.
    pub published_backends: Published<Backend>,
    /// The list of entry hosts, for hosts that follow this one.
    pub published_peers: Published<Peer>,
}

/// Read progress of one feed, and the signals that cancel a call waiting for its changes.
#[derive(Debug)]
pub struct Follower {
    feed: RefCell<Feed>,
    // Each of these cancels the waiting call for the reason of the same name.
    behind: Notify,
    outage: Notify,
    peers_lost: Notify,
    restored: Notify,
    possibly_stale: Notify,
    /// Maximum wait of a call that this host monitors itself.
    wait: Duration,
    /// When the store has last answered a call.
    answered_at: Cell<Duration>,
    /// Who monitors the most recent call.
    stuck_detection: Cell<StuckDetection>,
    /// Chooses where to read the feed.
    pub selector: RefCell<Selector>,
    /// Reads the feed at other hosts.
    pub client: Client,
    /// The host that is being asked, if the feed is read at another host.
    pub asked_host: Cell<Option<HostKey>>,
    /// Where the feed was read last, for the log.
    pub read_at: RefCell<String>,
}

/// Who detects that a feed is stuck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StuckDetection {
    /// This host itself, which also notifies others.
    Local,
    /// Other hosts, which notify this host.
    ByPeers,
}

/// Reason for which a call that waits for changes may never receive one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CancelReason {
    /// other hosts have read newer changes
    Behind,
    /// another call was lost before the platform answered again
    Outage,
    /// the hosts that monitor or deliver the feed are no longer in contact
    PeersLost,
    /// the store was restored from a copy
    Restored,
    /// the last read may have been outdated
    PossiblyStale,
    /// the answer is from before the store was restored
    FormerEpoch,
}

/// Outcome of a call that waits for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome<T> {
    /// The call returned this.
    Answered(T),
    /// The call was cancelled.
    Cancelled(CancelReason),
}

impl Feeds {
    /// Maximum wait of a call for the configuration. Callers rely on each acknowledged version from
    /// 4 s after the end of an outage, the shortest time that the platform's settings allow. A call
    /// that is lost in the last moment of an outage may use up this wait, 1.2 s for its answer and
    /// 0.2 s of backoff. Hosts that rely on others are notified 0.65 s later.
    pub const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_800);

    /// Maximum wait of a call for the list of servers. A leaving server may be used for 7 s after
    /// its announcement, the shortest time that the platform's settings allow.
    pub const BACKENDS_WAIT: Duration = Duration::from_secs(5);

    /// Maximum wait of a call for the list of entry hosts. They change rarely, and the platform's
    /// limit is 30 s.
    pub const PEERS_WAIT: Duration = Duration::from_secs(25);

    /// Cancels all waiting calls after the store was restored from a backup, since they were made
    /// for its previous state, which is not delivered to other hosts any more either: the store is
    /// in `epoch`. Later calls detect the restore by themselves.
    pub fn cancel_after_restore(&self, epoch: Epoch) {
        self.published_configuration.record_epoch(epoch);
        self.published_backends.record_epoch(epoch);
        self.published_peers.record_epoch(epoch);
        for follower in [&self.configuration, &self.backends, &self.peers] {
            follower.restored.notify_waiters();
        }
    }

    /// Cancels the waiting calls after an outage whose last call failed at `last_failed_at`. They were made
    /// before it ended and may wait in vain, because calls and answers are lost together. If the store has
    /// answered a call for a list since then, the next call for it was made after the outage.
    pub fn cancel_after_outage(&self, last_failed_at: Duration) {
        let followers = [&self.configuration, &self.backends, &self.peers];
        for follower in followers
            .into_iter()
            .filter(|it| it.answered_at.get() <= last_failed_at)
        {
            follower.outage.notify_waiters();
        }
    }
}

impl Default for Feeds {
    fn default() -> Feeds {
        Feeds {
            configuration: Follower::new(Feeds::CONFIGURATION_WAIT, Selector::from_any_source()),
            backends: Follower::new(Feeds::BACKENDS_WAIT, Selector::from_any_source()),
            // Other hosts can be asked only once this list was read.
            peers: Follower::new(Feeds::PEERS_WAIT, Selector::default()),
            published_configuration: Published::default(),
            published_backends: Published::default(),
            published_peers: Published::default(),
        }
    }
}

impl Follower {
    /// Creates a follower whose calls wait at most `wait` if no other host detects that they are
    /// stuck.
    fn new(wait: Duration, selector: Selector) -> Follower {
        Follower {
            feed: RefCell::default(),
            behind: Notify::new(),
            outage: Notify::new(),
            peers_lost: Notify::new(),
            restored: Notify::new(),
            possibly_stale: Notify::new(),
            wait,
            answered_at: Cell::default(),
            stuck_detection: Cell::new(StuckDetection::Local),
            selector: RefCell::new(selector),
            client: Client::default(),
            asked_host: Cell::new(None),
            read_at: RefCell::default(),
        }
    }

    /// Records that the store has answered a call at `now`.
    pub fn record_store_answer(&self, now: Duration) {
        self.selector.borrow_mut().record_store_answer();
        self.answered_at.set(now);
    }

    /// Requests another read of the whole list, because the last one may have returned a backup's
    /// state.
    pub fn request_full_read(&self) {
        self.possibly_stale.notify_one();
    }

    /// Returns how long a call made now may wait for a change.
    pub fn max_wait(&self, detection: StuckDetection) -> Duration {
        self.stuck_detection.set(detection);
        match detection {
            StuckDetection::Local => self.wait,
            StuckDetection::ByPeers => StuckDetection::BY_PEERS_WAIT,
        }
    }

    /// Records that everything up to `revision` was read.
    pub fn record_read(&self, revision: u64, newest: Option<u64>) {
        self.feed.borrow_mut().record_read(revision, newest);
    }

    /// Records how far `read` reaches.
    pub fn record<T>(&self, read: &Read<T>) {
        let newest = read.newest.map(|Revision(newest)| newest);
        self.record_read(read.revision.0, newest);
    }

    /// Returns the newest change that was read.
    pub fn newest(&self) -> u64 {
        self.feed.borrow().newest()
    }

    /// Records that another host has read a change at `newest`.
    pub fn record_peer_read(&self, newest: u64, now: Duration) {
        self.feed.borrow_mut().record_peer_read(newest, now);
    }

    /// Reports whether another host has read a change that this one has not.
    pub fn is_behind(&self) -> bool {
        self.feed.borrow().is_behind()
    }

    /// Cancels the waiting call if it is stuck, or if it relies on other hosts that no longer
    /// monitor it.
    pub fn check_stuck(&self, detection: StuckDetection, now: Duration) {
        if (self.stuck_detection.get(), detection)
            == (StuckDetection::ByPeers, StuckDetection::Local)
        {
            self.stuck_detection.set(detection);
            self.peers_lost.notify_waiters();
        }
        let mut feed = self.feed.borrow_mut();
        if feed.is_stuck(now) {
            feed.record_retry(now);
            self.behind.notify_one();
        }
    }

    /// Cancels the call to another host if that host is not among `relays`, the hosts in contact
    /// that may be asked.
    pub fn check_asked_host(&self, relays: &[HostKey]) {
        let is_lost = |host: HostKey| !relays.contains(&host);
        if self.asked_host.get().is_some_and(is_lost) {
            self.peers_lost.notify_waiters();
        }
    }

    /// Discards a cancellation that was meant for an earlier call, so that a host that is asked now
    /// is not considered behind because of it. If the feed is still behind, another one follows.
    pub fn discard_cancellation(&self) {
        let behind = self.behind.notified();
        tokio::pin!(behind);
        behind.as_mut().enable();
    }

    /// Waits until the call is cancelled because the feed is behind. Ignores a cancellation that
    /// was stored while no call waited, if the feed has caught up since.
    async fn cancelled_as_behind(&self) {
        loop {
            self.behind.notified().await;
            if self.is_behind() {
                return;
            }
        }
    }

    /// Returns the result of `call`, unless it is cancelled because it may never return.
    pub async fn run_cancellable<T>(&self, call: impl Future<Output = T>) -> WaitOutcome<T> {
        tokio::select! {
            biased;
            answer = call => WaitOutcome::Answered(answer),
            () = self.cancelled_as_behind() => WaitOutcome::Cancelled(CancelReason::Behind),
            () = self.outage.notified() => WaitOutcome::Cancelled(CancelReason::Outage),
            () = self.peers_lost.notified() => WaitOutcome::Cancelled(CancelReason::PeersLost),
            () = self.restored.notified() => WaitOutcome::Cancelled(CancelReason::Restored),
            () = self.possibly_stale.notified() => WaitOutcome::Cancelled(CancelReason::PossiblyStale),
        }
    }
}

impl StuckDetection {
    /// Maximum wait of a call that other hosts monitor. The platform's limit is 30 s. With 5 s for
    /// all hosts, 65 of them made 3,200 calls a minute, more than all other calls.
    const BY_PEERS_WAIT: Duration = Duration::from_secs(25);
}
