//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Injects randomised faults into the real program, which runs as separate processes in front
    /// of a stand-in platform, and checks what callers and servers observe.
    ///
    /// Exit codes: 0 no guarantee was broken, 1 at least one was, 2 a run could not be carried out.
    ///
    /// EXAMPLES:
    ///     flamingopost-soak target/release/flamingopost --seeds 50 --jobs 4
    ///     flamingopost-soak target/release/flamingopost --first 7 --hosts 100 --seconds 30
    ///     flamingopost-soak target/release/flamingopost --gaps 10
    cmd flamingopost-soak {
        /// Path of the program under test.
        required program: PathBuf
        /// Number of seeds to play; the default is 1.
        optional --seeds count: u64
        /// The first seed; the others follow it. Drawn at random by default.
        optional --first seed: u64
        /// Number of seeds to play at once; the default is 1.
        optional --jobs count: usize
        /// For how many seconds faults are injected; the default is 15.
        optional --seconds seconds: u64
        /// Number of hosts, instead of the number that the seed determines.
        optional --hosts count: usize
        /// Folder for settings and logs; by default a folder in the directory for temporary files.
        optional --folder folder: PathBuf
        /// Instead of playing seeds, measures the write outage after the loss of a primary, this
        /// many times for each cause.
        optional --gaps count: usize
        /// With --gaps: a replaced primary keeps leading its own term, and fencing tokens are not
        /// checked.
        optional --lax
        /// With --gaps: a commit is acknowledged only once a replica has received it.
        optional --synchronous
        /// Prints each plan before it is played.
        optional --plan
    }
}
