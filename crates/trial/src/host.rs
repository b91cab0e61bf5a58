//! One host of a trial: an entry daemon and a control daemon.

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

/// How long sessions may go on after the first signal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// How often daemons read the fleet's rows. More often than in a fleet, because a trial shows
/// itself from its first second on.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The ways to the remote calls of one host's daemons. They are open before any daemon starts, so
/// that each daemon can be told of the others.
#[derive(Debug)]
pub struct Relays {
    entry: Relay,
    control: Relay,
}

impl Relays {
    /// Opens the ways to `host`, which cuts of its zone close.
    ///
    /// # Errors
    /// No port is free.
    pub async fn open(host: &Host, cuts: &Cuts) -> Result<Relays, Error> {
        Ok(Relays {
            entry: Relay::start(host.entry_rpc, &host.zone, cuts).await?,
            control: Relay::start(host.control_rpc, &host.zone, cuts).await?,
        })
    }

    /// Where others reach the control daemon.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }
}

/// What all hosts of a trial are told.
#[derive(Debug, Clone)]
pub struct SharedSettings<'a> {
    /// The platform.
    pub platform: SocketAddr,
    /// Remote calls of all control daemons.
    pub peers: Vec<SocketAddr>,
    /// The operators' token.
    pub token: &'a str,
    /// The first configuration.
    pub fleet: &'a Path,
}

/// Starts the entry daemon of `host`.
///
/// # Errors
/// An address that is taken.
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

/// Starts the control daemon of `host` on a thread of its own, whose actix system carries its
/// actors. The receiver tells how it ended.
///
/// # Errors
/// No thread can be had.
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
        // Nobody listens any more when the trial itself has ended.
        let _ = sender.send(result.map_err(Error::from));
    })?;
    Ok(receiver)
}
