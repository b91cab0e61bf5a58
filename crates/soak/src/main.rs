//! `flamingopost-soak`: plays seeds and reports which guarantees they break.

mod flags;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use flags::FlamingopostSoak;
use flamingopost_soak::check::Verdict;
use flamingopost_soak::gap::{self, Cause, Setting};
use flamingopost_soak::plan::Plan;
use flamingopost_soak::play::play;
use tokio::task::JoinSet;

/// Default length of a run, in seconds.
const DEFAULT_SECONDS: u64 = 15;

/// Exit code if a guarantee was broken.
const EXIT_BROKEN: u8 = 1;

/// Exit code if a run could not be carried out.
const EXIT_NOT_PLAYED: u8 = 2;

fn main() -> ExitCode {
    let flags = FlamingopostSoak::from_env_or_exit();
    match run(&flags) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_BROKEN),
        Err(error) => {
            eprintln!("flamingopost-soak: {error}");
            ExitCode::from(EXIT_NOT_PLAYED)
        }
    }
}

/// Plays the seeds and returns how many broke a guarantee.
#[tokio::main]
async fn run(flags: &FlamingopostSoak) -> std::io::Result<usize> {
    if let Some(count) = flags.gaps {
        let setting = Setting {
            lax: flags.lax,
            synchronous: flags.synchronous,
        };
        measure_gaps(count, setting, &flags.program).await?;
        return Ok(0);
    }
    let first = flags.first.unwrap_or_else(rand::random);
    let count = flags.seeds.unwrap_or(1);
    let jobs = flags.jobs.unwrap_or(1).max(1);
    let folder = flags.folder.clone();
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join("flamingopost-soak"));
    let mut running: JoinSet<std::io::Result<bool>> = JoinSet::new();
    let mut broken = 0;
    for seed in (0..count).map(|n| first.wrapping_add(n)) {
        if running.len() >= jobs
            && let Some(ended) = running.join_next().await
        {
            broken += usize::from(ended.map_err(std::io::Error::other)??);
        }
        let length = Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS));
        let plan = Plan::draw(seed, length, flags.hosts);
        // The logs of a failed run are evidence: a folder for each process keeps another play of
        // the same seed from overwriting them.
        let folder = folder.join(format!("seed-{seed}-{}", std::process::id()));
        running.spawn(play_seed(plan, flags.program.clone(), folder, flags.plan));
    }
    while let Some(ended) = running.join_next().await {
        broken += usize::from(ended.map_err(std::io::Error::other)??);
    }
    Ok(broken)
}

/// Measures the write outage for each cause and prints its median and maximum.
async fn measure_gaps(count: usize, setting: Setting, program: &Path) -> std::io::Result<()> {
    for cause in Cause::ALL {
        let folder = tempfile::tempdir()?;
        let mut gaps = gap::measure(cause, count, setting, program, folder.path()).await?;
        gaps.sort_unstable();
        let median = gaps.get(gaps.len() / 2).copied().unwrap_or_default();
        let worst = gaps.last().copied().unwrap_or_default();
        let (times, median, worst) = (gaps.len(), median.as_millis(), worst.as_millis());
        println!("{cause}: {times} times, median {median} ms, worst {worst} ms");
    }
    Ok(())
}

/// Plays one plan and returns whether it broke a guarantee. Logs are kept only in that case.
async fn play_seed(
    plan: Plan,
    program: PathBuf,
    folder: PathBuf,
    print_plan: bool,
) -> std::io::Result<bool> {
    std::fs::create_dir_all(&folder)?;
    let seed = plan.seed;
    let (hosts, faults) = (plan.hosts, plan.faults.len());
    if print_plan {
        println!("{plan:#?}");
    }
    let verdict = play(plan, &program, &folder).await?;
    let Verdict {
        problems,
        done,
        refused,
        unknown,
        commits,
        rolled_back,
        promotions,
    } = verdict;
    println!(
        "seed {seed}: {hosts} hosts, {faults} faults, {done} done, {refused} refused, {unknown} \
         unknown, {commits} commits, {rolled_back} rolled back by {promotions} promotions, {} \
         problems",
        problems.len()
    );
    for problem in &problems {
        println!("  {problem}");
    }
    if problems.is_empty() {
        remove(&folder)?;
    } else {
        println!("  logs: {}", folder.display());
    }
    Ok(!problems.is_empty())
}

fn remove(folder: &Path) -> std::io::Result<()> {
    std::fs::remove_dir_all(folder)
}
