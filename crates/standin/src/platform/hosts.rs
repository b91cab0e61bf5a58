//! The lagging list of hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long a host stays listed after its last announcement.
const LISTED_FOR: Duration = Duration::from_secs(15);

/// How long old lists are kept; the list cannot lag by more.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// Whether a host is about to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs, or did a while ago.
    Live,
    /// It will be taken away.
    Leaving,
}

/// What a host announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its availability zone.
    pub zone: String,
    /// Its address, `IP:PORT`.
    pub address: String,
    /// Whether it is about to go.
    pub state: State,
}

/// One host on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Host {
    pub(crate) host: String,
    #[serde(flatten)]
    pub(crate) announced: Announcement,
}

#[derive(Debug)]
struct Event {
    at: Instant,
    host: Host,
}

/// All announcements that may still show.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    events: VecDeque<Event>,
}

impl Hosts {
    pub(crate) fn announce(&mut self, at: Instant, host: Host) {
        while self
            .events
            .front()
            .is_some_and(|event| at.duration_since(event.at) > KEPT_FOR)
        {
            self.events.pop_front();
        }
        self.events.push_back(Event { at, host });
    }

    /// The list as it was `lag` before `now`.
    pub(crate) fn list(&self, now: Instant, lag: Duration) -> Vec<Host> {
        let mut listed = BTreeMap::new();
        for event in &self.events {
            let age = now.duration_since(event.at);
            if age >= lag && age < lag + LISTED_FOR {
                listed.insert(event.host.host.clone(), event.host.clone());
            }
        }
        listed.into_values().collect()
    }
}
