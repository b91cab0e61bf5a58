//! Arguments of the entry host's program.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers of the PostgreSQL protocol: an entry host of flamingopost.
    cmd flamingopost-entry {
        /// The settings file, INI; docs/SETTINGS.md is its reference.
        required --settings path: PathBuf
        /// Only check the settings file.
        optional --check
    }
}
