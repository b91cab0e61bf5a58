//! Why a caller gets no session, and what it is told.

use std::io;

use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;

/// Why a caller gets no session.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the caller is gone: {0}
    Gone(io::Error),
    /// start-up took longer than {0:?}
    Late(std::time::Duration),
    /// {0}
    Protocol(&'static str),
    /// start-up cannot be read: {0}
    Malformed(String),
    /// packet is too long: a caller who is not authenticated may send at most {most} bytes
    TooLong {
        /// The most bytes.
        most: usize,
    },
    /// protocol version {major}.{minor} is not spoken here, use 3.0 or 3.2
    Version {
        /// Major version asked for.
        major: u16,
        /// Minor version asked for.
        minor: u16,
    },
    /// no user name in the start-up packet
    NoUser,
    /// TLS is required, connect with sslmode=require
    TlsRequired,
    /// TLS handshake failed: {0}
    Tls(io::Error),
    /// this host serves no replication connections
    Replication,
    /// password authentication failed
    WrongPassword,
    /// service "{0}" does not exist
    UnknownService(String),
    /// caller "{user}" may not connect to service "{service}"
    NotAllowed {
        /// The caller.
        user: String,
        /// The service.
        service: String,
    },
    /// too many callers are connected to this host, try another one
    Full,
    /// too many callers are connecting to this host, try again in a second
    Crowded,
    /// this host has no configuration yet, try another one
    NoConfiguration,
    /// this host is draining, connect to another one
    Draining,
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Gone(error)
    }
}

impl Error {
    /// The SQLSTATE that the caller is told.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Error::Gone(_) => "08006",
            Error::Late(_) => "08001",
            Error::Protocol(_) | Error::Malformed(_) | Error::TooLong { .. } => "08P01",
            Error::Version { .. } | Error::Replication => "0A000",
            Error::NoUser | Error::TlsRequired | Error::Tls(_) => "28000",
            Error::WrongPassword => "28P01",
            Error::UnknownService(_) => "3D000",
            Error::NotAllowed { .. } => "42501",
            Error::Full | Error::Crowded => "53300",
            Error::NoConfiguration => "57P03",
            Error::Draining => "57P01",
        }
    }

    /// What the caller is sent, if it can still be told.
    pub fn response(&self) -> Option<PgWireBackendMessage> {
        if matches!(self, Error::Gone(_) | Error::Tls(_)) {
            return None;
        }
        let info = ErrorInfo::new(
            "FATAL".to_owned(),
            self.sqlstate().to_owned(),
            self.to_string(),
        );
        Some(PgWireBackendMessage::ErrorResponse(info.into()))
    }

    /// A fixed word for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Error::Gone(_) => "gone",
            Error::Late(_) => "late",
            Error::Protocol(_) | Error::Malformed(_) | Error::TooLong { .. } => "malformed",
            Error::Version { .. } | Error::Replication => "unsupported",
            Error::NoUser | Error::WrongPassword => "wrong_password",
            Error::TlsRequired | Error::Tls(_) => "tls",
            Error::UnknownService(_) => "unknown_service",
            Error::NotAllowed { .. } => "not_allowed",
            Error::Full => "full",
            Error::Crowded => "crowded",
            Error::NoConfiguration => "no_configuration",
            Error::Draining => "draining",
        }
    }
}
