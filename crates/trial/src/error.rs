//! Errors of the trial.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use flamingopost_standin::backend::StartError;

/// An error that prevents a trial from starting or ends it early.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Io(io::Error),
    /// cannot read {0:?}: {1}
    ReadFleet(PathBuf, io::Error),
    /// {0}
    Config(flamingopost_core::config::Report),
    /// the fleet has no availability zones, so no host can be placed
    NoZones,
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// cannot start server {0}: {1}
    Server(String, StartError),
    /// entry host: {0}
    Entry(flamingopost_entry::Error),
    /// control daemon: {0}
    Control(flamingopost_control::error::Error),
    /// a daemon ended unexpectedly without reporting an error
    UnexpectedExit,
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

impl From<flamingopost_entry::Error> for Error {
    fn from(error: flamingopost_entry::Error) -> Error {
        Error::Entry(error)
    }
}

impl From<flamingopost_control::error::Error> for Error {
    fn from(error: flamingopost_control::error::Error) -> Error {
        Error::Control(error)
    }
}
