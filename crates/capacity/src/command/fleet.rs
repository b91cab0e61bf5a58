//! `flamingopost-capacity fleet SERVICES`
//!
//! Prints a generated configuration of a given size.

use crate::error::Error;
use crate::flags;
use crate::fleet;

/// Runs the subcommand.
pub fn run(flags: flags::Fleet) -> Result<(), Error> {
    print!("{}", fleet::generate(flags.services));
    Ok(())
}
