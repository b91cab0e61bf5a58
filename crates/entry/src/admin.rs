//! Operators' HTTP of an entry host.

pub mod explain;
pub mod status;

use std::net::TcpListener;
use std::sync::Arc;

use actix_web::web::{self, Data, Json, Query, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use flamingopost_daemon::health::{Probe, Readiness};
use flamingopost_daemon::http::{self, Refusal};
use flamingopost_daemon::stop::Phase;
use flamingopost_daemon::token::Token;
use serde::Deserialize;

use crate::context::Context;
use crate::link::Link;
use crate::shared::Shared;
use crate::tls::Keys;

/// What operators' HTTP answers from.
#[derive(Clone)]
pub struct Admin {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Configuration, leases, clock.
    pub shared: Arc<Shared>,
    /// The link to controllers.
    pub link: Arc<Link>,
    /// Services and pools.
    pub context: Arc<Context>,
    /// Certificate and key, where callers may use TLS.
    pub keys: Option<Arc<Keys>>,
}

/// The parameters of `GET /v1/explain`.
#[derive(Debug, Deserialize)]
struct Question {
    service: String,
    caller: String,
    sql: String,
}

impl Admin {
    /// Serves until the process is over.
    ///
    /// # Errors
    /// When the server fails.
    pub async fn serve(self, socket: TcpListener, token: Token) -> std::io::Result<()> {
        let probe = Arc::new(Health(self.shared.clone()));
        let stop = self.shared.stop().clone();
        let admin = Data::new(self);
        let routes = move |config: &mut ServiceConfig| {
            config
                .app_data(admin.clone())
                .route("/status", web::get().to(status))
                .route("/explain", web::get().to(explain))
                .route("/drain", web::post().to(drain))
                .route("/reload", web::post().to(reload));
        };
        http::serve_on(socket, token, probe, routes, stop).await
    }
}

/// Readiness of an entry host.
struct Health(Arc<Shared>);

impl Probe for Health {
    fn readiness(&self) -> Readiness {
        let shared = &self.0;
        if shared.stop().phase() != Phase::Running {
            return Readiness::Draining;
        }
        let Some(adopted) = shared.adopted() else {
            return Readiness::NoConfiguration;
        };
        let now = shared.now();
        let leases = shared.leases();
        let mut shards = adopted.fleet.shards_in_use().into_iter();
        let leased = shards.any(|shard| !leases.time_left(shard, now).is_zero());
        drop(leases);
        // A zone that is cut off from every controller goes on reading over the connections
        // that outlast its leases: taking its hosts out would end that as well.
        match leased || shared.may_connect() {
            true => Readiness::Ready,
            false => Readiness::NoLease,
        }
    }
}

async fn status(admin: Data<Admin>) -> impl Responder {
    Json(status::of(&admin))
}

async fn explain(admin: Data<Admin>, question: Query<Question>) -> HttpResponse {
    let Question {
        service,
        caller,
        sql,
    } = question.into_inner();
    match explain::explain(&admin.context, &service, &caller, &sql) {
        Ok(explanation) => HttpResponse::Ok().json(explanation),
        Err(error) => {
            let refusal = Refusal {
                error: error.kind(),
                message: error.to_string(),
            };
            HttpResponse::NotFound().json(refusal)
        }
    }
}

async fn drain(admin: Data<Admin>) -> HttpResponse {
    // Told from before: with no caller left, the process may be over a moment later.
    let status = status::draining(&admin);
    admin.shared.stop().drain();
    HttpResponse::Accepted().json(status)
}

async fn reload(admin: Data<Admin>) -> HttpResponse {
    let Some(keys) = &admin.keys else {
        return HttpResponse::Conflict().json(Refusal {
            error: "no_tls",
            message: "this host has no [tls] section in its settings".to_owned(),
        });
    };
    match keys.reload() {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(error) => HttpResponse::UnprocessableEntity().json(Refusal {
            error: "key_kept",
            message: error.to_string(),
        }),
    }
}
