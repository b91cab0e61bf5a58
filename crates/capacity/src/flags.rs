//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Measures on this machine how the cost of each part grows with size, and computes the cost at
    /// a target size.
    ///
    /// EXAMPLES:
    ///     flamingopost-capacity configuration --sizes 10,100,1000
    ///     flamingopost-capacity lease 127.0.0.1:7201 4242 TOKEN_FILE FLEET.ini --sizes 6,80,480
    ///     flamingopost-capacity model examples/target.ini
    cmd flamingopost-capacity {
        /// Measures the bytes, processor time and memory of a configuration by number of services.
        cmd configuration {
            /// Numbers of services, separated by commas; defaults to 10,100,1000.
            optional --sizes list: String
            /// Prints one JSON object.
            optional --json
        }
        /// Prints a generated configuration of a given size, for the other subcommands.
        cmd fleet {
            /// Number of services.
            required services: usize
        }
        /// Measures the bytes and processor time of a shard's view by number of services.
        cmd view {
            /// Numbers of services, separated by commas; defaults to 4,16,64.
            optional --sizes list: String
            /// Prints one JSON object.
            optional --json
        }
        /// Measures the bytes and processor time of lease renewals at a running control process, by
        /// number of entry hosts that renew.
        cmd lease {
            /// RPC address of the control process, which must lead every shard.
            required control: SocketAddr
            /// Process id of the control process, used to read its processor time and memory.
            required pid: u32
            /// File with the operators' token that the control process uses.
            required token_file: PathBuf
            /// The configuration that is in force at the control process.
            required fleet: PathBuf
            /// Numbers of hosts, separated by commas; defaults to 6,80,480.
            optional --sizes list: String
            /// Hosts that serve each service and demand connections to its servers; defaults to 12.
            optional --homes count: usize
            /// Hosts whose renewals are sent in one call, as a zone's relay bundles them; defaults
            /// to 1.
            optional --bundle count: usize
            /// Seconds for which each size is measured; defaults to 5.
            optional --seconds seconds: u64
            /// Prints one JSON object.
            optional --json
        }
        /// Computes each role's cost at a given size from measured slopes.
        cmd model {
            /// INI file with sizes, slopes and budgets, such as examples/target.ini.
            required plan: PathBuf
            /// Prints one JSON object.
            optional --json
        }
    }
}
