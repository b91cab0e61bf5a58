//! Submits the first configuration of a new fleet from a file.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::config;
use flamingopost_core::digest::Digest;
use flamingopost_core::directory::Directory;
use flamingopost_core::submission::{Outcome, Record};
use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Phase;
use flamingopost_platform::head::HEAD_KEY;
use flamingopost_platform::table::Table as _;

use crate::event::Event;
use crate::shared::Shared;
use crate::submit;

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Submits the configuration in `file` as version 1, unless the fleet already has a configuration.
/// Several hosts may be given the same file: the submission is idempotent because its id is the
/// file's digest.
pub async fn run(shared: Arc<Shared>, file: &Path) {
    while shared.stop().phase() != Phase::Stopped && shared.config().is_none() {
        match shared.platform().read(HEAD_KEY).await {
            Ok(Some(_)) => return,
            Ok(None) => {
                if let Some(outcome) = submit(&shared, file).await {
                    let done = outcome == Outcome::Accepted;
                    let file = file.display().to_string();
                    let outcome = format!("{outcome:?}");
                    Event::Bootstrapped { file, outcome }.log();
                    if done {
                        return;
                    }
                }
            }
            Err(_) => {}
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn submit(shared: &Shared, file: &Path) -> Option<Outcome> {
    let name = file.display().to_string();
    let report = match std::fs::read_to_string(file) {
        Ok(body) => match config::parse(&name, &body, &mut Directory::default()) {
            Ok(_) => return Some(send(shared, &body).await),
            Err(report) => report.to_string(),
        },
        Err(error) => error.to_string(),
    };
    Event::Bootstrapped {
        file: name,
        outcome: report,
    }
    .log();
    None
}

async fn send(shared: &Shared, body: &str) -> Outcome {
    let digest = Digest::of(body.as_bytes());
    let record = Record {
        version: 1,
        digest,
        submission: digest.to_string(),
        operator: "bootstrap".to_owned(),
    };
    submit::run(shared.platform(), shared.clock(), record, body).await
}
