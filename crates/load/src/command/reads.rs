//! `flamingopost-load reads [--seed N] [--json]`
//!
//! Plays reads after writes in a model, with several lags and several ways to wait.

use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use flamingopost_load::error::Error;
use flamingopost_load::reads::Run;
use serde::Serialize;

use super::print;
use crate::flags;

/// Lag of the replica near by and of the other one, in milliseconds.
const LAGS: [(u64, u64); 4] = [(5, 5), (20, 20), (5, 2_000), (2_000, 2_000)];
/// Time from a write to its reads, in milliseconds.
const THINKS: [u64; 2] = [20, 500];
/// Patience and locality, in milliseconds.
const WAYS: [(u64, u64); 4] = [(0, 0), (50, 0), (50, 5), (50, 50)];

/// Every row.
#[derive(Debug, Serialize)]
struct Report {
    rows: Vec<Row>,
}

/// One run.
#[derive(Debug, Serialize)]
struct Row {
    near_lag_ms: u64,
    far_lag_ms: u64,
    think_ms: u64,
    patience_ms: u64,
    locality_ms: u64,
    replica_share: f64,
    near: u64,
    far: u64,
    primary: u64,
    stale: u64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Runs the subcommand.
pub fn run(flags: flags::Reads) -> Result<ExitCode, Error> {
    let mut rows = Vec::new();
    for lags in LAGS {
        for think in THINKS {
            for way in WAYS {
                rows.push(row(lags, think, way, flags.seed.unwrap_or(1)));
            }
        }
    }
    print(&Report { rows }, flags.json)?;
    Ok(ExitCode::SUCCESS)
}

fn row(lags: (u64, u64), think: u64, way: (u64, u64), seed: u64) -> Row {
    let run = Run {
        near_lag: Duration::from_millis(lags.0),
        far_lag: Duration::from_millis(lags.1),
        think: Duration::from_millis(think),
        probe: Duration::from_millis(100),
        patience: Duration::from_millis(way.0),
        locality: Duration::from_millis(way.1),
        writes: 200.0,
        reads: 5,
        length: Duration::from_secs(30),
        seed,
    };
    let tally = run.play();
    let [near, far, primary] = tally.served;
    Row {
        near_lag_ms: lags.0,
        far_lag_ms: lags.1,
        think_ms: think,
        patience_ms: way.0,
        locality_ms: way.1,
        replica_share: tally.replica_share(),
        near,
        far,
        primary,
        stale: tally.stale,
        p50_ms: tally.quantile(0.5).as_secs_f64() * 1e3,
        p99_ms: tally.quantile(0.99).as_secs_f64() * 1e3,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(
                f,
                "lag {:4}/{:4} ms  think {:3} ms  patience {:2} ms  locality {:2} ms  replicas \
                 {:6.2}%  near {:6}  far {:6}  primary {:6}  stale {}  p50 {:5.2} ms  p99 {:6.2} ms",
                row.near_lag_ms,
                row.far_lag_ms,
                row.think_ms,
                row.patience_ms,
                row.locality_ms,
                row.replica_share * 100.0,
                row.near,
                row.far,
                row.primary,
                row.stale,
                row.p50_ms,
                row.p99_ms
            )?;
        }
        Ok(())
    }
}
