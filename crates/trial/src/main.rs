//! Runs a complete small deployment in one process on loopback ports: three hosts, each with an
//! entry and a control daemon, the database servers of a fleet file, and a platform.

mod announce;
mod error;
mod flags;
mod host;
mod overview;
mod plan;
mod stage;
mod trial;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::FlamingopostTrial::from_env_or_exit();
    match trial::run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flamingopost-trial: {error}");
            ExitCode::FAILURE
        }
    }
}
