//! Stand-ins for database servers and for the platform, as processes.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = match command::Standin::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let done = match flags.subcommand {
        command::StandinCmd::Backend(flags) => command::backend::run(flags),
        command::StandinCmd::Platform(flags) => command::platform::run(flags),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flamingopost-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
