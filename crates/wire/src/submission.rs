//! HTTP for operators: submission and retrieval of configurations.

use flamingopost_core::config::Report;
use serde::{Deserialize, Serialize};

/// Request of `POST /v1/config`: a new configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Version on which the configuration is based.
    pub base: u64,
    /// Random id drawn by the operator's tool. It is the same in every retry of a submission.
    pub submission: String,
    /// Name of the operator.
    pub operator: String,
    /// The configuration in INI.
    pub body: String,
}

/// Success response: the submission is the new configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version of the new configuration.
    pub version: u64,
}

/// Error response: the submission was refused, or its outcome is unknown. The `type` field names
/// the variant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Refused {
    /// 409: another submission was accepted first.
    Conflict {
        /// The accepted version.
        winner: Winner,
    },
    /// 422: the configuration is invalid.
    Invalid {
        /// All problems of the configuration.
        problems: Vec<Problem>,
    },
    /// 503: nothing was changed.
    Unavailable,
    /// 503: it is unknown whether the submission was accepted. The submission id in the history
    /// settles it.
    Unknown,
}

/// The version that was accepted first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Winner {
    /// The version.
    pub version: u64,
    /// Operator who submitted the version.
    pub operator: String,
    /// Id of its submission.
    pub submission: String,
}

/// A problem in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Name of the file, as passed to the checker.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub what: String,
    /// How to fix it.
    pub fix: String,
}

impl Problem {
    /// Returns all problems of a report.
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

/// Response of `GET /v1/config` and `GET /v1/config/{version}`: a configuration and its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Its version.
    pub version: u64,
    /// SHA-256 of the body, hexadecimal.
    pub digest: String,
    /// The configuration in INI.
    pub body: String,
    /// Operator who submitted the version.
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
    /// Operator who submitted the version.
    pub operator: String,
    /// Time of submission in seconds since 1970, by the clock of the host that wrote the record.
    #[serde(default)]
    pub at: Option<u64>,
}

/// Request of `POST /v1/drain` on a controller: what is to receive no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Drain {
    /// A backend server.
    Server(String),
    /// An entry host.
    Host(String),
}
