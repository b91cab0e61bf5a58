//! Runs a trial: starts its parts, waits for a stop signal and shuts them down in order.

use std::io::Write;
use std::time::{Duration, Instant};

use flamingopost_daemon::log::{self, Format, Level};
use flamingopost_daemon::stop::Stop;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::announce;
use crate::error::Error;
use crate::flags::FlamingopostTrial;
use crate::host::{self, Relays, SharedSettings};
use crate::overview::Overview;
use crate::plan::Plan;
use crate::stage::Stage;

/// Default first port.
const FIRST_PORT: u16 = 6400;

/// The operators' token of every trial. It can be public because it guards only loopback ports.
const TOKEN: &str = "trial";

/// Interval at which a daemon's readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a trial until a stop signal arrives.
///
/// # Errors
/// Returns an error if the fleet file is not valid, a port is already in use, or a daemon fails.
#[tokio::main]
pub async fn run(flags: FlamingopostTrial) -> Result<(), Error> {
    let started_at = Instant::now();
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
    let relays = open_relays(&plan, &stage).await?;
    let mut daemons = start_daemons(&plan, &relays, file.path(), &entries, &controls)?;
    let stop = entries.clone();
    tokio::spawn(stop.on_signals());
    tokio::select! {
        ready = wait_until_ready(&plan) => ready?,
        ended = daemons.entries.join_next() => return Err(early_exit_error(ended)),
        () = entries.draining() => {}
    }
    let overview = Overview {
        plan: &plan,
        faults: stage.panel.address(),
        token: TOKEN,
        startup_time: started_at.elapsed(),
    };
    println!("{overview}");
    tokio::select! {
        () = announce::run(&stage, &plan) => {}
        () = entries.draining() => {}
        ended = daemons.entries.join_next() => return Err(early_exit_error(ended)),
    }
    shut_down(daemons, &controls).await
}

/// The running daemons of all hosts.
struct Daemons {
    entries: JoinSet<Result<(), Error>>,
    controls: Vec<oneshot::Receiver<Result<(), Error>>>,
}

/// Starts the relays of all hosts, in the order of the hosts.
async fn open_relays(plan: &Plan, stage: &Stage) -> Result<Vec<Relays>, Error> {
    let mut relays = Vec::new();
    for host in &plan.hosts {
        relays.push(Relays::open(host, &stage.cuts).await?);
    }
    Ok(relays)
}

/// Starts the daemons of all hosts, controllers first.
fn start_daemons(
    plan: &Plan,
    relays: &[Relays],
    fleet: &std::path::Path,
    entries: &Stop,
    controls: &Stop,
) -> Result<Daemons, Error> {
    let shared = SharedSettings {
        platform: plan.platform,
        peers: relays.iter().map(Relays::control).collect(),
        token: TOKEN,
        fleet,
    };
    let mut daemons = Daemons {
        entries: JoinSet::new(),
        controls: Vec::new(),
    };
    for (host_plan, relays) in plan.hosts.iter().zip(relays) {
        let control = host::start_control(host_plan, relays, &shared, controls.clone())?;
        daemons.controls.push(control);
    }
    for (host_plan, relays) in plan.hosts.iter().zip(relays) {
        let entry = host::start_entry(host_plan, relays, &shared, entries.clone())?;
        let joined = async move { entry.await.unwrap_or(Err(Error::UnexpectedExit)) };
        daemons.entries.spawn(joined);
    }
    Ok(daemons)
}

/// Waits until every daemon reports that it is ready.
async fn wait_until_ready(plan: &Plan) -> Result<(), Error> {
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
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Returns the error of an entry daemon that ended before a stop signal arrived.
fn early_exit_error(ended: Option<Result<Result<(), Error>, tokio::task::JoinError>>) -> Error {
    match ended {
        Some(Ok(Err(error))) => error,
        _ => Error::UnexpectedExit,
    }
}

/// Waits for the entry daemons to drain while the controllers still run, then stops the
/// controllers.
async fn shut_down(mut daemons: Daemons, controls: &Stop) -> Result<(), Error> {
    while let Some(ended) = daemons.entries.join_next().await {
        ended.unwrap_or(Err(Error::UnexpectedExit))?;
    }
    controls.stop();
    for control in daemons.controls {
        control.await.unwrap_or(Err(Error::UnexpectedExit))?;
    }
    Ok(())
}
