//! The command line, and how its failures become one error.

pub mod backend;
pub mod platform;

use std::io;
use std::net::SocketAddr;

use flamingopost_standin::backend::StartError;

xflags::xflags! {
    /// Stand-ins for what flamingopost's platform provides. They keep nothing across a restart.
    ///
    /// Examples:
    ///   flamingopost-standin platform --listen 127.0.0.1:8080 --admin 127.0.0.1:8081
    ///   flamingopost-standin backend --name auction-1 --service auction-ledger \
    ///     --listen 127.0.0.1:5501 --admin 127.0.0.1:5601 --slots 3 --connections 36
    ///   curl -H 'Content-Type: application/json' -d '{"cut": true}' http://127.0.0.1:5601/faults
    cmd standin {
        /// Runs a database server: PostgreSQL for callers, SQLite inside. It is a replica until
        /// it is promoted with SELECT group_promote(TERM).
        cmd backend {
            /// Its name.
            required --name name: String
            /// The database it serves.
            required --service service: String
            /// Address for the PostgreSQL protocol.
            required --listen address: SocketAddr
            /// Address for faults by command: GET and POST /faults, GET /log.
            optional --admin address: SocketAddr
            /// Its availability zone, by which its group knows it in a cut.
            optional --zone zone: String
            /// Statements that run at once; 0, the default, for no limit.
            optional --slots count: u16
            /// Connections that it accepts; 100 by default.
            optional --connections count: u16
            /// Milliseconds that a new connection takes; 0 by default.
            optional --connect-ms millis: u64
            /// Milliseconds that each statement takes; 0 by default.
            optional --statement-ms millis: u64
            /// Milliseconds by which its data arrive late; 0 by default.
            optional --lag-ms millis: u64
        }
        /// Runs a platform: table service, object store and list of hosts over HTTP.
        cmd platform {
            /// Address for the services.
            required --listen address: SocketAddr
            /// Address for faults by command: GET and POST /faults.
            optional --admin address: SocketAddr
        }
    }
}

/// Why a stand-in did not run.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Start(StartError),
    /// {0}
    Io(io::Error),
}

impl From<StartError> for Error {
    fn from(error: StartError) -> Error {
        Error::Start(error)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}
