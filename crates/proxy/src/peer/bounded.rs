//! Numbers of messages that this host orders things by, or counts on. A message with one that leaves no
//! room for that was sent by no host, and is dropped like one that cannot be decoded.

use flamingopost_core::term::Term;
use serde::de::{Error, Unexpected};
use serde::{Deserialize, Deserializer};

use crate::platform::MAX_EPOCH;

/// Largest count that another host may name. It is above that of an electorate which was read from the
/// store, so that those which follow can be told.
const MAX_COUNT: u64 = u64::MAX >> 1;

/// Decodes a term.
pub(super) fn term<'de, D: Deserializer<'de>>(number: D) -> Result<i64, D::Error> {
    let number = i64::deserialize(number)?;
    match Term::from_told(number) {
        Some(_) => Ok(number),
        None => Err(D::Error::invalid_value(
            Unexpected::Signed(number),
            &"a term",
        )),
    }
}

/// Decodes an epoch of the store.
pub(super) fn epoch<'de, D: Deserializer<'de>>(number: D) -> Result<u64, D::Error> {
    at_most(MAX_EPOCH.0, number)
}

/// Decodes a count of electorates.
pub(super) fn count<'de, D: Deserializer<'de>>(number: D) -> Result<u64, D::Error> {
    at_most(MAX_COUNT, number)
}

fn at_most<'de, D: Deserializer<'de>>(most: u64, number: D) -> Result<u64, D::Error> {
    let number = u64::deserialize(number)?;
    match number <= most {
        true => Ok(number),
        false => Err(D::Error::invalid_value(
            Unexpected::Unsigned(number),
            &"a number with room above it",
        )),
    }
}
