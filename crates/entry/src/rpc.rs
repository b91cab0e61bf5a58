//! The remote calls that an entry host answers.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use flamingopost_core::view;
use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::remote;
use flamingopost_daemon::token::Token;
use flamingopost_wire::close::{Close, Closed};
use flamingopost_wire::knowledge::Knowledge;
use flamingopost_wire::rpc::EntryServer;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{ServerBuilder, ServerConfig};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;

use crate::event::Event;
use crate::link::{self, Link};
use crate::shared::Shared;

/// Greatest request: a view of a shard of a thousand services.
const MAX_REQUEST: u32 = 4 << 20;
const MAX_ANSWER: u32 = 16 << 20;
const MAX_CONNECTIONS: u32 = 1_024;

struct Entry {
    shared: Arc<Shared>,
    link: Arc<Link>,
}

/// Serves remote calls on `socket`, for whoever has the fleet's `token`, until the process is
/// over.
///
/// # Errors
/// When the server cannot be set up.
pub async fn serve(
    socket: TcpListener,
    token: &Token,
    shared: Arc<Shared>,
    link: Arc<Link>,
) -> std::io::Result<SocketAddr> {
    let address = socket.local_addr()?;
    socket.set_nonblocking(true)?;
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_REQUEST)
        .max_response_body_size(MAX_ANSWER)
        .max_connections(MAX_CONNECTIONS)
        .http_only()
        .build();
    let server = ServerBuilder::with_config(config)
        .set_http_middleware(remote::server_middleware(token))
        .build_from_tcp(socket)?;
    let stop = shared.stop().clone();
    let handle = server.start(Entry { shared, link }.into_rpc());
    tokio::spawn(async move {
        stop.stopped().await;
        // Fails only when the server is over already.
        let _ = handle.stop();
        handle.stopped().await;
    });
    Ok(address)
}

impl Entry {
    fn decode(&self, close: &Close) -> RpcResult<view::Shard> {
        self.link.decode(&close.view).map_err(|error| {
            let (shard, text) = (close.shard, error.to_string());
            Event::BadView {
                shard,
                error: text.clone(),
            }
            .log();
            ErrorObjectOwned::owned(INVALID_PARAMS_CODE, text, None::<()>)
        })
    }

    fn version(&self) -> u64 {
        self.shared.adopted().map_or(0, |adopted| adopted.version)
    }
}

#[async_trait]
impl EntryServer for Entry {
    async fn close(&self, close: Close) -> RpcResult<Closed> {
        let view = self.decode(&close)?;
        // Under one lock: a version adopted in between would vouch for writes that were
        // acknowledged before it and after the positions were taken.
        let (acknowledged, version) = {
            let mut leases = self.shared.leases();
            let acknowledged = leases.close(close.shard, view);
            (acknowledged, leases.version(close.shard))
        };
        let version = version.unwrap_or_default();
        self.shared.changed();
        self.shared.renew_soon();
        self.link.heard(close.config, None);
        let view = format!("{}.{}", version.epoch, version.change);
        Event::Closed {
            shard: close.shard,
            view,
        }
        .log();
        Ok(Closed {
            incarnation: self.shared.incarnation(),
            version: version.into(),
            acknowledged: link::named(&self.shared, acknowledged),
            config: self.version(),
        })
    }

    async fn view(&self, close: Close) -> RpcResult<u64> {
        let view = self.decode(&close)?;
        self.shared.leases().adopt(close.shard, view);
        self.shared.changed();
        self.shared.renew_soon();
        self.link.heard(close.config, None);
        Ok(self.version())
    }

    async fn knowledge(&self, version: u64) -> RpcResult<Knowledge> {
        Ok(self.link.knowledge(version))
    }
}
