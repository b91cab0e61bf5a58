//! `flamingopost-standin platform`: table service, object store and list of hosts.

use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Stop;
use flamingopost_standin::event::Event;
use flamingopost_standin::platform::{Service, Settings};

use super::{Error, Platform};

/// Runs the platform until a signal ends it.
#[tokio::main]
pub async fn run(flags: Platform) -> Result<(), Error> {
    let service = Service::start(&Settings {
        listen: flags.listen,
        admin: flags.admin,
    })?;
    Event::Platform {
        address: service.address(),
    }
    .log();
    let stop = Stop::default();
    tokio::select! {
        failed = stop.clone().on_signals() => failed?,
        () = stop.draining() => {}
    }
    Ok(())
}
