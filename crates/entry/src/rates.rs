//! Rates that rules set, one bucket a rule.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use flamingopost_core::rate::Rate;

/// The buckets of the rules of one configuration version.
#[derive(Debug, Default)]
pub struct Rates {
    buckets: Mutex<BTreeMap<(u64, usize), Rate>>,
}

impl Rates {
    /// Lets a request under rule number `rule` of configuration `version` through at `now`.
    ///
    /// # Errors
    /// The time after which the next one passes.
    pub fn take(
        &self,
        version: u64,
        rule: usize,
        per_second: u32,
        now: Duration,
    ) -> Result<(), Duration> {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if !buckets.contains_key(&(version, rule)) {
            buckets.retain(|(kept, _), _| *kept == version);
        }
        let bucket = buckets.entry((version, rule));
        let bucket = bucket.or_insert_with(|| Rate::new(per_second, now));
        bucket.take(now)
    }
}
