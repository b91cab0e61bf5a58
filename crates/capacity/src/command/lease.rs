//! `flamingopost-capacity lease CONTROL PID TOKEN_FILE FLEET.ini [--sizes 6,80,480] [--bundle 80]`
//!
//! Simulates entry hosts that renew their leases at a running control process, and measures the
//! cost of a renewal for that process and the network.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::timing;
use flamingopost_daemon::remote;
use flamingopost_daemon::token::Token;
use flamingopost_load::process::{processor_time, resident};
use flamingopost_wire::lease::{Renewal, Reply, Report};
use flamingopost_wire::rpc::ControlClient as _;
use flamingopost_wire::view::Version;
use futures::future::join_all;
use serde::Serialize;
use tokio::time::Instant;

use super::{parse_sizes, print};
use crate::error::Error;
use crate::flags;
use crate::fleet::{self, ZONES};
use crate::meter::Meter;
use crate::slope::Line;

const DEFAULT_SIZES: [usize; 3] = [6, 80, 480];
const DEFAULT_SECONDS: u64 = 5;
/// Number of hosts that serve each service.
const DEFAULT_HOMES: usize = 12;
/// Connections that a host demands to each server of the services it serves.
const CONNECTIONS_PER_SERVER: u16 = 2;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The simulated hosts and the control process that they renew at.
struct Workload {
    pid: u32,
    token: Token,
    fleet: Fleet,
    directory: Directory,
    homes: usize,
    bundle: usize,
    duration: Duration,
}

#[derive(Debug, Serialize)]
struct Point {
    hosts: usize,
    /// Renewals that were not granted: the process answered late or does not lead the shard.
    refused: u64,
    renewals_a_second: f64,
    core_percent: f64,
    renewal_microseconds: f64,
    renewal_bytes: f64,
    resident_bytes: u64,
}

#[derive(Debug, Serialize)]
struct Figures {
    services: usize,
    homes: usize,
    bundle: usize,
    points: Vec<Point>,
    core_percent: Line,
    bytes_a_second: Line,
    resident_bytes: Line,
}

