//! Order of hosts for a task, which every host computes alike.

use crate::platform::Strength;

/// Offset basis of the FNV-1a hash.
const BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the FNV-1a hash.
const PRIME: u64 = 0x0100_0000_01b3;

/// Distance between the places of a host: 2^64 divided by the golden ratio.
const PLACE_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// The hash of a task's name, from which the places of hosts for that task follow.
///
/// ```
/// use flamingopost_proxy::fleet::{Rendezvous, rendezvous_hash};
/// use flamingopost_proxy::platform::Strength;
///
/// let ledger = Rendezvous::of("ledger");
/// assert_eq!(ledger.place("entry-1", None), rendezvous_hash("ledger", "entry-1"));
/// let (weak, strong) = (Some(Strength(120)), Some(Strength(1_000)));
/// assert!(ledger.place("entry-1", strong) <= ledger.place("entry-1", weak));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Rendezvous(u64);

impl Rendezvous {
    /// Starts with the name of a task.
    pub fn of(what: &str) -> Rendezvous {
        Rendezvous(extend(BASIS, what))
    }

    /// Returns the place of `host` for the task. Lower comes first.
    ///
    /// A host with a strength has as many places as that, of which the first counts. Without one, the
    /// place is the plain hash, in which names that differ in the last characters are neighbours.
    pub fn place(self, host: &str, strength: Option<Strength>) -> u64 {
        let hash = extend(self.0, host);
        let Some(strength) = strength else {
            return hash;
        };
        let nth = |nth: u32| spread(hash.wrapping_add(PLACE_STEP.wrapping_mul(u64::from(nth))));
        (0..strength.places()).map(nth).min().unwrap_or(hash)
    }
}

/// Computes the FNV-1a hash of two names. Every host computes the same value.
pub fn rendezvous_hash(what: &str, host: &str) -> u64 {
    Rendezvous::of(what).place(host, None)
}

/// Spreads a hash over all bits. Names of hosts and teams often differ in their last digits only,
/// and without it 17 of 25 hosts were first in the order of any of 80 teams.
pub(super) fn spread(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

fn extend(hash: u64, text: &str) -> u64 {
    let mix = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(hash, mix)
}
