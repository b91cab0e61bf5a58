//! `flamingopostctl verifier`: generates a password verifier.

use std::ffi::OsString;
use std::io;

use postgres_protocol::password;
use serde::Serialize;

use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Generates the SCRAM-SHA-256 verifier of the password on standard input, for
    /// `verifier = ...` in a [caller] section. The password is never an argument, because other
    /// users of the machine can see arguments.
    ///
    /// EXAMPLES:
    ///     flamingopostctl verifier < password.txt
    ///     read -rs P; printf %s "$P" | flamingopostctl verifier
    cmd verifier {
        /// Print JSON.
        optional --json
    }
}

/// The generated verifier, as printed.
#[derive(Debug, Serialize)]
struct Output {
    verifier: String,
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Verifier::from_vec(args)?;
    let mut password = String::new();
    io::stdin()
        .read_line(&mut password)
        .map_err(|source| Error::file("standard input".as_ref(), source))?;
    let password = password.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return Err(Error::EmptyPassword);
    }
    let verifier = password::scram_sha_256(password.as_bytes());
    output::print(args.json, &Output { verifier }, |out| out.verifier.clone())
}
