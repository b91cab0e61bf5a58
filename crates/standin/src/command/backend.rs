//! `flamingopost-standin backend`: one database server.

use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Stop;
use flamingopost_standin::backend::fault::Faults;
use flamingopost_standin::backend::{Server, Settings};
use flamingopost_standin::event::Event;

use super::{Backend, Error};

fn settings(flags: Backend) -> Settings {
    let millis = |given: Option<u64>| Duration::from_millis(given.unwrap_or(0));
    let defaults = Settings::new(&flags.name, &flags.service);
    Settings {
        zone: flags.zone.unwrap_or_default(),
        listen: flags.listen,
        admin: flags.admin,
        slots: flags.slots.unwrap_or(defaults.slots),
        connections: flags.connections.unwrap_or(defaults.connections),
        connect_cost: millis(flags.connect_ms),
        statement_cost: millis(flags.statement_ms),
        faults: Faults {
            lag_ms: flags.lag_ms.unwrap_or(0),
            ..Faults::default()
        },
        ..defaults
    }
}

/// Runs the server until a signal ends it.
#[tokio::main]
pub async fn run(flags: Backend) -> Result<(), Error> {
    let settings = settings(flags);
    let (name, service) = (settings.name.clone(), settings.service.clone());
    let server = Server::start(settings).await?;
    Event::Serving {
        server: name,
        service,
        address: server.address(),
    }
    .log();
    let stop = Stop::default();
    tokio::select! {
        failed = stop.clone().on_signals() => failed?,
        () = stop.draining() => {}
    }
    Ok(())
}