/// Runs the subcommand.
pub fn run(flags: flags::Lease) -> Result<(), Error> {
    let sizes = parse_sizes(flags.sizes, &DEFAULT_SIZES)?;
    let text = std::fs::read_to_string(&flags.fleet)?;
    let mut directory = Directory::default();
    let fleet = fleet::parse(0, &text, &mut directory)?;
    let workload = Workload {
        pid: flags.pid,
        token: Token::load(&flags.token_file)?,
        fleet,
        directory,
        homes: flags.homes.unwrap_or(DEFAULT_HOMES),
        bundle: flags.bundle.unwrap_or(1).max(1),
        duration: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let points = runtime.block_on(measure_all(&workload, flags.control, sizes))?;
    let line = |cost: fn(&Point) -> f64| Line::fit_by(&points, |point| point.hosts, cost);
    let figures = Figures {
        services: workload.fleet.services.len(),
        homes: workload.homes,
        bundle: workload.bundle,
        core_percent: line(|point| point.core_percent)?,
        bytes_a_second: line(|point| point.renewal_bytes * point.renewals_a_second)?,
        resident_bytes: line(|point| point.resident_bytes as f64)?,
        points,
    };
    print(&figures, flags.json)
}

async fn measure_all(
    workload: &Workload,
    control: SocketAddr,
    sizes: Vec<usize>,
) -> Result<Vec<Point>, Error> {
    let mut points = Vec::new();
    for hosts in sizes {
        points.push(measure(workload, control, hosts).await?);
    }
    Ok(points)
}

/// Measures the renewals of `hosts` hosts.
async fn measure(workload: &Workload, control: SocketAddr, hosts: usize) -> Result<Point, Error> {
    let meter = Meter::start(control).await?;
    let mut clients = clients(workload, meter.address(), hosts)?;
    // The first renewals fetch the views. Only later ones represent the cost of an idle fleet.
    renew_all(&mut clients).await?;
    renew_all(&mut clients).await?;
    let (bytes_before, used_before) = (meter.bytes(), processor_time(workload.pid)?);
    let start = Instant::now();
    let mut next = start;
    let (mut renewals, mut refused) = (0, 0);
    while start.elapsed() < workload.duration {
        let (sent_now, refused_now) = renew_all(&mut clients).await?;
        renewals += sent_now;
        refused += refused_now;
        next += timing::RENEWAL_INTERVAL;
        tokio::time::sleep_until(next).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let used = processor_time(workload.pid)?
        .saturating_sub(used_before)
        .as_secs_f64();
    let sent = renewals as f64;
    Ok(Point {
        hosts,
        refused,
        renewals_a_second: sent / seconds,
        core_percent: used / seconds * 100.0,
        renewal_microseconds: used / sent * 1e6,
        renewal_bytes: (meter.bytes() - bytes_before) as f64 / sent,
        resident_bytes: resident(workload.pid)?,
    })
}

/// A connection and the renewals that it sends in one call.
struct RenewalClient {
    client: remote::Client,
    renewals: Vec<Renewal>,
}

/// Creates the clients of `hosts` hosts, one per bundle of hosts.
fn clients(
    workload: &Workload,
    address: SocketAddr,
    hosts: usize,
) -> Result<Vec<RenewalClient>, Error> {
    let by_host: Vec<Vec<Renewal>> = (0..hosts)
        .map(|host| host_renewals(workload, host, hosts))
        .collect();
    let clients = by_host.chunks(workload.bundle).map(|bundle| {
        let client = remote::client(&address.to_string(), &workload.token, CALL_TIMEOUT)?;
        Ok(RenewalClient {
            client,
            renewals: bundle.concat(),
        })
    });
    clients.collect()
}

/// Returns the renewals of `host`, a healthy host out of `hosts`, for every shard that has
/// services.
fn host_renewals(workload: &Workload, host: usize, hosts: usize) -> Vec<Renewal> {
    let mut renewals = BTreeMap::new();
    for (index, service) in workload.fleet.services.values().enumerate() {
        let shard = service.shard;
        let renewal = renewals
            .entry(shard)
            .or_insert_with(|| empty_renewal(host, shard));
        let first = index * workload.homes % hosts;
        let is_home = (host + hosts - first) % hosts < workload.homes;
        if is_home {
            let names = service.servers.iter();
            let names = names.filter_map(|key| workload.directory.servers.name(*key));
            renewal
                .demand
                .extend(names.map(|name| (name.to_owned(), CONNECTIONS_PER_SERVER)));
            // A primary that answers is reported without further details.
            let primary = workload.directory.servers.name(service.first_primary);
            let report = primary.map(|name| (name.to_owned(), Report::default()));
            renewal.reports.extend(report);
        }
    }
    renewals.into_values().collect()
}

/// Returns a renewal of `host` for `shard` without reports or demand.
fn empty_renewal(host: usize, shard: u16) -> Renewal {
    Renewal {
        shard,
        host: format!("made-host-{host}"),
        incarnation: 0x5eed_0000 + host as u64,
        zone: format!("zone-{}", host % ZONES),
        rpc: "127.0.0.1:1".to_owned(),
        config: 1,
        version: None,
        reports: BTreeMap::new(),
        demand: BTreeMap::new(),
        stopping: false,
    }
}

/// Renews once through every client. Returns the numbers of renewals sent and refused.
async fn renew_all(clients: &mut [RenewalClient]) -> Result<(u64, u64), Error> {
    let calls = clients.iter_mut().map(RenewalClient::renew);
    let (mut sent, mut refused) = (0, 0);
    for outcome in join_all(calls).await {
        let (sent_now, refused_now) = outcome?;
        sent += sent_now;
        refused += refused_now;
    }
    Ok((sent, refused))
}

impl RenewalClient {
    /// Sends all renewals of the client. Returns the numbers of renewals sent and refused.
    async fn renew(&mut self) -> Result<(u64, u64), Error> {
        let replies = self.client.renew(self.renewals.clone()).await?;
        let mut granted = 0;
        for (renewal, reply) in self.renewals.iter_mut().zip(replies) {
            if let Reply::Granted(grant) = reply {
                renewal.version = Some(Version::clone(&grant.version));
                granted += 1;
            }
        }
        let sent = self.renewals.len() as u64;
        Ok((sent, sent - granted))
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} services, {} hosts a service, {} hosts a call",
            self.services, self.homes, self.bundle
        )?;
        writeln!(
            f,
            "{:>6} {:>8} {:>11} {:>7} {:>11} {:>9} {:>12}",
            "hosts", "refused", "renewals/s", "core %", "µs/renewal", "bytes", "resident"
        )?;
        for point in &self.points {
            writeln!(
                f,
                "{:>6} {:>8} {:>11.0} {:>7.2} {:>11.1} {:>9.0} {:>12}",
                point.hosts,
                point.refused,
                point.renewals_a_second,
                point.core_percent,
                point.renewal_microseconds,
                point.renewal_bytes,
                point.resident_bytes
            )?;
        }
        writeln!(
            f,
            "each host: {:.4} % of a core, {:.0} bytes a second, {:.0} bytes of memory",
            self.core_percent.each, self.bytes_a_second.each, self.resident_bytes.each
        )
    }
}
