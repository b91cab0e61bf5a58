//! The actors of all shards of the process.

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

/// Interval at which a draining process checks whether its shards have been taken over.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handles of the shards' actors, by shard number.
#[derive(Clone, Default)]
pub struct Shards {
    actors: Arc<RwLock<BTreeMap<u16, Addr<Shard>>>>,
}

impl Shards {
    /// Returns the actor of shard `number`, or `None` if no adopted configuration has that shard.
    pub fn get(&self, number: u16) -> Option<Addr<Shard>> {
        let actors = self.actors.read().unwrap_or_else(PoisonError::into_inner);
        actors.get(&number).cloned()
    }

    /// Returns all actors.
    pub fn all(&self) -> Vec<Addr<Shard>> {
        let actors = self.actors.read().unwrap_or_else(PoisonError::into_inner);
        actors.values().cloned().collect()
    }

    /// Sends a message to every actor.
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

    /// Lets standbys take over the shards that this process leads. Returns when they have, or after
    /// `timeout`, because no standby can take over while the platform is unreachable.
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

    /// Starts the actors of new shards and passes each new configuration to all actors, until the
    /// process stops. Has to run on the thread that runs the actors.
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
