//! The fleet's configuration in INI: read, checked and written.
//!
//! Checking names everything that is wrong at once, each with its line and with what would be
//! right. `docs/CONFIGURATION.md` is the reference of sections and keys.

use crate::directory::Directory;
use crate::fleet::Fleet;

mod builder;
mod document;
mod fault;
mod kind;
mod problem;
mod reader;
mod render;
mod report;
mod rules;
mod shadow;
mod value;
mod verifier;

pub use document::{Document, Entry, Section};
pub use fault::Fault;
pub use kind::Kind;
pub use problem::Problem;
pub use render::render;
pub use report::Report;
pub use value::Expected;

/// Longest configuration that is read.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Reads and checks the configuration `text`; `file` is how problems name it. Names are numbered
/// in `directory`, which stays as it was when there are problems.
///
/// ```
/// use flamingopost_core::config;
/// use flamingopost_core::directory::Directory;
///
/// let text = "
/// [zone bole-hall]
/// region = addis-ababa
/// [customer tesfa]
/// [class bid]
/// weight = 10
/// deadline = 300ms
/// [fleet]
/// default_class = bid
/// [service auction-ledger]
/// customer = tesfa
/// slots = 3
/// connections = 36
/// connect_cost = 30ms
/// [server auction-ledger-1]
/// service = auction-ledger
/// zone = bole-hall
/// address = 127.0.0.1:7001
/// ";
/// let mut directory = Directory::default();
/// let fleet = config::parse("fleet.ini", text, &mut directory).unwrap();
/// assert_eq!(fleet.servers.len(), 1);
///
/// let wrong = text.replace("zone = bole-hall", "zone = bole-hal");
/// let report = config::parse("fleet.ini", &wrong, &mut directory).unwrap_err();
/// assert_eq!(report.problems[0].line, 17);
/// assert_eq!(report.problems[0].fix(), "write `bole-hall`, the nearest zone there is");
/// ```
pub fn parse(file: &str, text: &str, directory: &mut Directory) -> Result<Fleet, Report> {
    if text.len() > MAX_BYTES {
        let fault = Fault::TooLong { bytes: text.len() };
        return Err(Report::new(file, vec![Problem { line: 1, fault }]));
    }
    let mut problems = Vec::new();
    let document = Document::read(text, &mut problems);
    let mut numbered = directory.clone();
    let fleet = builder::build(&document, &mut numbered, &mut problems);
    if !problems.is_empty() {
        return Err(Report::new(file, problems));
    }
    *directory = numbered;
    Ok(fleet)
}
