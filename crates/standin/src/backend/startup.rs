//! How a connection begins: who it is, and whether there is room for it.

use std::sync::Arc;

use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{SecretKey, Startup};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};

use super::channel::{Channel, End};
use super::error::Error;
use super::registry::Handle;
use super::replica::PEER_USER;

/// Everything before the start-up message. A cancel request is answered here.
pub(crate) async fn greet(channel: &mut Channel) -> Result<Option<Startup>, End> {
    loop {
        match channel.next().await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                channel.context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                channel.push(PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                channel.flush().await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                if let SecretKey::I32(secret) = request.secret_key {
                    channel.shared.registry.cancel(request.pid, secret);
                }
                return Ok(None);
            }
            PgWireFrontendMessage::Startup(startup) => {
                channel.context.awaiting_frontend_startup = false;
                return Ok(Some(startup));
            }
            _ => return Err(End::Closed),
        }
    }
}

pub(crate) async fn admit(
    channel: &mut Channel,
    startup: &Startup,
) -> Result<Result<Arc<Handle>, Error>, End> {
    let given = |name: &str| startup.parameters.get(name).cloned().unwrap_or_default();
    channel.peer = Some(given("application_name"));
    let shared = Arc::clone(&channel.shared);
    shared.switch.reached_by(channel.peer.as_deref()).await;
    let settings = &shared.settings;
    let is_peer = given("user") == PEER_USER;
    let database = given("database");
    if database != settings.service {
        return Ok(Err(Error::Database(database)));
    }
    if shared.state().rebuilding {
        return Ok(Err(Error::StartingUp));
    }
    let limit = usize::from(settings.connections);
    let Some(handle) = shared.registry.add(!is_peer, limit) else {
        return Ok(Err(Error::TooManyConnections));
    };
    if !is_peer {
        tokio::time::sleep(settings.connect_cost).await;
    }
    Ok(Ok(handle))
}
