//! The platform that an entry host runs on, in terms of this project. An adapter implements
//! [`Platform`].

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::leader::Role;
use flamingopost_core::quorum::Electorate;

use crate::route::Route;
use crate::team::Directory;
use crate::unusable::UnusableEntry;

/// Reason for which a call to the platform has no result.
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

/// Number of low bits of a [`Revision`] that count transactions, enough for 10 years of 3,000 a
/// second. The bits above hold the epoch. The number is exact as a floating-point number for the
/// first 8,000 epochs.
const COUNT_BITS: u32 = 40;

/// The latest epoch that a revision can name.
pub const MAX_EPOCH: Epoch = Epoch(u64::MAX >> COUNT_BITS);

/// A position in the platform's history of changes: the epoch of its store and the count of
/// transactions in that epoch, combined in one number. A store that is restored from a backup
/// reuses counts, and every revision of a later epoch is greater than all revisions of earlier
/// ones.
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
    /// Creates the revision of transaction `count` in `epoch`.
    pub fn new(epoch: Epoch, count: u64) -> Revision {
        let max_count = (1 << COUNT_BITS) - 1;
        Revision(epoch.min(MAX_EPOCH).0 << COUNT_BITS | count.min(max_count))
    }

    /// Returns the epoch of the store.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> COUNT_BITS)
    }

    /// Returns the count of transactions in the epoch.
    pub fn count(self) -> u64 {
        self.0 & ((1 << COUNT_BITS) - 1)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch(), self.count())
    }
}

/// A value read from the store, and the revision as of which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// The value.
    pub value: T,
    /// The revision as of which it was read.
    pub revision: Revision,
    /// Revision of the newest change in what was read, if there is any.
    pub newest: Option<Revision>,
}

impl<T> Read<T> {
    /// Applies `change` to the value.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> Read<U> {
        Read {
            value: change(self.value),
            revision: self.revision,
            newest: self.newest,
        }
    }

    /// Replaces the value by one derived from it.
    pub fn with<U>(&self, value: U) -> Read<U> {
        Read {
            value,
            revision: self.revision,
            newest: self.newest,
        }
    }
}

/// Upper bound of every time in a configuration. Longer ones are clamped to it, which makes no practical
/// difference and keeps sums with the clock's time far from overflow.
pub const LONGEST_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// The version, which only increases.
    pub version: u64,
    /// Routes by the database name that callers ask for.
    pub routes: BTreeMap<String, Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// The teams and their API keys, or `None` if callers need no key.
    pub teams: Option<Directory>,
    /// How long a transaction may stay idle before it is ended.
    pub transaction_idle: Duration,
}

impl Configuration {
    /// Reports whether the configuration contains the service `name`, in its services or as the
    /// target of a route.
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
    ///     teams: None,
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
    /// Whether its primary acknowledges a commit only after a replica has received it.
    pub synchronous: bool,
}

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Id of the server, which is the same after a restart.
    pub id: String,
    /// The incarnation that the entry describes.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: String,
    /// The address it listens on, which may be reused after the server has left.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Its role, as reported by itself.
    pub role: Role,
    /// Revision of the newest change to the entry.
    pub revision: Revision,
}

/// An entry read from the store. Any writer of the store may have written it.
pub type Entry<T> = Result<T, UnusableEntry>;

/// A change of one of the platform's lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change<T> {
    /// An entry is new or has changed.
    Put(T),
    /// An entry is new or has changed and cannot be used in its present form.
    Unusable(UnusableEntry),
    /// The entry with this id was removed.
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
    /// The address where it receives messages from other hosts.
    pub address: SocketAddr,
    /// Its strength, if it has announced one. Hosts of earlier builds do not.
    pub strength: Option<Strength>,
    /// Version of the messages that it understands.
    pub protocol: u16,
}

/// The processor share of a host, in thousandths of a core.
///
/// ```
/// use flamingopost_proxy::platform::Strength;
///
/// assert!(Strength(1_000) > Strength(120));
/// assert_eq!((Strength(1_000).places(), Strength(120).places()), (16, 2));
/// assert_eq!(Strength(0).places(), 1);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strength(pub u32);

impl Strength {
    /// Processor share for each place that a host has in an order of hosts, in thousandths of a core.
    const PER_PLACE: u32 = 60;

    /// Maximum number of places, which bounds the cost of an order: that of four cores.
    const MAX_PLACES: u32 = 64;

    /// Returns the number of places that a host has in an order of hosts, of which the first counts.
    /// Its share of the tasks is proportional to that.
    pub fn places(self) -> u32 {
        (self.0 / Strength::PER_PLACE).clamp(1, Strength::MAX_PLACES)
    }
}

/// A fencing token. The platform refuses an order to change a primary if its token is lower than
/// one already seen for the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

impl Token {
    /// Returns the revision that the token corresponds to.
    pub fn revision(self) -> Revision {
        Revision(self.0)
    }
}

impl From<Revision> for Token {
    fn from(revision: Revision) -> Token {
        Token(revision.0)
    }
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The claim was won. The token is newer than any issued before.
    Won(Token),
    /// Another host holds the claim.
    Held {
        /// Name of the holder, empty if the claim cannot be read.
        by: String,
        /// Revision to pass in order to take the claim over, once its holder is known not to act on
        /// it.
        revision: Revision,
        /// Revision at which the holder has won the claim, which is the token of its order.
        won_at: Revision,
        /// What has become of its order.
        state: ClaimState,
    },
}

/// What a claim says of the order that its holder was to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// None was about to be given.
    Claimed,
    /// The order of this server was about to be given. It may be carried out as long as nobody has
    /// settled the claim.
    Named(String),
    /// None is carried out any more, and the primary was not replaced.
    Settled,
}

