//! `flamingopostctl status`: shows the status of a fleet or of one entry host.

use std::ffi::OsString;
use std::path::PathBuf;

use flamingopost_wire::host_status::Status as Host;
use flamingopost_wire::status::Status as Fleet;
use serde::{Deserialize, Serialize};

use crate::client::{Access, Client};
use crate::error::Error;
use crate::output::{self, fleet_tables, host_tables};

xflags::xflags! {
    /// Shows hosts, services and controllers as a controller sees them, or one entry host as it
    /// sees itself, depending on which host is asked.
    ///
    /// EXAMPLES:
    ///     flamingopostctl status --admin 10.0.1.4:7080
    ///     flamingopostctl status --json | jq '.services[] | select(.state != "open")'
    cmd status {
        /// IP:PORT of the operators' HTTP API of a controller or an entry host.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// The status of the fleet from a controller, or of the host itself from an entry host.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum StatusReport {
    Fleet(Fleet),
    Host(Host),
}

impl StatusReport {
    /// Formats the status as tables.
    fn show(&self) -> String {
        match self {
            StatusReport::Fleet(fleet) => fleet_tables::show(fleet),
            StatusReport::Host(host) => host_tables::show(host),
        }
    }
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Status::from_vec(args)?;
    let client = Client::open(Access {
        admin: args.admin,
        token_file: args.token_file,
    })?;
    let report: StatusReport = client.get("/v1/status", &[])?;
    output::print(args.json, &report, StatusReport::show)
}
