//! Write leases as an entry host holds them: one for each shard of services.
//!
//! The loop of an entry host, for each shard:
//!
//! 1. every [`timing::RENEWAL`](crate::timing::RENEWAL), take a [`Ticket`] with
//!    [`LeaseHolder::renewal_sent`] *before* the renewal goes on the wire;
//! 2. hand the controller's answer to [`LeaseHolder::on_granted`] with that ticket;
//! 3. hand a revocation to [`LeaseHolder::close`] and send back what it returns;
//! 4. hand a pushed view to [`LeaseHolder::adopt`];
//! 5. for each write: ask [`LeaseHolder::leader`] where it goes and under which term, and when the
//!    backend server has answered, ask [`LeaseHolder::acknowledge`] whether the caller may be told.

#[path = "lease_ledger.rs"]
mod ledger;

use std::collections::BTreeMap;
use std::time::Duration;

pub use ledger::{Instance, Ledger};

use crate::history::History;
use crate::invariant::{self, Invariant};
use crate::key::{ServerKey, ServiceKey};
use crate::position::Position;
use crate::term::Term;
use crate::timing;
use crate::view::{self, State, Version};

/// The leases of one entry host process.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::key::{ServerKey, ServiceKey};
/// use flamingopost_core::lease::{Acknowledge, LeaseHolder};
/// use flamingopost_core::position::Position;
/// use flamingopost_core::term::Term;
/// use flamingopost_core::view::{Service, Shard, State, Version};
///
/// let (service, primary) = (ServiceKey::default(), ServerKey::default());
/// let term = Term { epoch: 1, count: 0 };
/// let mut view = Shard { version: Version { epoch: 1, change: 0 }, ..Shard::default() };
/// view.services.insert(service, Service::new(State::Open { term, primary }));
///
/// let mut holder = LeaseHolder::new(7);
/// let sent = Duration::from_secs(10);
/// let ticket = holder.renewal_sent(0, sent);
/// let lease = Duration::from_secs(2);
/// holder.granted(ticket, view.version, lease, Some(view), sent);
///
/// let position = Position { term, log: 5 };
/// let in_time = sent + Duration::from_secs(1);
/// assert_eq!(holder.acknowledge(service, term, position, in_time), Acknowledge::Done);
/// let too_late = sent + lease;
/// assert_eq!(holder.acknowledge(service, term, position, too_late), Acknowledge::Unknown);
/// ```
#[derive(Debug)]
pub struct LeaseHolder {
    incarnation: u64,
    shards: BTreeMap<u16, Lease>,
    shard_of: BTreeMap<ServiceKey, u16>,
    acknowledged: BTreeMap<ServiceKey, Position>,
}

#[derive(Debug, Default)]
struct Lease {
    view: Option<view::Shard>,
    until: Option<Duration>,
    given_up: bool,
}

/// A renewal that is on its way, and when it was sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    shard: u16,
    sent: Duration,
}

/// What a grant led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Granted {
    /// The lease runs until this time, exclusive.
    Until(Duration),
    /// It is for an older view than the one acted by, or its view was missing: no lease came of
    /// it. The next renewal names the version acted by.
    NoLease,
}

/// What became of a view that another process sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopted {
    /// It is newer and acted by from now on.
    Newer,
    /// It is the one already acted by, or older.
    Kept,
}

/// Who leads a service, as far as this host may act on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leader {
    /// Writes may be sent to `primary` and acknowledged.
    Open {
        /// The term.
        term: Term,
        /// Its primary.
        primary: ServerKey,
    },
    /// `primary` led when the lease ran out; a write sent now could not be acknowledged.
    Lapsed {
        /// The term.
        term: Term,
        /// Its primary.
        primary: ServerKey,
        /// When the lease ran out; zero where there never was one.
        since: Duration,
    },
    /// A promotion is under way.
    Closed {
        /// The term that is over.
        term: Term,
    },
    /// No view names the service.
    Unknown,
}

/// Whether a caller may be told that its write is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Acknowledge {
    /// It may; the position is recorded.
    Done,
    /// It may not, because the term may be over: the outcome is unknown.
    Unknown,
}

