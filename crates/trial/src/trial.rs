//! Runs a trial from its start to its end.

use std::io::Write;
use std::time::{Duration, Instant};

use flamingopost_daemon::log::{self, Format, Level};
use flamingopost_daemon::stop::Stop;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::announce;
use crate::error::Error;
use crate::flags::FlamingopostTrial;
use crate::host::{self, Common, Ways};
use crate::overview::Overview;
use crate::plan::Plan;
use crate::stage::Stage;

const FIRST_PORT: u16 = 6400;

/// The operators' token of every trial: it guards nothing but loopback ports.
const TOKEN: &str = "trial";

/// How often a daemon is asked whether it is ready.
const ASK: Duration = Duration::from_millis(10);

/// Runs a trial until a signal ends it.
///
/// # Errors
/// A fleet file that is wrong, a port that is taken, or a daemon that failed.
#[tokio::main]
pub async fn run(flags: FlamingopostTrial) -> Result<(), Error> {
    let begun = Instant::now();
    let level = if flags.verbose {
        Level::Info
    } else {
        Level::Error
    };
    if let Err(error) = log::start(level, Format::Text) {
        eprintln!("cannot log: {error}");
    }
    let plan = Plan::new(
        flags.fleet.as_deref(),
        flags.first_port.unwrap_or(FIRST_PORT),
    )?;
    let stage = Stage::start(&plan).await?;
    let mut file = tempfile::NamedTempFile::new()?;
    file.write_all(plan.text.as_bytes())?;

    let (entries, controls) = (Stop::default(), Stop::default());
    let ways = open_ways(&plan, &stage).await?;
    let mut daemons = start(&plan, &ways, file.path(), &entries, &controls)?;
    let watched = entries.clone();
    tokio::spawn(watched.on_signals());
    tokio::select! {
        ready = ready(&plan) => ready?,
        ended = daemons.entries.join_next() => return Err(first_end(ended)),
        () = entries.draining() => {}
    }
    let overview = Overview {
        plan: &plan,
        faults: stage.panel.address(),
        token: TOKEN,
        took: begun.elapsed(),
    };
    println!("{overview}");
    tokio::select! {
        () = announce::run(&stage, &plan) => {}
        () = entries.draining() => {}
        ended = daemons.entries.join_next() => return Err(first_end(ended)),
    }
    finish(daemons, &controls).await
}

/// The daemons of all hosts.
struct Daemons {
    entries: JoinSet<Result<(), Error>>,
    controls: Vec<oneshot::Receiver<Result<(), Error>>>,
}

async fn open_ways(plan: &Plan, stage: &Stage) -> Result<Vec<Ways>, Error> {
    let mut ways = Vec::new();
    for host in &plan.hosts {
        ways.push(Ways::open(host, &stage.cuts).await?);
    }
    Ok(ways)
}

fn start(
    plan: &Plan,
    ways: &[Ways],
    fleet: &std::path::Path,
    entries: &Stop,
    controls: &Stop,
) -> Result<Daemons, Error> {
    let common = Common {
        platform: plan.platform,
        peers: ways.iter().map(Ways::control).collect(),
        token: TOKEN,
        fleet,
    };
    let mut daemons = Daemons {
        entries: JoinSet::new(),
        controls: Vec::new(),
    };
    for (planned, ways) in plan.hosts.iter().zip(ways) {
        let control = host::start_control(planned, ways, &common, controls.clone())?;
        daemons.controls.push(control);
    }
    for (planned, ways) in plan.hosts.iter().zip(ways) {
        let entry = host::start_entry(planned, ways, &common, entries.clone())?;
        let joined = async move { entry.await.unwrap_or(Err(Error::Vanished)) };
        daemons.entries.spawn(joined);
    }
    Ok(daemons)
}

/// Returns when every daemon says that it is ready.
async fn ready(plan: &Plan) -> Result<(), Error> {
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.map_err(std::io::Error::other)?;
    let addresses = plan
        .hosts
        .iter()
        .flat_map(|host| [host.entry_admin, host.control_admin]);
    for address in addresses {
        let url = format!("http://{address}/ready");
        loop {
            let answer = http.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                break;
            }
            tokio::time::sleep(ASK).await;
        }
    }
    Ok(())
}

fn first_end(ended: Option<Result<Result<(), Error>, tokio::task::JoinError>>) -> Error {
    match ended {
        Some(Ok(Err(error))) => error,
        _ => Error::Vanished,
    }
}

/// Entry daemons finish what runs, under controllers that still stand; then these stop too.
async fn finish(mut daemons: Daemons, controls: &Stop) -> Result<(), Error> {
    while let Some(ended) = daemons.entries.join_next().await {
        ended.unwrap_or(Err(Error::Vanished))?;
    }
    controls.stop();
    for control in daemons.controls {
        control.await.unwrap_or(Err(Error::Vanished))?;
    }
    Ok(())
}
