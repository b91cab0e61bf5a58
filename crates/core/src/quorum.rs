//! Whether a host may rely on a primary, by its contact with most of the others.
//!
//! A primary that is cut off together with some hosts goes on answering them while the others have
//! it replaced, and on some platforms it goes on leading its own term for as long as the cut lasts.
//! What it answers then lacks what its successor has acknowledged, and what it acknowledges is
//! lost. So a host has a lease: for a while after most hosts have answered it, it may read at a
//! primary, take its word for how fresh data are, and acknowledge its writes. Whoever orders a
//! promotion first waits until the lease of every host that it does not hear has run out.
//!
//! For a read it is enough that the lease holds when it is sent, which is after it was asked for:
//! until then no successor led. A write has to be acknowledged under the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::HostKey;

mod store;

pub use store::StoreLease;

/// Time between two heartbeats: three of them fit into a lease with round trips to spare, so a
/// lost datagram ends none.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long after it asked a host may rely on the answers. It adds to the time in which a cut-off
/// primary is replaced, and has to outlast a host's pauses under load.
pub const LEASE_DURATION: Duration = Duration::from_millis(900);

/// Added by whoever waits a lease out, for clocks that run at slightly different speed.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// A host that was not heard for so long, while most others were, is taken as gone for good: its
/// entry stays in the list when it is removed without notice.
pub const GONE_TIMEOUT: Duration = Duration::from_secs(15);

/// The contact of one host with the others.
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
    /// This host only asks; it is not one of those whose majority counts.
    non_elector: bool,
    /// Whether it was told which others there are.
    listed: bool,
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    /// When the latest question was sent that it has answered.
    answered_at: Option<Duration>,
    /// When it was last heard, or first listed.
    heard_at: Duration,
}

impl Quorum {
    /// The other hosts that are listed.
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

    /// Whether this host has been told which others there are.
    ///
    /// Guards against a host that has just started and takes itself for the whole fleet: while the
    /// store answered no writes, one relied on primaries and replaced them on its own word alone.
    pub fn knows_hosts(&self) -> bool {
        self.listed
    }

    /// Whether this host is one of those whose majority counts; it is unless told otherwise.
    pub fn set_elector(&mut self, takes_part: bool) {
        self.non_elector = !takes_part;
    }

    /// Whether this host is one of those whose majority counts.
    pub fn is_elector(&self) -> bool {
        !self.non_elector
    }

    /// Something came from `host`.
    pub fn record_message(&mut self, host: HostKey, now: Duration) {
        if let Some(contact) = self.others.get_mut(&host) {
            contact.heard_at = contact.heard_at.max(now);
        }
    }

    /// How long ago something last came from `host`, or it was first listed.
    pub fn age(&self, host: HostKey, now: Duration) -> Option<Duration> {
        let contact = self.others.get(&host)?;
        Some(now.saturating_sub(contact.heard_at))
    }

    /// Whether `host` has answered what was sent at `since` or later; nothing where its answers do not
    /// count here.
    pub fn has_answered(&self, host: HostKey, since: Duration) -> Option<bool> {
        let contact = self.others.get(&host)?;
        Some(contact.answered_at >= Some(since))
    }

    /// `host` has answered what was sent at `sent`.
    pub fn record_reply(&mut self, host: HostKey, sent: Duration) {
        if let Some(contact) = self.others.get_mut(&host) {
            contact.answered_at = contact.answered_at.max(Some(sent));
        }
    }

    /// Whether most hosts have answered lately, so that this host may rely on a primary at `now`:
    /// send it what only a primary may run, and acknowledge its writes.
    pub fn holds_lease(&self, now: Duration) -> bool {
        if !self.knows_hosts() {
            return false;
        }
        let fresh = |it: &&Contact| it.answered_at.is_some_and(|at| now < at + LEASE_DURATION);
        let own = usize::from(!self.non_elector);
        let fresh = self.others.values().filter(fresh).count() + own;
        let hosts = self.others.len() + own;
        // Entries of hosts that are gone for good make no majority impossible.
        fresh * 2 > hosts || fresh * 2 > hosts - self.gone_hosts(now).len()
    }

    /// How many other hosts are listed.
    pub fn host_count(&self) -> usize {
        self.others.len()
    }

    /// Hosts that count as gone for good.
    pub fn gone_hosts(&self, now: Duration) -> BTreeSet<HostKey> {
        let silent = |contact: &Contact| now >= contact.heard_at + GONE_TIMEOUT;
        let lost = self.others.values().filter(|it| silent(it)).count();
        // Where most are silent it is this host that is cut off.
        if lost * 2 > self.others.len() {
            return BTreeSet::new();
        }
        let gone = self.others.iter().filter(|(_, contact)| silent(contact));
        gone.map(|(host, _)| *host).collect()
    }

    /// Other hosts that were heard within two heartbeats: what they have to know reaches them.
    pub fn recently_heard(&self, now: Duration) -> BTreeSet<HostKey> {
        let heard = |contact: &Contact| now < contact.heard_at + HEARTBEAT_INTERVAL * 2;
        let others = self.others.iter().filter(|(_, contact)| heard(contact));
        others.map(|(host, _)| *host).collect()
    }

    /// From when on no host but those in `told` has a lease by an earlier answer of this one.
    pub fn leases_end(&self, told: &BTreeSet<HostKey>, now: Duration) -> Duration {
        let gone = self.gone_hosts(now);
        let writing = self.others.iter();
        let writing = writing.filter(|(host, _)| !told.contains(host) && !gone.contains(host));
        let until = writing.map(|(_, contact)| contact.heard_at + LEASE_DURATION + CLOCK_MARGIN);
        until.max().unwrap_or_default()
    }
}
