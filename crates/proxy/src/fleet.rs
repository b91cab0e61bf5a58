//! What this host knows of the fleet: configuration, services and their servers, other hosts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::{Epoch, EpochStatus, EpochTracker, SERVER_REWRITE_TIME};
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::quorum::Quorum;
use slotmap::SlotMap;
use tokio::sync::Notify;

use crate::codec::Codec;
use crate::event::Event;
use crate::feeds::{Feeds, Patience};
use crate::meter;
use crate::peer::News;
use crate::platform::{Backend, Change, Configuration, Entry, Peer, Service as Configured};
use crate::route::Route;
use crate::service::{Service, Source};
use crate::site::Site;
use crate::told::Told;

mod copied;
mod homes;
mod peers;
mod starts;
mod strangers;

pub use homes::Home;
use homes::spread;
use strangers::{CONFIGURATION, SERVERS, backend_id};

/// How long an entry that has gone from the list is still believed in. Entries of living servers
/// lapse while the platform's store is away and are back within two seconds of its return; the
/// bound on work for servers that have left is several seconds.
pub const LAPSE: Duration = Duration::from_millis(2_300);

/// For how long a server that was dropped is remembered: longer than a copy of the store is old
/// from which it is restored, which is some seconds.
const DROPPED: Duration = Duration::from_secs(30);

/// Up to this many hosts all ask each other whether they are in touch.
const SMALL: usize = 9;

/// What this host knows of the fleet.
pub struct Fleet<C: Codec> {
    site: Rc<Site>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    services: RefCell<BTreeMap<String, Rc<Service<C>>>>,
    servers: RefCell<Servers>,
    /// Entries of servers whose service no configuration names yet, by id.
    unnamed: RefCell<BTreeMap<String, Backend>>,
    told: RefCell<Told>,
    peers: RefCell<Peers>,
    quorum: RefCell<Quorum>,
    epochs: RefCell<EpochTracker>,
    /// The other hosts whose majority counts; worked out anew with each change of the list, since
    /// heartbeats and elections ask for them many times a second.
    electors: RefCell<Vec<(HostKey, Peer)>>,
    /// Other hosts are to be asked at once: who they are, or which servers there are, is news.
    pub contact_due: Notify,
    /// How far the platform's feeds have been read.
    pub feeds: Rc<Feeds>,
    listed: Cell<bool>,
}

#[derive(Default)]
struct Servers {
    keys: SlotMap<ServerKey, String>,
    by_id: BTreeMap<String, Listed>,
    /// Entries that name no server, by id.
    unreadable: BTreeSet<String>,
    /// Starts of servers that were dropped lately, and when.
    dropped: BTreeMap<String, (Incarnation, Duration)>,
}

struct Listed {
    /// Stands for one start of the server: what is kept by it goes with it.
    key: ServerKey,
    incarnation: Incarnation,
    service: String,
    /// When it went from the list.
    gone: Option<Duration>,
    /// It has said that it is about to leave.
    leaving: bool,
}

#[derive(Default)]
struct Peers {
    keys: SlotMap<HostKey, ()>,
    by_host: BTreeMap<String, (HostKey, Peer)>,
}

impl<C: Codec> Fleet<C> {
    /// A fleet of which nothing is known.
    pub fn new(site: Rc<Site>) -> Fleet<C> {
        Fleet {
            site,
            configuration: RefCell::default(),
            services: RefCell::default(),
            servers: RefCell::default(),
            unnamed: RefCell::default(),
            told: RefCell::default(),
            peers: RefCell::default(),
            quorum: RefCell::default(),
            epochs: RefCell::default(),
            electors: RefCell::default(),
            contact_due: Notify::new(),
            feeds: Rc::default(),
            listed: Cell::new(false),
        }
    }

