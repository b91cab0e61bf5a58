//! Fatal errors of a control process.

use std::net::SocketAddr;

use flamingopost_platform::error as platform;

/// An error that prevents a control process from starting or continuing.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// {0}
    Platform(platform::Error),
    /// operators' HTTP failed: {0}
    Http(std::io::Error),
    /// signals are not handled: {0}
    Signals(std::io::Error),
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Error {
        Error::Platform(error)
    }
}
