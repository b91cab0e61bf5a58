//! A pause of requests to the primary while it is being replaced.

use std::time::Duration;

/// The period in which requests that need the primary are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Start of the period.
    pub from: Duration,
    /// End of the period, unless a new primary is known earlier.
    pub until: Duration,
}

impl Hold {
    /// Returns the hold until `until` if that is at least `min` later than before. A hold without an
    /// end stays as it is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_core::dispatch::Hold;
    ///
    /// let at = Duration::from_millis;
    /// let hold = Hold { from: at(100), until: at(1_700) };
    /// let extended = Hold { until: at(2_000), ..hold };
    /// assert_eq!(hold.extended(at(2_000), at(200)), Some(extended));
    /// assert_eq!(hold.extended(at(1_800), at(200)), None);
    /// ```
    pub fn extended(self, until: Duration, min: Duration) -> Option<Hold> {
        let is_later = until.saturating_sub(self.until) >= min;
        is_later.then_some(Hold { until, ..self })
    }
}
