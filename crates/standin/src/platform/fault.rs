//! Faults that the platform can be told to have.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is wrong with the platform.
///
/// As JSON, the form that `GET /faults` shows and `POST /faults` merges in:
///
/// ```
/// use flamingopost_standin::platform::Faults;
///
/// let faults: Faults = serde_json::from_str(r#"{"slow_ms": 250}"#).unwrap();
/// assert_eq!(faults.slow_ms, 250);
/// assert!(!faults.down);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request gets 503 at once and has no effect.
    pub down: bool,
    /// Milliseconds that each request takes longer, before it has an effect.
    pub slow_ms: u64,
    /// Writes take effect, then the connection closes without an answer.
    pub lose_answers: bool,
    /// Milliseconds by which the list of hosts lags behind what hosts announce.
    pub host_list_lag_ms: u64,
    /// Zones whose requests get no answer and have no effect, by their `X-Zone` header.
    pub cut_zones: BTreeSet<String>,
}

impl Faults {
    pub(crate) fn slow(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }

    pub(crate) fn host_list_lag(&self) -> Duration {
        Duration::from_millis(self.host_list_lag_ms)
    }
}