    /// Version of the configuration in force; 0 when there is none.
    pub fn version(&self) -> u64 {
        let configuration = self.configuration.borrow();
        configuration.as_ref().map_or(0, |it| it.version)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Whether enough is known to serve callers.
    pub fn is_known(&self) -> bool {
        let hosts = self.quorum.borrow().knows_hosts();
        hosts && self.listed.get() && self.version() > 0
    }

    /// Whether the list of servers names all that may lead, as far as can be told.
    ///
    /// A successor may be one whose entry cannot be read, or is missing in the copy from which the store was
    /// restored.
    pub fn knows_all_servers(&self) -> bool {
        let copied = self.epochs.borrow().may_store_be_stale(self.site.now());
        let unreadable = !self.servers.borrow().unreadable.is_empty();
        !copied && !unreadable && self.unnamed.borrow().is_empty()
    }

    /// Whether the configuration in force is that of a copy: the store was restored a moment ago, and other
    /// hosts have a newer one, which operators will write again.
    ///
    /// Guards against callers that are sent to a host which has just started, and is the only one that does
    /// not know what operators have changed lately.
    pub fn has_copied_configuration(&self) -> bool {
        let now = self.site.now();
        self.feeds.configuration.is_behind() && self.epochs.borrow().may_store_be_stale(now)
    }

    /// The route of a database and the service that it leads to.
    pub fn route(&self, database: &str) -> Option<(Route, Rc<Service<C>>)> {
        let configuration = self.configuration()?;
        let route = configuration.routes.get(database)?;
        Some((route.clone(), self.service(&route.service)))
    }

    /// How long a statement on `database` may take, by its route.
    pub fn timeout(&self, database: &str) -> Option<Duration> {
        let configuration = self.configuration()?;
        Some(configuration.routes.get(database)?.timeout)
    }

    /// The service called `name`, if it has servers.
    pub fn named(&self, name: &str) -> Option<Rc<Service<C>>> {
        self.services.borrow().get(name).cloned()
    }

    /// All services that have servers.
    pub fn services(&self) -> Vec<Rc<Service<C>>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Puts `configuration` in force if it is newer than the one in force.
    pub fn adopt(&self, configuration: Configuration, took: Duration) {
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
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
        self.told.borrow_mut().all_mended(CONFIGURATION);
        invariant::check(Invariant::UpwardConfiguration, version > before, || {
            format!("version {version} after {before}")
        });
        // Servers may register before the operators configure their service.
        let unnamed = std::mem::take(&mut *self.unnamed.borrow_mut());
        for backend in unnamed.into_values() {
            self.change(Change::Put(backend));
        }
        self.allot();
    }

    /// Takes a whole list of servers: what it lacks has gone.
    ///
    /// One that a store was restored with may be outdated: it takes back nothing that was known
    /// before, until servers have written their entries anew.
    pub fn list(&self, entries: Vec<Entry<Backend>>) {
        let named: BTreeSet<&str> = entries.iter().map(backend_id).collect();
        let missing: Vec<String> = {
            let (servers, unnamed) = (self.servers.borrow(), self.unnamed.borrow());
            let known = servers.by_id.keys().chain(unnamed.keys());
            let known = known.chain(&servers.unreadable);
            let missing = known.filter(|id| !named.contains(id.as_str()));
            missing.cloned().collect()
        };
        for id in missing {
            self.change(Change::Gone(id));
        }
        let copied = self.epochs.borrow().may_store_be_stale(self.site.now());
        for entry in entries {
            match Change::from(entry) {
                Change::Put(backend) if copied => self.put_copied(backend),
                change => self.change(change),
            }
        }
        if !self.listed.replace(true) {
            self.contact_due.notify_one();
        }
    }

    /// Takes one change of the list of servers.
    pub fn change(&self, change: Change<Backend>) {
        match change {
            Change::Put(backend) if self.names(&backend.service) => {
                self.put(&backend, Source::Server);
            }
            Change::Put(backend) if self.is_former(&backend) => {}
            Change::Put(backend) => self.put_aside(backend),
            Change::Spoilt(unusable) => {
                self.spoilt(SERVERS, &unusable);
                self.gone(&unusable.id);
                let mut servers = self.servers.borrow_mut();
                servers.unreadable.insert(unusable.id);
            }
            Change::Gone(id) => self.gone(&id),
        }
    }

    /// The entry of server `id` has gone or names no server any more. Both may pass: entries of
    /// living servers lapse, and a server writes its entry anew over what somebody else has put in
    /// its place. So the server is used for [`LAPSE`] longer, which is within the time in which
    /// servers that have left still serve; dropped at once, a primary would lose its transactions
    /// and be replaced for an entry that is good again a heartbeat later.
    fn gone(&self, id: &str) {
        self.unnamed.borrow_mut().remove(id);
        let now = self.site.now();
        let mut servers = self.servers.borrow_mut();
        servers.unreadable.remove(id);
        if let Some(listed) = servers.by_id.get_mut(id) {
            listed.gone.get_or_insert(now);
        }
    }

    /// Drops servers whose entries have been gone for long enough. While `blind`, the list cannot
    /// be read, so nothing is known to be missing.
    pub fn drop_lapsed(&self, blind: bool) {
        let now = self.site.now();
        let mut lapsed = Vec::new();
        {
            let mut servers = self.servers.borrow_mut();
            let Servers {
                keys,
                by_id,
                dropped,
                ..
            } = &mut *servers;
            dropped.retain(|_, (_, at)| now < *at + DROPPED);
            by_id.retain(|id, entry| {
                let Some(gone) = &mut entry.gone else {
                    return true;
                };
                if blind {
                    *gone = now;
                    return true;
                }
                if now < *gone + LAPSE {
                    return true;
                }
                keys.remove(entry.key);
                lapsed.push((id.clone(), entry.key, entry.service.clone(), now - *gone));
                dropped.insert(id.clone(), (entry.incarnation, now));
                false
            });
        }
        for (server, key, service, since) in lapsed {
            self.site.log(&Event::Unlisted {
                service: service.clone(),
                server,
                millis: since.as_millis(),
            });
            self.service(&service).unlisted(key);
        }
    }

    /// How far this host has read what the platform tells.
    pub fn news(&self) -> News {
        let now = self.site.now();
        let epochs = self.epochs.borrow();
        let restored = epochs.restored_at().map(|at| now.saturating_sub(at));
        News {
            configuration: self.feeds.configuration.newest(),
            backends: self.feeds.backends.newest(),
            epoch: epochs.newest_epoch().0,
            restored: restored.and_then(|age| u32::try_from(age.as_millis()).ok()),
        }
    }

    /// Reads of `service` wait for a sample of how far its primary is: the other hosts are asked at once.
    pub fn ask_for_sample(&self, service: &Service<C>) {
        if service.want_sample() {
            self.contact_due.notify_one();
        }
    }

    /// Another host has read as far as `news`.
    pub fn told(&self, news: News) {
        let now = self.site.now();
        let epoch = Epoch(news.epoch);
        if let Some(millis) = news.restored {
            let age = Duration::from_millis(u64::from(millis));
            let mut epochs = self.epochs.borrow_mut();
            epochs.record_restore(epoch, now.saturating_sub(age));
        }
        self.feeds.configuration.told(news.configuration, now);
        self.feeds.backends.told(news.backends, now);
    }

    /// Has calls given up that wait for what others have read already, or that others no longer
    /// look after.
    pub fn look_at_feeds(&self) {
        let now = self.site.now();
        let patience = self.patience();
        self.feeds.configuration.look(patience, now);
        self.feeds.backends.look(patience, now);
    }

    /// Whether all hosts ask all others.
    pub fn is_small(&self) -> bool {
        self.peers.borrow().by_host.len() < SMALL
    }

    /// Who notices that a call which waits for changes is stuck.
    ///
    /// The hosts that all others ask find out for themselves whether a feed is stuck, and so do
    /// all where they are few. The others are told, for as long as they hear most of those.
    pub fn patience(&self) -> Patience {
        let quorum = self.quorum.borrow();
        let is_told = !quorum.is_elector() && quorum.holds_lease(self.site.now());
        match is_told && !self.is_small() {
            true => Patience::Told,
            false => Patience::Own,
        }
    }

    /// Works on what this host knows of the store's epochs.
    pub fn with_epochs<T>(&self, work: impl FnOnce(&mut EpochTracker, Duration) -> T) -> T {
        work(&mut self.epochs.borrow_mut(), self.site.now())
    }

    /// Another host has heard of `epoch`.
    pub fn told_epoch(&self, host: HostKey, epoch: Epoch) {
        if self.with_epochs(|epochs, now| epochs.record_peer_epoch(host, epoch, now)) {
            self.feeds.restored();
        }
    }

    /// The store has answered in `epoch`. Returns whether what it said holds: it does not where the
    /// epoch is over.
    pub fn saw_epoch(&self, epoch: Epoch) -> bool {
        match self.with_epochs(|epochs, now| epochs.record_store_epoch(epoch, now)) {
            EpochStatus::Current => true,
            EpochStatus::Outdated => false,
            EpochStatus::Restored { before } => {
                self.restored(before, epoch);
                true
            }
        }
    }

    /// The store has come back from a copy: all lists are read anew, that of servers once more when
    /// they have had the time to write their entries.
    fn restored(&self, before: Epoch, epoch: Epoch) {
        meter::store_restored();
        self.site.log(&Event::StoreRestored {
            before: before.0,
            epoch: epoch.0,
            version: self.version(),
            servers: self.servers.borrow().by_id.len(),
            hosts: self.peers.borrow().by_host.len(),
        });
        self.feeds.restored();
        let feeds = Rc::clone(&self.feeds);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SERVER_REWRITE_TIME).await;
            feeds.backends.read_again();
        });
    }

    /// Works on this host's contact with the others.
    pub fn with_quorum<T>(&self, work: impl FnOnce(&mut Quorum, Duration) -> T) -> T {
        work(&mut self.quorum.borrow_mut(), self.site.now())
    }

    /// Whether this host may rely on the primary of `service` now: send it what only a primary may
    /// run, and acknowledge its writes.
    ///
    /// The store's word is for hosts that most others are out of reach of. One that does not know the
    /// others yet has asked none of them what it may have missed.
    pub fn holds_lease(&self, service: &Service<C>) -> bool {
        let quorum = self.quorum.borrow();
        quorum.holds_lease(self.site.now()) || quorum.knows_hosts() && service.is_unclaimed()
    }

    /// Whether commits of `service` are acknowledged only when a replica has received them.
    pub fn is_synchronous(&self, service: &str) -> bool {
        let configured = self.configured(service);
        configured.is_some_and(|configured| configured.synchronous)
    }

    /// What the configuration says of `service`.
    fn configured(&self, service: &str) -> Option<Configured> {
        let configuration = self.configuration.borrow();
        configuration.as_ref()?.services.get(service).copied()
    }

    fn put(&self, backend: &Backend, source: Source) {
        self.told.borrow_mut().mended(SERVERS, &backend.id);
        self.unnamed.borrow_mut().remove(&backend.id);
        self.servers.borrow_mut().unreadable.remove(&backend.id);
        let Some((key, start)) = self.take_in(backend) else {
            return;
        };
        self.site.log(&Event::Listed {
            service: backend.service.clone(),
            server: backend.id.clone(),
            address: backend.address,
            role: backend.role,
            leaving: backend.leaving,
            revision: backend.changed,
        });
        let service = self.service(&backend.service);
        let slots = service.slots();
        service.listed(key, backend, start, source);
        // Which hosts serve it depends on what its servers run at once.
        if service.slots() != slots {
            service.allot(self.allotment(&service.name));
        }
    }

    fn service(&self, name: &str) -> Rc<Service<C>> {
        if let Some(service) = self.named(name) {
            return service;
        }
        let service = Rc::new(Service::new(name.to_owned(), Rc::clone(&self.site)));
        service.allot(self.allotment(name));
        let mut services = self.services.borrow_mut();
        services.insert(name.to_owned(), Rc::clone(&service));
        service
    }
}
