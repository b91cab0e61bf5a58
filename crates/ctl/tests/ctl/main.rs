//! Runs the `flamingopostctl` binary against a fake host, one module per subcommand.

mod check;
mod diff;
mod drain;
mod explain;
mod fake_host;
mod history;
mod metrics;
mod promote;
mod show;
mod status;
mod submit;
mod usage;
mod verifier;
mod workdir;
