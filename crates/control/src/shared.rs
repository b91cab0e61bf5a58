//! What all parts of a control process share.

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

/// Other processes that one answer tells of at most.
const TOLD: usize = 8;

/// How long ago a process may have answered to be told of.
const LATELY: Duration = Duration::from_secs(60);

/// Shared by all tasks of a control process.
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
    heard: AtomicU64,
    /// Whether the platform did not answer the last read.
    silent: AtomicBool,
    controllers: Mutex<BTreeMap<u16, knowledge::Controller>>,
}

impl Shared {
    /// What a process starts with: no configuration, and the peers of its settings.
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
                peers.fix(&peer.to_string());
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
            heard: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            controllers: Mutex::default(),
        }
    }

    /// The process's settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Who this process is to others.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// The clock that every decision of the process is timed by.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Now, by the clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// How far the process is on its way out.
    pub fn stop(&self) -> &Stop {
        &self.stop
    }

    /// The platform's services.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Connections to other processes.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Other control processes.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// The names known so far.
    pub fn directory(&self) -> Arc<Directory> {
        let directory = self.directory.read();
        directory.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Lets `work` add names. Those who hold an earlier directory keep it; keys are the same.
    pub fn intern<T>(&self, work: impl FnOnce(&mut Directory) -> T) -> T {
        let directory = self.directory.write();
        let mut directory = directory.unwrap_or_else(PoisonError::into_inner);
        work(Arc::make_mut(&mut directory))
    }

    /// The configuration in force, if there is one yet.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Wakes whoever waits for a change of the configuration in force.
    pub fn configs(&self) -> watch::Receiver<Option<Arc<Config>>> {
        self.config.subscribe()
    }

    /// Puts `config` in force.
    pub fn put(&self, config: Config) {
        self.hear(config.version);
        self.config.send_replace(Some(Arc::new(config)));
    }

    /// The highest configuration version heard of; every message carries it.
    pub fn heard(&self) -> u64 {
        self.heard.load(Ordering::Relaxed)
    }

    /// Whether the newest version heard of is in force, so that a name it lacks does not exist.
    pub fn is_current(&self) -> bool {
        self.config()
            .is_some_and(|config| config.version >= self.heard())
    }

    /// Notes whether the platform has answered the last read.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Whether the platform did not answer the last read.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Raises what [`Shared::heard`] says; whether `version` is news.
    pub fn hear(&self, version: u64) -> bool {
        self.heard.fetch_max(version, Ordering::Relaxed) < version
    }

    /// Where the controller of each shard is, as far as known.
    pub fn controllers(&self) -> BTreeMap<u16, knowledge::Controller> {
        let controllers = self.controllers.lock();
        controllers.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes that `host`, reached at `rpc`, has authority `epoch` over a shard, unless a newer
    /// one is known.
    pub fn lead(&self, shard: u16, epoch: u32, host: &str, rpc: &str) {
        self.learn_host(host, rpc);
        self.lead_at(shard, epoch, rpc);
    }

    /// As [`Shared::lead`], where the host's name is not known.
    pub fn lead_at(&self, shard: u16, epoch: u32, rpc: &str) {
        let controllers = self.controllers.lock();
        let mut controllers = controllers.unwrap_or_else(PoisonError::into_inner);
        let known = controllers.get(&shard).map_or(0, |known| known.epoch);
        if epoch >= known && !rpc.is_empty() {
            let rpc = rpc.to_owned();
            controllers.insert(shard, knowledge::Controller { epoch, rpc });
        }
    }

    /// Whether this process leads a shard, as far as known.
    pub fn is_controller(&self) -> bool {
        let controllers = self.controllers.lock();
        let controllers = controllers.unwrap_or_else(PoisonError::into_inner);
        let mut known = controllers.values();
        known.any(|controller| controller.rpc == self.process.rpc)
    }

    /// Notes where a host is reached.
    pub fn learn_host(&self, host: &str, rpc: &str) {
        if rpc != self.process.rpc && !rpc.is_empty() {
            self.peers.told(host, rpc, self.now());
        }
    }

    /// Where the control process of `host` is reached, as far as known.
    pub fn rpc_of(&self, host: &str) -> Option<String> {
        if host == self.process.host {
            return Some(self.process.rpc.clone());
        }
        self.peers.rpc_of(host)
    }

    /// What this process tells one that has `version`.
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
            peers: self.known_peers(),
        }
    }

    /// Some of the processes that have answered lately. All of a large fleet's would fill each
    /// answer, and a few from everybody asked are enough to know many.
    fn known_peers(&self) -> BTreeMap<String, String> {
        let since = self.now().saturating_sub(LATELY);
        let heard = self.peers.heard_since(since);
        let some = heard.sample(&mut rand::rng(), TOLD);
        some.map(|process| (process.host.clone(), process.rpc.clone()))
            .collect()
    }
}

fn public(public: Option<SocketAddr>, listen: SocketAddr) -> String {
    public.unwrap_or(listen).to_string()
}
