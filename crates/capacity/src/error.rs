//! What can go wrong, and the exit code of each.

use std::path::PathBuf;
use std::process::ExitCode;

use flamingopost_core::config::Report;

/// A failure of the tool.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// `{0}` is not a list of numbers divided by commas, for example 10,100,1000
    Sizes(String),
    /// a slope needs at least two different sizes
    TooFewSizes,
    /// the configuration made for {services} services is not valid: {report}
    Configuration {
        /// Services asked for.
        services: usize,
        /// What is wrong with it.
        report: Report,
    },
    /// {0}
    Process(flamingopost_load::error::Error),
    /// cannot read {path}: {source}
    Plan {
        /// The file.
        path: PathBuf,
        /// Why.
        source: ini::Error,
    },
    /// {path}: [{section}] {key} has to be there and a number
    Number {
        /// The file.
        path: PathBuf,
        /// Section of the key.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// {0}
    View(flamingopost_wire::view::Error),
    /// the control process cannot be used: {0}
    Control(jsonrpsee::core::ClientError),
    /// {0}
    Io(std::io::Error),
    /// cannot write JSON: {0}
    Encode(serde_json::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// 2 for wrong input, 1 for everything else.
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
