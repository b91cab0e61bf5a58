//! Starts the two daemons of a host of a trial: an entry daemon and a control daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use flamingopost_control::settings::Settings as ControlSettings;
use flamingopost_daemon::stop::Stop;
use flamingopost_daemon::token::Token;
use flamingopost_entry::settings::Settings as EntrySettings;
use flamingopost_standin::relay::{Cuts, Relay};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::error::Error;
use crate::plan::Host;

/// How long sessions may continue after the first stop signal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which daemons poll the fleet's rows. Shorter than in a real deployment, so that a
/// trial is usable within its first second.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Relays in front of the remote call (RPC) addresses of one host's daemons. They start before any
/// daemon does, so that each daemon can be configured with the addresses of the others.
#[derive(Debug)]
pub struct Relays {
    entry: Relay,
    control: Relay,
}

impl Relays {
    /// Starts the relays of `host`. They block traffic between zones that `cuts` divides.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn open(host: &Host, cuts: &Cuts) -> Result<Relays, Error> {
        Ok(Relays {
            entry: Relay::start(host.entry_rpc, &host.zone, cuts).await?,
            control: Relay::start(host.control_rpc, &host.zone, cuts).await?,
        })
    }

    /// Returns the address at which other daemons reach the control daemon.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }
}

/// Settings that all hosts of a trial share.
#[derive(Debug, Clone)]
pub struct SharedSettings<'a> {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// RPC addresses of all control daemons.
    pub peers: Vec<SocketAddr>,
    /// The operators' token.
    pub token: &'a str,
    /// File with the first configuration.
    pub fleet: &'a Path,
}

/// Starts the entry daemon of `host`.
///
/// # Errors
/// Returns an error if an address is already in use.
pub fn start_entry(
    host: &Host,
    relays: &Relays,
    shared: &SharedSettings<'_>,
    stop: Stop,
) -> Result<JoinHandle<Result<(), Error>>, Error> {
    let mut settings = EntrySettings {
        callers: host.callers,
        admin: host.entry_admin,
        rpc: host.entry_rpc,
        public_rpc: relays.entry.address(),
        token: Token::new(shared.token),
        peers: shared.peers.clone(),
        drain: DRAIN_TIMEOUT,
        ..EntrySettings::local(&host.name, &host.zone, shared.platform)
    };
    settings.platform.poll = POLL_INTERVAL;
    let bound = flamingopost_entry::host::Host::bind(settings)?;
    Ok(tokio::spawn(async move { Ok(bound.serve(stop).await?) }))
}

/// Starts the control daemon of `host` on its own thread, whose actix system runs the daemon's
/// actors. The receiver yields the daemon's result when it ends.
///
/// # Errors
/// Returns an error if the thread cannot be spawned.
pub fn start_control(
    host: &Host,
    relays: &Relays,
    shared: &SharedSettings<'_>,
    stop: Stop,
) -> Result<oneshot::Receiver<Result<(), Error>>, Error> {
    let own = relays.control();
    let peers = shared.peers.iter().copied();
    let mut settings = ControlSettings {
        rpc: host.control_rpc,
        public_rpc: Some(own),
        admin: host.control_admin,
        token: Token::new(shared.token),
        peers: peers.filter(|peer| *peer != own).collect(),
        bootstrap: Some(shared.fleet.to_owned()),
        ..ControlSettings::local(&host.name, &host.zone, shared.platform)
    };
    settings.platform.poll = POLL_INTERVAL;
    let (sender, receiver) = oneshot::channel();
    let thread = std::thread::Builder::new().name(host.name.clone());
    thread.spawn(move || {
        let run = flamingopost_control::run(settings, stop);
        let result = actix_rt::System::new().block_on(run);
        // The receiver is already dropped if the trial itself has ended.
        let _ = sender.send(result.map_err(Error::from));
    })?;
    Ok(receiver)
}
