//! The control process: shard controllers, distribution of the configuration, operators' HTTP.
//!
//! Every host runs one control process, which leads or stands by for each shard. The controller of
//! a shard is elected by compare-and-set in the platform's table service.

pub mod bootstrap;
pub mod budgets;
pub mod candidate;
pub mod config;
pub mod drain;
pub mod error;
pub mod event;
pub mod fleet_status;
pub mod floors;
pub mod gossip;
pub mod hints;
pub mod meter;
pub mod operators;
pub mod peer;
pub mod poll;
pub mod relay;
pub mod row;
pub mod rpc;
pub mod servers;
pub mod settings;
pub mod shard;
mod shard_effect;
mod shard_floors;
mod shard_lease;
pub mod shard_message;
mod shard_note;
mod shard_status;
pub mod shards;
pub mod shared;
pub mod spread;
pub mod submit;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::clock::Clock;
use flamingopost_daemon::clock::Boot;
use flamingopost_daemon::health::{Probe, Readiness};
use flamingopost_daemon::http;
use flamingopost_daemon::remote;
use flamingopost_daemon::stop::{Phase, Stop};
use flamingopost_platform::http::Client;
use flamingopost_wire::rpc::ControlServer as _;
use jsonrpsee::server::{ServerBuilder, ServerConfig};

use crate::error::Error;
use crate::meter::Platform;
use crate::operators::Operators;
use crate::relay::Relay;
use crate::rpc::Remote;
use crate::settings::Settings;
use crate::shard_message::Shutdown;
use crate::shards::Shards;
use crate::shared::Shared;

/// Maximum number of concurrent connections for remote calls: the hosts of a fleet, with headroom.
const MAX_CONNECTIONS: u32 = 2_048;

/// Time that a draining process waits for standbys to take over its shards.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(12);

/// Maximum size of a message between processes in bytes: the view of a large shard.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Runs a control process until `stop` is stopped. Has to be called inside an actix system, whose
/// thread runs the shards' actors.
///
/// # Errors
/// A listener cannot be opened, or a part of the process failed.
pub async fn run(settings: Settings, stop: Stop) -> Result<(), Error> {
    let listening = |address| TcpListener::bind(address).map_err(|e| Error::Listen(address, e));
    let rpc = listening(settings.rpc)?;
    let admin = listening(settings.admin)?;
    run_on(rpc, admin, settings, stop).await
}

/// Does the same as [`run`] on sockets that are already listening.
///
/// # Errors
/// A part of the process failed.
pub async fn run_on(
    rpc: TcpListener,
    admin: TcpListener,
    mut settings: Settings,
    stop: Stop,
) -> Result<(), Error> {
    settings.rpc = rpc
        .local_addr()
        .map_err(|e| Error::Listen(settings.rpc, e))?;
    settings.admin = admin
        .local_addr()
        .map_err(|e| Error::Listen(settings.admin, e))?;
    let clock: Arc<dyn Clock> = Arc::new(Boot);
    let platform = settings.platform;
    let client = Client::new(platform.address, &settings.zone, platform.timeout)?;
    let platform = Platform::new(client, clock.clone());
    let shared = Arc::new(Shared::new(settings, platform, clock, stop));
    serve(rpc, admin, shared).await
}

async fn serve(rpc: TcpListener, admin: TcpListener, shared: Arc<Shared>) -> Result<(), Error> {
    let first_peers = shared.peers().all().len();
    let spread = spread::start(shared.clone(), first_peers);
    let reader = poll::start(shared.clone(), spread.clone());
    let shards = Shards::default();
    actix_rt::spawn(shards.clone().run(shared.clone(), reader.clone()));
    tokio::spawn(hints::run(shared.clone(), reader, shards.clone()));
    tokio::spawn(gossip::run(shared.clone(), spread.clone()));
    if let Some(file) = shared.settings().bootstrap.clone() {
        let shared = shared.clone();
        tokio::spawn(async move { bootstrap::run(shared, &file).await });
    }
    let remote = Remote {
        shared: shared.clone(),
        shards: shards.clone(),
        spread: spread.clone(),
        relay: Relay::new(shared.clone()),
    };
    tokio::spawn(retire(shared.clone(), shards.clone()));
    let handle = remote_calls(rpc, remote, &shared)?;
    let operators = Operators {
        shared: shared.clone(),
        shards: shards.clone(),
        spread,
    };
    let served = http::serve_on(
        admin,
        shared.settings().token.clone(),
        Arc::new(Health(shared.clone())),
        operators::routes(operators),
        shared.stop().clone(),
    );
    let result = served.await.map_err(Error::Http);
    shared.stop().stop();
    shards.broadcast(|| Shutdown);
    // Fails only if the server has already stopped.
    let _ = handle.stop();
    handle.stopped().await;
    result
}

/// After a request to drain, hands over the process's shards and then stops the process. No caller
/// is interrupted, because a control process serves no callers.
async fn retire(shared: Arc<Shared>, shards: Shards) {
    shared.stop().draining().await;
    if shared.stop().phase() == Phase::Draining {
        shards.retire(HANDOVER_TIMEOUT).await;
    }
    shared.stop().stop();
}

fn remote_calls(
    socket: TcpListener,
    remote: Remote,
    shared: &Shared,
) -> Result<jsonrpsee::server::ServerHandle, Error> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .http_only()
        .build();
    let failed = |error| Error::Listen(shared.settings().rpc, error);
    socket.set_nonblocking(true).map_err(failed)?;
    let server = ServerBuilder::with_config(config)
        .set_http_middleware(remote::server_middleware(&shared.settings().token))
        .build_from_tcp(socket)
        .map_err(failed)?;
    Ok(server.start(remote.into_rpc()))
}

struct Health(Arc<Shared>);

impl Probe for Health {
    fn readiness(&self) -> Readiness {
        match (self.0.stop().phase(), self.0.config()) {
            (Phase::Draining | Phase::Stopped, _) => Readiness::Draining,
            (Phase::Running, None) => Readiness::NoConfiguration,
            (Phase::Running, Some(_)) => Readiness::Ready,
        }
    }
}
