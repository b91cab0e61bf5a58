//! Faults that a server can be told to have.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// What is wrong with a server.
///
/// As JSON, the form that `GET /faults` shows and `POST /faults` merges in:
///
/// ```
/// use flamingopost_standin::backend::fault::{Cut, Faults};
///
/// let faults: Faults = serde_json::from_str(r#"{"cut": {"except": ["bole-hall"]}}"#).unwrap();
/// assert!(faults.cut.hides("akaki-hall"));
/// assert!(!faults.cut.hides("bole-hall"));
/// assert_eq!(Faults::default().cut, Cut::No);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The process is gone: connections break, new ones are refused. Data stay.
    pub dead: bool,
    /// Who cannot reach the server. Packets vanish; nobody gets an error.
    pub cut: Cut,
    /// The process stands still: it neither reads nor answers nor applies.
    pub paused: bool,
    /// Milliseconds by which a replica's data arrive late.
    pub lag_ms: u64,
    /// Milliseconds that each statement takes on top of its usual cost.
    pub slow_ms: u64,
    /// The platform has announced that the server will leave.
    pub leaving: bool,
}

/// Who cannot reach a server. A peer is known by the `application_name` of its start-up message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// Everybody reaches it.
    #[default]
    No,
    /// Nobody does.
    All,
    /// These peers do not.
    From(BTreeSet<String>),
    /// Only these peers do.
    Except(BTreeSet<String>),
}

impl Cut {
    /// Whether `peer` cannot reach the server. Peers that begin with a listed name and `/` count
    /// as listed, so that a zone's name covers its hosts.
    pub fn hides(&self, peer: &str) -> bool {
        let listed = |names: &BTreeSet<String>| {
            let zone = peer.split('/').next().unwrap_or(peer);
            names.contains(peer) || names.contains(zone)
        };
        match self {
            Cut::No => false,
            Cut::All => true,
            Cut::From(names) => listed(names),
            Cut::Except(names) => !listed(names),
        }
    }
}

/// Faults as the parts of a server watch them.
#[derive(Debug)]
pub(crate) struct Switch {
    faults: watch::Sender<Faults>,
}

impl Switch {
    pub(crate) fn new(faults: Faults) -> Switch {
        Switch {
            faults: watch::Sender::new(faults),
        }
    }

    pub(crate) fn get(&self) -> Faults {
        self.faults.borrow().clone()
    }

    pub(crate) fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Faults> {
        self.faults.subscribe()
    }

    pub(crate) fn lag(&self) -> Duration {
        Duration::from_millis(self.faults.borrow().lag_ms)
    }

    pub(crate) fn slow(&self) -> Duration {
        Duration::from_millis(self.faults.borrow().slow_ms)
    }

    /// Waits until the process runs.
    pub(crate) async fn running(&self) {
        self.clear(|faults| !faults.paused).await;
    }

    /// Waits until the process runs and reaches others. A cut that names peers is made at the
    /// server that is asked, which knows who asks.
    pub(crate) async fn online(&self) {
        self.clear(|faults| !faults.paused && !faults.dead && faults.cut != Cut::All)
            .await;
    }

    /// Waits until the process runs and bytes pass between it and `peer`. One that has not said
    /// who it is gets that far unless nobody reaches the server.
    pub(crate) async fn reached_by(&self, peer: Option<&str>) {
        let hidden = |cut: &Cut| match peer {
            Some(peer) => cut.hides(peer),
            None => *cut == Cut::All,
        };
        self.clear(|faults| !faults.paused && !hidden(&faults.cut))
            .await;
    }

    async fn clear(&self, holds: impl Fn(&Faults) -> bool) {
        if holds(&self.faults.borrow()) {
            return;
        }
        let mut watcher = self.faults.subscribe();
        // The sender lives as long as `self`, so the wait only ends with the condition.
        let _ = watcher.wait_for(|faults| holds(faults)).await;
    }
}
