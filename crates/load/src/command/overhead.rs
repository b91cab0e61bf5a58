//! `flamingopost-load overhead DIRECT ENTRY [--sql SQL] [--connections 1,16,256] [--pid PID]`
//!
//! Closed loop: each connection sends its next statement when the last one is answered. Each
//! number of connections is measured directly and through the entry host in turn, in one run.

use std::fmt;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingopost_daemon::event::Event as _;
use flamingopost_load::caller::Caller;
use flamingopost_load::error::Error;
use flamingopost_load::event::Event;
use flamingopost_load::process;
use flamingopost_load::quantiles::{Quantiles, Times};
use flamingopost_load::template::{Fill, Template};
use serde::Serialize;
use tokio_postgres::Config;

use super::{block_on, print};
use crate::flags;

const CONNECTIONS: &str = "1,16,256";
const SECONDS: u64 = 5;
const SQL: &str = "SELECT 1";
/// Time before each step that is not measured: connections open and caches fill.
const WARM_UP: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_secs(30);

struct Args {
    direct: Config,
    entry: Config,
    template: Template,
    connections: Vec<usize>,
    time: Duration,
    prepared: bool,
    pid: Option<u32>,
    json: bool,
}

impl TryFrom<flags::Overhead> for Args {
    type Error = Error;

    fn try_from(flags: flags::Overhead) -> Result<Args, Error> {
        let sql = flags.sql.as_deref().unwrap_or(SQL);
        let list = flags.connections.as_deref().unwrap_or(CONNECTIONS);
        Ok(Args {
            direct: config(&flags.direct)?,
            entry: config(&flags.entry)?,
            template: sql.parse().map_err(Error::Template)?,
            connections: numbers(list)?,
            time: Duration::from_secs(flags.seconds.unwrap_or(SECONDS)),
            prepared: flags.prepared,
            pid: flags.pid,
            json: flags.json,
        })
    }
}

fn config(url: &str) -> Result<Config, Error> {
    url.parse().map_err(|source| Error::Url {
        url: url.to_owned(),
        source,
    })
}

fn numbers(list: &str) -> Result<Vec<usize>, Error> {
    list.split(',')
        .map(|text| text.trim().parse().ok().filter(|number| *number > 0))
        .collect::<Option<_>>()
        .ok_or_else(|| Error::Numbers(list.to_owned()))
}

/// Figures of one step.
#[derive(Debug, Clone, Serialize)]
struct Step {
    way: &'static str,
    connections: usize,
    statements_per_s: f64,
    /// Of the entry host's process; absent for the direct way and without its process id.
    statements_per_s_a_core: Option<f64>,
    latency: Quantiles,
}

/// All steps.
#[derive(Debug, Clone, Serialize)]
struct Steps {
    steps: Vec<Step>,
}

impl fmt::Display for Steps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<7} {:>11} {:>9} {:>9} {:>12} {:>14}",
            "way", "connections", "p50 ms", "p99 ms", "statements/s", "a core"
        )?;
        for step in &self.steps {
            let core = step.statements_per_s_a_core;
            writeln!(
                f,
                "{:<7} {:>11} {:>9.3} {:>9.3} {:>12.0} {:>14}",
                step.way,
                step.connections,
                step.latency.p50_ms,
                step.latency.p99_ms,
                step.statements_per_s,
                core.map_or("-".to_owned(), |rate| format!("{rate:.0}"))
            )?;
        }
        Ok(())
    }
}

/// Runs the subcommand.
pub fn run(flags: flags::Overhead) -> Result<ExitCode, Error> {
    let args = Args::try_from(flags)?;
    let steps = block_on(measure(&args))?;
    print(&steps, args.json)?;
    Ok(ExitCode::SUCCESS)
}

async fn measure(args: &Args) -> Result<Steps, Error> {
    let mut steps = Vec::new();
    for connections in &args.connections {
        steps.push(step(args, "direct", &args.direct, *connections, None).await?);
        steps.push(step(args, "entry", &args.entry, *connections, args.pid).await?);
    }
    Ok(Steps { steps })
}

async fn step(
    args: &Args,
    way: &'static str,
    config: &Config,
    connections: usize,
    pid: Option<u32>,
) -> Result<Step, Error> {
    let what = format!("{way} with {connections} connections");
    Event::Measuring { what }.log();
    let mut callers = Vec::new();
    for _ in 0..connections {
        callers.push(connect(config).await?);
    }
    let start = Instant::now() + WARM_UP;
    let template = Arc::new(args.template.clone());
    let tasks: Vec<_> = callers
        .into_iter()
        .map(|caller| {
            tokio::spawn(statements(
                caller,
                template.clone(),
                args.prepared,
                start,
                args.time,
            ))
        })
        .collect();
    tokio::time::sleep_until(start.into()).await;
    let used_before = pid.map(process::processor_time).transpose()?;
    tokio::time::sleep_until((start + args.time).into()).await;
    let used_after = pid.map(process::processor_time).transpose()?;
    let mut times = Times::default();
    for task in tasks {
        match task.await {
            Ok(own) => times.merge(&own?),
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }
    let latency = times.quantiles();
    let rate = latency.count as f64 / args.time.as_secs_f64();
    let used = used_after
        .zip(used_before)
        .map(|(after, before)| after - before);
    let cores = used.map(|used| used.as_secs_f64() / args.time.as_secs_f64());
    Ok(Step {
        way,
        connections,
        statements_per_s: rate,
        statements_per_s_a_core: cores.filter(|cores| *cores > 0.0).map(|cores| rate / cores),
        latency,
    })
}

async fn connect(config: &Config) -> Result<Caller, Error> {
    let connected = Caller::connect(config, None, CONNECT).await;
    connected.map_err(|source| Error::Connect {
        address: format!("{:?}", config.get_hosts()),
        source,
    })
}

async fn statements(
    mut caller: Caller,
    template: Arc<Template>,
    prepared: bool,
    start: Instant,
    time: Duration,
) -> Result<Times, Error> {
    let mut times = Times::default();
    let fill = Fill::default();
    loop {
        let begin = Instant::now();
        if begin >= start + time {
            return Ok(times);
        }
        if prepared {
            caller.prepared(&template, &fill).await?;
        } else {
            caller.text(&template, &fill).await?;
        }
        if begin >= start {
            times.add(begin.elapsed().as_micros() as i64);
        }
    }
}
