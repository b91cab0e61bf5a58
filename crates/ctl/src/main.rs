//! `flamingopostctl`: the operators' command line.

use std::process::ExitCode;

mod client;
mod cmd;
mod command;
mod error;
mod exposition;
mod output;

fn main() -> ExitCode {
    command::main(std::env::args_os().skip(1).collect())
}
