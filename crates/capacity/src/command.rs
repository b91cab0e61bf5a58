//! Subcommands, one per file.

pub mod configuration;
pub mod fleet;
pub mod lease;
pub mod model;
pub mod view;

use std::fmt::Display;

use serde::Serialize;

use crate::error::Error;

/// Parses the comma-separated sizes in `list`, or returns `default` if there is no list.
fn parse_sizes(list: Option<String>, default: &[usize]) -> Result<Vec<usize>, Error> {
    let Some(list) = list else {
        return Ok(default.to_vec());
    };
    let sizes: Result<Vec<usize>, _> = list.split(',').map(|size| size.trim().parse()).collect();
    sizes.map_err(|_| Error::Sizes(list))
}

/// Prints `value` as one JSON object if `json` is set, and as human-readable text otherwise.
fn print<T: Serialize + Display>(value: &T, json: bool) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string(value)?);
    } else {
        print!("{value}");
    }
    Ok(())
}
