//! Probes of servers that answer the questions of several hosts at once.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::key::ServerKey;

/// How long after the start of a probe further questions about the server wait for its answer.
///
/// When a primary fails, every host asks the electors about it. With a probe for each question, a
/// server was connected to by each elector once for each host of the fleet.
pub const SHARING_WINDOW: Duration = Duration::from_millis(20);

/// The probes that are in flight, and who waits for the answer of each.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::ServerKey;
/// use flamingopost_proxy::shared_probe::SharedProbes;
///
/// let server = ServerKey::default();
/// let mut probes = SharedProbes::default();
/// let probe = probes.ask(server, "entry-1", Duration::ZERO).expect("none is in flight");
/// assert_eq!(probes.ask(server, "entry-2", Duration::from_millis(5)), None);
/// assert_eq!(probes.finish(probe), ["entry-1", "entry-2"]);
/// ```
#[derive(Debug)]
pub struct SharedProbes<A> {
    waiting: BTreeMap<Probe, Vec<A>>,
    /// The newest probe of each server, and when it started.
    newest: BTreeMap<ServerKey, (Probe, Duration)>,
    started: u64,
}

/// Identifies a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Probe {
    server: ServerKey,
    number: u64,
}

impl<A> Default for SharedProbes<A> {
    fn default() -> SharedProbes<A> {
        SharedProbes {
            waiting: BTreeMap::new(),
            newest: BTreeMap::new(),
            started: 0,
        }
    }
}

impl<A> SharedProbes<A> {
    /// Records that `asker` asks about `server`. Returns the probe to start, unless the answer of
    /// one that started within [`SHARING_WINDOW`] is waited for.
    pub fn ask(&mut self, server: ServerKey, asker: A, now: Duration) -> Option<Probe> {
        if let Some((probe, started)) = self.newest.get(&server)
            && now < *started + SHARING_WINDOW
            && let Some(askers) = self.waiting.get_mut(probe)
        {
            askers.push(asker);
            return None;
        }
        self.started += 1;
        let number = self.started;
        let probe = Probe { server, number };
        self.newest.insert(server, (probe, now));
        self.waiting.insert(probe, vec![asker]);
        Some(probe)
    }

    /// Records that `probe` has ended. Returns who waits for its answer.
    pub fn finish(&mut self, probe: Probe) -> Vec<A> {
        let is_newest = self.newest.get(&probe.server).map(|(it, _)| *it) == Some(probe);
        if is_newest {
            self.newest.remove(&probe.server);
        }
        self.waiting.remove(&probe).unwrap_or_default()
    }
}
