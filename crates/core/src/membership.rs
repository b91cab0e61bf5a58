//! Which entry hosts take part, from their heartbeats, and which servers are about to leave.
//!
//! A host's lease renewals are the evidence; the platform's list, which lags, is a hint that
//! makes a host known before its first heartbeat and never one that it is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey, ZoneKey};

/// Silence after which a host is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);

/// Silence after which a host is taken for gone. Its leases lapse before, and what it had of
/// budgets is returned by then; a host that was only paused comes back by its next heartbeat.
pub const GONE_AFTER: Duration = Duration::from_secs(10);

/// For how long a host that is gone is still shown to operators.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// One run of one host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// The host.
    pub host: HostKey,
    /// The number that the process drew at its start.
    pub incarnation: u64,
}

/// What is known of one process of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// When its last heartbeat came.
    pub last_heartbeat: Duration,
    /// Configuration version in force there.
    pub config: u64,
    /// Whether it has said that it stops.
    pub stopping: bool,
}

/// Whether a host takes part.
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

/// What a heartbeat says of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// It is new: a host that was never seen, or one that was restarted.
    New,
    /// It is known.
    Known,
    /// It was taken for gone and is back, with its memory.
    Returned,
}

/// The processes that one controller knows.
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
///     heard: Duration::from_secs(1),
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

/// What the platform's list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// It runs, or did a while ago.
    Live,
    /// It is about to be taken away.
    Leaving,
}

impl Membership {
    /// A heartbeat of `process` came.
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

    /// The platform's list was read.
    pub fn set_listed_hosts(&mut self, hosts: BTreeMap<HostKey, Hint>) {
        self.listed_hosts = hosts;
    }

    /// Whether `process` takes part at `now`.
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

    /// All processes with what is known of them.
    pub fn members(&self) -> impl Iterator<Item = (Process, &Member)> + '_ {
        self.members
            .iter()
            .map(|(process, member)| (*process, member))
    }

    /// Hosts on the platform's list of which no heartbeat came yet.
    pub fn joining(&self) -> impl Iterator<Item = HostKey> + '_ {
        self.listed_hosts
            .iter()
            .filter(|(host, hint)| **hint == Hint::Live && !self.is_known(**host))
            .map(|(host, _)| *host)
    }

    /// Availability zones from which a process was heard lately.
    pub fn zones(&self, now: Duration) -> BTreeSet<ZoneKey> {
        self.members
            .values()
            .filter(|member| silence(member, now) < SUSPECT_AFTER)
            .map(|member| member.zone)
            .collect()
    }

    /// Forgets processes that have been gone for long; called now and then.
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

/// Who says that a server is leaving.
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

/// Servers that receive no new work, and who says so. Each source is replaced as a whole by its
/// newest word, so a server is taken back once nobody calls it leaving any more.
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
    /// `reason` calls exactly `servers` leaving; says whether that is news from it.
    pub fn replace(&mut self, reason: Reason, servers: BTreeSet<ServerKey>) -> bool {
        let current = self.sources.entry(reason).or_default();
        let changed = *current != servers;
        *current = servers;
        changed
    }

    /// One server's own word; the others' stand.
    pub fn set_leaving(&mut self, reason: Reason, server: ServerKey, leaving: bool) -> bool {
        let current = self.sources.entry(reason).or_default();
        match leaving {
            true => current.insert(server),
            false => current.remove(&server),
        }
    }

    /// All servers that receive no new work.
    pub fn servers(&self) -> BTreeSet<ServerKey> {
        self.sources.values().flatten().copied().collect()
    }

    /// Who calls `server` leaving.
    pub fn reasons(&self, server: ServerKey) -> impl Iterator<Item = Reason> + '_ {
        self.sources
            .iter()
            .filter(move |(_, servers)| servers.contains(&server))
            .map(|(reason, _)| *reason)
    }
}
