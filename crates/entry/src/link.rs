//! The link to controllers: leases, configuration, and where controllers are.

pub mod controllers;
pub mod peers;
mod poll;
mod renewal;
pub mod spread;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_core::view;
use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Phase;
use flamingopost_daemon::token::Token;
use flamingopost_platform::object::Store;
use flamingopost_platform::table::Table;
use flamingopost_wire::knowledge::Knowledge;
use tokio::sync::Notify;

use self::controllers::Controllers;
use self::peers::Peers;
use self::spread::Ear;
use crate::event::Event;
use crate::shared::Shared;

/// Failures in a row after which the relay is passed by, and for how long.
const RELAY_FAILURES: u32 = 2;
const RELAY_PAUSE: Duration = Duration::from_secs(5);

/// Who this host is to controllers.
#[derive(Debug, Clone)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its own remote calls are reached.
    pub rpc: String,
}

/// What the link needs to know at its start.
pub struct Options {
    /// Who this host is.
    pub host: Host,
    /// Control processes to ask.
    pub peers: Vec<SocketAddr>,
    /// Control process that renewals go through, where there is one.
    pub relay: Option<SocketAddr>,
    /// Time between two reads of the platform's table.
    pub poll: Duration,
    /// The operators' token, by which processes of the fleet know each other.
    pub token: Token,
}

/// The link, shared by its tasks and by the host's own remote calls.
pub struct Link {
    shared: Arc<Shared>,
    host: Host,
    peers: Arc<Peers>,
    controllers: Mutex<Controllers>,
    relay: Mutex<Option<Relay>>,
    ear: Ear,
    asking: Notify,
}

/// A control process that renews for the whole zone.
#[derive(Debug)]
struct Relay {
    address: String,
    failures: u32,
    avoided_until: Duration,
}

/// Starts the link's tasks; they end when the process is over.
pub fn start(
    shared: Arc<Shared>,
    options: Options,
    table: Arc<dyn Table>,
    store: Arc<dyn Store>,
) -> Arc<Link> {
    let known = options.peers.iter().chain(&options.relay);
    let peers = Arc::new(Peers::new(
        known.map(ToString::to_string),
        &options.host.zone,
        options.token,
    ));
    let first = peers.all().len();
    let ear = spread::start(shared.clone(), peers.clone(), store, first);
    let relay = options.relay.map(|address| Relay {
        address: address.to_string(),
        failures: 0,
        avoided_until: Duration::ZERO,
    });
    let link = Arc::new(Link {
        shared,
        host: options.host,
        peers,
        controllers: Mutex::default(),
        relay: Mutex::new(relay),
        ear,
        asking: Notify::new(),
    });
    tokio::spawn(poll::table(link.clone(), table, options.poll));
    tokio::spawn(poll::peers(link.clone()));
    tokio::spawn(renewal::run(link.clone()));
    link
}

impl Link {
    /// Gives up all leases and connections, at the end of a graceful stop.
    pub async fn farewell(&self) {
        renewal::farewell(self).await;
    }

    /// What this host tells others; `version` is the configuration that the asker has.
    pub fn knowledge(&self, version: u64) -> Knowledge {
        let adopted = self.shared.adopted();
        let newer = adopted.as_ref().filter(|adopted| adopted.version > version);
        let mut knowledge = Knowledge {
            body: newer.map(|adopted| adopted.body.to_string()),
            controllers: self.controllers().all(),
            ..Knowledge::default()
        };
        if let Some(adopted) = &adopted {
            knowledge.version = adopted.version;
            knowledge.digest.clone_from(&adopted.digest);
        }
        knowledge
    }

    /// Takes in a version that a message carried.
    pub fn heard(&self, version: u64, from: Option<String>) {
        self.ear.tell(spread::Heard::Version { version, from });
    }

    /// The view behind a message.
    ///
    /// # Errors
    /// When it cannot be read.
    pub fn decode(
        &self,
        view: &flamingopost_wire::view::Shard,
    ) -> Result<view::Shard, flamingopost_wire::view::Error> {
        self.shared.intern(|directory| view.decode(directory))
    }

    fn learn(&self, knowledge: &Knowledge) {
        let process = knowledge.process.iter().map(|process| &process.rpc);
        for address in knowledge.peers.values().chain(process) {
            self.peers.add(address);
        }
        for (shard, controller) in &knowledge.controllers {
            self.learn_controller(*shard, controller.epoch, &controller.rpc);
        }
    }

    fn learn_controller(&self, shard: u16, epoch: u32, rpc: &str) {
        if self.controllers().learn(shard, epoch, rpc) {
            self.peers.add(rpc);
            let rpc = rpc.to_owned();
            Event::Controller { shard, rpc, epoch }.log();
            self.shared.renew_soon();
        }
    }

    fn controllers(&self) -> MutexGuard<'_, Controllers> {
        lock(&self.controllers)
    }

    fn version(&self) -> u64 {
        self.shared.adopted().map_or(0, |adopted| adopted.version)
    }

    fn is_running(&self) -> bool {
        self.shared.stop().phase() != Phase::Stopped
    }

    fn is_missing_something(&self) -> bool {
        let Some(adopted) = self.shared.adopted() else {
            return true;
        };
        let controllers = self.controllers();
        let shards = adopted.fleet.shards_in_use();
        shards
            .into_iter()
            .any(|shard| controllers.is_doubtful(shard))
    }

    /// The relay, unless it has just failed.
    fn relay(&self) -> Option<String> {
        let now = self.shared.now();
        let relay = lock(&self.relay);
        let relay = relay.as_ref().filter(|relay| now >= relay.avoided_until)?;
        Some(relay.address.clone())
    }

    fn relay_answered(&self, address: &str) {
        if let Some(relay) = lock(&self.relay).as_mut()
            && relay.address == address
        {
            relay.failures = 0;
        }
    }

    /// A relay that died must not take the leases of its zone with it: after a few failures the
    /// hosts call controllers themselves, and try the relay again later.
    fn relay_failed(&self, address: &str) {
        let now = self.shared.now();
        if let Some(relay) = lock(&self.relay).as_mut()
            && relay.address == address
        {
            relay.failures += 1;
            if relay.failures >= RELAY_FAILURES {
                relay.failures = 0;
                relay.avoided_until = now + jittered(RELAY_PAUSE);
                self.shared.renew_soon();
            }
        }
    }
}

/// `span` more or less a tenth, so that hosts that were started together do not go on asking
/// together.
fn jittered(span: Duration) -> Duration {
    span.mul_f64(0.9 + rand::random::<f64>() / 5.0)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Names of services and positions, as messages carry them.
pub(crate) fn named(
    shared: &Shared,
    positions: BTreeMap<flamingopost_core::key::ServiceKey, flamingopost_core::position::Position>,
) -> BTreeMap<String, String> {
    let directory = shared.directory();
    let named = positions.into_iter().filter_map(|(key, position)| {
        let name = directory.services.name(key)?.to_owned();
        Some((name, position.to_string()))
    });
    named.collect()
}
