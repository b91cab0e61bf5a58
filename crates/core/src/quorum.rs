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
mod contact;
mod electorate;
mod group;
mod handover;
mod recording;
mod standing;
mod step;
mod store;

pub use clearance::{Basis, Clearance};
pub use closing::Closing;
use contact::Contact;
pub use electorate::{Electorate, Number};
pub use group::Group;
use group::Order;
pub use handover::{Handover, Verdict};
pub use recording::Recording;
pub use standing::Standing;
pub use step::{Evidence, Prospect, Step};
pub use store::{STORE_RENEWAL_INTERVAL, StoreLease};

/// Time between two heartbeats. Three of them fit into a lease with round trips to spare, so that
/// one lost datagram does not end a lease.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long a host may rely on the answers after it sent the requests. The time adds to that in
/// which a cut-off primary is replaced, and has to outlast the pauses of a host under load.
pub const LEASE_DURATION: Duration = Duration::from_millis(900);

/// Safety margin for waiting until a lease ends, for clocks that run at slightly different speeds.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// A host that has sent nothing for this long is left out of the next electorate.
pub const GONE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long an electorate is in force after its last renewal in the store was sent.
///
/// The store is the witness that hosts which are cut off from a majority, or are the last ones left,
/// need before they form an electorate of their own.
pub const RENEWAL_LIFETIME: Duration = Duration::from_secs(12);

/// How long it is in force while all electors answer, since one that forms a new electorate answers no
/// more. Bounds what hosts wait for that are no electors, or may not be any more, once all electors are
/// lost.
pub const UNANIMOUS_LIFETIME: Duration = Duration::from_secs(600);

/// Interval between two renewals of an electorate in the store.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The contact of one host with the other hosts, and the electorate that it has adopted.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::time::Duration;
/// use flamingopost_core::key::HostKey;
/// use flamingopost_core::names::Names;
/// use flamingopost_core::quorum::{Electorate, Group, LEASE_DURATION, Quorum};
///
/// let mut names: Names<HostKey> = Names::default();
/// let hosts = ["entry-1", "entry-2", "entry-3"].map(str::to_owned);
/// let others = ["entry-2", "entry-3"].map(|name| names.intern(name));
/// let electorate = Electorate::first(BTreeSet::from(hosts), 7);
/// let group = Group::new(&electorate.electors, "entry-1", |name| names.find(name));
/// let at = Duration::from_millis(100);
/// let mut quorum = Quorum::default();
/// quorum.set_hosts(others.into_iter().collect(), at);
/// quorum.adopt(&electorate, [group.clone(), group], at);
/// quorum.record_renewal(at);
/// quorum.record_reply(others[0], at, Some(electorate.number));
/// assert!(!quorum.holds_lease(at), "this process has just started: one of three");
/// quorum.record_reply(others[1], at, Some(electorate.number));
/// assert!(quorum.holds_lease(at));
/// assert!(!quorum.holds_lease(at + LEASE_DURATION));
/// ```
#[derive(Debug, Default)]
pub struct Quorum {
    others: BTreeMap<HostKey, Contact>,
    /// Whether this host only asks, according to the list of hosts.
    non_elector: bool,
    /// Whether the list of hosts is known.
    listed: bool,
    adopted: Option<Adopted>,
    /// Whether this process knows what a former one on its host may have confirmed.
    caught_up: bool,
    /// The earliest formation that the store had since this process started. Zero is none.
    recorded_formation: Option<u64>,
    /// When the last renewal of the electorate was sent that this host knows of.
    renewed_at: Option<Duration>,
    /// When the lease ends that this host had as it adopted the electorate.
    kept_lease: Duration,
}

/// The electorate that a host has adopted.
#[derive(Debug)]
struct Adopted {
    number: Number,
    formation: u64,
    at: Duration,
    /// Its electors and those of the electorate before. A majority of each has to agree.
    groups: [Group; 2],
    /// Whether a majority has answered this host under it.
    is_settled: bool,
}

impl Quorum {
    /// Sets the other hosts with which this one exchanges heartbeats.
    pub fn set_hosts(&mut self, others: BTreeSet<HostKey>, now: Duration) {
        self.listed = true;
        self.others.retain(|host, _| others.contains(host));
        for host in others {
            let contact = self.others.entry(host);
            contact.or_insert(Contact::new(now));
        }
    }

