//! `flamingopost-capacity fleet SERVICES`
//!
//! Prints a configuration made to a size.

use crate::error::Error;
use crate::flags;
use crate::fleet;

/// Runs the subcommand.
pub fn run(flags: flags::Fleet) -> Result<(), Error> {
    print!("{}", fleet::generate(flags.services));
    Ok(())
}
