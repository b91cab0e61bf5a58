//! Order of hosts for a task, which every host computes alike.

/// Offset basis of the FNV-1a hash.
const BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the FNV-1a hash.
const PRIME: u64 = 0x0100_0000_01b3;

/// The hash of a task's name, from which those of its hosts follow.
///
/// ```
/// use flamingopost_proxy::fleet::{Rendezvous, rendezvous_hash};
///
/// let ledger = Rendezvous::of("ledger");
/// assert_eq!(ledger.place("entry-1"), rendezvous_hash("ledger", "entry-1"));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Rendezvous(u64);

impl Rendezvous {
    /// Starts with the name of a task.
    pub fn of(what: &str) -> Rendezvous {
        Rendezvous(extend(BASIS, what))
    }

    /// Returns the place of `host` for the task. Lower comes first.
    pub fn place(self, host: &str) -> u64 {
        extend(self.0, host)
    }
}

/// Computes the FNV-1a hash of two names. Every host computes the same value.
pub fn rendezvous_hash(what: &str, host: &str) -> u64 {
    Rendezvous::of(what).place(host)
}

fn extend(hash: u64, text: &str) -> u64 {
    let mix = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(hash, mix)
}
