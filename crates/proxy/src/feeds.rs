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
    untold: Notify,
    restored: Notify,
    copied: Notify,
    wait: Duration,
    /// Who looks after the call that was made last.
    patience: Cell<Patience>,
}

/// Who notices that a feed is stuck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// This host, for itself and for those that it tells.
    Own,
    /// Others, who tell this host.
    Told,
}

/// Why a call that waits may wait for nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Doubt {
    /// others have read more
    Behind,
    /// another call was lost before the platform answered again
    Outage,
    /// the hosts that would tell of changes are no longer heard
    Untold,
    /// the store was restored from a copy
    Restored,
    /// what was read then may have been outdated
    Copied,
    /// the answer is of before the store was restored
    Former,
}

/// How a call that waits for changes has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended<T> {
    /// With this.
    Answered(T),
    /// It was given up.
    GivenUp(Doubt),
}

impl Feeds {
    /// How long a call for the configuration may wait. Callers count on each acknowledged version
    /// from 4 s after the end of an outage on, the shortest time that the platform's settings give.
    /// A call that is lost in an outage's last moment may use up this wait, 1.2 s for its answer
    /// and 0.2 s of pause; where others are told, they know 0.65 s later.
    pub const CONFIGURATION: Duration = Duration::from_millis(1_800);

    /// How long a call for the list of servers may wait: a server that leaves may be used for 7 s
    /// after it said so, the shortest time that the platform's settings give.
    pub const BACKENDS: Duration = Duration::from_secs(5);

    /// How long a call for the list of entry hosts may wait: they change rarely, and the platform's
    /// limit is 30 s.
    pub const PEERS: Duration = Duration::from_secs(25);

    /// The store was restored from a copy: calls that wait were made for what it had before. Those
    /// that are made next find out by themselves.
    pub fn restored(&self) {
        for follower in [&self.configuration, &self.backends, &self.peers] {
            follower.restored.notify_waiters();
        }
    }

    /// The platform answers again after a call was lost. What waits was asked before, and may wait
    /// for nothing: lost calls and answers come together.
    pub fn ask_again(&self) {
        for follower in [&self.configuration, &self.backends, &self.peers] {
            follower.outage.notify_waiters();
        }
    }
}

impl Default for Feeds {
    fn default() -> Feeds {
        Feeds {
            configuration: Follower::new(Feeds::CONFIGURATION),
            backends: Follower::new(Feeds::BACKENDS),
            peers: Follower::new(Feeds::PEERS),
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
            untold: Notify::new(),
            restored: Notify::new(),
            copied: Notify::new(),
            wait,
            patience: Cell::new(Patience::Own),
        }
    }

    /// What was read may be that of a copy: all of it is read once more.
    pub fn read_again(&self) {
        self.copied.notify_one();
    }

    /// How long a call that is made now may wait for a change.
    pub fn wait(&self, patience: Patience) -> Duration {
        self.patience.set(patience);
        match patience {
            Patience::Own => self.wait,
            Patience::Told => Patience::TOLD,
        }
    }

    /// Everything up to `revision` was read.
    pub fn read(&self, revision: u64, newest: Option<u64>) {
        self.feed.borrow_mut().record_read(revision, newest);
    }

    /// Takes in how far `read` goes.
    pub fn took<T>(&self, read: &Read<T>) {
        let newest = read.newest.map(|Revision(newest)| newest);
        self.read(read.revision.0, newest);
    }

    /// The newest change that was read.
    pub fn newest(&self) -> u64 {
        self.feed.borrow().newest()
    }

    /// Another host has read a change at `newest`.
    pub fn told(&self, newest: u64, now: Duration) {
        self.feed.borrow_mut().record_peer_read(newest, now);
    }

    /// Whether another host has read a change that this one has not.
    pub fn is_behind(&self) -> bool {
        self.feed.borrow().is_behind()
    }

    /// Has the call that waits given up if it is stuck, or if it was made while others would have
    /// told that, and they no longer can.
    pub fn look(&self, patience: Patience, now: Duration) {
        if (self.patience.get(), patience) == (Patience::Told, Patience::Own) {
            self.patience.set(patience);
            self.untold.notify_waiters();
        }
        let mut feed = self.feed.borrow_mut();
        if feed.is_stuck(now) {
            feed.record_retry(now);
            self.behind.notify_one();
        }
    }

    /// What `call` gives, unless there is a doubt whether it ever gives anything.
    pub async fn unless_in_doubt<T>(&self, call: impl Future<Output = T>) -> Ended<T> {
        tokio::select! {
            biased;
            answer = call => Ended::Answered(answer),
            () = self.behind.notified() => Ended::GivenUp(Doubt::Behind),
            () = self.outage.notified() => Ended::GivenUp(Doubt::Outage),
            () = self.untold.notified() => Ended::GivenUp(Doubt::Untold),
            () = self.restored.notified() => Ended::GivenUp(Doubt::Restored),
            () = self.copied.notified() => Ended::GivenUp(Doubt::Copied),
        }
    }
}

impl Patience {
    /// How long a call may wait whose host is told when it is stuck: the platform's limit is 30 s.
    /// With 5 s for all, 65 hosts made 3,200 calls a minute, more than any other call.
    const TOLD: Duration = Duration::from_secs(25);
}