    /// Adopts `electorate` if it is newer than the present one. `groups` are its electors and those of
    /// the electorate before. Returns whether it was adopted.
    ///
    /// Answers under the former electorate do not count any more. A lease that rests on them lasts
    /// until its end, except if the new electorate was formed without the consent of the former one.
    pub fn adopt(&mut self, electorate: &Electorate, groups: [Group; 2], now: Duration) -> bool {
        if self
            .number()
            .is_some_and(|known| electorate.number <= known)
        {
            return false;
        }
        let known = self.adopted.as_ref().map(|it| it.formation);
        let is_agreed = known == Some(electorate.formation);
        self.kept_lease = match is_agreed {
            // The only elector has no end of its lease.
            true => {
                let end = self.lease_end().unwrap_or_default();
                self.kept_lease.max(end.min(now + LEASE_DURATION))
            }
            false => Duration::ZERO,
        };
        // No former process has confirmed anything under an electorate that was formed since this one
        // started. What other hosts have adopted does not show that, since they may be behind.
        let recorded = self.recorded_formation;
        self.caught_up |= recorded.is_some_and(|recorded| recorded < electorate.formation);
        for contact in self.others.values_mut() {
            contact.counted_at = None;
            contact.starting = None;
        }
        self.adopted = Some(Adopted {
            number: electorate.number,
            formation: electorate.formation,
            at: now,
            groups,
            is_settled: false,
        });
        self.update();
        true
    }

    /// Sets which hosts the adopted electorate consists of, after a change of the list of hosts.
    pub fn set_groups(&mut self, groups: [Group; 2]) {
        if let Some(adopted) = &mut self.adopted {
            adopted.groups = groups;
        }
    }

    /// Returns the number of the adopted electorate.
    pub fn number(&self) -> Option<Number> {
        Some(self.adopted.as_ref()?.number)
    }

    /// Returns what this host says of itself.
    pub fn standing(&self) -> Standing {
        Standing {
            number: self.number().unwrap_or_default(),
            is_caught_up: self.caught_up,
            is_settled: self.is_settled(),
        }
    }

    /// Records that the store had an electorate of `formation` at some time since this process started, or
    /// none if that is zero.
    pub fn record_formation(&mut self, formation: u64) {
        let earliest = self
            .recorded_formation
            .map_or(formation, |it| it.min(formation));
        self.recorded_formation = Some(earliest);
    }

    /// Reports whether this process knows what a former one on its host may have confirmed, so that it
    /// may extend leases.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Reports whether the list of hosts is known.
    ///
    /// Guards against a host that has just started and takes itself for the whole fleet: while the
    /// store answered no writes, such a host relied on primaries and replaced them on its own
    /// opinion alone.
    pub fn knows_hosts(&self) -> bool {
        self.listed
    }

    /// Sets whether this host is one of those whose majority counts, by the list of hosts. It decides
    /// until an electorate is adopted.
    pub fn set_elector(&mut self, is_elector: bool) {
        self.non_elector = !is_elector;
    }

    /// Reports whether this host is one of those whose majority counts.
    pub fn is_elector(&self) -> bool {
        match &self.adopted {
            Some(adopted) => adopted.groups.iter().any(|it| it.has_self()),
            None => !self.non_elector,
        }
    }

    /// Returns the other electors that this host knows how to reach.
    pub fn other_electors(&self) -> BTreeSet<HostKey> {
        match &self.adopted {
            Some(adopted) => adopted.groups[0].others().clone(),
            None => self.others.keys().copied().collect(),
        }
    }

    /// Records a message from `host`.
    pub fn record_message(&mut self, host: HostKey, now: Duration) {
        if let Some(contact) = self.others.get_mut(&host) {
            contact.heard_at = contact.heard_at.max(now);
        }
    }

    /// Records what `process` on `host` says of itself.
    pub fn record_standing(
        &mut self,
        host: HostKey,
        process: u64,
        standing: Standing,
        now: Duration,
    ) {
        let is_starting = Some(standing.number) == self.number() && !standing.is_caught_up;
        let Some(contact) = self.others.get_mut(&host) else {
            return;
        };
        contact.record_standing(process, standing, is_starting, now);
    }

