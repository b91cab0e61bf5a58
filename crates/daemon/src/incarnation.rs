//! Incarnations: random numbers that distinguish the runs of a process.

/// Returns a random incarnation for this run of the process.
///
/// It makes a restarted host a different lease holder, so that no controller mistakes its empty
/// state for that of the previous run.
pub fn random() -> u64 {
    rand::random()
}
