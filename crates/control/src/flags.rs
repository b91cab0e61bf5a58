//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// The control process of one flamingopost host.
    ///
    /// Example: flamingopost-control /etc/flamingopost/control.ini
    cmd flamingopost-control {
        /// Settings of the host, INI.
        required settings: PathBuf
        /// Only check the settings.
        optional --check
    }
}
