//! Choice of where a host reads one of the platform's feeds: at the store, or at another host that
//! follows the store.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::HostKey;

/// How long a host that could not be reached, or does not follow the store, is not asked again. A
/// host of the former build never answers, and each attempt costs a connection.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(5);

/// How long a host that was behind the others is not asked again.
const BEHIND_PAUSE: Duration = Duration::from_secs(5);

/// How long a host that cannot read the store is not asked again, except for the end of the outage
/// if no other host can read it either. All followers ask all such hosts at this interval.
const OUTAGE_PAUSE: Duration = Duration::from_secs(10);

/// Where to read a feed next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// At the store.
    Store,
    /// At this host.
    Host(HostKey),
    /// At this host, which cannot read the store and answers when it can. No host in contact can
    /// read the store.
    Recovering(HostKey),
}

/// Reason for which a host has not delivered a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It does not answer, its answer is invalid, or it does not follow the store itself.
    Unusable,
    /// It cannot read the store at present.
    Outage,
    /// It has read less than other hosts.
    Behind,
}

/// Why the next read has to go to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreRead {
    /// Nothing was read yet.
    First,
    /// Other hosts have read more than the host that was asked last.
    Behind,
}

/// Chooses the source of one feed.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::feed::source::{Failure, Selector, Source};
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::names::Names;
///
/// let at = Duration::from_secs;
/// let mut names: Names<HostKey> = Names::default();
/// let relays = [names.intern("entry-2"), names.intern("entry-3")];
/// let mut selector = Selector::default();
/// assert_eq!(selector.next(&relays, at(0)), Source::Store, "nothing was read yet");
/// selector.record_store_answer();
/// assert_eq!(selector.next(&relays, at(0)), Source::Host(relays[0]));
/// selector.record_failure(relays[0], Failure::Outage, at(1));
/// assert_eq!(selector.next(&relays, at(1)), Source::Host(relays[1]));
/// selector.record_failure(relays[1], Failure::Behind, at(2));
/// assert_eq!(selector.next(&relays, at(2)), Source::Store);
/// ```
#[derive(Debug)]
pub struct Selector {
    store_read: Option<StoreRead>,
    /// Hosts that are not asked for the moment.
    paused: BTreeMap<HostKey, Pause>,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Duration,
    failure: Failure,
}

impl Default for Selector {
    fn default() -> Selector {
        Selector {
            store_read: Some(StoreRead::First),
            paused: BTreeMap::new(),
        }
    }
}

impl Selector {
    /// Returns the selector of a feed that may be read at another host from the first read on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_core::feed::source::{Selector, Source};
    /// use flamingopost_core::key::HostKey;
    /// use flamingopost_core::names::Names;
    ///
    /// let mut names: Names<HostKey> = Names::default();
    /// let relay = names.intern("entry-2");
    /// let mut selector = Selector::from_any_source();
    /// assert_eq!(selector.next(&[relay], Duration::ZERO), Source::Host(relay));
    /// assert_eq!(selector.next(&[], Duration::ZERO), Source::Store);
    /// ```
    pub fn from_any_source() -> Selector {
        Selector {
            store_read: None,
            paused: BTreeMap::new(),
        }
    }

    /// Returns where to read next. `relays` are the hosts in contact that follow the store, in
    /// order of preference. It is empty if this host has to read the store itself.
    pub fn next(&mut self, relays: &[HostKey], now: Duration) -> Source {
        self.paused.retain(|_, pause| now < pause.until);
        if relays.is_empty() || self.store_read.is_some() {
            return Source::Store;
        }
        if let Some(host) = relays.iter().find(|host| !self.paused.contains_key(host)) {
            return Source::Host(*host);
        }
        // The host whose report is the oldest is the most likely to have recovered.
        let recovering = relays.iter().filter_map(|host| {
            let pause = self.paused.get(host)?;
            (pause.failure == Failure::Outage).then_some((pause.until, *host))
        });
        match recovering.min_by_key(|(until, _)| *until) {
            Some((_, host)) => Source::Recovering(host),
            None => Source::Store,
        }
    }

    /// Records that the store has answered.
    pub fn record_store_answer(&mut self) {
        self.store_read = None;
    }

    /// Records that the store has not answered. A host that was behind asks the other hosts next,
    /// because the store may turn away this host only.
    pub fn record_store_failure(&mut self) {
        if self.store_read == Some(StoreRead::Behind) {
            self.store_read = None;
        }
    }

    /// Records that `host` has answered.
    pub fn record_host_answer(&mut self, host: HostKey) {
        self.paused.remove(&host);
    }

    /// Records that `host` has not delivered the feed.
    pub fn record_failure(&mut self, host: HostKey, failure: Failure, now: Duration) {
        let pause = match failure {
            Failure::Unusable => UNREACHABLE_PAUSE,
            Failure::Outage => OUTAGE_PAUSE,
            Failure::Behind => {
                self.store_read = Some(StoreRead::Behind);
                BEHIND_PAUSE
            }
        };
        let until = now + pause;
        self.paused.insert(host, Pause { until, failure });
    }
}
