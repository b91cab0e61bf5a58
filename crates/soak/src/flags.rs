//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Plays randomised faults against the real program, as separate processes in front of a
    /// stand-in platform, and checks what callers and servers see.
    ///
    /// Exit codes: 0 no promise was broken, 1 some were, 2 a run could not be made.
    ///
    /// EXAMPLES:
    ///     flamingopost-soak target/release/flamingopost --seeds 50 --jobs 4
    ///     flamingopost-soak target/release/flamingopost --first 7 --hosts 100 --seconds 30
    ///     flamingopost-soak target/release/flamingopost --gaps 10
    cmd flamingopost-soak {
        /// The program.
        required program: PathBuf
        /// How many seeds are played; 1 unless given.
        optional --seeds count: u64
        /// The first seed, drawn at random unless given; the others follow it.
        optional --first seed: u64
        /// How many seeds are played at once; 1 unless given.
        optional --jobs count: usize
        /// For how many seconds faults strike; 15 unless given.
        optional --seconds seconds: u64
        /// How many hosts, instead of what the seed draws.
        optional --hosts count: usize
        /// Where settings and logs go; a folder for temporary files unless given.
        optional --folder folder: PathBuf
        /// Instead of seeds: for how long nothing is written when a primary goes, measured so often
        /// in each of the ways.
        optional --gaps count: usize
        /// With --gaps: replaced primaries lead their own term on, and tokens are not checked.
        optional --lax
        /// Prints each plan before it is played.
        optional --plan
    }
}
