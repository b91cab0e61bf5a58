//! The platform's feeds, as this host follows them.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::time::Duration;

use flamingopost_core::feed::Feed;
use tokio::sync::Notify;

use crate::platform::{Read, Revision};

/// How far the platform's feeds have been read.
#[derive(Debug)]
pub struct Feeds {
    /// The configuration; numbers are its versions.
    pub configuration: Follower,
    /// The list of backend servers; numbers are places in the platform's history.
    pub backends: Follower,
    /// The list of entry hosts; nobody is told how far it has been read.
    pub peers: Follower,
}

/// One feed.
#[derive(Debug)]
pub struct Follower {
    feed: RefCell<Feed>,
    behind: Notify,
    outage: Notify,
    peers_lost: Notify,
    restored: Notify,
    possibly_stale: Notify,
    wait: Duration,
    /// Who looks after the call that was made last.
    stuck_detection: Cell<StuckDetection>,
}

/// Who notices that a feed is stuck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StuckDetection {
    /// This host, for itself and for those that it tells.
    Local,
    /// Others, who tell this host.
    ByPeers,
}

/// Why a call that waits may wait for nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CancelReason {
    /// others have read more
    Behind,
    /// another call was lost before the platform answered again
    Outage,
    /// the hosts that would tell of changes are no longer heard
    PeersLost,
    /// the store was restored from a copy
    Restored,
    /// what was read then may have been outdated
    PossiblyStale,
    /// the answer is of before the store was restored
    FormerEpoch,
}

/// How a call that waits for changes has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome<T> {
    /// With this.
    Answered(T),
    /// It was given up.
    Cancelled(CancelReason),
}

impl Feeds {
    /// How long a call for the configuration may wait. Callers count on each acknowledged version
    /// from 4 s after the end of an outage on, the shortest time that the platform's settings give.
    /// A call that is lost in an outage's last moment may use up this wait, 1.2 s for its answer
    /// and 0.2 s of pause; where others are told, they know 0.65 s later.
    pub const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_800);

    /// How long a call for the list of servers may wait: a server that leaves may be used for 7 s
    /// after it said so, the shortest time that the platform's settings give.
    pub const BACKENDS_WAIT: Duration = Duration::from_secs(5);

    /// How long a call for the list of entry hosts may wait: they change rarely, and the platform's
    /// limit is 30 s.
    pub const PEERS_WAIT: Duration = Duration::from_secs(25);

    /// The store was restored from a copy: calls that wait were made for what it had before. Those
    /// that are made next find out by themselves.
    pub fn cancel_after_restore(&self) {
        for follower in [&self.configuration, &self.backends, &self.peers] {
            follower.restored.notify_waiters();
        }
    }

    /// The platform answers again after a call was lost. What waits was asked before, and may wait
    /// for nothing: lost calls and answers come together.
    pub fn cancel_after_outage(&self) {
        for follower in [&self.configuration, &self.backends, &self.peers] {
            follower.outage.notify_waiters();
        }
    }
}

impl Default for Feeds {
    fn default() -> Feeds {
        Feeds {
            configuration: Follower::new(Feeds::CONFIGURATION_WAIT),
            backends: Follower::new(Feeds::BACKENDS_WAIT),
            peers: Follower::new(Feeds::PEERS_WAIT),
        }
    }
}

impl Follower {
    /// One whose calls wait at most `wait` where nobody else notices that they are stuck.
    fn new(wait: Duration) -> Follower {
        Follower {
            feed: RefCell::default(),
            behind: Notify::new(),
            outage: Notify::new(),
            peers_lost: Notify::new(),
            restored: Notify::new(),
            possibly_stale: Notify::new(),
            wait,
            stuck_detection: Cell::new(StuckDetection::Local),
        }
    }

    /// What was read may be that of a copy: all of it is read once more.
    pub fn request_full_read(&self) {
        self.possibly_stale.notify_one();
    }

    /// How long a call that is made now may wait for a change.
    pub fn max_wait(&self, detection: StuckDetection) -> Duration {
        self.stuck_detection.set(detection);
        match detection {
            StuckDetection::Local => self.wait,
            StuckDetection::ByPeers => StuckDetection::BY_PEERS_WAIT,
        }
    }

    /// Everything up to `revision` was read.
    pub fn record_read(&self, revision: u64, newest: Option<u64>) {
        self.feed.borrow_mut().read(revision, newest);
    }

    /// Takes in how far `read` goes.
    pub fn record<T>(&self, read: &Read<T>) {
        let newest = read.newest.map(|Revision(newest)| newest);
        self.record_read(read.revision.0, newest);
    }

    /// The newest change that was read.
    pub fn newest(&self) -> u64 {
        self.feed.borrow().newest()
    }

    /// Another host has read a change at `newest`.
    pub fn record_peer_read(&self, newest: u64, now: Duration) {
        self.feed.borrow_mut().record_peer_read(newest, now);
    }

    /// Whether another host has read a change that this one has not.
    pub fn is_behind(&self) -> bool {
        self.feed.borrow().is_behind()
    }

    /// Has the call that waits given up if it is stuck, or if it was made while others would have
    /// told that, and they no longer can.
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

    /// What `call` gives, unless there is a doubt whether it ever gives anything.
    pub async fn run_cancellable<T>(&self, call: impl Future<Output = T>) -> WaitOutcome<T> {
        tokio::select! {
            biased;
            answer = call => WaitOutcome::Answered(answer),
            () = self.behind.notified() => WaitOutcome::Cancelled(CancelReason::Behind),
            () = self.outage.notified() => WaitOutcome::Cancelled(CancelReason::Outage),
            () = self.peers_lost.notified() => WaitOutcome::Cancelled(CancelReason::PeersLost),
            () = self.restored.notified() => WaitOutcome::Cancelled(CancelReason::Restored),
            () = self.possibly_stale.notified() => WaitOutcome::Cancelled(CancelReason::PossiblyStale),
        }
    }
}

impl StuckDetection {
    /// How long a call may wait whose host is told when it is stuck: the platform's limit is 30 s.
    /// With 5 s for all, 65 hosts made 3,200 calls a minute, more than any other call.
    const BY_PEERS_WAIT: Duration = Duration::from_secs(25);
}
