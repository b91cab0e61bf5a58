//! `flamingopost-capacity`: measures how cost grows with size, and computes the cost at a
//! target size.

mod command;
mod error;
mod flags;
mod fleet;
mod meter;
mod slope;
mod usage;

use std::process::ExitCode;

use flags::{FlamingopostCapacity, FlamingopostCapacityCmd as Cmd};

fn main() -> ExitCode {
    let flags = FlamingopostCapacity::from_env_or_exit();
    let result = match flags.subcommand {
        Cmd::Configuration(args) => command::configuration::run(args),
        Cmd::Fleet(args) => command::fleet::run(args),
        Cmd::View(args) => command::view::run(args),
        Cmd::Lease(args) => command::lease::run(args),
        Cmd::Model(args) => command::model::run(args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flamingopost-capacity: {error}");
            error.exit_code()
        }
    }
}
