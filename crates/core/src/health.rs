//! Which replicas are set aside because they are slow.

pub mod pulse;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::ServerKey;
use pulse::Pulse;

/// A replica is slow from this many times the median of its peers.
const SLOW: f64 = 3.0;
/// And only where it is slower than they by at least this much.
const WORTH: Duration = Duration::from_millis(2);
/// Answers within the window before a replica is judged.
const ENOUGH: u32 = 20;
/// First time for which a replica is set aside; it doubles with each relapse.
const FIRST_ASIDE: Duration = Duration::from_secs(1);
/// Longest time for which a replica is set aside.
const LONGEST_ASIDE: Duration = Duration::from_secs(30);
/// Use of the remaining servers above which nobody is set aside: the rest would drown.
const BUSY: f64 = 0.8;

/// How much work a replica gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// Its full part.
    #[default]
    Full,
    /// A trickle, to see whether it has recovered.
    Trial,
    /// None while another can serve.
    Aside,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Member {
    pulse: Pulse,
    standing: Standing,
    since: Duration,
    relapses: u32,
}

/// The replicas of one service, compared with each other.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::directory::Directory;
/// use flamingopost_core::health::{Panel, Standing};
///
/// let mut names = Directory::default();
/// let [slow, fast] = ["bole", "kality"].map(|name| names.servers.intern(name));
/// let mut panel = Panel::default();
/// for _ in 0..50 {
///     panel.answered(slow, Duration::from_millis(80));
///     panel.answered(fast, Duration::from_millis(4));
/// }
/// assert_eq!(panel.judge(0.3, Duration::from_secs(1)), [(slow, Standing::Aside)]);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Panel {
    members: BTreeMap<ServerKey, Member>,
}

impl Panel {
    /// `server` answered after `took`, its distance taken off.
    pub fn answered(&mut self, server: ServerKey, took: Duration) {
        self.members.entry(server).or_default().pulse.record(took);
    }

    /// `server` is no longer a replica of the service.
    pub fn remove(&mut self, server: ServerKey) {
        self.members.remove(&server);
    }

    /// The standing of `server`.
    pub fn standing(&self, server: ServerKey) -> Standing {
        self.members
            .get(&server)
            .map_or(Standing::Full, |member| member.standing)
    }

    /// Judges every replica; to be called a few times a second. `busy` is the part of the
    /// replicas' slots that is in use. Returns what changed.
    pub fn judge(&mut self, busy: f64, now: Duration) -> Vec<(ServerKey, Standing)> {
        let keys: Vec<ServerKey> = self.members.keys().copied().collect();
        let mut changed = Vec::new();
        for key in keys {
            let Some(standing) = self.verdict(key, busy, now) else {
                continue;
            };
            self.set(key, standing, now);
            changed.push((key, standing));
        }
        for member in self.members.values_mut() {
            member.pulse.age();
        }
        changed
    }

    fn verdict(&self, key: ServerKey, busy: f64, now: Duration) -> Option<Standing> {
        let member = &self.members[&key];
        match member.standing {
            Standing::Full => {
                (self.is_slow(key) && self.can_spare(busy)).then_some(Standing::Aside)
            }
            Standing::Aside => (now >= member.since + member.sentence()).then_some(Standing::Trial),
            Standing::Trial if member.pulse.count() < ENOUGH => None,
            Standing::Trial if self.is_slow(key) => Some(Standing::Aside),
            Standing::Trial => Some(Standing::Full),
        }
    }

    fn set(&mut self, key: ServerKey, standing: Standing, now: Duration) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        match standing {
            Standing::Full => member.relapses = 0,
            Standing::Trial => member.pulse = Pulse::default(),
            Standing::Aside => member.relapses += 1,
        }
        member.standing = standing;
        member.since = now;
    }

    /// Slow against peers, not against a fixed time: when the load or the data make all of them
    /// slow, none is the cause.
    fn is_slow(&self, key: ServerKey) -> bool {
        let member = &self.members[&key];
        let Some(mine) = member
            .pulse
            .typical()
            .filter(|_| member.pulse.count() >= ENOUGH)
        else {
            return false;
        };
        let mut peers: Vec<Duration> = self
            .members
            .iter()
            .filter(|(other, member)| **other != key && member.standing == Standing::Full)
            .filter_map(|(_, member)| member.pulse.typical())
            .collect();
        peers.sort_unstable();
        let Some(median) = peers.get(peers.len() / 2) else {
            return false;
        };
        mine > median.mul_f64(SLOW) && mine > *median + WORTH
    }

    /// At most half of the replicas are out at once, and the work of one more must fit on those
    /// that remain: setting a slow server aside must not make the others the next slow ones.
    fn can_spare(&self, busy: f64) -> bool {
        let full = self
            .members
            .values()
            .filter(|m| m.standing == Standing::Full);
        let left = full.count().saturating_sub(1);
        let all = self.members.len();
        left * 2 >= all && left > 0 && busy * (left as f64 + 1.0) / (left as f64) <= BUSY
    }
}

impl Member {
    fn sentence(&self) -> Duration {
        let doubled = FIRST_ASIDE * 2u32.pow(self.relapses.saturating_sub(1).min(8));
        doubled.min(LONGEST_ASIDE)
    }
}
