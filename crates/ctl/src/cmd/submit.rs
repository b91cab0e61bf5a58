//! `flamingopostctl submit`: submits a new configuration.

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
    /// Submits a configuration file. The file is checked first; the fleet accepts it only if the
    /// version in force is still the one that the file was made from.
    ///
    /// EXAMPLES:
    ///     flamingopostctl submit fleet.ini --base 41 --admin 10.0.1.4:7080
    ///     flamingopostctl submit fleet.ini --base 0 --operator asha --token-file token
    cmd submit {
        /// Configuration file.
        required file: PathBuf
        /// Version that the file was made from; 0 for the first configuration.
        required --base version: u64
        /// Operator who submits the file. Defaults to the environment variable USER.
        optional --operator name: String
        /// Id of an earlier attempt whose outcome is unknown.
        optional --submission id: String
        /// IP:PORT of a controller's operators' HTTP API.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Number of times that the history is read after a lost answer.
const HISTORY_LOOKUPS: u32 = 4;
/// Pause before each read of the history.
const HISTORY_LOOKUP_INTERVAL: Duration = Duration::from_millis(500);

/// An accepted submission, as printed.
#[derive(Debug, Serialize)]
struct Outcome {
    version: u64,
    submission: String,
}

/// Sends `submission` and returns the version under which it was accepted.
fn submit(client: &Client, submission: &Submission) -> Result<u64, Error> {
    let id = &submission.submission;
    match client.post("/v1/config", submission) {
        Ok(Reply::Done(Accepted { version })) => Ok(version),
        // The winner is this submission: an earlier attempt was accepted and its answer was lost.
        Ok(Reply::Refused(Refused::Conflict { winner })) if winner.submission == *id => {
            Ok(winner.version)
        }
        Ok(Reply::Refused(Refused::Unknown)) | Err(Error::AnswerLost { .. }) => lookup(client, id),
        Ok(Reply::Refused(refused)) => Err(Error::from_refusal(refused, client.address())),
        Err(error) => Err(error),
    }
}

/// Looks for the submission `id` in the history, after its answer was lost.
///
/// An answer can be lost after the submission took effect. Without this lookup the operator would
/// see an error, submit again and conflict with their own submission. The history lists the
/// submission id of each version: an entry with `id` proves that the submission was accepted. A
/// missing entry proves nothing, because the submission may still be in progress.
fn lookup(client: &Client, id: &str) -> Result<u64, Error> {
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

/// Runs the subcommand with its arguments.
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
