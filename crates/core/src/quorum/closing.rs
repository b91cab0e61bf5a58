//! The end of a primary's term, as confirmed by the other hosts before its successor is ordered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::key::{HostKey, ServerKey};

/// Confirmations that hosts stop relying on the primary of a term.
///
/// An opinion on the primary says nothing about what its host does next. A host that is cut off after
/// it has given one goes on reading and writing under its lease while the successor leads.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::names::Names;
/// use flamingopost_core::quorum::Closing;
///
/// let mut names: Names<HostKey> = Names::default();
/// let host = names.intern("entry-2");
/// let at = Duration::from_millis(100);
/// let mut closing = Closing::announced(at, Duration::ZERO);
/// closing.confirm(host, [], at);
/// assert!(closing.is_confirmed(host));
/// closing.forget_confirmations();
/// assert!(!closing.is_confirmed(host));
/// ```
#[derive(Debug, Clone)]
pub struct Closing {
    announced_at: Duration,
    serves: Duration,
    /// The server whose state the hosts ask for while they still use the primary.
    watched: Option<ServerKey>,
    claimed_at: Option<Duration>,
    has_other_hosts: bool,
    stepped_down_at: Option<Duration>,
    /// When each host has confirmed.
    confirmed: BTreeMap<HostKey, Duration>,
    /// When a host that has confirmed last heard from each other host.
    heard: BTreeMap<HostKey, Duration>,
    /// When such a host last heard from one that is not listed here.
    unlisted_heard_at: Option<Duration>,
}

impl Closing {
    /// Starts with the announcement of the end at `now`. A host that learns of it uses the primary
    /// for `serves` more.
    pub fn announced(now: Duration, serves: Duration) -> Closing {
        Closing {
            announced_at: now,
            serves,
            watched: None,
            claimed_at: None,
            has_other_hosts: false,
            stepped_down_at: None,
            confirmed: BTreeMap::new(),
            heard: BTreeMap::new(),
            unlisted_heard_at: None,
        }
    }

    /// Sets that hosts which know of the end use the primary until `successor` is seen to lead.
    pub fn with_watched(self, successor: ServerKey) -> Closing {
        Closing {
            watched: Some(successor),
            ..self
        }
    }

    /// Reports whether `server` may be ordered. While hosts use the primary, only the server may that
    /// they watch.
    pub fn may_order(&self, server: ServerKey) -> bool {
        self.watched.is_none_or(|watched| watched == server)
    }

    /// Sets when the store has recorded the claim of the change, if it has. A host may rely on the
    /// store for a lease after it has asked for claims before that.
    pub fn with_claim(self, claimed_at: Option<Duration>) -> Closing {
        Closing { claimed_at, ..self }
    }

    /// Sets whether further hosts may use the primary besides those that confirm: in a large fleet
    /// only the electors do.
    pub fn with_other_hosts(self, has_other_hosts: bool) -> Closing {
        Closing {
            has_other_hosts,
            ..self
        }
    }

    /// Records at `now` that the primary follows, so that no host can use it.
    pub fn record_step_down(&mut self, now: Duration) {
        self.stepped_down_at.get_or_insert(now);
    }

    /// Records at `now` that `host` knows of the end, and when it last heard from other hosts.
    pub fn confirm(
        &mut self,
        host: HostKey,
        heard: impl IntoIterator<Item = (HostKey, Duration)>,
        now: Duration,
    ) {
        self.confirmed.entry(host).or_insert(now);
        for (other, at) in heard {
            let known = self.heard.entry(other).or_default();
            *known = at.max(*known);
        }
    }

    /// Records that a host which has confirmed heard at `at` from one that is not listed here.
    pub fn record_unlisted(&mut self, at: Duration) {
        self.unlisted_heard_at = self.unlisted_heard_at.max(Some(at));
    }

    /// Forgets the confirmations, which were given under another electorate.
    pub fn forget_confirmations(&mut self) {
        self.confirmed.clear();
    }

    /// Returns the hosts that have confirmed the end.
    pub fn confirmed_hosts(&self) -> BTreeSet<HostKey> {
        self.confirmed.keys().copied().collect()
    }

    /// Returns when the end was announced.
    pub fn announced_at(&self) -> Duration {
        self.announced_at
    }

    /// Reports whether `host` has confirmed the end.
    pub fn is_confirmed(&self, host: HostKey) -> bool {
        self.confirmed.contains_key(&host)
    }

    /// Returns when a host that has confirmed last heard from `host`, if known.
    pub(super) fn heard_at(&self, host: HostKey) -> Option<Duration> {
        self.heard.get(&host).copied()
    }

    /// Returns when `host` has confirmed the end, if it has.
    pub(super) fn confirmed_at(&self, host: HostKey) -> Option<Duration> {
        self.confirmed.get(&host).copied()
    }

    /// Returns when a host that has confirmed last heard from one that is not listed here.
    pub(super) fn unlisted_heard_at(&self) -> Option<Duration> {
        self.unlisted_heard_at
    }

    /// Returns when the hosts that know of the end use the primary no more.
    pub(super) fn served_until(&self) -> Duration {
        let last = self.confirmed.values().max().copied();
        last.unwrap_or_default().max(self.announced_at) + self.serves
    }

    /// Returns when the claim of the change was recorded, if it was.
    pub(super) fn claimed_at(&self) -> Option<Duration> {
        self.claimed_at
    }

    /// Returns when the primary was seen to follow, if it was.
    pub fn stepped_down_at(&self) -> Option<Duration> {
        self.stepped_down_at
    }

    /// Reports whether further hosts may use the primary besides those that confirm.
    pub(super) fn has_other_hosts(&self) -> bool {
        self.has_other_hosts
    }
}
