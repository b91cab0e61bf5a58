//! A stand-in platform.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flamingopost_daemon::event::Event as _;

use super::fault::Faults;
use super::hosts::{Announcement, Host, Hosts};
use super::http;
use super::table::Table;
use tokio::time::Instant;

use crate::admin::{self, Listener};
use crate::event::Event;

/// How a platform is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where it listens; port 0 takes any.
    pub listen: SocketAddr,
    /// Where it listens for faults by command, if it does; port 0 takes any.
    pub admin: Option<SocketAddr>,
}

impl Default for Settings {
    /// Free loopback ports.
    fn default() -> Settings {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            admin: None,
        }
    }
}

/// What the requests of one platform share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    faults: Mutex<Faults>,
    table: Mutex<Table>,
    objects: Mutex<Table>,
    hosts: Mutex<Hosts>,
}

impl Shared {
    pub(crate) fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        Event::PlatformFaults {
            faults: format!("{faults:?}"),
        }
        .log();
        *lock(&self.faults) = faults;
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    pub(crate) fn objects(&self) -> MutexGuard<'_, Table> {
        lock(&self.objects)
    }

    pub(crate) fn hosts(&self) -> MutexGuard<'_, Hosts> {
        lock(&self.hosts)
    }
}

/// A running platform. Dropping it stops it.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    listener: Listener,
    admin: Option<Listener>,
}

impl Service {
    /// Starts a platform on the current runtime.
    ///
    /// # Errors
    /// An address that is taken.
    pub fn start(settings: &Settings) -> io::Result<Service> {
        let shared = Arc::new(Shared::default());
        let served = Arc::clone(&shared);
        let listener = Listener::start(settings.listen, move |app| {
            http::configure(app, Arc::clone(&served));
        })?;
        let admin = settings
            .admin
            .map(|address| admin::platform(Arc::clone(&shared), address))
            .transpose()?;
        Ok(Service {
            shared,
            listener,
            admin,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Where it listens for faults by command, if it does.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(Listener::address)
    }

    pub(crate) fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Puts a host on the list for a while, as `PUT /hosts/{host}` does.
    pub fn announce(&self, host: &str, announced: Announcement) {
        let host = Host {
            host: host.to_owned(),
            announced,
        };
        self.shared.hosts().announce(Instant::now(), host);
    }

    /// Its faults.
    pub fn faults(&self) -> Faults {
        self.shared.faults()
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
