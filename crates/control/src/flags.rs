//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// The control process of one flamingopost host.
    ///
    /// EXAMPLES:
    ///     flamingopost-control --settings /etc/flamingopost/control.ini
    cmd flamingopost-control {
        /// The settings file, INI; docs/SETTINGS.md is its reference.
        required --settings path: PathBuf
        /// Only check the settings.
        optional --check
    }
}
