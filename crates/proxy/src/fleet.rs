//! What this host knows of the fleet: configuration, services and their servers, other hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::{Epoch, EpochStatus, EpochTracker, SERVER_REWRITE_TIME};
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::key::{HostKey, ServerKey, TeamKey};
use flamingopost_core::limit::NoShares;
use flamingopost_core::quorum::{Electorate, Quorum};
use flamingopost_daemon::task;
use slotmap::SlotMap;
use tokio::sync::Notify;

use crate::codec::Codec;
use crate::event::Event;
use crate::feeds::{Feeds, StuckDetection};
use crate::limits::Limits;
use crate::meter;
use crate::peer::FeedProgress;
use crate::platform::{Backend, Change, Configuration, Peer, Service as Configured, Strength};
use crate::reported_faults::ReportedFaults;
use crate::route::Route;
use crate::service::Service;
use crate::site::Site;

mod derived;
mod electorate;
mod incarnations;
mod lenders;
mod peers;
mod placement;
mod relays;
mod rendezvous;
mod restored;
mod servers;
mod teams;
mod unusable_entries;

use derived::Derived;
use lenders::TeamSources;
pub use placement::ServingHost;
pub use relays::{Relay, feeds_address, relay_order};
pub use rendezvous::{Rendezvous, rendezvous_hash};
pub use teams::Grantor;
use unusable_entries::CONFIGURATION;

/// How long a server stays in use after its entry disappears from the list. Entries of running
/// servers expire while the platform's store is unavailable and are back within two seconds of its
/// return. Servers that have left may be sent work for several seconds at most.
pub const UNLISTED_GRACE: Duration = Duration::from_millis(2_300);

/// How long a dropped server is remembered. This exceeds the age of the backup that a store is
/// restored from, which is a few seconds.
const DROPPED_RETENTION: Duration = Duration::from_secs(30);

/// Up to this many hosts, including this one, all hosts exchange heartbeats with each other.
const SMALL_FLEET_HOSTS: usize = 9;

/// The fleet as known to this host.
pub struct Fleet<C: Codec> {
    site: Rc<Site>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    services: RefCell<BTreeMap<String, Rc<Service<C>>>>,
    servers: RefCell<Servers>,
    /// Entries of servers whose service is in no configuration yet, by server id.
    unconfigured: RefCell<BTreeMap<String, Backend>>,
    reported_faults: RefCell<ReportedFaults>,
    peers: RefCell<Peers>,
    quorum: RefCell<Quorum>,
    epochs: RefCell<EpochTracker>,
    /// The other hosts with which this one exchanges heartbeats: all of a small fleet, or the electors.
    /// Recomputed only when the list of hosts or the electorate changes, since heartbeats and elections
    /// read it many times a second.
    electors: RefCell<Rc<[(HostKey, Peer)]>>,
    /// The electorate that this host has adopted.
    electorate: RefCell<Option<Electorate>>,
    /// Since when this host has been an elector, and so hears all other hosts.
    elector_since: Cell<Option<Duration>>,
    /// Other results that depend on the list of hosts.
    derived: Derived,
    /// Notifies the heartbeat task to contact the other hosts immediately, because the list of
    /// hosts or of servers has changed.
    pub contact_due: Notify,
    /// How far the platform's feeds have been read.
    pub feeds: Rc<Feeds>,
    /// Limits of teams on this host.
    pub limits: Limits,
    /// Where this host obtains operations of each team. Computed anew when the list of hosts has
    /// changed.
    sources: RefCell<BTreeMap<TeamKey, TeamSources>>,
    /// The store epoch in which the list of servers was first read.
    server_list_read_in: Cell<Option<Epoch>>,
    /// Whether the store did not answer before the fleet was known.
    started_in_outage: Cell<bool>,
}

/// The list of servers.
#[derive(Default)]
struct Servers {
    keys: SlotMap<ServerKey, String>,
    by_id: BTreeMap<String, ListedServer>,
    /// Ids of entries that cannot be read, and since when.
    unreadable: BTreeMap<String, Duration>,
    /// Incarnations of recently dropped servers, and when they were dropped.
    dropped: BTreeMap<String, (Incarnation, Duration)>,
}

/// A server in the list.
struct ListedServer {
    /// Identifies one incarnation of the server. State that is kept by this key is dropped with it.
    key: ServerKey,
    incarnation: Incarnation,
    service: String,
    /// When the entry disappeared from the list.
    missing_since: Option<Duration>,
    /// Whether the server has announced that it is leaving.
    leaving: bool,
}

