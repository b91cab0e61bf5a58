//! Operators' HTTP: submitting configurations and reading them back.

use flamingopost_core::config::Report;
use serde::{Deserialize, Serialize};

/// `POST /v1/config`: a new configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The version that it was made from.
    pub base: u64,
    /// Id that the operator's tool drew; the same for every try of one submission.
    pub submission: String,
    /// Who submits it.
    pub operator: String,
    /// The configuration in INI.
    pub body: String,
}

/// It is the new configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its version.
    pub version: u64,
}

/// It is not, or nobody knows; the `type` field tells which.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Refused {
    /// 409: another one came first.
    Conflict {
        /// The version that did.
        winner: Winner,
    },
    /// 422: it is no valid configuration.
    Invalid {
        /// Everything that is wrong in it.
        problems: Vec<Problem>,
    },
    /// 503: nothing was changed.
    Unavailable,
    /// 503: whether it was accepted is not known; the id in the history settles it.
    Unknown,
}

/// The version that came first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Winner {
    /// The version.
    pub version: u64,
    /// Who submitted it.
    pub operator: String,
    /// Id of its submission.
    pub submission: String,
}

/// One thing that is wrong in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The file, as the checker was told.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong.
    pub what: String,
    /// What would be right.
    pub fix: String,
}

impl Problem {
    /// The problems of a report.
    pub fn all(report: &Report) -> Vec<Problem> {
        let problems = report.problems.iter();
        problems
            .map(|problem| Problem {
                file: report.file.clone(),
                line: problem.line,
                what: problem.what(),
                fix: problem.fix(),
            })
            .collect()
    }
}

/// `GET /v1/config` and `GET /v1/config/{version}`: a configuration and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Its version.
    pub version: u64,
    /// SHA-256 of the body, hexadecimal.
    pub digest: String,
    /// The configuration in INI.
    pub body: String,
    /// Who submitted it.
    pub submitted_by: String,
    /// Id of its submission.
    pub submission: String,
}

/// One element of `GET /v1/history`, newest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version.
    pub version: u64,
    /// SHA-256 of its body, hexadecimal.
    pub digest: String,
    /// Id of its submission.
    pub submission: String,
    /// Who submitted it.
    pub operator: String,
    /// When, in seconds since 1970 by the clock of the host that wrote it.
    #[serde(default)]
    pub at: Option<u64>,
}

/// `POST /v1/drain` on a controller: who is to receive no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Drain {
    /// A backend server.
    Server(String),
    /// An entry host.
    Host(String),
}
