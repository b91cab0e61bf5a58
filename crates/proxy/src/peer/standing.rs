//! The electorate and a host's place in it, as sent between hosts.

use flamingopost_core::quorum::{Electorate, Number, Standing};
use serde::{Deserialize, Serialize};

use super::bounded;

/// Number of an electorate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireNumber {
    #[serde(deserialize_with = "bounded::count")]
    count: u64,
    process: u64,
}

impl From<Number> for WireNumber {
    fn from(number: Number) -> WireNumber {
        let Number { count, process } = number;
        WireNumber { count, process }
    }
}

impl From<WireNumber> for Number {
    fn from(number: WireNumber) -> Number {
        let WireNumber { count, process } = number;
        Number { count, process }
    }
}

/// What a host says of its place in the electorate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireStanding {
    number: WireNumber,
    is_caught_up: bool,
    is_settled: bool,
    /// Revision of the electorate's newest record in the store that the host knows of.
    pub recorded_at: u64,
    /// Time since the last renewal of the electorate that the host knows of was sent, in milliseconds.
    pub renewal_age: Option<u32>,
}

impl WireStanding {
    /// Returns `standing` in its form on the wire, with what the host knows of the store's record.
    pub fn new(standing: Standing, recorded_at: u64, renewal_age: Option<u32>) -> WireStanding {
        WireStanding {
            number: standing.number.into(),
            is_caught_up: standing.is_caught_up,
            is_settled: standing.is_settled,
            recorded_at,
            renewal_age,
        }
    }
}

impl From<WireStanding> for Standing {
    fn from(standing: WireStanding) -> Standing {
        Standing {
            number: standing.number.into(),
            is_caught_up: standing.is_caught_up,
            is_settled: standing.is_settled,
        }
    }
}

/// An electorate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireElectorate {
    number: WireNumber,
    #[serde(deserialize_with = "bounded::count")]
    formation: u64,
    electors: Vec<String>,
    former: Vec<String>,
}

impl From<&Electorate> for WireElectorate {
    fn from(electorate: &Electorate) -> WireElectorate {
        WireElectorate {
            number: electorate.number.into(),
            formation: electorate.formation,
            electors: electorate.electors.iter().cloned().collect(),
            former: electorate.former.iter().cloned().collect(),
        }
    }
}

impl From<WireElectorate> for Electorate {
    fn from(electorate: WireElectorate) -> Electorate {
        Electorate {
            number: electorate.number.into(),
            formation: electorate.formation,
            electors: electorate.electors.into_iter().collect(),
            former: electorate.former.into_iter().collect(),
        }
    }
}
