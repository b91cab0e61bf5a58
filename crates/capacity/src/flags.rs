//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Slopes of the parts, measured on this machine, and what the target size makes of them.
    ///
    /// EXAMPLES:
    ///     flamingopost-capacity configuration --sizes 10,100,1000
    ///     flamingopost-capacity lease 127.0.0.1:7201 4242 TOKEN_FILE FLEET.ini --sizes 6,80,480
    ///     flamingopost-capacity model examples/target.ini
    cmd flamingopost-capacity {
        /// Bytes, time and memory of a configuration by number of services.
        cmd configuration {
            /// Numbers of services, divided by commas; 10,100,1000 unless given.
            optional --sizes list: String
            /// Prints one JSON object.
            optional --json
        }
        /// Prints a configuration made to a size, for the other subcommands.
        cmd fleet {
            /// Number of services.
            required services: usize
        }
        /// Bytes and time of a shard's view by number of services.
        cmd view {
            /// Numbers of services, divided by commas; 4,16,64 unless given.
            optional --sizes list: String
            /// Prints one JSON object.
            optional --json
        }
        /// Bytes and processor time of lease renewals at a running control process, by number of
        /// entry hosts that renew.
        cmd lease {
            /// Address of the control process's remote calls; it has to lead every shard.
            required control: SocketAddr
            /// Its process id, for its processor time.
            required pid: u32
            /// File with the operators' token, the same as the control process has.
            required token_file: PathBuf
            /// The fleet's configuration, which the control process has in force.
            required fleet: PathBuf
            /// Numbers of hosts, divided by commas; 6,80,480 unless given.
            optional --sizes list: String
            /// Hosts that serve each service and want connections to its servers; 12 unless given.
            optional --homes count: usize
            /// Hosts whose renewals travel in one call, as a zone's relay bundles them; 1 unless
            /// given.
            optional --bundle count: usize
            /// Seconds each size is measured; 5 unless given.
            optional --seconds seconds: u64
            /// Prints one JSON object.
            optional --json
        }
        /// Works out each role's cost at a size from measured slopes.
        cmd model {
            /// Sizes, slopes and budgets, an INI file such as examples/target.ini.
            required plan: PathBuf
            /// Prints one JSON object.
            optional --json
        }
    }
}
