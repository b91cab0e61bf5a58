//! `flamingopost-capacity lease CONTROL PID TOKEN_FILE FLEET.ini [--sizes 6,80,480] [--bundle 80]`
//!
//! Plays entry hosts that renew their leases at a running control process, and tells what a
//! renewal costs that process and the network.

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

use super::{print, sizes};
use crate::error::Error;
use crate::flags;
use crate::fleet::{self, ZONES};
use crate::meter::Meter;
use crate::slope::Line;

const SIZES: [usize; 3] = [6, 80, 480];
const SECONDS: u64 = 5;
const HOMES: usize = 12;
/// Connections that a host wants to each server of the services it serves.
const CONNECTIONS: u16 = 2;
const CALL: Duration = Duration::from_secs(5);

/// What is played.
struct Play {
    pid: u32,
    token: Token,
    fleet: Fleet,
    directory: Directory,
    homes: usize,
    bundle: usize,
    span: Duration,
}

#[derive(Debug, Serialize)]
struct Point {
    hosts: usize,
    /// Renewals that brought no lease: the process was late, or does not lead the shard.
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
    let sizes = sizes(flags.sizes, &SIZES)?;
    let text = std::fs::read_to_string(&flags.fleet)?;
    let mut directory = Directory::default();
    let fleet = fleet::parse(0, &text, &mut directory)?;
    let play = Play {
        pid: flags.pid,
        token: Token::load(&flags.token_file)?,
        fleet,
        directory,
        homes: flags.homes.unwrap_or(HOMES),
        bundle: flags.bundle.unwrap_or(1).max(1),
        span: Duration::from_secs(flags.seconds.unwrap_or(SECONDS)),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let points = runtime.block_on(measure_all(&play, flags.control, sizes))?;
    let line = |cost: fn(&Point) -> f64| Line::of(&points, |point| point.hosts, cost);
    let figures = Figures {
        services: play.fleet.services.len(),
        homes: play.homes,
        bundle: play.bundle,
        core_percent: line(|point| point.core_percent)?,
        bytes_a_second: line(|point| point.renewal_bytes * point.renewals_a_second)?,
        resident_bytes: line(|point| point.resident_bytes as f64)?,
        points,
    };
    print(&figures, flags.json)
}

async fn measure_all(
    play: &Play,
    control: SocketAddr,
    sizes: Vec<usize>,
) -> Result<Vec<Point>, Error> {
    let mut points = Vec::new();
    for hosts in sizes {
        points.push(measure(play, control, hosts).await?);
    }
    Ok(points)
}

async fn measure(play: &Play, control: SocketAddr, hosts: usize) -> Result<Point, Error> {
    let meter = Meter::start(control).await?;
    let mut callers = callers(play, meter.address(), hosts)?;
    // The first round brings the views; only later ones are what a quiet fleet pays.
    round(&mut callers).await?;
    round(&mut callers).await?;
    let (bytes, used) = (meter.bytes(), processor_time(play.pid)?);
    let start = Instant::now();
    let mut next = start;
    let (mut renewals, mut refused) = (0, 0);
    while start.elapsed() < play.span {
        let (sent, no) = round(&mut callers).await?;
        renewals += sent;
        refused += no;
        next += timing::RENEWAL_INTERVAL;
        tokio::time::sleep_until(next).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let used = processor_time(play.pid)?.saturating_sub(used).as_secs_f64();
    let sent = renewals as f64;
    Ok(Point {
        hosts,
        refused,
        renewals_a_second: sent / seconds,
        core_percent: used / seconds * 100.0,
        renewal_microseconds: used / sent * 1e6,
        renewal_bytes: (meter.bytes() - bytes) as f64 / sent,
        resident_bytes: resident(play.pid)?,
    })
}

/// One connection and the renewals that go over it in one call.
struct Caller {
    client: remote::Client,
    renewals: Vec<Renewal>,
}

fn callers(play: &Play, address: SocketAddr, hosts: usize) -> Result<Vec<Caller>, Error> {
    let each: Vec<Vec<Renewal>> = (0..hosts).map(|host| renewals(play, host, hosts)).collect();
    let callers = each.chunks(play.bundle).map(|bundle| {
        let client = remote::client(&address.to_string(), &play.token, CALL)?;
        Ok(Caller {
            client,
            renewals: bundle.concat(),
        })
    });
    callers.collect()
}

/// The renewals of one of `hosts` hosts, which is well, for every shard that has services.
fn renewals(play: &Play, host: usize, hosts: usize) -> Vec<Renewal> {
    let mut renewals = BTreeMap::new();
    for (place, service) in play.fleet.services.values().enumerate() {
        let shard = service.shard;
        let renewal = renewals
            .entry(shard)
            .or_insert_with(|| renewal(host, shard));
        let first = place * play.homes % hosts;
        let is_home = (host + hosts - first) % hosts < play.homes;
        if is_home {
            let names = service.servers.iter();
            let names = names.filter_map(|key| play.directory.servers.name(*key));
            renewal
                .demand
                .extend(names.map(|name| (name.to_owned(), CONNECTIONS)));
            // A primary that answers is reported, with nothing more to say.
            let primary = play.directory.servers.name(service.first_primary);
            let report = primary.map(|name| (name.to_owned(), Report::default()));
            renewal.reports.extend(report);
        }
    }
    renewals.into_values().collect()
}

fn renewal(host: usize, shard: u16) -> Renewal {
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

/// Every caller renews once; returns how many renewals were sent, and how many refused.
async fn round(callers: &mut [Caller]) -> Result<(u64, u64), Error> {
    let calls = callers.iter_mut().map(Caller::renew);
    let (mut sent, mut refused) = (0, 0);
    for outcome in join_all(calls).await {
        let (all, no) = outcome?;
        sent += all;
        refused += no;
    }
    Ok((sent, refused))
}

impl Caller {
    /// Returns how many renewals were sent, and how many of them brought no lease.
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