impl LeaseHolder {
    /// A holder without leases. `incarnation` tells this process from an earlier one on the host.
    pub fn new(incarnation: u64) -> LeaseHolder {
        LeaseHolder {
            incarnation,
            shards: BTreeMap::new(),
            shard_of: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// The number this process drew at its start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Notes that a renewal for `shard` is sent at `now`. Call it before the renewal is sent: the
    /// lease is counted from here, and so never outlasts what the controller counts from its
    /// receipt, however long the renewal or the answer is under way.
    pub fn renewal_sent(&mut self, shard: u16, now: Duration) -> Ticket {
        Ticket { shard, sent: now }
    }

    /// Takes the controller's answer to the renewal of `ticket`: a lease of `valid` on `version`,
    /// and the view where it is newer than the one that the renewal named.
    pub fn on_granted(
        &mut self,
        ticket: Ticket,
        version: Version,
        valid: Duration,
        view: Option<view::Shard>,
        now: Duration,
    ) -> Granted {
        if let Some(view) = view {
            self.adopt(ticket.shard, view);
        }
        // A grant that was overtaken by a revocation, or whose view never came. The controller
        // counts every lease that it granted until it ends, so this is a second guard: a lease
        // always covers the very view that its holder acts by.
        if self.version(ticket.shard) != Some(version) {
            return Granted::NoLease;
        }
        let until = ticket.sent + timing::less_drift(valid);
        let lease = self.shards.entry(ticket.shard).or_default();
        if valid.is_zero() || until <= now || lease.given_up {
            return Granted::NoLease;
        }
        let until = lease.until.map_or(until, |earlier| earlier.max(until));
        lease.until = Some(until);
        Granted::Until(until)
    }

    /// Ends the lease of `shard` for as long as this process lives. Call it before the renewal
    /// that says so is sent: the controller promotes without waiting for this host as soon as it
    /// has that renewal, while a request may still be running here, or an earlier grant be on
    /// its way.
    pub fn give_up(&mut self, shard: u16) {
        let lease = self.shards.entry(shard).or_default();
        lease.given_up = true;
        lease.until = None;
    }

    /// Acts by `view` from now on if it is newer than the one acted by.
    ///
    /// A running lease goes on under the newer view: whoever made that view counts this host's
    /// lease until it ends, whichever version it was granted on.
    pub fn adopt(&mut self, shard: u16, view: view::Shard) -> Adopted {
        let current = self.version(shard);
        if current.is_some_and(|current| current >= view.version) {
            return Adopted::Kept;
        }
        for service in view.services.keys() {
            self.shard_of.insert(*service, shard);
        }
        self.shards.entry(shard).or_default().view = Some(view);
        Adopted::Newer
    }

    /// Acts by `view`, which closes terms, and returns the highest position acknowledged for each
    /// service of the shard since this process started.
    ///
    /// [`LeaseHolder::acknowledge`] takes the same `&mut self`, so no write of a closed term can be
    /// acknowledged once this has returned, and none that was is missing from the result.
    pub fn close(&mut self, shard: u16, view: view::Shard) -> BTreeMap<ServiceKey, Position> {
        self.adopt(shard, view);
        self.acknowledged
            .iter()
            .filter(|(service, _)| self.shard_of.get(service) == Some(&shard))
            .map(|(service, position)| (*service, *position))
            .collect()
    }

    /// Who leads `service` at `now`.
    pub fn leader(&self, service: ServiceKey, now: Duration) -> Leader {
        let Some((lease, state)) = self.state(service) else {
            return Leader::Unknown;
        };
        match state {
            State::Closed { term } => Leader::Closed { term },
            State::Open { term, primary } if lease.covers(now) => Leader::Open { term, primary },
            State::Open { term, primary } => Leader::Lapsed {
                term,
                primary,
                since: lease.until.unwrap_or_default(),
            },
        }
    }

    /// Whether a write that was sent under `term`, and that the backend server has answered with
    /// `position`, may be acknowledged to its caller at `now`. Read the clock for `now` after the
    /// answer came, and answer the caller next.
    pub fn acknowledge(
        &mut self,
        service: ServiceKey,
        term: Term,
        position: Position,
        now: Duration,
    ) -> Acknowledge {
        // The old primary of a cut-off zone, or one that was promoted under this host's feet,
        // answers with a position of another term than the one the write was sent under.
        if position.term != term {
            return Acknowledge::Unknown;
        }
        // The lease may have lapsed, or the term may have been closed, while the statement ran
        // or while this process was paused: only a check after the answer sees that.
        match self.leader(service, now) {
            Leader::Open { term: open, .. } if open == term => {
                self.record_acknowledged(service, position)
            }
            _ => Acknowledge::Unknown,
        }
    }

    /// Where each term of `service` began.
    pub fn history(&self, service: ServiceKey) -> Option<&History> {
        self.service(service).map(|service| &service.history)
    }

    /// What the view acted by says of `service`.
    pub fn service(&self, service: ServiceKey) -> Option<&view::Service> {
        let shard = self.shard_of.get(&service)?;
        let view = self.shards.get(shard)?.view.as_ref()?;
        view.services.get(&service)
    }

    /// How long the lease of `shard` still runs.
    pub fn time_left(&self, shard: u16, now: Duration) -> Duration {
        let until = self.shards.get(&shard).and_then(|lease| lease.until);
        until.unwrap_or_default().saturating_sub(now)
    }

    /// Version of the view acted by for `shard`.
    pub fn version(&self, shard: u16) -> Option<Version> {
        let view = self.shards.get(&shard)?.view.as_ref()?;
        Some(view.version)
    }

    /// The view acted by for `shard`.
    pub fn view(&self, shard: u16) -> Option<&view::Shard> {
        self.shards.get(&shard)?.view.as_ref()
    }

    /// The highest position acknowledged for `service` since this process started.
    pub fn acknowledged(&self, service: ServiceKey) -> Option<Position> {
        self.acknowledged.get(&service).copied()
    }

    fn record_acknowledged(&mut self, service: ServiceKey, position: Position) -> Acknowledge {
        let highest = self.acknowledged.entry(service).or_insert(position);
        let earlier = *highest;
        *highest = earlier.max(position);
        invariant::check(
            Invariant::ReplacedPrimary,
            earlier.term <= position.term,
            || format!("acknowledged {position} after {earlier}"),
        );
        Acknowledge::Done
    }

    fn state(&self, service: ServiceKey) -> Option<(&Lease, State)> {
        let shard = self.shard_of.get(&service)?;
        let lease = self.shards.get(shard)?;
        let state = lease.view.as_ref()?.services.get(&service)?.state;
        Some((lease, state))
    }
}

impl Lease {
    fn covers(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
