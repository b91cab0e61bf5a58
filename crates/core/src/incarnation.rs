//! Incarnations: which start of a backend server is meant.

/// One start of a backend server: the moment of it by the server's own clock, in Unix
/// milliseconds.
///
/// A server that starts again keeps its name and nothing else, so all that is believed of it
/// holds for one incarnation only. Of two incarnations the later one counts.
///
/// ```
/// use flamingopost_core::incarnation::Incarnation;
///
/// let before = Incarnation(1_764_720_000_000);
/// let after = Incarnation(1_764_720_004_250);
/// assert!(before < after);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a server on a platform that tells no starts: it stays the same over a
    /// restart, so a restart shows only in what the server itself says.
    pub const UNKNOWN: Incarnation = Incarnation(0);
}
