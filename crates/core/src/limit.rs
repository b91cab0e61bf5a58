//! Limits on how much a team may ask of all entry hosts together.

/// How much a team may ask of all entry hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Operations per second.
    pub per_second: u32,
    /// Operations beyond the rate that may come at once.
    pub burst: u32,
}