/// The list of other hosts.
#[derive(Default)]
struct Peers {
    /// Addresses of the hosts.
    keys: SlotMap<HostKey, SocketAddr>,
    by_host: BTreeMap<String, (HostKey, Peer)>,
    /// Whether tasks are shared out by strength, because each host has announced one. Otherwise the
    /// plain hash decides, as it does on hosts of earlier builds, which announce none.
    is_weighted: bool,
    /// When the last heartbeat arrived from each host that sends some to this one.
    heartbeats: BTreeMap<HostKey, Duration>,
    /// When each host was first listed.
    listed_at: BTreeMap<HostKey, Duration>,
    /// Which hosts have reported that they hold no shares.
    no_shares: NoShares,
    /// The silent hosts, and when the list was computed.
    silent: Option<(Vec<HostKey>, Duration)>,
}

impl Peers {
    /// Returns the strength of `peer` if it counts.
    fn weight(&self, peer: &Peer) -> Option<Strength> {
        peer.strength.filter(|_| self.is_weighted)
    }
}

impl<C: Codec> Fleet<C> {
    /// Creates a fleet of which nothing is known yet.
    pub fn new(site: Rc<Site>) -> Fleet<C> {
        Fleet {
            site,
            configuration: RefCell::default(),
            services: RefCell::default(),
            servers: RefCell::default(),
            unconfigured: RefCell::default(),
            reported_faults: RefCell::default(),
            peers: RefCell::default(),
            quorum: RefCell::default(),
            epochs: RefCell::default(),
            electors: RefCell::default(),
            electorate: RefCell::default(),
            elector_since: Cell::new(None),
            derived: Derived::default(),
            contact_due: Notify::new(),
            feeds: Rc::default(),
            limits: Limits::default(),
            sources: RefCell::default(),
            server_list_read_in: Cell::new(None),
            started_in_outage: Cell::new(false),
        }
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        let configuration = self.configuration.borrow();
        configuration.as_ref().map_or(0, |it| it.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Reports whether enough is known to serve callers.
    pub fn is_known(&self) -> bool {
        self.knows_hosts() && self.server_list_read_in.get().is_some() && self.version() > 0
    }

    /// Reports whether the list of hosts has been read.
    pub fn knows_hosts(&self) -> bool {
        self.quorum.borrow().knows_hosts()
    }

    /// Records that a read from the store has failed.
    pub fn record_failed_read(&self) {
        if !self.is_known() {
            self.started_in_outage.set(true);
        }
    }

    /// Reports whether the store did not answer when this host started. Hosts that ran before may
    /// have replaced primaries without a claim.
    pub fn has_started_in_outage(&self) -> bool {
        self.started_in_outage.get()
    }

    /// Reports whether the list of servers is known to include all that may become primary.
    ///
    /// The entry of a successor may be unreadable, or missing in the backup from which the store
    /// was restored.
    pub fn knows_all_servers(&self) -> bool {
        let copied = self.epochs.borrow().may_store_be_stale(self.site.now());
        let unreadable = !self.servers.borrow().unreadable.is_empty();
        !copied && !unreadable && self.unconfigured.borrow().is_empty()
    }

    /// Reports whether there may be running servers that this host cannot reach because it does not
    /// know their addresses: an entry became unreadable a moment ago and its server was not listed
    /// before, or this host has read no list but that of a backup from which the store was restored
    /// a moment ago. A running server has rewritten its entry within [`SERVER_REWRITE_TIME`].
    ///
    /// An entry of a service that is not configured names no server of another service, and may stay
    /// for long.
    pub fn may_lack_servers(&self) -> bool {
        let now = self.site.now();
        let servers = self.servers.borrow();
        let unreadable = servers.unreadable.iter().any(|(id, since)| {
            !servers.by_id.contains_key(id) && now < *since + SERVER_REWRITE_TIME
        });
        let epochs = self.epochs.borrow();
        let read_earlier = self.server_list_read_in.get() < Some(epochs.newest_epoch());
        unreadable || !read_earlier && epochs.may_store_be_stale(now)
    }

    /// Reports whether the configuration in force comes from a backup: the store was restored a
    /// moment ago, and other hosts have a newer version, which operators will write again.
    ///
    /// Guards against sending callers to a host that has just started and is the only one without
    /// the operators' latest changes.
    pub fn has_outdated_configuration(&self) -> bool {
        let now = self.site.now();
        self.feeds.configuration.is_behind() && self.epochs.borrow().may_store_be_stale(now)
    }

    /// Returns the route of a database and the service that it leads to.
    pub fn route(&self, database: &str) -> Option<(Route, Rc<Service<C>>)> {
        let configuration = self.configuration()?;
        let route = configuration.routes.get(database)?;
        Some((route.clone(), self.service_or_new(&route.service)))
    }

    /// Returns the statement timeout of the route of `database`.
    pub fn timeout(&self, database: &str) -> Option<Duration> {
        let configuration = self.configuration()?;
        Some(configuration.routes.get(database)?.timeout)
    }

    /// Returns the service called `name`, if it has servers.
    pub fn find_service(&self, name: &str) -> Option<Rc<Service<C>>> {
        self.services.borrow().get(name).cloned()
    }

    /// Returns the number of services that have servers.
    pub fn service_count(&self) -> usize {
        self.services.borrow().len()
    }

    /// Returns all services that have servers.
    pub fn services(&self) -> Vec<Rc<Service<C>>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Puts `configuration` in force if it is newer than the one in force.
    pub fn adopt(&self, configuration: Rc<Configuration>, took: Duration) {
        let before = self.version();
        if configuration.version <= before {
            return;
        }
        let version = configuration.version;
        self.site.log(&Event::Adopted {
            version,
            before,
            routes: configuration.routes.len(),
            millis: took.as_millis(),
        });
        *self.configuration.borrow_mut() = Some(configuration);
        self.reported_faults.borrow_mut().clear_table(CONFIGURATION);
        invariant::check(Invariant::UpwardConfiguration, version > before, || {
            format!("version {version} after {before}")
        });
        // Servers may register before the operators configure their service.
        let unconfigured = std::mem::take(&mut *self.unconfigured.borrow_mut());
        for backend in unconfigured.into_values() {
            self.apply_server_change(Change::Put(backend));
        }
        self.allot_connections();
        self.apply_limits();
    }

    /// Returns how far this host has read the platform's feeds.
    pub fn feed_progress(&self) -> FeedProgress {
        let now = self.site.now();
        let epochs = self.epochs.borrow();
        let restored = epochs.restored_at().map(|at| now.saturating_sub(at));
        FeedProgress {
            configuration: self.feeds.configuration.newest(),
            backends: self.feeds.backends.newest(),
            epoch: epochs.newest_epoch().0,
            restored: restored.and_then(|age| u32::try_from(age.as_millis()).ok()),
        }
    }

    /// Requests a sample of the primary's replication position from the other hosts immediately,
    /// because reads of `service` wait for it.
    pub fn request_sample(&self, service: &Service<C>) {
        if service.request_sample() {
            self.contact_due.notify_one();
        }
    }

    /// Records how far another host has read the platform's feeds.
    pub fn record_peer_progress(&self, progress: FeedProgress) {
        let now = self.site.now();
        let epoch = Epoch(progress.epoch);
        if let Some(millis) = progress.restored {
            let age = Duration::from_millis(u64::from(millis));
            let mut epochs = self.epochs.borrow_mut();
            epochs.record_restore(epoch, now.saturating_sub(age));
        }
        self.feeds
            .configuration
            .record_peer_read(progress.configuration, now);
        self.feeds.backends.record_peer_read(progress.backends, now);
    }

    /// Cancels calls that wait for changes which other hosts have already read, and calls that no
    /// other host monitors any more.
    pub fn check_feeds(&self) {
        let now = self.site.now();
        let detection = self.stuck_detection();
        self.feeds.configuration.check_stuck(detection, now);
        self.feeds.backends.check_stuck(detection, now);
        self.check_asked_hosts();
    }

    /// Reports whether the fleet is small enough for all hosts to exchange heartbeats.
    pub fn is_small(&self) -> bool {
        self.peers.borrow().by_host.len() < SMALL_FLEET_HOSTS
    }

    /// Returns who detects that a call waiting for changes is stuck.
    ///
    /// The electors detect a stuck feed themselves, and so do all hosts of a small fleet. Other
    /// hosts rely on the electors' heartbeats for as long as they are in contact with a majority of
    /// them.
    pub fn stuck_detection(&self) -> StuckDetection {
        let quorum = self.quorum.borrow();
        let is_notified = !quorum.is_elector() && quorum.holds_lease(self.site.now());
        match is_notified && !self.is_small() {
            true => StuckDetection::ByPeers,
            false => StuckDetection::Local,
        }
    }

    /// Calls `work` with the known epochs of the store and the current time.
    pub fn with_epochs<T>(&self, work: impl FnOnce(&mut EpochTracker, Duration) -> T) -> T {
        work(&mut self.epochs.borrow_mut(), self.site.now())
    }

    /// Records that another host knows of `epoch`.
    pub fn record_peer_epoch(&self, host: HostKey, epoch: Epoch) {
        if self.with_epochs(|epochs, now| epochs.record_peer_epoch(host, epoch, now)) {
            self.feeds.cancel_after_restore(epoch);
        }
    }

    /// Records that the store answered in `epoch`. Returns whether the answer is valid: it is not
    /// if the epoch is over.
    pub fn observe_epoch(&self, epoch: Epoch) -> bool {
        match self.with_epochs(|epochs, now| epochs.record_store_epoch(epoch, now)) {
            EpochStatus::Current => true,
            EpochStatus::Outdated => false,
            EpochStatus::Restored { before, was_told } => {
                self.handle_store_restore(before, epoch, was_told);
                true
            }
        }
    }

    /// Handles a restore of the store from a backup. All lists are read again, and the list of
    /// servers once more after servers had time to rewrite their entries. Where another host `was_told`
    /// of it first, calls have been repeated since that detect it.
    fn handle_store_restore(&self, before: Epoch, epoch: Epoch, was_told: bool) {
        meter::store_restored();
        self.site.log(&Event::StoreRestored {
            before: before.0,
            epoch: epoch.0,
            version: self.version(),
            servers: self.servers.borrow().by_id.len(),
            hosts: self.peers.borrow().by_host.len(),
        });
        if !was_told {
            self.feeds.cancel_after_restore(epoch);
        }
        let feeds = Rc::clone(&self.feeds);
        task::spawn("full_server_read", async move {
            tokio::time::sleep(SERVER_REWRITE_TIME).await;
            feeds.backends.request_full_read();
        });
    }

    /// Calls `work` with this host's contacts to the other hosts and the current time.
    pub fn with_quorum<T>(&self, work: impl FnOnce(&mut Quorum, Duration) -> T) -> T {
        work(&mut self.quorum.borrow_mut(), self.site.now())
    }

    /// Reports whether this host may currently rely on primaries because a majority of hosts has
    /// answered it: send them requests that only a primary may run, and acknowledge their writes.
    pub fn holds_lease(&self) -> bool {
        self.quorum.borrow().holds_lease(self.site.now())
    }

    /// Reports whether this host may write at the primary of `service` because the store has no claim
    /// on its change, as long as the service's other servers confirm each use of it.
    ///
    /// A host that replaces a primary without the store makes no claim, and waits for no lease that
    /// rests on the lack of one. A host that does not know the other hosts yet has not asked any of
    /// them what it may have missed. Where commits are synchronous, the servers do not tell whether a
    /// successor that was ordered and does not lead yet has all of them.
    pub fn may_confirm_writes(&self, service: &Service<C>) -> bool {
        let knows_hosts = self.quorum.borrow().knows_hosts();
        let knows_servers = knows_hosts && self.knows_all_servers();
        knows_servers && service.holds_store_lease() && !self.is_synchronous(&service.name)
    }

    /// Reports whether `service` acknowledges a commit only after a replica has received it.
    pub fn is_synchronous(&self, service: &str) -> bool {
        let configured = self.configured(service);
        configured.is_some_and(|configured| configured.synchronous)
    }

    /// Returns the configuration of `service`.
    fn configured(&self, service: &str) -> Option<Configured> {
        let configuration = self.configuration.borrow();
        configuration.as_ref()?.services.get(service).copied()
    }

    /// Returns the service called `name`, and creates it if it had no servers.
    fn service_or_new(&self, name: &str) -> Rc<Service<C>> {
        if let Some(service) = self.find_service(name) {
            return service;
        }
        let service = Rc::new(Service::new(name.to_owned(), Rc::clone(&self.site)));
        service.set_allotment(self.allotment(name));
        service.set_has_teams(self.has_teams());
        let mut services = self.services.borrow_mut();
        services.insert(name.to_owned(), Rc::clone(&service));
        service
    }
}
