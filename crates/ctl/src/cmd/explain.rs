//! `flamingopostctl explain`: shows how a statement is treated.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use flamingopost_core::directory::Directory;
use flamingopost_core::rule::Index;
use flamingopost_core::statement;
use flamingopost_wire::explanation::{Explanation, Route};

use super::check;
use crate::client::{Access, Client};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Explains which rule applies to a statement and how the statement is treated: according to a
    /// configuration file, or to an entry host, which also reports where it would go now.
    ///
    /// EXAMPLES:
    ///     flamingopostctl explain --file examples/tesfa.ini --service auction-ledger \
    ///         --caller member 'SELECT * FROM lots'
    ///     flamingopostctl explain --admin 10.0.1.4:7081 --service auction-ledger \
    ///         --caller member 'INSERT INTO bids VALUES (1, 2)'
    cmd explain {
        /// SQL statement, with its marker comment if it has one.
        required sql: String
        /// Service that the statement is sent to.
        required --service name: String
        /// Caller that sends the statement.
        required --caller name: String
        /// Configuration file to use instead of asking a host.
        optional --file path: PathBuf
        /// IP:PORT of an entry host's operators' HTTP API.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Explains the statement by the configuration in the file `path`.
fn from_file(path: &Path, args: &Explain) -> Result<Explanation, Error> {
    let text = check::read_file(path)?;
    let mut directory = Directory::default();
    let fleet = check::parse(path, &text, &mut directory)?;
    let index = Index::new(Arc::new(fleet));
    let statement = statement::classify(&args.sql);
    let explanation = Explanation::new(&index, &directory, &args.service, &args.caller, &statement);
    explanation.ok_or_else(|| Error::NotInConfiguration {
        service: args.service.clone(),
        caller: args.caller.clone(),
    })
}

/// Asks an entry host to explain the statement.
fn from_host(args: &Explain) -> Result<Explanation, Error> {
    let client = Client::open(Access {
        admin: args.admin.clone(),
        token_file: args.token_file.clone(),
    })?;
    let query = [
        ("service", args.service.as_str()),
        ("caller", &args.caller),
        ("sql", &args.sql),
    ];
    client.get("/v1/explain", &query)
}

fn show(explanation: &Explanation) -> String {
    let treatment = &explanation.treatment;
    let tables: Vec<&str> = explanation.tables.iter().map(String::as_str).collect();
    let rule = explanation.rule.as_ref();
    let rule = rule.map(|rule| format!("{} (line {})", rule.name, rule.line));
    let mut rows = output::table(&["what", "value"]);
    rows.add_row(["rule", &output::or_dash(&rule)]);
    rows.add_row(["role", &explanation.role]);
    rows.add_row(["access", &explanation.access]);
    rows.add_row(["tables", &tables.join(", ")]);
    rows.add_row(["tag", &output::or_dash(&explanation.tag)]);
    rows.add_row(["session state", &explanation.session_state]);
    if let Some(mistake) = &explanation.mistake {
        rows.add_row(["refused for", mistake]);
    }
    rows.add_row(["target", &treatment.target]);
    rows.add_row(["greatest age, ms", &output::or_dash(&treatment.max_age_ms)]);
    rows.add_row(["repeatable", yes_or_no(treatment.repeatable)]);
    rows.add_row(["deadline, ms", &treatment.deadline_ms.to_string()]);
    rows.add_row([
        "class",
        &format!("{}, weight {}", treatment.class, treatment.weight),
    ]);
    rows.add_row(["retries", &treatment.retries.to_string()]);
    rows.add_row(["hedge after, ms", &output::or_dash(&treatment.hedge_ms)]);
    rows.add_row(["rate a second", &output::or_dash(&treatment.rate)]);
    rows.add_row(["acknowledged by", &treatment.ack]);
    rows.add_row(["refused", &output::or_dash(&treatment.refuse)]);
    rows.add_row(["goes to", &show_route(explanation.route.as_ref())]);
    rows.to_string()
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

fn show_route(route: Option<&Route>) -> String {
    match route {
        Some(Route::Go { server, part }) => format!("{server}, {part}"),
        Some(Route::Wait { wait_ms }) => format!("nowhere yet, looks again within {wait_ms} ms"),
        Some(Route::Refuse { sqlstate, message }) => format!("nowhere: {sqlstate} {message}"),
        None => "- (ask an entry host with --admin)".to_owned(),
    }
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Explain::from_vec(args)?;
    let explanation = match &args.file {
        Some(path) => from_file(path, &args)?,
        None => from_host(&args)?,
    };
    output::print(args.json, &explanation, show)
}
