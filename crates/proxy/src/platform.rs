//! What the platform offers, in this project's words. An adapter implements [`Platform`].

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::leader::Role;

use crate::route::Route;
use crate::unusable::UnusableEntry;

/// Why a call to the platform has no result.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// no answer: {0}; the call may have taken effect
    Lost(String),
    /// refused for now with status {0}; nothing was done
    Unavailable(u16),
    /// the changes since the last read are no longer kept
    HistoryGone,
    /// unexpected answer: {0}
    Unexpected(String),
}

impl std::error::Error for Error {}

/// Bits of a [`Revision`] that count transactions: 10 years of 3,000 a second. Those above are of
/// the epoch; the first 8,000 of them leave the number exact as a floating-point number as well.
const COUNT_BITS: u32 = 40;

/// A place in the platform's history of changes: the epoch of its store, and the count of
/// transactions in it, in one number. A store that is restored from a copy gives counts out again;
/// places of a later epoch are after all places of earlier ones.
///
/// ```
/// use flamingopost_core::epoch::Epoch;
/// use flamingopost_proxy::platform::Revision;
///
/// let (before, after) = (Revision::new(Epoch(2), 900), Revision::new(Epoch(3), 1));
/// assert!(before < after);
/// assert_eq!((after.epoch(), after.count()), (Epoch(3), 1));
/// assert_eq!(after.to_string(), "3.1");
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl Revision {
    /// Transaction `count` of `epoch`.
    pub fn new(epoch: Epoch, count: u64) -> Revision {
        let max_count = (1 << COUNT_BITS) - 1;
        Revision(epoch.0 << COUNT_BITS | count.min(max_count))
    }

    /// The epoch of the store.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> COUNT_BITS)
    }

    /// The count of transactions in it.
    pub fn count(self) -> u64 {
        self.0 & ((1 << COUNT_BITS) - 1)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch(), self.count())
    }
}

/// Something read, and the place in history as of which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// What was read.
    pub value: T,
    /// As of when.
    pub revision: Revision,
    /// The newest change in what was read, if anything was.
    pub newest: Option<Revision>,
}

impl<T> Read<T> {
    /// The same with what `change` makes of the value.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> Read<U> {
        Read {
            value: change(self.value),
            revision: self.revision,
            newest: self.newest,
        }
    }

    /// The same with `value`, which was made of what was read.
    pub fn with<U>(&self, value: U) -> Read<U> {
        Read {
            value,
            revision: self.revision,
            newest: self.newest,
        }
    }
}

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// It only grows.
    pub version: u64,
    /// Routes by the name of the database that callers ask for.
    pub routes: BTreeMap<String, Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// How long a transaction may stay idle before it is ended.
    pub transaction_idle: Duration,
}

impl Configuration {
    /// Whether it knows the service `name`: it is listed, or a route leads to it.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use flamingopost_proxy::platform::{Configuration, Service};
    ///
    /// let ledger = Service { connections: 16, synchronous: false };
    /// let configuration = Configuration {
    ///     version: 7,
    ///     routes: BTreeMap::new(),
    ///     services: BTreeMap::from([("ledger".to_owned(), ledger)]),
    ///     transaction_idle: Duration::from_secs(3),
    /// };
    /// assert!(configuration.has_service("ledger"));
    /// assert!(!configuration.has_service("tanks"));
    /// ```
    pub fn has_service(&self, name: &str) -> bool {
        let routed = || self.routes.values().any(|route| route.service == name);
        self.services.contains_key(name) || routed()
    }
}

/// A service in the operators' configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Connections that each of its servers accepts from all hosts together.
    pub connections: u16,
    /// Whether its primary acknowledges a commit only when a replica has received it.
    pub synchronous: bool,
}

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its name, which it keeps when it starts again.
    pub id: String,
    /// Which of its starts the entry speaks of.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: String,
    /// Where it listens; the address may be used again after it has gone.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How it sees its own role.
    pub role: Role,
    /// Its entry was last changed here.
    pub revision: Revision,
}

/// An entry as it was read, which somebody else may have written.
pub type Entry<T> = Result<T, UnusableEntry>;

