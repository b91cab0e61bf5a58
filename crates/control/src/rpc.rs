//! The remote calls that a control process serves.

use std::sync::Arc;

use flamingopost_wire::authority::{Promise, PromiseRequest, Release, Released};
use flamingopost_wire::knowledge::Knowledge;
use flamingopost_wire::lease::{Refusal, Renewal, Reply};
use flamingopost_wire::rpc::ControlServer;
use flamingopost_wire::status::{Ordered, Status};
use futures::future::join_all;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;

use crate::fleet_status;
use crate::relay::Relay;
use crate::shard_message::{Heartbeat, ReleaseShard, Renew, SwitchOver};
use crate::shards::Shards;
use crate::shared::Shared;
use crate::spread::{Event, Handle};

/// JSON-RPC error code for a shard that this process does not know yet.
pub const NO_SUCH_SHARD: i32 = -32_001;

/// Serves the remote calls.
pub struct Remote {
    /// The process's shared state.
    pub shared: Arc<Shared>,
    /// The process's shards.
    pub shards: Shards,
    /// Receives the configuration versions that messages carry.
    pub spread: Handle,
    /// Relays renewals that another process has to answer.
    pub relay: Arc<Relay>,
}

impl Remote {
    async fn renew_or_relay(&self, renewal: Renewal) -> Reply {
        match self.relay.target(renewal.shard) {
            Some(address) => self.relay.renew(address, renewal).await,
            None => self.renew_one(renewal).await,
        }
    }

    async fn renew_one(&self, renewal: Renewal) -> Reply {
        let refused = Reply::Refused(Refusal {
            redirect: None,
            config: self.shared.highest_version(),
        });
        self.spread.send(Event::VersionSeen {
            version: renewal.config,
            from: None,
        });
        match self.shards.get(renewal.shard) {
            None => refused,
            Some(actor) => actor.send(Renew(renewal)).await.unwrap_or(refused),
        }
    }
}

#[async_trait]
impl ControlServer for Remote {
    async fn renew(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>> {
        let renewals = renewals.into_iter();
        let replies = renewals.map(|renewal| self.renew_or_relay(renewal));
        Ok(join_all(replies).await)
    }

    async fn relayed(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>> {
        let replies = renewals.into_iter().map(|renewal| self.renew_one(renewal));
        Ok(join_all(replies).await)
    }

    async fn promise(&self, ask: PromiseRequest) -> RpcResult<Promise> {
        let actor = self.shards.get(ask.shard).ok_or_else(no_such_shard)?;
        let promise = actor.send(Heartbeat(ask)).await.ok().flatten();
        promise.ok_or_else(no_such_shard)
    }

    async fn release(&self, release: Release) -> RpcResult<Released> {
        let actor = self.shards.get(release.shard).ok_or_else(no_such_shard)?;
        actor
            .send(ReleaseShard(release))
            .await
            .map_err(|_| no_such_shard())
    }

    async fn knowledge(&self, version: u64) -> RpcResult<Knowledge> {
        self.spread.send(Event::VersionSeen {
            version,
            from: None,
        });
        Ok(self.shared.knowledge(version))
    }

    async fn status(&self) -> RpcResult<Status> {
        Ok(fleet_status::local(&self.shards).await)
    }

    async fn order(&self, service: String) -> RpcResult<Ordered> {
        let number = fleet_status::shard_of(&self.shared, &service);
        let Some(actor) = number.and_then(|number| self.shards.get(number)) else {
            return Ok(Ordered::NoSuchService);
        };
        let ordered = actor.send(SwitchOver(service)).await;
        Ok(ordered.unwrap_or(Ordered::NoSuchService))
    }
}

fn no_such_shard() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        NO_SUCH_SHARD,
        "this process knows no such shard yet",
        None::<()>,
    )
}
