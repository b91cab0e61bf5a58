//! `flamingopostctl submit`

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;
use std::{env, thread};

use flamingopost_core::directory::Directory;
use flamingopost_wire::submission::{Accepted, Record, Refused, Submission};
use serde::Serialize;

use super::check;
use crate::client::{Access, Client, Reply};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Submits a configuration file. It is checked first; the fleet takes it only if the version in
    /// force is still the one it was made from.
    ///
    /// EXAMPLES:
    ///     flamingopostctl submit fleet.ini --base 41 --admin 10.0.1.4:7080
    ///     flamingopostctl submit fleet.ini --base 0 --operator asha --token-file token
    cmd submit {
        /// The configuration.
        required file: PathBuf
        /// Version that the file was made from; 0 for the first.
        required --base version: u64
        /// Who submits it; else the USER of the environment.
        optional --operator name: String
        /// Id of an earlier try whose outcome is unknown.
        optional --submission id: String
        /// IP:PORT of a controller's operators' HTTP.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Looks into the history after a lost answer.
const HISTORY_LOOKUPS: u32 = 4;
const HISTORY_LOOKUP_INTERVAL: Duration = Duration::from_millis(500);

/// What became of it.
#[derive(Debug, Serialize)]
struct Outcome {
    version: u64,
    submission: String,
}

fn submit(client: &Client, submission: &Submission) -> Result<u64, Error> {
    let id = &submission.submission;
    match client.post("/v1/config", submission) {
        Ok(Reply::Done(Accepted { version })) => Ok(version),
        // The winner is this very submission: an earlier try was accepted and its answer lost.
        Ok(Reply::Refused(Refused::Conflict { winner })) if winner.submission == *id => {
            Ok(winner.version)
        }
        Ok(Reply::Refused(Refused::Unknown)) | Err(Error::AnswerLost { .. }) => {
            resolve_from_history(client, id)
        }
        Ok(Reply::Refused(refused)) => Err(Error::from_refusal(refused, client.address())),
        Err(error) => Err(error),
    }
}

// An answer can be lost after the submission took effect. The operator would see an error and
// submit again, now as a conflict with themselves. The history names the id of each version, so
// finding ours there is proof; not finding it proves nothing, since it may still be under way.
fn resolve_from_history(client: &Client, id: &str) -> Result<u64, Error> {
    for _ in 0..HISTORY_LOOKUPS {
        thread::sleep(HISTORY_LOOKUP_INTERVAL);
        let history: Vec<Record> = client.get("/v1/history", &[]).unwrap_or_default();
        if let Some(record) = history.iter().find(|record| record.submission == id) {
            return Ok(record.version);
        }
    }
    Err(Error::Unknown {
        submission: id.to_owned(),
    })
}

fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Runs the subcommand.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Submit::from_vec(args)?;
    let body = check::read_file(&args.file)?;
    check::parse(&args.file, &body, &mut Directory::default())?;
    let operator = args.operator.or_else(|| env::var("USER").ok());
    let submission = Submission {
        base: args.base,
        submission: args.submission.unwrap_or_else(new_id),
        operator: operator.unwrap_or_else(|| "unnamed".to_owned()),
        body,
    };
    let client = Client::open(Access {
        admin: args.admin,
        token_file: args.token_file,
    })?;
    let outcome = Outcome {
        version: submit(&client, &submission)?,
        submission: submission.submission,
    };
    output::print(args.json, &outcome, |outcome| {
        format!("version {} accepted", outcome.version)
    })
}
