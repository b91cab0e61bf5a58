//! Subcommands, one a file.

pub mod check;
pub mod idle;
pub mod overhead;
pub mod overload;
pub mod reads;
pub mod run;

use std::future::Future;

use flamingopost_load::error::Error;
use serde::Serialize;

/// Exit code when a check found a violation.
const VIOLATED: u8 = 1;

/// Runs `work` on the runtime of this tool.
fn block_on<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(work)
}

/// Prints `value` as one JSON object, or as text for people.
fn print<T: Serialize + std::fmt::Display>(value: &T, json: bool) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string(value).map_err(Error::Encode)?);
    } else {
        print!("{value}");
    }
    Ok(())
}
