//! Host leases: whether a host may rely on a primary, from its contact with a majority of the other
//! hosts.
//!
//! A primary that is cut off together with some hosts keeps answering them while the others replace
//! it, and on some platforms it keeps leading its own term for as long as the partition lasts. Its
//! answers then lack what its successor has acknowledged, and what it acknowledges is lost. So a
//! host needs a lease: for a while after a majority of hosts has answered it, it may read at a
//! primary, use its position as the measure of freshness, and acknowledge its writes. A host that
//! orders a promotion first announces the end of the term, and waits until every other host has
//! confirmed that it knows, or until its lease has ended.
//!
//! For a read it is enough that the lease holds when the read is sent, which is after the caller
//! asked for it: until then no successor led. A write has to be acknowledged under the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::HostKey;

mod clearance;
mod closing;
mod handover;
mod store;

pub use clearance::{Basis, Clearance};
pub use closing::Closing;
pub use handover::{Handover, Verdict};
pub use store::{STORE_RENEWAL_INTERVAL, StoreLease};

/// Time between two heartbeats. Three of them fit into a lease with round trips to spare, so that
/// one lost datagram does not end a lease.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long a host may rely on the answers after it sent the requests. The time adds to that in
/// which a cut-off primary is replaced, and has to outlast the pauses of a host under load.
pub const LEASE_DURATION: Duration = Duration::from_millis(900);

/// Safety margin for waiting until a lease ends, for clocks that run at slightly different speeds.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// A host that has sent nothing for this long, while most others have, counts as gone for good: the
/// list keeps the entry of a host that was removed without notice.
pub const GONE_TIMEOUT: Duration = Duration::from_secs(15);

/// The contact of one host with the other hosts.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::names::Names;
/// use flamingopost_core::quorum::{LEASE_DURATION, Quorum};
///
/// let mut names: Names<HostKey> = Names::default();
/// let others = [names.intern("entry-2"), names.intern("entry-3")];
/// let at = Duration::from_millis(100);
/// let mut quorum = Quorum::default();
/// quorum.set_hosts(others.into_iter().collect(), at);
/// assert!(!quorum.holds_lease(at));
/// quorum.record_reply(others[0], at);
/// assert!(quorum.holds_lease(at), "two of three");
/// assert!(!quorum.holds_lease(at + LEASE_DURATION));
/// ```
#[derive(Debug, Default)]
pub struct Quorum {
    others: BTreeMap<HostKey, Contact>,
    /// Whether this host only asks, and is not one of the hosts whose majority counts.
    non_elector: bool,
    /// Whether the list of hosts is known.
    listed: bool,
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    /// When the last request was sent that the host has answered.
    answered_at: Option<Duration>,
    /// When the last message arrived from the host, or when it was first listed.
    heard_at: Duration,
}

impl Quorum {
    /// Sets the other hosts that are listed.
    pub fn set_hosts(&mut self, others: BTreeSet<HostKey>, now: Duration) {
        self.listed = true;
        self.others.retain(|host, _| others.contains(host));
        for host in others {
            self.others.entry(host).or_insert(Contact {
                answered_at: None,
                heard_at: now,
            });
        }
    }

    /// Reports whether the list of hosts is known.
    ///
    /// Guards against a host that has just started and takes itself for the whole fleet: while the
    /// store answered no writes, such a host relied on primaries and replaced them on its own
    /// opinion alone.
    pub fn knows_hosts(&self) -> bool {
        self.listed
    }

    /// Sets whether this host is one of those whose majority counts, which is the default.
    pub fn set_elector(&mut self, is_elector: bool) {
        self.non_elector = !is_elector;
    }

    /// Reports whether this host is one of those whose majority counts.
    pub fn is_elector(&self) -> bool {
        !self.non_elector
    }

    /// Records a message from `host`.
    pub fn record_message(&mut self, host: HostKey, now: Duration) {
        if let Some(contact) = self.others.get_mut(&host) {
            contact.heard_at = contact.heard_at.max(now);
        }
    }

    /// Returns the time since the last message from `host`, or since it was first listed.
    pub fn age(&self, host: HostKey, now: Duration) -> Option<Duration> {
        let contact = self.others.get(&host)?;
        Some(now.saturating_sub(contact.heard_at))
    }

    /// Returns when the newest request was sent that `host` has answered.
    pub fn answered_at(&self, host: HostKey) -> Option<Duration> {
        self.others.get(&host)?.answered_at
    }

    /// Reports whether `host` has answered a request sent at `since` or later, or `None` if its
    /// answers do not count.
    pub fn has_answered(&self, host: HostKey, since: Duration) -> Option<bool> {
        let contact = self.others.get(&host)?;
        Some(contact.answered_at >= Some(since))
    }

    /// Records that `host` has answered a request sent at `sent`.
    pub fn record_reply(&mut self, host: HostKey, sent: Duration) {
        if let Some(contact) = self.others.get_mut(&host) {
            contact.answered_at = contact.answered_at.max(Some(sent));
        }
    }

    /// Reports whether a majority of hosts has answered recently, so that this host may rely on a
    /// primary at `now`: send it what only a primary may run, and acknowledge its writes.
    pub fn holds_lease(&self, now: Duration) -> bool {
        if !self.knows_hosts() {
            return false;
        }
        let fresh = |it: &&Contact| it.answered_at.is_some_and(|at| now < at + LEASE_DURATION);
        let own = usize::from(!self.non_elector);
        let fresh = self.others.values().filter(fresh).count() + own;
        let hosts = self.others.len() + own;
        // Entries of hosts that are gone for good must not make a majority impossible.
        fresh * 2 > hosts || fresh * 2 > hosts - self.gone_hosts(now).len()
    }

