//! The number that tells one run of a process from the next.

/// Draws a number for this run. A restarted host is thereby a different lease holder, and no
/// controller takes its empty memory for the knowledge of the one before.
pub fn random() -> u64 {
    rand::random()
}
