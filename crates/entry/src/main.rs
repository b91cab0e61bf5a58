//! The entry host's program.

mod flags;

use std::io;
use std::process::ExitCode;

use flamingopost_daemon::event::{Daemon, Event as _};
use flamingopost_daemon::log;
use flamingopost_daemon::signals::Signals;
use flamingopost_daemon::stop::Stop;
use flamingopost_entry::host;
use flamingopost_entry::settings::Settings;

const SETTINGS_WRONG: u8 = 2;
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let signals = Signals::catch();
    let flags = flags::FlamingopostEntry::from_env_or_exit();
    let settings = match Settings::load(&flags.settings) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(SETTINGS_WRONG);
        }
    };
    if flags.check {
        return ExitCode::SUCCESS;
    }
    match run(settings, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let (daemon, error) = ("flamingopost-entry", error.to_string());
            Daemon::Failed { daemon, error }.log();
            ExitCode::from(FAILED)
        }
    }
}

fn run(settings: Settings, signals: io::Result<Signals>) -> Result<(), host::Error> {
    if let Err(error) = log::start(settings.log.level, settings.log.format) {
        eprintln!("cannot log: {error}");
    }
    let signals = signals?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let stop = Stop::default();
        tokio::spawn(stop.clone().on_signals());
        if signals.stop_requested() {
            stop.drain();
        }
        host::run(settings, stop).await
    })
}