/// A change of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change<T> {
    /// The entry of `id` is new or has changed.
    Put(T),
    /// An entry is new or has changed, and cannot be used as it is now.
    Unusable(UnusableEntry),
    /// The entry of this id is gone.
    Removed(String),
}

impl<T> From<Entry<T>> for Change<T> {
    fn from(entry: Entry<T>) -> Change<T> {
        match entry {
            Ok(value) => Change::Put(value),
            Err(unusable) => Change::Unusable(unusable),
        }
    }
}

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it answers other hosts' questions.
    pub address: SocketAddr,
}

/// A number that the platform compares when a primary is to be changed: a call with a lower
/// one than it has seen for the service is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

impl Token {
    /// The place in the platform's history that it stands for.
    pub fn revision(self) -> Revision {
        Revision(self.0)
    }
}

impl From<Revision> for Token {
    fn from(revision: Revision) -> Token {
        Token(revision.0)
    }
}

/// Whether a claim was won.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// It was; the token is newer than any that was given out before.
    Won(Token),
    /// Somebody else holds it.
    Held {
        /// Who; nobody where the claim cannot be read.
        by: String,
        /// What to name to take it over, once its holder is known not to act on it.
        revision: Revision,
    },
}

/// Whether a record of a service that was written to is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recorded {
    /// The store did not have it.
    New,
    /// It was there.
    AlreadyPresent,
}

/// How an order to change a primary ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promotion {
    /// The server leads soon, or leads already.
    Accepted,
    /// A newer token was seen, or the server does not run.
    Refused,
}

/// How long a call may take, beside what it waits: the platform needs milliseconds, and some
/// hundreds of them while it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The platform, as an entry host uses it. Calls end within [`CALL_TIMEOUT`], those that wait for changes
/// within their wait and [`CALL_TIMEOUT`].
pub trait Platform: 'static {
    /// The configuration that the store holds, if there is one.
    fn configuration(&self)
    -> impl Future<Output = Result<Read<Vec<Entry<Configuration>>>, Error>>;

    /// Waits at most `wait` for configurations newer than `after`, in the order of their writing.
    fn next_configuration(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Vec<Entry<Configuration>>>, Error>>;

    /// All entries of backend servers.
    fn backends(&self) -> impl Future<Output = Result<Read<Vec<Entry<Backend>>>, Error>>;

    /// Waits at most `wait` for changes of the list of backend servers after `after`.
    fn next_backends(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Vec<Change<Backend>>>, Error>>;

    /// The entries of all entry hosts that have announced themselves.
    fn peers(&self) -> impl Future<Output = Result<Read<Vec<Entry<Peer>>>, Error>>;

    /// Waits at most `wait` for changes among entry hosts after `after`.
    fn next_peers(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Vec<Change<Peer>>>, Error>>;

    /// Announces this host to others. The token is newer than any that was given out before.
    fn announce(&self, peer: &Peer) -> impl Future<Output = Result<Token, Error>>;

    /// Claims the change of primary number `attempt` of `service` for `host`, or takes the claim
    /// over from a holder that is known not to act on it. A claim as it was in an earlier epoch may
    /// only be named for a store that is still in it.
    fn claim(
        &self,
        service: &str,
        attempt: u64,
        host: &str,
        take_over: Option<Revision>,
    ) -> impl Future<Output = Result<Claim, Error>>;

    /// All claims that can be read: the service and the number of the change.
    fn claims(&self) -> impl Future<Output = Result<Read<BTreeSet<(String, u64)>>, Error>>;

    /// Services to which something was written at some time, as far as hosts have recorded it.
    fn written_services(&self) -> impl Future<Output = Result<Read<BTreeSet<String>>, Error>>;

    /// Records that something was written to `service`, unless that is recorded already.
    fn record_written(
        &self,
        service: &str,
        host: &str,
    ) -> impl Future<Output = Result<Recorded, Error>>;

    /// Orders that server `id` leads `service`.
    fn promote(
        &self,
        service: &str,
        id: &str,
        host: &str,
        token: Token,
    ) -> impl Future<Output = Result<Promotion, Error>>;
}
