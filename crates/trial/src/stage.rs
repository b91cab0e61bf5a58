//! The stand-ins of a trial: the database servers of the fleet and the platform.

use flamingopost_core::fleet;
use flamingopost_core::key::ServerKey;
use flamingopost_standin::backend::{Server, Settings};
use flamingopost_standin::panel::Panel;
use flamingopost_standin::platform::{self, Service};
use flamingopost_standin::relay::Cuts;

use crate::error::Error;
use crate::plan::Plan;

/// The running stand-ins. They stop when they are dropped.
#[derive(Debug)]
pub struct Stage {
    /// Database servers.
    pub servers: Vec<Server>,
    /// The platform.
    pub platform: Service,
    /// HTTP interface that sets faults of the stand-ins.
    pub panel: Panel,
    /// Availability zones that are cut off.
    pub cuts: Cuts,
}

impl Stage {
    /// Starts the stand-ins of `plan`.
    ///
    /// # Errors
    /// Returns an error if an address is already in use or a server cannot start.
    pub async fn start(plan: &Plan) -> Result<Stage, Error> {
        let platform = platform::Settings {
            listen: plan.platform,
            admin: None,
        };
        let platform =
            Service::start(&platform).map_err(|error| Error::Listen(plan.platform, error))?;
        let mut servers = Vec::new();
        for (key, server) in &plan.fleet.servers {
            let settings = settings(plan, *key, server);
            let name = settings.name.clone();
            let started = Server::start(settings).await;
            servers.push(started.map_err(|error| Error::Server(name, error))?);
        }
        let cuts = Cuts::default();
        let panel = Panel::start(plan.faults, &servers, &platform, &cuts)
            .map_err(|error| Error::Listen(plan.faults, error))?;
        Ok(Stage {
            servers,
            platform,
            panel,
            cuts,
        })
    }
}

fn settings(plan: &Plan, key: ServerKey, server: &fleet::Server) -> Settings {
    let name = plan.names.servers.name(key).unwrap_or_default();
    let service = plan.names.services.name(server.service).unwrap_or_default();
    let zone = plan.names.zones.name(server.zone).unwrap_or_default();
    Settings {
        zone: zone.to_owned(),
        listen: server.address,
        slots: server.slots,
        connections: server.connections,
        connect_cost: server.connect_cost,
        ..Settings::new(name, service)
    }
}
