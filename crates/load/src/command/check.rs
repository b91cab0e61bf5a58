//! `flamingopost-load check HISTORY [--json]`
//!
//! Checks a recorded history. Exit code 1 when it breaks what must always hold.

use std::process::ExitCode;

use flamingopost_load::check;
use flamingopost_load::error::Error;
use flamingopost_load::history::History;

use super::{VIOLATED, print};
use crate::flags;

/// Runs the subcommand.
pub fn run(flags: flags::Check) -> Result<ExitCode, Error> {
    let history = History::read(&flags.history)?;
    let report = check::all(&history);
    print(&report, flags.json)?;
    if report.violations.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(VIOLATED))
    }
}