    /// Reports whether more than half of the other hosts have answered this one, without those that count
    /// as gone for good.
    ///
    /// Of the hosts that have confirmed the end of a term, which are a majority, one is then among
    /// them, even if this host was another one and has forgotten that in a restart.
    pub fn is_answered_by_most(&self, now: Duration) -> bool {
        let answered = self.others.values().filter(|it| it.answered_at.is_some());
        let others = self.others.len() - self.gone_hosts(now).len();
        answered.count() * 2 > others || others == 0
    }

    /// Returns the number of other hosts that are listed.
    pub fn host_count(&self) -> usize {
        self.others.len()
    }

    /// Reports whether no other host has sent a message for `time`.
    pub fn is_alone_for(&self, time: Duration, now: Duration) -> bool {
        let mut others = self.others.values();
        self.listed && others.all(|contact| now >= contact.heard_at + time)
    }

    /// Returns the hosts that count as gone for good.
    pub fn gone_hosts(&self, now: Duration) -> BTreeSet<HostKey> {
        let silent = |contact: &Contact| now >= contact.heard_at + GONE_TIMEOUT;
        let silent_count = self.others.values().filter(|it| silent(it)).count();
        // If most hosts are silent, this host is the one that is cut off.
        if silent_count * 2 > self.others.len() {
            return BTreeSet::new();
        }
        let gone = self.others.iter().filter(|(_, contact)| silent(contact));
        gone.map(|(host, _)| *host).collect()
    }

    /// Returns the other hosts that have sent a message within two heartbeats, so that a
    /// notification probably reaches them.
    pub fn recently_heard(&self, now: Duration) -> BTreeSet<HostKey> {
        let recent = |contact: &Contact| now < contact.heard_at + HEARTBEAT_INTERVAL * 2;
        let others = self.others.iter().filter(|(_, contact)| recent(contact));
        others.map(|(host, _)| *host).collect()
    }

    /// Returns when the last lease ends that a host not in `answered` may hold from an earlier
    /// answer of this host.
    pub fn leases_end(&self, answered: &BTreeSet<HostKey>, now: Duration) -> Duration {
        let gone = self.gone_hosts(now);
        let unanswered = self.others.iter();
        let unanswered =
            unanswered.filter(|(host, _)| !answered.contains(host) && !gone.contains(host));
        let until = unanswered.map(|(_, contact)| contact.heard_at + LEASE_DURATION + CLOCK_MARGIN);
        until.max().unwrap_or_default()
    }

    /// Returns from when on the successor may be ordered, and why: no host uses the primary of the term
    /// whose end was announced. A promotion may take any time, so the successor may lead at once. Returns
    /// `None` while too few hosts have confirmed the end, however long they are silent: they may extend
    /// each other's leases without this host.
    ///
    /// Hosts that confirm stop by themselves. Once a majority has confirmed, any other may hold a lease,
    /// which ends a lease's duration after:
    ///
    /// - it was last heard by this host or one that has confirmed, where one that neither has heard for
    ///   [`GONE_TIMEOUT`] counts as gone, or
    /// - a majority has confirmed, since each majority that answers it later includes a host that
    ///   tells it of the end, and
    /// - the change was claimed, if the host relies on the claims in the store.
    pub fn order_from(&self, closing: &Closing, now: Duration) -> Option<Clearance> {
        if let Some(from) = closing.stepped_down_at() {
            let basis = Basis::SteppedDown;
            return Some(Clearance { from, basis });
        }
        let gone = self.gone_hosts(now);
        let is_unheard = |host: &HostKey| {
            let heard_at = closing.heard_at(*host);
            heard_at.is_none_or(|at| now >= at + GONE_TIMEOUT)
        };
        let gone: BTreeSet<HostKey> = gone.into_iter().filter(is_unheard).collect();
        let own = usize::from(!self.non_elector);
        let majority = (self.others.len() + own - gone.len()) / 2 + 1;
        let known_at = closing.known_to(majority - own);
        if known_at.is_none() && !closing.is_primary_delisted() {
            return None;
        }
        let unconfirmed = self.others.iter();
        let unconfirmed =
            unconfirmed.filter(|(host, _)| !closing.is_confirmed(**host) && !gone.contains(host));
        let last_contact = unconfirmed.map(|(host, contact)| {
            let heard_at = closing.heard_at(*host).max(Some(contact.heard_at));
            let heard_at = heard_at.unwrap_or_default();
            known_at.map_or(heard_at, |known_at| known_at.min(heard_at))
        });
        let known_to_most = known_at.unwrap_or(closing.announced_at());
        let others = closing.has_other_hosts().then_some(known_to_most);
        let last_contact = last_contact.max().max(others);
        let lease_begin = last_contact.map(|at| at.max(closing.claimed_at().unwrap_or_default()));
        let leases_end = lease_begin.map(|at| at + LEASE_DURATION + CLOCK_MARGIN);
        let basis = match (known_at, leases_end) {
            (None, _) => Basis::Delisted,
            (Some(_), None) => Basis::AllConfirmed,
            (Some(_), Some(_)) => Basis::MajorityConfirmed,
        };
        Some(Clearance {
            from: closing.served_until().max(leases_end.unwrap_or_default()),
            basis,
        })
    }
}
