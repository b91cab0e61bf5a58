//! `flamingopost-control`: the control process of one host.

mod flags;

use std::io;
use std::process::ExitCode;

use flags::FlamingopostControl;
use flamingopost_control::error::Error;
use flamingopost_control::settings::Settings;
use flamingopost_daemon::event::{Daemon, Event as _};
use flamingopost_daemon::signals::Signals;
use flamingopost_daemon::stop::Stop;

const NAME: &str = "flamingopost-control";
const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Exit code if the settings are invalid.
const BAD_SETTINGS: u8 = 2;
/// Exit code if the process could not start or continue.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let signals = Signals::catch();
    let flags = FlamingopostControl::from_env_or_exit();
    match Settings::load(&flags.settings) {
        Ok(_) if flags.check => ExitCode::SUCCESS,
        Ok(settings) => run(settings, signals),
        Err(problems) => {
            eprintln!("{problems}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

fn run(settings: Settings, signals: io::Result<Signals>) -> ExitCode {
    // The process works without a logger, and without one the failure cannot be logged.
    let _ = flamingopost_daemon::log::start(settings.log.level, settings.log.format);
    flamingopost_daemon::metrics::start();
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    Daemon::Started {
        daemon: NAME,
        version: VERSION,
        host,
        zone,
    }
    .log();
    let ended = actix_rt::System::new().block_on(work(settings, signals));
    match ended {
        Ok(()) => {
            Daemon::Stopped { daemon: NAME }.log();
            ExitCode::SUCCESS
        }
        Err(error) => {
            let error = error.to_string();
            Daemon::Failed {
                daemon: NAME,
                error,
            }
            .log();
            ExitCode::from(FAILED)
        }
    }
}

async fn work(settings: Settings, signals: io::Result<Signals>) -> Result<(), Error> {
    let signals = signals.map_err(Error::Signals)?;
    let stop = Stop::default();
    actix_rt::spawn(stop.clone().on_signals());
    if signals.stop_requested() {
        stop.drain();
    }
    let draining = stop.clone();
    actix_rt::spawn(async move {
        draining.draining().await;
        Daemon::Draining { daemon: NAME }.log();
    });
    flamingopost_control::run(settings, stop).await
}
