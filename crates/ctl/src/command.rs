//! Dispatches to a subcommand and maps its error to an exit code.

use std::ffi::OsString;
use std::process::ExitCode;

use crate::cmd;
use crate::error::Error;

/// Runs one subcommand with the arguments that follow its name.
type Run = fn(Vec<OsString>) -> Result<(), Error>;

/// A subcommand, as the general help lists it.
struct Command {
    name: &'static str,
    summary: &'static str,
    run: Run,
}

const COMMANDS: [Command; 11] = [
    Command {
        name: "check",
        summary: "Check a configuration file",
        run: cmd::check::run,
    },
    Command {
        name: "diff",
        summary: "Compare a configuration file with the configuration in force",
        run: cmd::diff::run,
    },
    Command {
        name: "submit",
        summary: "Submit a configuration file",
        run: cmd::submit::run,
    },
    Command {
        name: "history",
        summary: "List the accepted versions",
        run: cmd::history::run,
    },
    Command {
        name: "show",
        summary: "Print the configuration in force, or an earlier one",
        run: cmd::show::run,
    },
    Command {
        name: "explain",
        summary: "Explain which rule applies to a statement and where it would go",
        run: cmd::explain::run,
    },
    Command {
        name: "status",
        summary: "Show hosts, services and controllers",
        run: cmd::status::run,
    },
    Command {
        name: "metrics",
        summary: "Show what an entry host has rejected, and its teams and connections",
        run: cmd::metrics::run,
    },
    Command {
        name: "drain",
        summary: "Drain an entry host or a backend server: it receives no new work",
        run: cmd::drain::run,
    },
    Command {
        name: "promote",
        summary: "Move the primary of a service to another server",
        run: cmd::promote::run,
    },
    Command {
        name: "verifier",
        summary: "Generate the SCRAM verifier of a password",
        run: cmd::verifier::run,
    },
];

const HELP_HEADER: &str = "\
flamingopostctl - operate a flamingopost fleet

USAGE:
    flamingopostctl COMMAND [ARGS]
    flamingopostctl COMMAND --help

COMMANDS:
";

const HELP_FOOTER: &str = "
ENVIRONMENT:
    FLAMINGOPOST_ADMIN   IP:PORT of a host's operators' HTTP API, used when --admin is not given
    FLAMINGOPOST_METRICS IP:PORT of a host's metrics, used when --metrics is not given
    FLAMINGOPOST_TOKEN   the operators' token, used when --token-file is not given

EXIT CODES:
    0  done
    1  failed
    2  wrong usage
    3  the configuration is invalid
    4  another submission came first
    5  the host cannot be reached or is not available
    6  the token is not accepted
    7  outcome unknown: run the same command again
";

/// Runs the subcommand named by the first element of `args` and returns its exit code.
pub fn main(mut args: Vec<OsString>) -> ExitCode {
    if args.is_empty() {
        eprint!("{}", help());
        return ExitCode::from(Error::USAGE);
    }
    let name = args.remove(0);
    let json = args.iter().any(|arg| arg == "--json");
    match run(&name.to_string_lossy(), args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            error.print(json);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(name: &str, args: Vec<OsString>) -> Result<(), Error> {
    if matches!(name, "help" | "--help" | "-h") {
        return Err(Error::Help(help()));
    }
    let mut commands = COMMANDS.iter();
    match commands.find(|command| command.name == name) {
        Some(command) => (command.run)(args),
        None => Err(Error::UnknownCommand(name.to_owned())),
    }
}

/// Returns the general help, with one line per subcommand.
fn help() -> String {
    let mut text = HELP_HEADER.to_owned();
    for command in &COMMANDS {
        text += &format!("    {:<10}{}\n", command.name, command.summary);
    }
    text + HELP_FOOTER
}
