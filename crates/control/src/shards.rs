//! All shards of the process.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use actix::dev::ToEnvelope;
use actix::{Actor as _, Addr, Handler, Message};
use flamingopost_daemon::stop::Phase;

use crate::poll::Reader;
use crate::shard::Shard;
use crate::shard_message::{Configure, Retire};
use crate::shared::Shared;

/// How often a process that ends looks whether its shards have been taken over.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The actors of all shards, by number.
#[derive(Clone, Default)]
pub struct Shards {
    actors: Arc<RwLock<BTreeMap<u16, Addr<Shard>>>>,
}

impl Shards {
    /// The actor of shard `number`; `None` where the configuration has no such shard yet.
    pub fn get(&self, number: u16) -> Option<Addr<Shard>> {
        let actors = self.actors.read().unwrap_or_else(PoisonError::into_inner);
        actors.get(&number).cloned()
    }

    /// All actors.
    pub fn all(&self) -> Vec<Addr<Shard>> {
        let actors = self.actors.read().unwrap_or_else(PoisonError::into_inner);
        actors.values().cloned().collect()
    }

    /// Sends every actor a message.
    pub fn broadcast<M>(&self, message: impl Fn() -> M)
    where
        M: Message<Result = ()> + Send + 'static,
        Shard: Handler<M>,
        <Shard as actix::Actor>::Context: ToEnvelope<Shard, M>,
    {
        for actor in self.all() {
            actor.do_send(message());
        }
    }

    /// Lets standbys take over what this process leads, and returns when they have, or after
    /// `patience`: without the platform nobody can.
    pub async fn retire(&self, timeout: Duration) {
        let retiring = async {
            while self.is_leading().await {
                tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
            }
        };
        let _given_up = tokio::time::timeout(timeout, retiring).await;
    }

    async fn is_leading(&self) -> bool {
        let mut leading = false;
        for actor in self.all() {
            leading |= actor.send(Retire).await.unwrap_or(false);
        }
        leading
    }

    /// Starts an actor for each shard of each new configuration, until the process stops. Runs
    /// on the thread on which the actors live.
    pub async fn run(self, shared: Arc<Shared>, reader: Reader) {
        let mut configs = shared.watch_config();
        loop {
            let config = configs.borrow_and_update().clone();
            if let Some(config) = config {
                self.start(config.fleet.shards, &shared, &reader);
                self.broadcast(|| Configure(config.clone()));
            }
            if shared.stop().phase() == Phase::Stopped || configs.changed().await.is_err() {
                return;
            }
        }
    }

    fn start(&self, shards: u16, shared: &Arc<Shared>, reader: &Reader) {
        let mut actors = self.actors.write().unwrap_or_else(PoisonError::into_inner);
        for number in 0..shards {
            actors
                .entry(number)
                .or_insert_with(|| Shard::new(number, shared.clone(), reader.clone()).start());
        }
    }
}
