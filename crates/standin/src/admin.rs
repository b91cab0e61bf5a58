//! Faults by command: `GET /faults`, `POST /faults` and, for database servers, `GET /log`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::dev::ServerHandle;
use actix_web::web::{Data, Json, ServiceConfig};
use actix_web::{App, HttpResponse, HttpServer, web};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::backend;
use crate::platform;

/// A listening HTTP server; dropping it stops it.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Listener {
    /// Serves what `configure` sets up at `address`, on one worker.
    pub(crate) fn start<F>(address: SocketAddr, configure: F) -> io::Result<Listener>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let server = HttpServer::new(move || App::new().configure(configure.clone()))
            .on_connect(platform::keep_socket)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(0)
            .bind(address)?;
        let address = server.addrs().first().copied().unwrap_or(address);
        let running = server.run();
        let handle = running.handle();
        tokio::spawn(running);
        Ok(Listener { address, handle })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        // The command is sent by the call; only waiting for its end needs the future.
        drop(self.handle.stop(false));
    }
}

/// Listens for the faults of a database server.
pub(crate) fn backend(shared: Arc<backend::Shared>, address: SocketAddr) -> io::Result<Listener> {
    Listener::start(address, move |app| {
        app.app_data(Data::from(Arc::clone(&shared)))
            .route("/faults", web::get().to(show_backend))
            .route("/faults", web::post().to(post_backend))
            .route("/log", web::get().to(log));
    })
}

/// Listens for the faults of a platform.
pub(crate) fn platform(shared: Arc<platform::Shared>, address: SocketAddr) -> io::Result<Listener> {
    Listener::start(address, move |app| {
        app.app_data(Data::from(Arc::clone(&shared)))
            .route("/faults", web::get().to(show_platform))
            .route("/faults", web::post().to(post_platform));
    })
}

async fn show_backend(shared: Data<backend::Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.switch.get())
}

async fn post_backend(shared: Data<backend::Shared>, change: Json<Value>) -> HttpResponse {
    change_backend(&shared, change.into_inner())
}

/// Merges `change` into the faults of a database server and tells what they are then.
pub(crate) fn change_backend(shared: &backend::Shared, change: Value) -> HttpResponse {
    match merge(&shared.switch.get(), change) {
        Ok(faults) => {
            backend::set_faults(shared, faults);
            HttpResponse::Ok().json(shared.switch.get())
        }
        Err(error) => refuse(&error),
    }
}

async fn log(shared: Data<backend::Shared>) -> HttpResponse {
    HttpResponse::Ok().json(backend::summary(&shared))
}

async fn show_platform(shared: Data<platform::Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.faults())
}

async fn post_platform(shared: Data<platform::Shared>, change: Json<Value>) -> HttpResponse {
    change_platform(&shared, change.into_inner())
}

/// Merges `change` into the faults of a platform and tells what they are then.
pub(crate) fn change_platform(shared: &platform::Shared, change: Value) -> HttpResponse {
    match merge(&shared.faults(), change) {
        Ok(faults) => {
            shared.set_faults(faults);
            HttpResponse::Ok().json(shared.faults())
        }
        Err(error) => refuse(&error),
    }
}

fn refuse(error: &serde_json::Error) -> HttpResponse {
    HttpResponse::BadRequest().json(json!({ "error": error.to_string() }))
}

/// `faults` with the fields that `change` names. `{"revive": true}` first takes all faults away,
/// and `"cut"` may also be `true` or `false`.
///
/// # Errors
/// A field that does not exist or has another type.
fn merge<F>(faults: &F, change: Value) -> Result<F, serde_json::Error>
where
    F: Serialize + DeserializeOwned + Default,
{
    let Value::Object(mut change) = change else {
        return serde_json::from_value(change);
    };
    let revive = change.remove("revive") == Some(Value::Bool(true));
    let start = if revive { &F::default() } else { faults };
    let mut merged = serde_json::to_value(start)?;
    for (field, value) in change {
        let value = match (field.as_str(), value) {
            ("cut", Value::Bool(true)) => json!("all"),
            ("cut", Value::Bool(false)) => json!("no"),
            (_, value) => value,
        };
        merged[field] = value;
    }
    serde_json::from_value(merged)
}
