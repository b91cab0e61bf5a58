//! State that is shared by all tasks of a control process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use flamingopost_core::clock::Clock;
use flamingopost_core::directory::Directory;
use flamingopost_daemon::incarnation;
use flamingopost_daemon::stop::Stop;
use flamingopost_wire::knowledge::{self, Knowledge, Process};
use rand::seq::IndexedRandom as _;
use tokio::sync::watch;

use crate::config::Config;
use crate::meter::Platform;
use crate::peer::{Links, Peers};
use crate::settings::Settings;

/// Maximum number of other processes that one answer lists.
const MAX_SHARED_PEERS: usize = 8;

/// Maximum time since its last answer for a process to be listed.
const RECENT_ANSWER: Duration = Duration::from_secs(60);

/// The shared state of a control process.
pub struct Shared {
    settings: Settings,
    process: Process,
    clock: Arc<dyn Clock>,
    stop: Stop,
    platform: Platform,
    links: Links,
    peers: Peers,
    directory: RwLock<Arc<Directory>>,
    config: watch::Sender<Option<Arc<Config>>>,
    /// Highest configuration version seen.
    highest_version: AtomicU64,
    /// Whether the platform failed to answer the last read.
    platform_silent: AtomicBool,
    controllers: Mutex<BTreeMap<u16, knowledge::Controller>>,
}

impl Shared {
    /// Creates the initial state: no configuration, and the peers named in the settings.
    pub fn new(
        settings: Settings,
        platform: Platform,
        clock: Arc<dyn Clock>,
        stop: Stop,
    ) -> Shared {
        let process = Process {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            rpc: public(settings.public_rpc, settings.rpc),
            admin: public(settings.public_admin, settings.admin),
            incarnation: incarnation::random(),
        };
        let peers = Peers::default();
        for peer in &settings.peers {
            if peer.to_string() != process.rpc {
                peers.add_configured(&peer.to_string());
            }
        }
        let links = Links::new(&settings.zone, settings.token.clone());
        Shared {
            settings,
            process,
            clock,
            stop,
            platform,
            links,
            peers,
            directory: RwLock::default(),
            config: watch::Sender::new(None),
            highest_version: AtomicU64::new(0),
            platform_silent: AtomicBool::new(false),
            controllers: Mutex::default(),
        }
    }

    /// Returns the process's settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the identity and addresses that this process announces to others.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the clock that all timing decisions of the process use.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Returns the current time of the clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the shutdown state of the process.
    pub fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Returns the client of the platform's services.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the connections to other processes.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the known control processes.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns a snapshot of the directory of interned names.
    pub fn directory(&self) -> Arc<Directory> {
        let directory = self.directory.read();
        directory.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Runs `work`, which may intern names. Snapshots of the directory taken earlier stay valid,
    /// because keys do not change.
    pub fn intern<T>(&self, work: impl FnOnce(&mut Directory) -> T) -> T {
        let directory = self.directory.write();
        let mut directory = directory.unwrap_or_else(PoisonError::into_inner);
        work(Arc::make_mut(&mut directory))
    }

    /// Returns the configuration in force, or `None` before the first one is adopted.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns a receiver that is notified when another configuration is put in force.
    pub fn watch_config(&self) -> watch::Receiver<Option<Arc<Config>>> {
        self.config.subscribe()
    }

    /// Puts `config` in force.
    pub fn set_config(&self, config: Config) {
        self.observe_version(config.version);
        self.config.send_replace(Some(Arc::new(config)));
    }

    /// Returns the highest configuration version seen. Every message carries it.
    pub fn highest_version(&self) -> u64 {
        self.highest_version.load(Ordering::Relaxed)
    }

    /// Reports whether the highest version seen is in force, so that a name that it lacks does not
    /// exist.
    pub fn is_current(&self) -> bool {
        self.config()
            .is_some_and(|config| config.version >= self.highest_version())
    }

    /// Records whether the platform failed to answer the last read.
    pub fn set_platform_silent(&self, silent: bool) {
        self.platform_silent.store(silent, Ordering::Relaxed);
    }

    /// Reports whether the platform failed to answer the last read.
    pub fn is_platform_silent(&self) -> bool {
        self.platform_silent.load(Ordering::Relaxed)
    }

    /// Raises [`Shared::highest_version`] to `version`. Returns whether it was lower before.
    pub fn observe_version(&self, version: u64) -> bool {
        self.highest_version.fetch_max(version, Ordering::Relaxed) < version
    }

    /// Returns the last known controller of each shard.
    pub fn controllers(&self) -> BTreeMap<u16, knowledge::Controller> {
        let controllers = self.controllers.lock();
        controllers.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records that `host`, whose remote calls are at `rpc`, controls the shard under `epoch`,
    /// unless a higher epoch is known.
    pub fn record_controller(&self, shard: u16, epoch: u32, host: &str, rpc: &str) {
        self.record_host(host, rpc);
        self.record_controller_address(shard, epoch, rpc);
    }

    /// Does the same as [`Shared::record_controller`] for a host whose name is unknown.
    pub fn record_controller_address(&self, shard: u16, epoch: u32, rpc: &str) {
        let controllers = self.controllers.lock();
        let mut controllers = controllers.unwrap_or_else(PoisonError::into_inner);
        let known = controllers.get(&shard).map_or(0, |known| known.epoch);
        if epoch >= known && !rpc.is_empty() {
            let rpc = rpc.to_owned();
            controllers.insert(shard, knowledge::Controller { epoch, rpc });
        }
    }

    /// Reports whether this process is the last known controller of any shard.
    pub fn is_controller(&self) -> bool {
        let controllers = self.controllers.lock();
        let controllers = controllers.unwrap_or_else(PoisonError::into_inner);
        let mut known = controllers.values();
        known.any(|controller| controller.rpc == self.process.rpc)
    }

    /// Records the address of the remote calls of another host.
    pub fn record_host(&self, host: &str, rpc: &str) {
        if rpc != self.process.rpc && !rpc.is_empty() {
            self.peers.record_mention(host, rpc, self.now());
        }
    }

    /// Returns the last known address of the remote calls of `host`'s control process.
    pub fn rpc_of(&self, host: &str) -> Option<String> {
        if host == self.process.host {
            return Some(self.process.rpc.clone());
        }
        self.peers.rpc_of(host)
    }

    /// Returns the knowledge to send to a process that has configuration `version`.
    pub fn knowledge(&self, version: u64) -> Knowledge {
        let config = self.config();
        let newer = config.as_ref().filter(|config| config.version > version);
        Knowledge {
            version: config.as_ref().map_or(0, |config| config.version),
            digest: config
                .as_ref()
                .map_or_else(String::new, |config| config.digest.to_string()),
            body: newer.map(|config| config.body.to_string()),
            controllers: self.controllers(),
            process: Some(self.process.clone()),
            peers: self.sample_peers(),
        }
    }

    /// Returns a random sample of the processes that answered recently. Listing all processes of a
    /// large fleet would make every answer large, and a few from each peer add up to many.
    fn sample_peers(&self) -> BTreeMap<String, String> {
        let since = self.now().saturating_sub(RECENT_ANSWER);
        let answered = self.peers.answered_since(since);
        let sample = answered.sample(&mut rand::rng(), MAX_SHARED_PEERS);
        sample
            .map(|process| (process.host.clone(), process.rpc.clone()))
            .collect()
    }
}

fn public(public: Option<SocketAddr>, listen: SocketAddr) -> String {
    public.unwrap_or(listen).to_string()
}
