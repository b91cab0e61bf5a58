//! One address for the faults of a whole deployment.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::web::{Data, Json, Path};
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::admin::{self, Listener};
use crate::backend::fault::{Cut, Faults};
use crate::backend::{self, Server};
use crate::platform::{self, Service};
use crate::relay::Cuts;

/// What the faults of a deployment are set by. Dropping it closes the address.
///
/// | request | meaning |
/// | --- | --- |
/// | `GET /faults` | faults of all servers and of the platform, and the zones that are cut off |
/// | `POST /faults` `{"zone": "Z", "cut": true}` | cuts a zone off, or heals it with `false` |
/// | `GET`, `POST /servers/{name}/faults` | faults of one server |
/// | `GET /servers/{name}/log` | what one server has done |
/// | `GET`, `POST /platform/faults` | faults of the platform |
#[derive(Debug)]
pub struct Panel {
    listener: Listener,
}

/// Everything that can have faults.
#[derive(Debug)]
struct Deployment {
    servers: BTreeMap<String, Arc<backend::Shared>>,
    platform: Arc<platform::Shared>,
    cuts: Cuts,
}

/// A zone is to be cut off from all others, or to be healed.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneCut {
    zone: String,
    cut: bool,
}

#[derive(Debug, Serialize)]
struct Overview {
    cut_zones: BTreeSet<String>,
    platform: platform::Faults,
    servers: BTreeMap<String, Faults>,
}

impl Panel {
    /// Listens at `address` for the faults of `servers` and `platform`, and for cuts of zones,
    /// which also go to the relays that share `cuts`.
    ///
    /// # Errors
    /// An address that is taken.
    pub fn start(
        address: SocketAddr,
        servers: &[Server],
        platform: &Service,
        cuts: &Cuts,
    ) -> io::Result<Panel> {
        let named = |server: &Server| (server.settings().name.clone(), server.shared());
        let deployment = Arc::new(Deployment {
            servers: servers.iter().map(named).collect(),
            platform: platform.shared(),
            cuts: cuts.clone(),
        });
        let listener = Listener::start(address, move |app| {
            app.app_data(Data::from(Arc::clone(&deployment)))
                .route("/faults", web::get().to(show))
                .route("/faults", web::post().to(cut_zone))
                .route("/servers/{name}/faults", web::get().to(show_server))
                .route("/servers/{name}/faults", web::post().to(change_server))
                .route("/servers/{name}/log", web::get().to(log))
                .route("/platform/faults", web::get().to(show_platform))
                .route("/platform/faults", web::post().to(change_platform));
        })?;
        Ok(Panel { listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

impl Deployment {
    /// Servers in a zone that is cut off are reached from their own zone only, the others from
    /// all zones that are not cut off; the platform lies in none of them.
    fn cut_zone(&self, change: ZoneCut) {
        self.cuts.set(&change.zone, change.cut);
        let zones = self.cuts.zones();
        for shared in self.servers.values() {
            let zone = &shared.settings.zone;
            let cut = if zones.contains(zone) {
                Cut::Except(BTreeSet::from([zone.clone()]))
            } else if zones.is_empty() {
                Cut::No
            } else {
                Cut::From(zones.clone())
            };
            let faults = shared.switch.get();
            backend::set_faults(shared, Faults { cut, ..faults });
        }
        let faults = self.platform.faults();
        self.platform.set_faults(platform::Faults {
            cut_zones: zones,
            ..faults
        });
    }

    fn overview(&self) -> Overview {
        let servers = self
            .servers
            .iter()
            .map(|(name, shared)| (name.clone(), shared.switch.get()));
        Overview {
            cut_zones: self.cuts.zones(),
            platform: self.platform.faults(),
            servers: servers.collect(),
        }
    }
}

async fn show(deployment: Data<Deployment>) -> HttpResponse {
    HttpResponse::Ok().json(deployment.overview())
}

async fn cut_zone(deployment: Data<Deployment>, change: Json<ZoneCut>) -> HttpResponse {
    deployment.cut_zone(change.into_inner());
    HttpResponse::Ok().json(deployment.overview())
}

async fn show_server(deployment: Data<Deployment>, name: Path<String>) -> HttpResponse {
    match deployment.servers.get(name.as_str()) {
        Some(shared) => HttpResponse::Ok().json(shared.switch.get()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn change_server(
    deployment: Data<Deployment>,
    name: Path<String>,
    change: Json<Value>,
) -> HttpResponse {
    match deployment.servers.get(name.as_str()) {
        Some(shared) => admin::change_backend(shared, change.into_inner()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn log(deployment: Data<Deployment>, name: Path<String>) -> HttpResponse {
    match deployment.servers.get(name.as_str()) {
        Some(shared) => HttpResponse::Ok().json(backend::summary(shared)),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn show_platform(deployment: Data<Deployment>) -> HttpResponse {
    HttpResponse::Ok().json(deployment.platform.faults())
}

async fn change_platform(deployment: Data<Deployment>, change: Json<Value>) -> HttpResponse {
    admin::change_platform(&deployment.platform, change.into_inner())
}
