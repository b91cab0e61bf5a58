//! Service times of requests by class, learnt from their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::ClassKey;

/// Weight of a new observation in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Assumed service time of a class before its first observation.
const INITIAL_COST: Duration = Duration::from_millis(2);
/// Fraction by which the minimum moves towards the mean with each observation, so that an outdated
/// minimum is forgotten.
const MINIMUM_DRIFT: f64 = 0.000_02;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Cost {
    mean: f64,
    deviation: f64,
    minimum: f64,
}

/// Service times by class as this host observes them, queueing inside the server included.
#[derive(Debug, Clone, Default)]
pub struct Costs {
    by_class: BTreeMap<ClassKey, Cost>,
}

impl Costs {
    /// Records the service time of one answer.
    pub fn record(&mut self, class: ClassKey, took: Duration) {
        let took = took.as_secs_f64();
        let cost = self.by_class.entry(class).or_insert(Cost {
            mean: took,
            deviation: took / 2.0,
            minimum: took,
        });
        cost.deviation += SMOOTHING * ((took - cost.mean).abs() - cost.deviation);
        cost.mean += SMOOTHING * (took - cost.mean);
        cost.minimum = (cost.minimum + MINIMUM_DRIFT * (cost.mean - cost.minimum)).min(took);
    }

    /// Returns the mean service time of `class`.
    pub fn mean(&self, class: ClassKey) -> Duration {
        let cost = self.by_class.get(&class);
        cost.map_or(INITIAL_COST, |cost| Duration::from_secs_f64(cost.mean))
    }

    /// Returns a service time that most requests of `class` stay below: the mean plus twice the
    /// mean deviation.
    pub fn upper_estimate(&self, class: ClassKey) -> Duration {
        let cost = self.by_class.get(&class);
        cost.map_or(INITIAL_COST, |cost| {
            Duration::from_secs_f64(cost.mean + 2.0 * cost.deviation)
        })
    }

    /// Returns the service time of `class` on an idle server.
    pub fn minimum(&self, class: ClassKey) -> Duration {
        let cost = self.by_class.get(&class);
        cost.map_or(INITIAL_COST, |cost| Duration::from_secs_f64(cost.minimum))
    }
}