    /// Reports whether `host` names the electorate in what it says.
    pub fn names_electorate(&self, host: HostKey) -> bool {
        let contact = self.others.get(&host);
        contact.is_some_and(|it| it.standing.is_some())
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

    /// Records that `host` has answered a request sent at `sent`, as an elector of the electorate
    /// numbered `under`. An answer under another electorate than the present one does not count. A host
    /// of an earlier build names none.
    pub fn record_reply(&mut self, host: HostKey, sent: Duration, under: Option<Number>) {
        let is_counted = under.is_none() || under == self.number();
        if let Some(contact) = self.others.get_mut(&host) {
            contact.answered_at = contact.answered_at.max(Some(sent));
            if is_counted {
                contact.counted_at = contact.counted_at.max(Some(sent));
                self.update();
            }
        }
    }

    /// Reports whether `host` has not answered yet under the present electorate, and would.
    pub fn lacks_answer(&self, host: HostKey) -> bool {
        let contact = self.others.get(&host);
        contact.is_some_and(|it| {
            let standing = it.standing.filter(|standing| standing.is_caught_up);
            it.counted_at.is_none() && standing.map(|it| it.number) == self.number()
        })
    }

    /// Returns when the newest request was sent that `host` has answered under the present electorate.
    fn counted_at(&self, host: HostKey) -> Option<Duration> {
        self.others.get(&host)?.counted_at
    }

    /// Records that the electorate was renewed in the store by a call that was sent at `at` or later.
    pub fn record_renewal(&mut self, at: Duration) {
        self.renewed_at = self.renewed_at.max(Some(at));
    }

    /// Returns the time since the last renewal of the electorate that this host knows of.
    pub fn renewal_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.renewed_at?))
    }

    /// Reports whether a majority of hosts has answered recently, so that this host may rely on a
    /// primary at `now`: send it what only a primary may run, and acknowledge its writes.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.is_answered(now) && self.is_in_force(now)
    }

    /// Reports whether a majority of hosts has answered recently.
    fn is_answered(&self, now: Duration) -> bool {
        now < self.kept_lease.max(self.lease_end().unwrap_or_default())
    }

    /// Returns when the lease ends that rests on the answers under the present electorate.
    fn lease_end(&self) -> Option<Duration> {
        let own = self.caught_up.then_some(Duration::MAX);
        let counted_at = |host| self.counted_at(host);
        let answered = self.done_by_most(own, counted_at, Order::Newest)?;
        Some(answered.saturating_add(LEASE_DURATION))
    }

    /// Returns when a majority of each group had done something.
    fn done_by_most(
        &self,
        own: Option<Duration>,
        done_at: impl Fn(HostKey) -> Option<Duration>,
        order: Order,
    ) -> Option<Duration> {
        let [electors, former] = &self.adopted.as_ref()?.groups;
        let electors = electors.done_by_most(own, &done_at, order)?;
        let former = former.done_by_most(own, &done_at, order)?;
        Some(match order {
            Order::Oldest => electors.max(former),
            Order::Newest => electors.min(former),
        })
    }

    /// Reports whether no other electorate can have been formed without the consent of the present one.
    fn is_in_force(&self, now: Duration) -> bool {
        let age = self.renewal_age(now);
        let is_unanimous = || age.is_some_and(|age| age < UNANIMOUS_LIFETIME);
        age.is_some_and(|age| age < RENEWAL_LIFETIME) || is_unanimous() && self.is_unanimous(now)
    }

    /// Reports whether all electors have answered recently.
    fn is_unanimous(&self, now: Duration) -> bool {
        let counted_at = |host| self.counted_at(host);
        let has_answered = |host| counted_at(host).is_some_and(|at| now < at + LEASE_DURATION);
        let groups = self.adopted.iter().flat_map(|it| &it.groups);
        let mut groups = groups.map(|it| it.count(self.caught_up, has_answered) == it.size());
        self.adopted.is_some() && groups.all(|it| it)
    }

    fn is_settled(&self) -> bool {
        self.adopted.as_ref().is_some_and(|it| it.is_settled)
    }

    /// Reports whether at least one of the hosts that have confirmed the end of a term, which are a
    /// majority, has answered this one, even if this host was another of them and has forgotten that in
    /// a restart.
    fn is_answered_by_most(&self) -> bool {
        let has_answered = |host| self.counted_at(host).is_some();
        match &self.adopted {
            Some(adopted) => {
                let mut groups = adopted.groups.iter();
                groups.all(|it| it.meets_each_majority(it.count(false, has_answered)))
            }
            None => {
                let answered = self.others.values().filter(|it| it.answered_at.is_some());
                answered.count() * 2 > self.others.len()
            }
        }
    }

    /// Records what follows from the answers so far.
    fn update(&mut self) {
        self.caught_up |= self.is_answered_by_most();
        let is_settled = self.lease_end().is_some();
        if let Some(adopted) = &mut self.adopted {
            adopted.is_settled |= is_settled;
        }
    }

    /// Returns the number of other hosts with which this one exchanges heartbeats.
    pub fn host_count(&self) -> usize {
        self.others.len()
    }

    /// Returns the other hosts that have sent nothing for [`GONE_TIMEOUT`].
    pub fn gone_hosts(&self, now: Duration) -> BTreeSet<HostKey> {
        let gone = |contact: &Contact| now >= contact.heard_at + GONE_TIMEOUT;
        let others = self.others.iter().filter(|(_, contact)| gone(contact));
        others.map(|(host, _)| *host).collect()
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
    pub fn leases_end(&self, answered: &BTreeSet<HostKey>) -> Duration {
        let unanswered = self.others.iter();
        let unanswered = unanswered.filter(|(host, _)| !answered.contains(host));
        let until = unanswered.map(|(_, contact)| contact.heard_at + LEASE_DURATION + CLOCK_MARGIN);
        until.max().unwrap_or_default()
    }

    /// Returns from when on the successor may be ordered, and why: no host uses the primary of the term
    /// whose end was announced. A promotion may take any time, so the successor may lead at once. Returns
    /// `None` while too few electors have confirmed the end, however long they are silent: they may extend
    /// each other's leases without this host.
    ///
    /// Hosts that confirm stop by themselves. Once a majority has confirmed, any other may hold a lease,
    /// which ends a lease's duration after:
    ///
    /// - it was last heard by this host or one that has confirmed, or
    /// - a majority has confirmed, since each majority that answers it later includes a host that
    ///   tells it of the end, and
    /// - the change was claimed, if the host relies on the claims in the store.
    ///
    /// A lease under the electorate before may last as long after this host has adopted the present one.
    pub fn order_from(&self, closing: &Closing, now: Duration) -> Option<Clearance> {
        if let Some(from) = closing.stepped_down_at() {
            let basis = Basis::SteppedDown;
            return Some(Clearance { from, basis });
        }
        let adopted = self.adopted.as_ref().filter(|_| self.is_in_force(now))?;
        let own = self.caught_up.then_some(closing.announced_at());
        let confirmed_at = |host| closing.confirmed_at(host);
        let known_at = self.done_by_most(own, confirmed_at, Order::Oldest)?;
        let unconfirmed = self.others.iter();
        let unconfirmed = unconfirmed.filter(|(host, _)| !closing.is_confirmed(**host));
        let heard = unconfirmed.map(|(host, contact)| {
            let heard_at = closing.heard_at(*host).unwrap_or_default();
            heard_at.max(contact.heard_at)
        });
        let heard = heard.chain(closing.unlisted_heard_at());
        let last_contact = heard.map(|heard_at| known_at.min(heard_at));
        let others = closing.has_other_hosts().then_some(known_at);
        let lease_begin = last_contact.max().max(others);
        let lease_begin = lease_begin.map(|at| at.max(closing.claimed_at().unwrap_or_default()));
        let basis = match lease_begin {
            None => Basis::AllConfirmed,
            Some(_) => Basis::MajorityConfirmed,
        };
        let lease_begin = lease_begin.max(Some(adopted.at)).unwrap_or_default();
        let leases_end = lease_begin + LEASE_DURATION + CLOCK_MARGIN;
        Some(Clearance {
            from: closing.served_until().max(leases_end),
            basis,
        })
    }
}
