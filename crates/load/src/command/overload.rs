//! `flamingopost-load overload [--hosts N] [--seed N] [--json]`
//!
//! Plays overload of one backend server in a model and prints what each kind of request got.

use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use flamingopost_load::error::Error;
use flamingopost_load::overload::Run;
use flamingopost_load::overload::mix::Mix;
use flamingopost_load::overload::policy::Policy;
use serde::Serialize;

use super::print;
use crate::flags;

const LOADS: [f64; 4] = [0.8, 1.0, 2.0, 4.0];
const POLICIES: [Policy; 3] = [Policy::Fifo, Policy::Expiring, Policy::Gate];

/// Every row.
#[derive(Debug, Serialize)]
struct Report {
    rows: Vec<Row>,
}

/// One run.
#[derive(Debug, Serialize)]
struct Row {
    mix: &'static str,
    policy: String,
    load: f64,
    goodput: f64,
    kinds: Vec<Kind>,
}

/// What one kind of request got in it.
#[derive(Debug, Serialize)]
struct Kind {
    name: &'static str,
    in_time: f64,
    late: u64,
    refused: u64,
    refusal_mean_ms: f64,
}

/// Runs the subcommand.
pub fn run(flags: flags::Overload) -> Result<ExitCode, Error> {
    let mixes = [
        ("auction", Mix::auction(), 3, 36),
        ("shipper", Mix::shipper(), 2, 16),
        ("crowd", Mix::crowd(), 3, 36),
    ];
    let mut rows = Vec::new();
    for (name, mix, slots, connections) in mixes {
        for policy in POLICIES {
            for load in LOADS {
                let run = Run {
                    mix: mix.clone(),
                    policy,
                    hosts: flags.hosts.unwrap_or(6).max(1),
                    slots,
                    connections,
                    load,
                    length: Duration::from_secs(60),
                    warm_up: Duration::from_secs(5),
                    distance: Duration::from_micros(1500),
                    seed: flags.seed.unwrap_or(1),
                };
                rows.push(row(name, &run));
            }
        }
    }
    print(&Report { rows }, flags.json)?;
    Ok(ExitCode::SUCCESS)
}

fn row(name: &'static str, run: &Run) -> Row {
    let tally = run.play();
    let kinds = tally
        .kinds
        .iter()
        .zip(&run.mix.kinds)
        .map(|(count, kind)| Kind {
            name: kind.name,
            in_time: count.share(),
            late: count.late,
            refused: count.refused,
            refusal_mean_ms: count.refusal_mean().as_secs_f64() * 1e3,
        })
        .collect();
    let seconds = (run.length - run.warm_up).as_secs_f64();
    Row {
        mix: name,
        policy: format!("{:?}", run.policy).to_lowercase(),
        load: run.load,
        goodput: tally.goodput(&run.mix) / seconds,
        kinds,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            write!(
                f,
                "{:8} {:9} x{:<4} {:7.0} weight/s ",
                row.mix, row.policy, row.load, row.goodput
            )?;
            for kind in &row.kinds {
                write!(f, " {} {:.2}%", kind.name, kind.in_time * 100.0)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
