//! RPC interfaces of control processes and entry hosts.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::authority::{Promise, PromiseRequest, Release, Released};
use crate::close::{Close, Closed};
use crate::knowledge::Knowledge;
use crate::lease::{Renewal, Reply};
use crate::status::{Ordered, Status};

/// RPC interface of a control process.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Renews leases. A relay sends several at once. The responses are in the same order.
    #[method(name = "renew")]
    async fn renew(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>>;

    /// Renews leases on behalf of the hosts of a zone. Like `renew`, but never relayed again.
    #[method(name = "relayed")]
    async fn relayed(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>> {
        self.renew(renewals).await
    }

    /// Receives a controller's heartbeat, which may request a promise.
    #[method(name = "promise")]
    async fn promise(&self, ask: PromiseRequest) -> RpcResult<Promise>;

    /// Asks a replaced controller to release its authority, or any process for its knowledge of the
    /// shard.
    #[method(name = "release")]
    async fn release(&self, release: Release) -> RpcResult<Released>;

    /// Returns the configuration in force and known controllers. `version` is the configuration
    /// version of the requesting process.
    #[method(name = "knowledge")]
    async fn knowledge(&self, version: u64) -> RpcResult<Knowledge>;

    /// Returns the state of the shards that this process controls.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Orders a planned promotion for a service whose shard this process controls.
    #[method(name = "order")]
    async fn order(&self, service: String) -> RpcResult<Ordered>;
}

/// RPC interface of an entry host.
#[rpc(server, client, namespace = "entry")]
pub trait Entry {
    /// Closes terms.
    #[method(name = "close")]
    async fn close(&self, close: Close) -> RpcResult<Closed>;

    /// Pushes a new view, so that a new term is in use before the next renewal.
    #[method(name = "view")]
    async fn view(&self, close: Close) -> RpcResult<u64>;

    /// Returns the configuration in force and known controllers. `version` is the configuration
    /// version of the requesting process.
    #[method(name = "knowledge")]
    async fn knowledge(&self, version: u64) -> RpcResult<Knowledge>;
}
