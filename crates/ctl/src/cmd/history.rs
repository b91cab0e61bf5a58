//! `flamingopostctl history`: lists the accepted configurations.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use flamingopost_wire::submission::Record;

use crate::client::{Access, Client};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Lists the accepted versions of the configuration and who submitted them.
    ///
    /// EXAMPLES:
    ///     flamingopostctl history --admin 10.0.1.4:7080
    ///     flamingopostctl history --json | jq '.[0].version'
    cmd history {
        /// IP:PORT of a controller's operators' HTTP API.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Number of characters of a digest that the table shows.
const DIGEST_PREFIX_CHARS: usize = 12;

fn show(records: &Vec<Record>) -> String {
    let mut rows = output::table(&["version", "operator", "at", "submission", "digest"]);
    for record in records {
        rows.add_row([
            record.version.to_string(),
            record.operator.clone(),
            output::or_dash(&record.at.map(format_time)),
            record.submission.clone(),
            record.digest.chars().take(DIGEST_PREFIX_CHARS).collect(),
        ]);
    }
    rows.to_string()
}

/// Formats a Unix time in seconds as an HTTP date, or as a number if it has none.
fn format_time(seconds: u64) -> String {
    match SystemTime::UNIX_EPOCH.checked_add(Duration::from_secs(seconds)) {
        Some(time) if seconds < YEAR_10000_SECONDS => httpdate::fmt_http_date(time),
        _ => seconds.to_string(),
    }
}

/// Unix time, in seconds, of the start of the year 10000. An HTTP date has a year of four digits.
const YEAR_10000_SECONDS: u64 = 253_402_300_800;

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = History::from_vec(args)?;
    let client = Client::open(Access {
        admin: args.admin,
        token_file: args.token_file,
    })?;
    let records: Vec<Record> = client.get("/v1/history", &[])?;
    output::print(args.json, &records, show)
}