/// Why no order under a claim is carried out any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Settlement {
    /// its holder is gone and had named no server
    NotNamed,
    /// the platform has not carried it out in the time that it may take
    NotCarriedOut,
}

/// A claim in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// What it says of its order.
    pub state: ClaimState,
    /// Revision at which it was last changed.
    pub revision: Revision,
}

/// The claims on changes of primaries in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Claims {
    /// The claimed changes, by service and change number.
    pub changes: BTreeMap<(String, u64), ClaimRecord>,
    /// The newest epoch in which hosts have verified that no claim is missing.
    pub verified_in: Epoch,
    /// The record of the electorate as of the same moment, if there is one.
    pub electorate: Option<RecordedElectorate>,
    /// Rows that cannot be used.
    pub unusable: Vec<UnusableEntry>,
}

/// The electorate as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedElectorate {
    /// The electorate, unless its record cannot be read.
    pub electorate: Option<Electorate>,
    /// Revision of its record, which is new after each renewal.
    pub revision: Revision,
}

/// Outcome of recording an electorate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ElectorateRecord {
    /// It is recorded, at this revision.
    Written(Revision),
    /// Another record is there instead of the expected one, or none at all.
    Changed(Option<RecordedElectorate>),
}

impl Claims {
    /// Reports whether the claims, read in `epoch`, include all that were ever made. A store that
    /// was restored from a copy may lack some until the hosts that made them have written them
    /// again. Nobody does if these hosts have all restarted as well.
    ///
    /// ```
    /// use flamingopost_core::epoch::Epoch;
    /// use flamingopost_proxy::platform::Claims;
    ///
    /// let claims = Claims { verified_in: Epoch(2), ..Claims::default() };
    /// assert!(claims.are_complete(Epoch(2)));
    /// assert!(!claims.are_complete(Epoch(3)), "the store was restored since");
    /// assert!(Claims::default().are_complete(Epoch(0)), "it was never restored");
    /// ```
    pub fn are_complete(&self, epoch: Epoch) -> bool {
        self.verified_in >= epoch
    }
}

/// Outcome of recording that a service was written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recorded {
    /// The record was created.
    New,
    /// The store already had the record.
    AlreadyPresent,
}

/// Outcome of an order to change a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promotion {
    /// The server leads already or will soon.
    Accepted,
    /// A newer token was seen, or the server is not running.
    Refused,
}

/// Timeout of a call, in addition to the time it waits for changes. The platform needs
/// milliseconds, or a few hundred of them while it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The platform, as used by an entry host. Calls end within [`CALL_TIMEOUT`], and those that wait
/// for changes within their wait plus [`CALL_TIMEOUT`].
pub trait Platform: 'static {
    /// Reads the configuration in the store, if there is one.
    fn configuration(&self)
    -> impl Future<Output = Result<Read<Vec<Entry<Configuration>>>, Error>>;

    /// Waits up to `wait` for configurations newer than `after`, in the order in which they were
    /// written.
    fn next_configuration(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Vec<Entry<Configuration>>>, Error>>;

    /// Reads all entries of backend servers.
    fn backends(&self) -> impl Future<Output = Result<Read<Vec<Entry<Backend>>>, Error>>;

    /// Waits up to `wait` for changes to the list of backend servers after `after`.
    fn next_backends(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Vec<Change<Backend>>>, Error>>;

    /// Reads the entries of all entry hosts that have announced themselves.
    fn peers(&self) -> impl Future<Output = Result<Read<Vec<Entry<Peer>>>, Error>>;

    /// Waits up to `wait` for changes to the list of entry hosts after `after`.
    fn next_peers(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Vec<Change<Peer>>>, Error>>;

    /// Announces this host to the others. The token is newer than any issued before.
    fn announce(&self, peer: &Peer) -> impl Future<Output = Result<Token, Error>>;

    /// Claims change `attempt` of the primary of `service` for `host`, or takes the claim over from
    /// a holder that is known not to act on it. A claim read in an earlier epoch may only be taken
    /// over while the store is still in that epoch.
    fn claim(
        &self,
        service: &str,
        attempt: u64,
        host: &str,
        take_over: Option<Revision>,
    ) -> impl Future<Output = Result<Claim, Error>>;

    /// Records in the claim that `host` has won under `token` that it is about to order server
    /// `successor`. Returns [`Claim::Won`] with the same token if `host` still holds the claim.
    fn name_successor(
        &self,
        service: &str,
        attempt: u64,
        host: &str,
        token: Token,
        successor: &str,
    ) -> impl Future<Output = Result<Claim, Error>>;

    /// Records in the claim that is unchanged since `revision` that no order under it is carried out any
    /// more. Returns [`Claim::Won`] if it is recorded.
    fn settle_claim(
        &self,
        service: &str,
        attempt: u64,
        host: &str,
        revision: Revision,
        how: Settlement,
    ) -> impl Future<Output = Result<Claim, Error>>;

    /// Reads all readable claims.
    fn claims(&self) -> impl Future<Output = Result<Read<Claims>, Error>>;

    /// Records that the claims in the store were complete in `epoch`, as verified by `host`.
    fn record_claims_verified(
        &self,
        epoch: Epoch,
        host: &str,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Records `electorate`, if the record in the store is unchanged since `expected`, or absent if that
    /// is `None`.
    fn record_electorate(
        &self,
        electorate: &Electorate,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<ElectorateRecord, Error>>;

    /// Reads the services that hosts have recorded as written to.
    fn written_services(&self) -> impl Future<Output = Result<Read<BTreeSet<String>>, Error>>;

    /// Records that `service` was written to, unless that is recorded already.
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
