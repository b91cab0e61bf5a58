//! The remote interfaces.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::authority::{Promise, PromiseRequest, Release, Released};
use crate::close::{Close, Closed};
use crate::knowledge::Knowledge;
use crate::lease::{Renewal, Reply};
use crate::status::{Ordered, Status};

/// What a control process answers.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Renews leases: several at once, for a relay; the answers come in the same order.
    #[method(name = "renew")]
    async fn renew(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>>;

    /// Renews leases on behalf of the hosts of a zone; as `renew`, but never passed on again.
    #[method(name = "relayed")]
    async fn relayed(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>> {
        self.renew(renewals).await
    }

    /// Tells a host that the controller is there; may ask for its promise.
    #[method(name = "promise")]
    async fn promise(&self, ask: PromiseRequest) -> RpcResult<Promise>;

    /// Asks a replaced controller to give up, or anybody what it knows of the shard.
    #[method(name = "release")]
    async fn release(&self, release: Release) -> RpcResult<Released>;

    /// Tells what this process knows; `version` is what the asker has.
    #[method(name = "knowledge")]
    async fn knowledge(&self, version: u64) -> RpcResult<Knowledge>;

    /// Tells the state of the shards that this process leads.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Orders a planned promotion for a service whose shard this process leads.
    #[method(name = "order")]
    async fn order(&self, service: String) -> RpcResult<Ordered>;
}

/// What an entry host answers.
#[rpc(server, client, namespace = "entry")]
pub trait Entry {
    /// Closes terms.
    #[method(name = "close")]
    async fn close(&self, close: Close) -> RpcResult<Closed>;

    /// Tells of a new view, so that a new term is in use before the next renewal.
    #[method(name = "view")]
    async fn view(&self, close: Close) -> RpcResult<u64>;

    /// Tells what this host knows; `version` is what the asker has.
    #[method(name = "knowledge")]
    async fn knowledge(&self, version: u64) -> RpcResult<Knowledge>;
}
