//! `flamingopostctl check`: validates a configuration file.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};

use flamingopost_core::config;
use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use serde::Serialize;

use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Checks a configuration file and lists every problem in it, each with its file, line and fix.
    /// Nothing is sent to a host.
    ///
    /// EXAMPLES:
    ///     flamingopostctl check examples/tesfa.ini
    ///     flamingopostctl check --json fleet.ini | jq '.problems[].line'
    cmd check {
        /// Configuration file.
        required file: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Counts what a valid configuration describes.
#[derive(Debug, Serialize)]
struct Summary {
    valid: bool,
    zones: usize,
    customers: usize,
    classes: usize,
    services: usize,
    servers: usize,
    callers: usize,
    rules: usize,
}

impl From<&Fleet> for Summary {
    fn from(fleet: &Fleet) -> Summary {
        Summary {
            valid: true,
            zones: fleet.zones.len(),
            customers: fleet.customers.len(),
            classes: fleet.classes.len(),
            services: fleet.services.len(),
            servers: fleet.servers.len(),
            callers: fleet.callers.len(),
            rules: fleet.rules.len(),
        }
    }
}

/// Reads a text file.
pub fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::file(path, source))
}

/// Parses `text`, the configuration in the file `path`. Its names are interned in `directory`.
pub fn parse(path: &Path, text: &str, directory: &mut Directory) -> Result<Fleet, Error> {
    Ok(config::parse(&path.to_string_lossy(), text, directory)?)
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Check::from_vec(args)?;
    let text = read_file(&args.file)?;
    let fleet = parse(&args.file, &text, &mut Directory::default())?;
    output::print(args.json, &Summary::from(&fleet), |summary| {
        let Summary {
            services,
            servers,
            callers,
            rules,
            ..
        } = summary;
        let file = args.file.display();
        format!(
            "{file}: valid, {services} services, {servers} servers, {callers} callers, {rules} rules"
        )
    })
}
