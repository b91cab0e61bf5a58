//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Load, histories, checks and measures against a running flamingopost deployment.
    ///
    /// Exit codes: 0 done, 1 a check found violations, 2 wrong input, 3 the deployment cannot be
    /// used or did not take a fault of the plan.
    ///
    /// EXAMPLES:
    ///     flamingopost-load run examples/tesfa-load.ini --json
    ///     flamingopost-load run examples/tesfa-load.ini --baseline --plots plots
    ///     flamingopost-load check history.jsonl
    cmd flamingopost-load {
        /// Plays a plan: arrivals at a set rate, faults on schedule, then checks and a report.
        cmd run {
            /// The plan, an INI file such as examples/tesfa-load.ini.
            required plan: PathBuf
            /// Prints the report as one JSON object.
            optional --json
            /// Writes SVG plots into this directory.
            optional --plots dir: PathBuf
            /// Writes the history, one JSON object a line, for `check`.
            optional --history file: PathBuf
            /// Plays the same arrivals the naive way at the same time: [baseline] in the plan.
            optional --baseline
            /// Measured time in seconds, instead of the plan's.
            optional --seconds seconds: u64
            /// Arrivals a second, instead of the plan's.
            optional --rate rate: f64
            /// Seed, instead of the plan's.
            optional --seed seed: u64
            /// Leaves the plan's faults out.
            optional --no-faults
        }
        /// Checks a recorded history.
        cmd check {
            /// The history.
            required history: PathBuf
            /// Prints the findings as one JSON object.
            optional --json
        }
        /// Measures statements through an entry host beside the same ones sent directly.
        cmd overhead {
            /// Connection URL of a backend server.
            required direct: String
            /// Connection URL of an entry host.
            required entry: String
            /// The statement; a small read unless given.
            optional --sql sql: String
            /// Connections, a list divided by commas; 1,16,256 unless given.
            optional --connections list: String
            /// Seconds each step is measured; 5 unless given.
            optional --seconds seconds: u64
            /// Uses a prepared statement instead of the simple protocol.
            optional --prepared
            /// Process id of the entry host, for its processor time.
            optional --pid pid: u32
            /// Prints the steps as one JSON object.
            optional --json
        }
        /// Plays overload of one backend server in a model, three ways: a plain pool, a pool
        /// that drops what is late, and the product's admission. Needs no deployment.
        cmd overload {
            /// Entry hosts that share the server; 6 unless given.
            optional --hosts hosts: usize
            /// Seed; 1 unless given.
            optional --seed seed: u64
            /// Prints the rows as one JSON object.
            optional --json
        }
        /// Plays reads after writes in a model, with several lags and ways to wait. Needs no
        /// deployment.
        cmd reads {
            /// Seed; 1 unless given.
            optional --seed seed: u64
            /// Prints the rows as one JSON object.
            optional --json
        }
        /// Opens idle connections and reports the memory each costs a process.
        cmd idle {
            /// Connection URL of an entry host.
            required entry: String
            /// Process id of the entry host.
            required pid: u32
            /// Connections; 10000 unless given.
            optional --connections count: usize
            /// Prints the figures as one JSON object.
            optional --json
        }
    }
}
