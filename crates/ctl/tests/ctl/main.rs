//! Every subcommand of `flamingopostctl`, as an operator runs it.

mod check;
mod diff;
mod drain;
mod explain;
mod fake;
mod history;
mod show;
mod status;
mod submit;
mod usage;
mod verifier;
mod workdir;
