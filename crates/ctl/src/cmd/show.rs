//! `flamingopostctl show`: prints a configuration.

use std::ffi::OsString;
use std::path::PathBuf;

use flamingopost_wire::submission::Stored;

use crate::client::{Access, Client};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Prints the configuration in force, or an earlier version, ready to be edited.
    ///
    /// EXAMPLES:
    ///     flamingopostctl show > fleet.ini
    ///     flamingopostctl show --number 41 --json | jq -r .submitted_by
    cmd show {
        /// Version to print. Defaults to the version in force.
        optional --number version: u64
        /// IP:PORT of a controller's operators' HTTP API.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Show::from_vec(args)?;
    let client = Client::open(Access {
        admin: args.admin,
        token_file: args.token_file,
    })?;
    let path = match args.number {
        Some(version) => format!("/v1/config/{version}"),
        None => "/v1/config".to_owned(),
    };
    let stored: Stored = client.get(&path, &[])?;
    output::print(args.json, &stored, |stored| stored.body.clone())
}
