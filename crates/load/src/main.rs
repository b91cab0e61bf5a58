//! `flamingopost-load`: load, histories, checks and measures against a running deployment.

mod command;
mod flags;

use std::process::ExitCode;

use flags::{FlamingopostLoad, FlamingopostLoadCmd as Cmd};
use flamingopost_daemon::log::{self, Format, Level};

fn main() -> ExitCode {
    let flags = FlamingopostLoad::from_env_or_exit();
    if let Err(error) = log::start(Level::Info, Format::Text) {
        eprintln!("no log: {error}");
    }
    let result = match flags.subcommand {
        Cmd::Run(args) => command::run::run(args),
        Cmd::Check(args) => command::check::run(args),
        Cmd::Overhead(args) => command::overhead::run(args),
        Cmd::Overload(args) => command::overload::run(args),
        Cmd::Reads(args) => command::reads::run(args),
        Cmd::Idle(args) => command::idle::run(args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("flamingopost-load: {error}");
        error.exit_code()
    })
}
