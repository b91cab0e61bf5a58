//! Outlier detection: which replicas are set aside because they are slow.

pub mod latency;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::ServerKey;
use latency::LatencyAverage;

/// A replica is slow above this many times the median latency of its peers.
const SLOW_RATIO: f64 = 3.0;
/// A replica is slow only if it exceeds the median of its peers by at least this much.
const SLOW_MARGIN: Duration = Duration::from_millis(2);
/// Number of recent answers before a replica is evaluated.
const MIN_ANSWERS: u32 = 20;
/// Time for which a replica is first set aside; it doubles with each relapse.
const MIN_ASIDE: Duration = Duration::from_secs(1);
/// Longest time for which a replica is set aside.
const MAX_ASIDE: Duration = Duration::from_secs(30);
/// Utilization of the remaining replicas above which no replica is set aside, because they would be
/// overloaded.
const MAX_UTILIZATION: f64 = 0.8;

/// How much work a replica gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HealthState {
    /// Its full share.
    #[default]
    Full,
    /// A small number of reads, to find out whether it has recovered.
    Trial,
    /// None, as long as another replica can answer.
    Aside,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Member {
    latency: LatencyAverage,
    state: HealthState,
    since: Duration,
    relapses: u32,
}

/// Compares the latency of the replicas of one service.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::directory::Directory;
/// use flamingopost_core::health::{ReplicaHealth, HealthState};
///
/// let mut names = Directory::default();
/// let [slow, fast] = ["bole", "kality"].map(|name| names.servers.intern(name));
/// let mut replicas = ReplicaHealth::default();
/// for _ in 0..50 {
///     replicas.record(slow, Duration::from_millis(80));
///     replicas.record(fast, Duration::from_millis(4));
/// }
/// assert_eq!(replicas.evaluate(0.3, Duration::from_secs(1)), [(slow, HealthState::Aside)]);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplicaHealth {
    members: BTreeMap<ServerKey, Member>,
}

impl ReplicaHealth {
    /// Records the latency of one answer of `server`, without the round trip to its zone.
    pub fn record(&mut self, server: ServerKey, took: Duration) {
        self.members.entry(server).or_default().latency.record(took);
    }

    /// Removes `server`, which is no longer a replica of the service.
    pub fn remove(&mut self, server: ServerKey) {
        self.members.remove(&server);
    }

    /// Returns the health state of `server`.
    pub fn state(&self, server: ServerKey) -> HealthState {
        self.members
            .get(&server)
            .map_or(HealthState::Full, |member| member.state)
    }

    /// Evaluates every replica and returns the changed states.
    ///
    /// Has to be called a few times a second. `utilization` is the fraction of the replicas' slots
    /// that is in use.
    pub fn evaluate(&mut self, utilization: f64, now: Duration) -> Vec<(ServerKey, HealthState)> {
        let keys: Vec<ServerKey> = self.members.keys().copied().collect();
        let mut changed = Vec::new();
        for key in keys {
            let Some(state) = self.next_state(key, utilization, now) else {
                continue;
            };
            self.set_state(key, state, now);
            changed.push((key, state));
        }
        for member in self.members.values_mut() {
            member.latency.decay();
        }
        changed
    }

    /// Returns the state that a replica changes to, if it changes.
    fn next_state(&self, key: ServerKey, utilization: f64, now: Duration) -> Option<HealthState> {
        let member = &self.members[&key];
        match member.state {
            HealthState::Full => {
                (self.is_slow(key) && self.can_set_aside(utilization)).then_some(HealthState::Aside)
            }
            HealthState::Aside => {
                (now >= member.since + member.time_aside()).then_some(HealthState::Trial)
            }
            HealthState::Trial if member.latency.count() < MIN_ANSWERS => None,
            HealthState::Trial if self.is_slow(key) => Some(HealthState::Aside),
            HealthState::Trial => Some(HealthState::Full),
        }
    }

    fn set_state(&mut self, key: ServerKey, state: HealthState, now: Duration) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        match state {
            HealthState::Full => member.relapses = 0,
            HealthState::Trial => member.latency = LatencyAverage::default(),
            HealthState::Aside => member.relapses += 1,
        }
        member.state = state;
        member.since = now;
    }

    /// Returns whether a replica is slow compared with its peers.
    ///
    /// The bound is not a fixed time: when the load or the data make all replicas slow, none of
    /// them is the cause.
    fn is_slow(&self, key: ServerKey) -> bool {
        let member = &self.members[&key];
        let Some(mine) = member
            .latency
            .average()
            .filter(|_| member.latency.count() >= MIN_ANSWERS)
        else {
            return false;
        };
        let mut peers: Vec<Duration> = self
            .members
            .iter()
            .filter(|(other, member)| **other != key && member.state == HealthState::Full)
            .filter_map(|(_, member)| member.latency.average())
            .collect();
        peers.sort_unstable();
        let Some(median) = peers.get(peers.len() / 2) else {
            return false;
        };
        mine > median.mul_f64(SLOW_RATIO) && mine > *median + SLOW_MARGIN
    }

    /// Returns whether one more replica may be set aside.
    ///
    /// At most half of the replicas are aside at once, and the remaining ones must have the
    /// capacity for the additional work. Otherwise they would be the next to become slow.
    fn can_set_aside(&self, utilization: f64) -> bool {
        let full = self
            .members
            .values()
            .filter(|m| m.state == HealthState::Full);
        let left = full.count().saturating_sub(1);
        let all = self.members.len();
        left * 2 >= all
            && left > 0
            && utilization * (left as f64 + 1.0) / (left as f64) <= MAX_UTILIZATION
    }
}

impl Member {
    /// Returns how long the replica stays set aside.
    fn time_aside(&self) -> Duration {
        let doubled = MIN_ASIDE * 2u32.pow(self.relapses.saturating_sub(1).min(8));
        doubled.min(MAX_ASIDE)
    }
}
