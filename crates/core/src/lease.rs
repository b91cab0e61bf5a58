//! Write leases held by an entry host: one for each shard of services.
//!
//! For each shard, an entry host does the following:
//!
//! 1. every [`timing::RENEWAL_INTERVAL`], take a [`Ticket`] with
//!    [`LeaseHolder::renewal_sent`] *before* the renewal is sent;
//! 2. pass the controller's answer to [`LeaseHolder::on_granted`] with that ticket;
//! 3. pass a revocation to [`LeaseHolder::close`] and send back what it returns;
//! 4. pass a pushed view to [`LeaseHolder::adopt`];
//! 5. for each write: get its primary and its term from [`LeaseHolder::leader`], and after the
//!    backend server has answered, check with [`LeaseHolder::acknowledge`] whether the write may
//!    be acknowledged to the caller.

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
/// holder.on_granted(ticket, view.version, lease, Some(view), sent);
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
    /// The shard of each service.
    shard_of: BTreeMap<ServiceKey, u16>,
    /// The highest position acknowledged for each service.
    acknowledged: BTreeMap<ServiceKey, Position>,
}

#[derive(Debug, Default)]
struct Lease {
    view: Option<view::Shard>,
    /// When the lease ends; `None` if none was granted.
    until: Option<Duration>,
    /// Whether this process gave up the lease permanently.
    given_up: bool,
}

/// A renewal in progress, with the time at which it was sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    shard: u16,
    sent: Duration,
}

/// The result of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Granted {
    /// The lease runs until this time, exclusive.
    Until(Duration),
    /// No lease follows from the grant: it is for another view than the current one, its view is
    /// missing, it has expired, or the lease was given up. The next renewal names the current
    /// version.
    NoLease,
}

/// The result of receiving a view from another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopted {
    /// The view is newer and is now the current one.
    Newer,
    /// The view is not newer, and the current one is kept.
    Kept,
}

/// The leader of a service, as far as this host may send writes to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leader {
    /// Writes may be sent to `primary` and acknowledged.
    Open {
        /// The term.
        term: Term,
        /// Its primary.
        primary: ServerKey,
    },
    /// `primary` led when the lease lapsed. A write sent now could not be acknowledged.
    Lapsed {
        /// The term.
        term: Term,
        /// Its primary.
        primary: ServerKey,
        /// When the lease lapsed; zero if there never was one.
        since: Duration,
    },
    /// A promotion is in progress.
    Closed {
        /// The term that is over.
        term: Term,
    },
    /// No view contains the service.
    Unknown,
}

/// Whether a write may be acknowledged to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Acknowledge {
    /// The write may be acknowledged, and its position is recorded.
    Done,
    /// The write may not be acknowledged, because its term may be over. Its outcome is unknown.
    Unknown,
}

impl LeaseHolder {
    /// Creates a holder without leases. `incarnation` distinguishes this process from earlier ones
    /// on the host.
    pub fn new(incarnation: u64) -> LeaseHolder {
        LeaseHolder {
            incarnation,
            shards: BTreeMap::new(),
            shard_of: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records that a renewal for `shard` is sent at `now`.
    ///
    /// Must be called before the renewal is sent. The lease is counted from this time, and so never
    /// outlasts the controller's count, which starts when it receives the renewal, however long the
    /// renewal or the answer takes.
    pub fn renewal_sent(&mut self, shard: u16, now: Duration) -> Ticket {
        Ticket { shard, sent: now }
    }

    /// Handles the grant that answers the renewal of `ticket`: a lease of duration `valid` for view
    /// `version`, and the view itself if it is newer than the one that the renewal named.
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
        // The grant was overtaken by a revocation, or its view was never received. The controller
        // tracks every lease that it granted until it ends, so this is a second safeguard: a lease
        // is always for the view that its holder uses.
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

    /// Ends the lease of `shard` for the lifetime of this process.
    ///
    /// Must be called before the renewal that reports it is sent. Once the controller has received
    /// that renewal it promotes without waiting for this host, while a request may still be running
    /// here or an earlier grant may still arrive.
    pub fn give_up(&mut self, shard: u16) {
        let lease = self.shards.entry(shard).or_default();
        lease.given_up = true;
        lease.until = None;
    }

    /// Makes `view` the current view of `shard` if it is newer than the present one.
    ///
    /// A running lease stays valid under the newer view: the controller that made the view counts
    /// this host's lease until it ends, regardless of the version that it was granted for.
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

    /// Adopts `view`, which closes terms, and returns the highest position acknowledged for each
    /// service of the shard since this process started.
    ///
    /// [`LeaseHolder::acknowledge`] takes the same `&mut self`. No write of a closed term can
    /// therefore be acknowledged after this has returned, and the result includes every write that
    /// was acknowledged before.
    pub fn close(&mut self, shard: u16, view: view::Shard) -> BTreeMap<ServiceKey, Position> {
        self.adopt(shard, view);
        self.acknowledged
            .iter()
            .filter(|(service, _)| self.shard_of.get(service) == Some(&shard))
            .map(|(service, position)| (*service, *position))
            .collect()
    }

    /// Returns the leader of `service` at `now`.
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

    /// Decides whether a write may be acknowledged to its caller at `now`, and records it if so.
    ///
    /// The write was sent under `term`, and the backend server answered with `position`. `now` must
    /// be read from the clock after the server's answer arrived, and the caller must be answered
    /// right afterwards.
    pub fn acknowledge(
        &mut self,
        service: ServiceKey,
        term: Term,
        position: Position,
        now: Duration,
    ) -> Acknowledge {
        // An old primary in a partitioned zone, or one that was promoted after the write was sent,
        // answers with a position of another term than the one that the write was sent under.
        if position.term != term {
            return Acknowledge::Unknown;
        }
        // The lease may have lapsed, or the term may have been closed, while the statement ran
        // or while this process was paused. Only a check after the answer detects that.
        match self.leader(service, now) {
            Leader::Open { term: open, .. } if open == term => self.record(service, position),
            _ => Acknowledge::Unknown,
        }
    }

    /// Returns where each term of `service` began.
    pub fn history(&self, service: ServiceKey) -> Option<&History> {
        self.service(service).map(|service| &service.history)
    }

    /// Returns the state of `service` in the current view.
    pub fn service(&self, service: ServiceKey) -> Option<&view::Service> {
        let shard = self.shard_of.get(&service)?;
        let view = self.shards.get(shard)?.view.as_ref()?;
        view.services.get(&service)
    }

    /// Returns how long the lease of `shard` still runs.
    pub fn time_left(&self, shard: u16, now: Duration) -> Duration {
        let until = self.shards.get(&shard).and_then(|lease| lease.until);
        until.unwrap_or_default().saturating_sub(now)
    }

    /// Returns the version of the current view of `shard`.
    pub fn version(&self, shard: u16) -> Option<Version> {
        let view = self.shards.get(&shard)?.view.as_ref()?;
        Some(view.version)
    }

    /// Returns the current view of `shard`.
    pub fn view(&self, shard: u16) -> Option<&view::Shard> {
        self.shards.get(&shard)?.view.as_ref()
    }

    /// Returns the highest position acknowledged for `service` since this process started.
    pub fn acknowledged(&self, service: ServiceKey) -> Option<Position> {
        self.acknowledged.get(&service).copied()
    }

    fn record(&mut self, service: ServiceKey, position: Position) -> Acknowledge {
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
