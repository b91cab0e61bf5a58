//! Incarnations: the starts of a backend server.

/// One start of a backend server, as the time of the start by the server's own clock, in Unix
/// milliseconds.
///
/// A server that restarts keeps its name and nothing else, so all knowledge of a server holds for
/// one incarnation only. Of two incarnations the later one counts.
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
    /// The incarnation of a server on a platform that does not report starts. It stays the same
    /// over a restart, which then shows only in the server's own answers.
    pub const UNKNOWN: Incarnation = Incarnation(0);
}
