//! Metrics of the process, in the Prometheus text format.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::SystemTime;

use flamingopost_core::invariant::{self, Invariant};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::event::{Daemon, Event as _};
use crate::task::{PANICS, RESTARTS};

/// Histogram buckets for durations, in seconds. They are fine-grained around today's latency
/// targets (hundredths to tenths of a second) and still cover a failover and a configuration
/// change.
pub const DURATION_BUCKETS_SECONDS: [f64; 18] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5,
    1.0, 2.0, 4.0, 8.0, 13.0,
];

/// Name of the counter of invariant violations.
pub const VIOLATIONS: &str = "flamingopost_invariant_violations_total";

/// Name of the gauge of the time at which the process started. It differs between two readings if the
/// process was started anew.
pub const STARTED: &str = "process_start_time_seconds";

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
static LOGGED_VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Starts recording metrics.
///
/// The first call in a process installs the recorder. Later calls, by other daemons in the same
/// process, share it.
pub fn start() {
    HANDLE.get_or_init(install);
}

/// Returns the response body of `/metrics`.
pub fn render() -> String {
    export_violations();
    let handle = HANDLE.get_or_init(install);
    handle.run_upkeep();
    handle.render()
}

fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let builder = builder
        .set_buckets_for_metric(
            Matcher::Suffix("_seconds".to_owned()),
            &DURATION_BUCKETS_SECONDS,
        )
        .unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // A recorder that an embedding application has installed stays in place and receives the
    // metrics. This one then renders nothing.
    let _ = metrics::set_global_recorder(recorder);
    metrics::describe_counter!(VIOLATIONS, "Times an invariant was found violated");
    metrics::describe_counter!(PANICS, "Panics by task");
    metrics::describe_counter!(RESTARTS, "Unexpected ends of long-running tasks, by task");
    metrics::describe_gauge!(STARTED, "When the process started, in seconds since 1970");
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    metrics::gauge!(STARTED).set(since.unwrap_or_default().as_secs_f64());
    handle
}

fn export_violations() {
    for invariant in Invariant::ALL {
        let count = invariant::violations(invariant);
        metrics::counter!(VIOLATIONS, "invariant" => invariant.to_string()).absolute(count);
        let logged = LOGGED_VIOLATIONS[invariant as usize].swap(count, Ordering::Relaxed);
        if count > logged {
            let invariant = invariant.to_string();
            Daemon::Violated { invariant, count }.log();
        }
    }
}
