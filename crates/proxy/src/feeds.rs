//! The platform's feeds, as this host follows them.

use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use flamingopost_core::feed::Feed;
use tokio::sync::Notify;

use crate::platform::{Read, Revision};

/// How far the platform's feeds have been read.
#[derive(Debug, Default)]
pub struct Feeds {
    /// The configuration; numbers are its versions.
    pub configuration: Follower,
    /// The list of backend servers; numbers are places in the platform's history.
    pub backends: Follower,
}

/// One feed.
#[derive(Debug, Default)]
pub struct Follower {
    feed: RefCell<Feed>,
    stuck: Notify,
}

/// Who notices that a feed is stuck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// This host, for itself.
    Alone,
    /// This host, for all the others as well.
    ForOthers,
    /// Others, who tell this host.
    Told,
}

impl Follower {
    /// Everything up to `revision` was read.
    pub fn read(&self, revision: u64, newest: Option<u64>) {
        self.feed.borrow_mut().read(revision, newest);
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
        self.feed.borrow_mut().told(newest, now);
    }

    /// Has the call that waits given up if it is stuck.
    pub fn look(&self, now: Duration) {
        let mut feed = self.feed.borrow_mut();
        if feed.is_stuck(now) {
            feed.ask_again(now);
            self.stuck.notify_one();
        }
    }

    /// What `call` gives, or nothing if others are ahead of it.
    pub async fn unless_stuck<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            answer = call => Some(answer),
            () = self.stuck.notified() => None,
        }
    }
}

impl Patience {
    /// How long a call may wait that nobody else looks after.
    const ALONE: Duration = Duration::from_secs(5);

    /// How long a call may wait whose host the others rely on. There are few of these, and what
    /// they lack all others lack.
    const FOR_OTHERS: Duration = Duration::from_secs(3);

    /// How long a call may wait whose host is told when it is stuck: the platform's limit is 30 s.
    /// With 5 s for all, 65 hosts made 3,200 calls a minute, more than any other call.
    const TOLD: Duration = Duration::from_secs(25);

    /// How long a call may wait for a change.
    pub fn wait(self) -> Duration {
        match self {
            Patience::Alone => Patience::ALONE,
            Patience::ForOthers => Patience::FOR_OTHERS,
            Patience::Told => Patience::TOLD,
        }
    }
}
