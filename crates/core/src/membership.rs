//! Membership of entry hosts, derived from heartbeats, and backend servers that are leaving.
//!
//! A host's lease renewals are its heartbeats and decide its state. The platform's list, which
//! lags, is only a hint: it makes a host known before its first heartbeat, and never marks a host
//! as gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey, ZoneKey};

/// Time without a heartbeat after which a host is suspected to have failed.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);

/// Time without a heartbeat after which a host is considered gone.
///
/// Its leases have lapsed and its share of the budgets has been returned by then. A host that was
/// only paused returns with its next heartbeat.
pub const GONE_AFTER: Duration = Duration::from_secs(10);

/// Time without a heartbeat after which a host is no longer shown to operators.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// One run of one host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// The host.
    pub host: HostKey,
    /// The number that the process drew at its start; a restart draws another.
    pub incarnation: u64,
}

/// The last known state of one process of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// When its last heartbeat was received.
    pub last_heartbeat: Duration,
    /// Configuration version that is in force there.
    pub config: u64,
    /// Whether it has reported that it is stopping.
    pub stopping: bool,
}

/// The membership state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum State {
    /// joining
    Joining,
    /// live
    Live,
    /// suspect
    Suspect,
    /// gone
    Gone,
    /// leaving
    Leaving,
}

/// What a heartbeat reveals about its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The process is new: its host was never seen before, or was restarted.
    New,
    /// The process is known.
    Known,
    /// The process was considered gone and has returned with its state intact.
    Returned,
}

/// The entry host processes that one controller knows.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::{HostKey, ZoneKey};
/// use flamingopost_core::membership::{HeartbeatEffect, Member, Membership, Process, State};
///
/// let mut membership = Membership::default();
/// let process = Process { host: HostKey::default(), incarnation: 7 };
/// let heartbeat = Member {
///     zone: ZoneKey::default(),
///     last_heartbeat: Duration::from_secs(1),
///     config: 4,
///     stopping: false,
/// };
/// assert_eq!(membership.heartbeat(process, heartbeat), HeartbeatEffect::New);
/// assert_eq!(membership.state(process, Duration::from_secs(2)), State::Live);
/// assert_eq!(membership.state(process, Duration::from_secs(4)), State::Suspect);
/// assert_eq!(membership.state(process, Duration::from_secs(30)), State::Gone);
/// ```
#[derive(Debug, Default)]
pub struct Membership {
    members: BTreeMap<Process, Member>,
    listed_hosts: BTreeMap<HostKey, Hint>,
}

/// A host's state in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// The host runs, or ran a while ago.
    Live,
    /// The host is about to be removed.
    Leaving,
}

impl Membership {
    /// Records a heartbeat of `process`.
    pub fn heartbeat(&mut self, process: Process, member: Member) -> HeartbeatEffect {
        let before = self.members.insert(process, member);
        match before {
            None => HeartbeatEffect::New,
            Some(before) if silence(&before, member.last_heartbeat) >= GONE_AFTER => {
                HeartbeatEffect::Returned
            }
            Some(_) => HeartbeatEffect::Known,
        }
    }

    /// Replaces the list of hosts with the platform's newest.
    pub fn set_listed_hosts(&mut self, hosts: BTreeMap<HostKey, Hint>) {
        self.listed_hosts = hosts;
    }

    /// Returns the state of `process` at `now`.
    pub fn state(&self, process: Process, now: Duration) -> State {
        let Some(member) = self.members.get(&process) else {
            return State::Joining;
        };
        let hinted = self.listed_hosts.get(&process.host) == Some(&Hint::Leaving);
        match silence(member, now) {
            silent if silent >= GONE_AFTER => State::Gone,
            _ if member.stopping || hinted => State::Leaving,
            silent if silent >= SUSPECT_AFTER => State::Suspect,
            _ => State::Live,
        }
    }

    /// Returns all known processes with their last known states.
    pub fn members(&self) -> impl Iterator<Item = (Process, &Member)> + '_ {
        self.members
            .iter()
            .map(|(process, member)| (*process, member))
    }

    /// Returns the hosts that the platform lists as live but that have sent no heartbeat yet.
    pub fn joining(&self) -> impl Iterator<Item = HostKey> + '_ {
        self.listed_hosts
            .iter()
            .filter(|(host, hint)| **hint == Hint::Live && !self.is_known(**host))
            .map(|(host, _)| *host)
    }

    /// Returns the availability zones with a process that is not suspected at `now`.
    pub fn zones(&self, now: Duration) -> BTreeSet<ZoneKey> {
        self.members
            .values()
            .filter(|member| silence(member, now) < SUSPECT_AFTER)
            .map(|member| member.zone)
            .collect()
    }

    /// Removes processes that have been gone for a long time. Should be called periodically.
    pub fn forget(&mut self, now: Duration) {
        self.members
            .retain(|_, member| silence(member, now) < FORGET_AFTER);
    }

    fn is_known(&self, host: HostKey) -> bool {
        self.members.keys().any(|process| process.host == host)
    }
}

fn silence(member: &Member, now: Duration) -> Duration {
    now.saturating_sub(member.last_heartbeat)
}

/// The source that reports a server as leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Reason {
    /// configuration
    Configuration,
    /// operator
    Operator,
    /// platform
    Platform,
    /// server
    Server,
}

/// Servers that receive no new work, with the sources that report them as leaving.
///
/// The newest report of a source replaces its previous one as a whole. A server gets work again once
/// no source reports it as leaving.
///
/// ```
/// use std::collections::BTreeSet;
/// use flamingopost_core::key::ServerKey;
/// use flamingopost_core::membership::{LeavingServers, Reason};
///
/// let server = ServerKey::default();
/// let mut leaving = LeavingServers::default();
/// assert!(leaving.replace(Reason::Operator, BTreeSet::from([server])));
/// assert!(leaving.replace(Reason::Platform, BTreeSet::from([server])));
/// assert!(leaving.replace(Reason::Operator, BTreeSet::new()));
/// assert_eq!(leaving.servers(), BTreeSet::from([server]));
/// ```
#[derive(Debug, Default)]
pub struct LeavingServers {
    sources: BTreeMap<Reason, BTreeSet<ServerKey>>,
}

impl LeavingServers {
    /// Replaces the servers that `reason` reports as leaving. Returns whether they changed.
    pub fn replace(&mut self, reason: Reason, servers: BTreeSet<ServerKey>) -> bool {
        let current = self.sources.entry(reason).or_default();
        let changed = *current != servers;
        *current = servers;
        changed
    }

    /// Adds or removes one server for `reason`. Returns whether that changed anything.
    pub fn set_leaving(&mut self, reason: Reason, server: ServerKey, leaving: bool) -> bool {
        let current = self.sources.entry(reason).or_default();
        match leaving {
            true => current.insert(server),
            false => current.remove(&server),
        }
    }

    /// Returns all servers that receive no new work.
    pub fn servers(&self) -> BTreeSet<ServerKey> {
        self.sources.values().flatten().copied().collect()
    }

    /// Returns the sources that report `server` as leaving.
    pub fn reasons(&self, server: ServerKey) -> impl Iterator<Item = Reason> + '_ {
        self.sources
            .iter()
            .filter(move |(_, servers)| servers.contains(&server))
            .map(|(reason, _)| *reason)
    }
}
