//! Opening of a host's addresses, which something else may hold for a while.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::clock::Clock;
use flamingopost_daemon::event::{Daemon, Event as _};

use crate::meter;

/// Interval between attempts to open an address.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between log lines about an address that stays unavailable.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// An address that a host opens, and what it is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// What the address is for, as shown in logs and metrics.
    pub purpose: &'static str,
    /// The address.
    pub address: SocketAddr,
}

impl Endpoint {
    /// Opens the address by `open`, which is repeated until it succeeds. A process that ended instead
    /// would be started again and find the address as it was.
    ///
    /// ```
    /// use flamingopost_daemon::clock::Boot;
    /// use flamingopost_proxy::endpoint::Endpoint;
    /// use tokio::net::TcpListener;
    ///
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// let address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// let endpoint = Endpoint { purpose: "callers", address };
    /// let listener = runtime.block_on(endpoint.open(&Boot, TcpListener::bind));
    /// assert_eq!(listener.local_addr().unwrap().ip(), address.ip());
    /// ```
    pub async fn open<T, F>(self, clock: &dyn Clock, open: impl Fn(SocketAddr) -> F) -> T
    where
        F: Future<Output = io::Result<T>>,
    {
        let Endpoint { purpose, address } = self;
        let began = clock.now();
        let mut logged = None;
        loop {
            let opened = open(address).await;
            let now = clock.now();
            let millis = now.saturating_sub(began).as_millis();
            match opened {
                Ok(opened) => {
                    if logged.is_some() {
                        let available = Daemon::AddressAvailable {
                            address,
                            purpose,
                            millis,
                        };
                        available.log();
                    }
                    return opened;
                }
                Err(error) => {
                    meter::address_unavailable(purpose);
                    if logged.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL) {
                        logged = Some(now);
                        let error = error.to_string();
                        let unavailable = Daemon::AddressUnavailable {
                            address,
                            purpose,
                            error,
                            millis,
                        };
                        unavailable.log();
                    }
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}
