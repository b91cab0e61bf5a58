//! `flamingopost-load run PLAN [--json] [--plots DIR] [--history FILE] [--baseline]`
//!
//! Plays a plan and reports. Arrivals are open loop: each request counts from when it was due,
//! so a stall shows in full. Exit code 1 when what was found breaks what must always hold, 3 when
//! a fault of the plan could not be injected: the figures are then of another experiment.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use flamingopost_load::engine::{self, Way};
use flamingopost_load::error::Error;
use flamingopost_load::event::Event;
use flamingopost_load::plan::Plan;
use flamingopost_load::plot;
use flamingopost_load::report::{Material, Report};
use flamingopost_load::scrape;

use super::{VIOLATED, block_on, print};
use crate::flags;

struct Args {
    plan: Plan,
    json: bool,
    plots: Option<PathBuf>,
    history: Option<PathBuf>,
    baseline: bool,
}

impl TryFrom<flags::Run> for Args {
    type Error = Error;

    fn try_from(flags: flags::Run) -> Result<Args, Error> {
        let text = std::fs::read_to_string(&flags.plan).map_err(|source| Error::File {
            path: flags.plan.clone(),
            source,
        })?;
        let mut plan = Plan::decode(&flags.plan, &text)?;
        if let Some(seconds) = flags.seconds {
            plan.duration = Duration::from_secs(seconds);
        }
        plan.rate = flags.rate.unwrap_or(plan.rate);
        plan.seed = flags.seed.unwrap_or(plan.seed);
        if flags.no_faults {
            plan.faults.clear();
        }
        if flags.baseline && plan.baseline.is_empty() {
            return Err(Error::NoBaseline(flags.plan));
        }
        Ok(Args {
            plan,
            json: flags.json,
            plots: flags.plots,
            history: flags.history,
            baseline: flags.baseline,
        })
    }
}

/// Runs the subcommand.
pub fn run(flags: flags::Run) -> Result<ExitCode, Error> {
    let args = Args::try_from(flags)?;
    let report = block_on(play(&args))?;
    print(&report, args.json)?;
    for violation in &report.checks.violations {
        let text = violation.to_string();
        Event::Violation { text }.log();
    }
    let missed = report.faults.iter().find(|fault| !fault.took());
    match missed {
        Some(fault) => Err(Error::Fault(fault.name.clone())),
        None if report.checks.violations.is_empty() => Ok(ExitCode::SUCCESS),
        None => Ok(ExitCode::from(VIOLATED)),
    }
}

async fn play(args: &Args) -> Result<Report, Error> {
    if !args.baseline {
        return product(args).await;
    }
    let (product, baseline) = tokio::join!(product(args), naive(args));
    let mut report = product?;
    report.baseline = Some(Box::new(baseline?));
    Ok(report)
}

async fn product(args: &Args) -> Result<Report, Error> {
    let plan = &args.plan;
    let services = plan.services();
    let before = scrape::counters(&plan.metrics, &services).await;
    let mut played = engine::play(plan, Way::Product).await?;
    let after = scrape::counters(&plan.metrics, &services).await;
    played.history.losses = scrape::losses(&plan.status, plan.token.as_deref()).await;
    if let Some(path) = &args.history {
        played.history.write(path)?;
    }
    if let Some(directory) = &args.plots {
        plot::all(directory, plan, &played.history, &played.faults)?;
    }
    Ok(Report::new(Material {
        plan,
        run: played.run,
        history: &played.history,
        faults: played.faults,
        counters: after.zip(before).map(|(after, before)| after.since(before)),
    }))
}

async fn naive(args: &Args) -> Result<Report, Error> {
    let played = engine::play(&args.plan, Way::Naive).await?;
    Ok(Report::new(Material {
        plan: &args.plan,
        run: played.run,
        history: &played.history,
        faults: played.faults,
        counters: None,
    }))
}
