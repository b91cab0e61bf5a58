//! One entry host process: its listeners, its tasks, and the order in which they end.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use flamingopost_core::clock::Clock;
use flamingopost_daemon::clock::Boot;
use flamingopost_daemon::event::{Daemon, Event as _};
use flamingopost_daemon::stop::Stop;
use flamingopost_platform::http::Client;

use crate::admin::Admin;
use crate::auth::Door;
use crate::callers;
use crate::context::Context;
use crate::link::{self, Link, Options};
use crate::rpc;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::tls::{self, Keys};

const NAME: &str = "flamingopost-entry";

/// Why an entry host cannot run.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot listen for {listener} on {address}: {error}
    Listen {
        /// What was to listen.
        listener: &'static str,
        /// Where.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// {0}
    Tls(tls::Error),
    /// client of the platform cannot be set up: {0}
    Platform(flamingopost_platform::error::Error),
    /// {0}
    Io(io::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

impl From<tls::Error> for Error {
    fn from(error: tls::Error) -> Error {
        Error::Tls(error)
    }
}

impl From<flamingopost_platform::error::Error> for Error {
    fn from(error: flamingopost_platform::error::Error) -> Error {
        Error::Platform(error)
    }
}

/// An entry host whose listeners are bound and that serves nobody yet.
pub struct Host {
    settings: Settings,
    callers: TcpListener,
    rpc: TcpListener,
    admin: TcpListener,
    keys: Option<Arc<Keys>>,
}

impl Host {
    /// Binds all listeners, so that a port that is taken shows before anything has begun.
    ///
    /// # Errors
    /// A listener that cannot be had, or a certificate that cannot be used.
    pub fn bind(settings: Settings) -> Result<Host, Error> {
        let keys = settings.tls.clone().map(Keys::load).transpose()?;
        Ok(Host {
            callers: listen("callers", settings.callers)?,
            rpc: listen("remote calls", settings.rpc)?,
            admin: listen("operators", settings.admin)?,
            keys: keys.map(Arc::new),
            settings,
        })
    }

    /// Where callers connect.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn callers(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Where the balancer and operators connect.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn admin(&self) -> io::Result<SocketAddr> {
        self.admin.local_addr()
    }

    /// Serves until `stop` drains and the last session has ended, or until `stop` is over.
    ///
    /// # Errors
    /// When a part of it cannot run.
    pub async fn serve(self, stop: Stop) -> Result<(), Error> {
        self.serve_by(Arc::new(Boot), stop).await
    }

    /// As [`Host::serve`], with every decision timed by `clock`.
    ///
    /// # Errors
    /// When a part of it cannot run.
    pub async fn serve_by(self, clock: Arc<dyn Clock>, stop: Stop) -> Result<(), Error> {
        flamingopost_daemon::metrics::start();
        self.log_start();
        let shared = Arc::new(Shared::new(clock, stop.clone()));
        let link = start_link(&self.settings, &shared, &self.rpc)?;
        let token = &self.settings.token;
        rpc::serve(self.rpc, token, shared.clone(), link.clone()).await?;
        let settings = self.settings;
        let context = Arc::new(Context::new(
            shared.clone(),
            &settings.host,
            &settings.zone,
            settings.limits.message,
        ));
        let admin = Admin {
            host: settings.host,
            zone: settings.zone,
            shared: shared.clone(),
            link: link.clone(),
            context: context.clone(),
            keys: self.keys.clone(),
        };
        let secret = settings.token.secret();
        let operators = tokio::spawn(admin.serve(self.admin, settings.token));
        watch_keys(self.keys.clone(), stop.clone());
        tokio::spawn(bound_drain(stop.clone(), settings.drain));
        let door = Arc::new(Door::new(shared, self.keys, settings.limits, secret));
        self.callers.set_nonblocking(true)?;
        let callers = tokio::net::TcpListener::from_std(self.callers)?;
        let served = callers::serve(callers, door, context, stop.clone()).await;
        // The last caller is gone: others may have this host's connections at once.
        link.farewell().await;
        stop.stop();
        let operators = operators.await;
        Daemon::Stopped { daemon: NAME }.log();
        served?;
        operators.map_err(io::Error::other)?.map_err(Error::Io)
    }

    fn log_start(&self) {
        let event = Daemon::Started {
            daemon: NAME,
            version: env!("CARGO_PKG_VERSION"),
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
        };
        event.log();
    }
}

fn watch_keys(keys: Option<Arc<Keys>>, stop: Stop) {
    if let Some(keys) = keys {
        tokio::spawn(async move { keys.watch(stop).await });
    }
}

fn start_link(
    settings: &Settings,
    shared: &Arc<Shared>,
    rpc: &TcpListener,
) -> Result<Arc<Link>, Error> {
    let platform = &settings.platform;
    let client = Client::new(platform.address, &settings.zone, platform.timeout)?;
    let client = Arc::new(client);
    // A port that the system chose is known only now.
    let public = match settings.public_rpc.port() {
        0 => rpc.local_addr()?,
        _ => settings.public_rpc,
    };
    let options = Options {
        host: link::Host {
            name: settings.host.clone(),
            zone: settings.zone.clone(),
            rpc: public.to_string(),
        },
        peers: settings.peers.clone(),
        relay: settings.relay,
        poll: platform.poll,
        token: settings.token.clone(),
    };
    Ok(link::start(shared.clone(), options, client.clone(), client))
}

/// A session that never ends must not keep a host that is to be replaced.
async fn bound_drain(stop: Stop, limit: std::time::Duration) {
    stop.draining().await;
    Daemon::Draining { daemon: NAME }.log();
    tokio::select! {
        () = tokio::time::sleep(limit) => stop.stop(),
        () = stop.stopped() => {}
    }
}

fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|error| Error::Listen {
        listener,
        address,
        error,
    })
}

/// Runs an entry host with `settings` until `stop` ends it.
///
/// # Errors
/// When it cannot start, or a part of it cannot run.
pub async fn run(settings: Settings, stop: Stop) -> Result<(), Error> {
    Host::bind(settings)?.serve(stop).await
}
