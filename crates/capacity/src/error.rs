//! Errors of the tool and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use flamingopost_core::config::Report;

/// An error of the tool.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// `{0}` is not a comma-separated list of numbers, for example 10,100,1000
    Sizes(String),
    /// a slope needs at least two different sizes
    TooFewSizes,
    /// the configuration for {services} services is not valid: {report}
    Configuration {
        /// Number of services requested; 0 for a configuration read from a file.
        services: usize,
        /// Faults found in the configuration.
        report: Report,
    },
    /// {0}
    Process(flamingopost_load::error::Error),
    /// cannot read {path}: {source}
    Plan {
        /// Path of the plan file.
        path: PathBuf,
        /// Cause of the failure.
        source: ini::Error,
    },
    /// {path}: [{section}] {key} is missing or not a number
    Number {
        /// Path of the plan file.
        path: PathBuf,
        /// Section of the key.
        section: &'static str,
        /// Key that is missing or not a number.
        key: &'static str,
    },
    /// {0}
    View(flamingopost_wire::view::Error),
    /// call to the control process failed: {0}
    Control(jsonrpsee::core::ClientError),
    /// {0}
    Io(std::io::Error),
    /// cannot write JSON: {0}
    Encode(serde_json::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns exit code 2 for invalid input and 1 for every other error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::Sizes(_) | Error::TooFewSizes | Error::Plan { .. } | Error::Number { .. } => {
                ExitCode::from(2)
            }
            Error::Configuration { .. }
            | Error::Process(_)
            | Error::Control(_)
            | Error::Io(_)
            | Error::View(_)
            | Error::Encode(_) => ExitCode::FAILURE,
        }
    }
}

impl From<flamingopost_load::error::Error> for Error {
    fn from(error: flamingopost_load::error::Error) -> Error {
        Error::Process(error)
    }
}

impl From<flamingopost_wire::view::Error> for Error {
    fn from(error: flamingopost_wire::view::Error) -> Error {
        Error::View(error)
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Error {
        Error::Encode(error)
    }
}

impl From<jsonrpsee::core::ClientError> for Error {
    fn from(error: jsonrpsee::core::ClientError) -> Error {
        Error::Control(error)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Io(error)
    }
}
