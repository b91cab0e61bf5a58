//! `flamingopost-load idle ENTRY PID [--connections 10000]`
//!
//! Opens authenticated connections that do nothing and divides the growth of the process's
//! resident memory by their number.

use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use flamingopost_load::caller::Caller;
use flamingopost_load::error::Error;
use flamingopost_load::event::Event;
use flamingopost_load::process;
use futures::stream::{self, StreamExt, TryStreamExt};
use serde::Serialize;
use tokio_postgres::Config;

use super::{block_on, print};
use crate::flags;

const CONNECTIONS: usize = 10_000;
/// Connections that are being opened at one time.
const OPENING: usize = 32;
const CONNECT: Duration = Duration::from_secs(30);
/// Time for the process to free what only the connecting needed.
const SETTLE: Duration = Duration::from_secs(3);

#[derive(Debug, Serialize)]
struct Figures {
    connections: usize,
    resident_before: u64,
    resident_after: u64,
    bytes_a_connection: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} idle connections: resident memory from {} to {} bytes, {:.0} bytes a connection",
            self.connections, self.resident_before, self.resident_after, self.bytes_a_connection
        )
    }
}

/// Runs the subcommand.
pub fn run(flags: flags::Idle) -> Result<ExitCode, Error> {
    let config: Config = flags.entry.parse().map_err(|source| Error::Url {
        url: flags.entry.clone(),
        source,
    })?;
    let count = flags.connections.unwrap_or(CONNECTIONS);
    let figures = block_on(measure(&config, flags.pid, count))?;
    print(&figures, flags.json)?;
    Ok(ExitCode::SUCCESS)
}

async fn measure(config: &Config, pid: u32, count: usize) -> Result<Figures, Error> {
    let what = format!("{count} idle connections");
    Event::Measuring { what }.log();
    let before = process::resident(pid)?;
    let callers: Vec<Caller> = stream::iter(0..count)
        .map(|_| connect(config))
        .buffer_unordered(OPENING)
        .try_collect()
        .await?;
    tokio::time::sleep(SETTLE).await;
    let after = process::resident(pid)?;
    Ok(Figures {
        connections: callers.len(),
        resident_before: before,
        resident_after: after,
        bytes_a_connection: (after as f64 - before as f64) / callers.len().max(1) as f64,
    })
}

async fn connect(config: &Config) -> Result<Caller, Error> {
    let connected = Caller::connect(config, None, CONNECT).await;
    connected.map_err(|source| Error::Connect {
        address: format!("{:?}", config.get_hosts()),
        source,
    })
}
