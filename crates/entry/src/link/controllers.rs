//! Where the controller of each shard is, as far as this host knows.

use std::collections::BTreeMap;

use flamingopost_wire::knowledge::Controller;

/// What to do next about a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Send the renewal to this address.
    Send(String),
    /// Ask other processes first: no controller is known, or those known do not answer.
    Ask,
}

#[derive(Debug, Default)]
struct Known {
    epoch: u32,
    rpc: Option<String>,
    /// Where a process that refused a renewal says the controller is.
    redirect: Option<String>,
    failures: u32,
}

/// The controllers of all shards.
///
/// What is known longest is only given up for something better: while nobody can be asked, the
/// last known address is as good as any, and its controller may come back.
///
/// ```
/// use flamingopost_entry::link::controllers::{Controllers, Target};
///
/// let mut controllers = Controllers::default();
/// assert_eq!(controllers.target(0), Target::Ask);
/// controllers.learn(0, 2, "10.1.0.11:6450");
/// controllers.learn(0, 1, "10.1.0.12:6450");
/// assert_eq!(controllers.target(0), Target::Send("10.1.0.11:6450".to_owned()));
/// ```
#[derive(Debug, Default)]
pub struct Controllers {
    shards: BTreeMap<u16, Known>,
}

/// Failures in a row after which others are asked where the controller is. The address is still
/// tried meanwhile.
const PATIENCE: u32 = 2;

impl Controllers {
    /// Takes in that authority `epoch` over `shard` is held at `rpc`. Returns whether it is news.
    pub fn learn(&mut self, shard: u16, epoch: u32, rpc: &str) -> bool {
        let known = self.shards.entry(shard).or_default();
        let newer = known.rpc.is_none() || epoch > known.epoch;
        if !newer || rpc.is_empty() {
            return false;
        }
        *known = Known {
            epoch,
            rpc: Some(rpc.to_owned()),
            ..Known::default()
        };
        true
    }

    /// Takes in that a process refused a renewal and named `rpc` instead. Returns whether to
    /// follow at once: two processes that name each other must not be asked in a loop.
    pub fn redirect(&mut self, shard: u16, rpc: Option<String>) -> bool {
        let known = self.shards.entry(shard).or_default();
        known.failures = known.failures.saturating_add(1);
        known.redirect = rpc;
        known.redirect.is_some() && known.failures <= PATIENCE
    }

    /// Takes in that the controller at `rpc` granted a renewal.
    pub fn granted(&mut self, shard: u16, rpc: &str) {
        let known = self.shards.entry(shard).or_default();
        known.failures = 0;
        if known.redirect.as_deref() == Some(rpc) {
            known.rpc = known.redirect.take();
        }
    }

    /// Takes in that nothing came back from where the last renewal was sent.
    pub fn failed(&mut self, shard: u16) {
        let known = self.shards.entry(shard).or_default();
        known.failures = known.failures.saturating_add(1);
        // A redirect is hearsay: when it leads nowhere, what was known before counts again.
        known.redirect = None;
    }

    /// Where to send the next renewal of `shard`.
    pub fn target(&self, shard: u16) -> Target {
        let known = self.shards.get(&shard);
        let address = known.and_then(|known| known.redirect.as_ref().or(known.rpc.as_ref()));
        address.cloned().map_or(Target::Ask, Target::Send)
    }

    /// Whether others should be asked where the controller of `shard` is.
    pub fn is_doubtful(&self, shard: u16) -> bool {
        let known = self.shards.get(&shard);
        known.is_none_or(|known| known.rpc.is_none() || known.failures >= PATIENCE)
    }

    /// All that are known, for others who ask.
    pub fn all(&self) -> BTreeMap<u16, Controller> {
        let known = self.shards.iter().filter_map(|(shard, known)| {
            let controller = Controller {
                epoch: known.epoch,
                rpc: known.rpc.clone()?,
            };
            Some((*shard, controller))
        });
        known.collect()
    }
}
