//! Measures a small fleet in one process: the time until a version is in force everywhere, the time
//! during which writes cannot be acknowledged while a primary or a controller is replaced, and the
//! number of requests to the platform.
//!
//! `cargo run -p flamingopost-control --example measure [ROUNDS]`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::holder::Host;
use common::{Fleet, server_name, wait_for_new_primary, wait_for_primary};
use flamingopost_daemon::log::{Format, Level};
use flamingopost_standin::backend::fault::Faults;

const ROUNDS: u32 = 10;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time for which leases are observed after a controller stops. It exceeds any takeover.
const WATCH: Duration = Duration::from_secs(8);

fn main() {
    let rounds = std::env::args().nth(1);
    let rounds = rounds.and_then(|text| text.parse().ok()).unwrap_or(ROUNDS);
    flamingopost_daemon::metrics::start();
    // The log is reduced to keep the output readable. It does not affect the figures.
    let _ = flamingopost_daemon::log::start(Level::Critical, Format::Text);
    actix_rt::System::new().block_on(async {
        spread(rounds).await;
        promotions(rounds).await;
        takeovers(rounds, End::HandedOver).await;
        takeovers(rounds, End::Died).await;
    });
}

/// Measures the time from the submission's answer until every control process has the version in
/// force and every host has seen it.
async fn spread(rounds: u32) {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let hosts = fleet.hosts(&server_name(0)).await;
    let (mut controls, mut everywhere) = (Vec::new(), Vec::new());
    let begin = Instant::now();
    for base in 1..=u64::from(rounds) {
        let via = usize::try_from(base).unwrap_or(0) % fleet.controls.len();
        let id = format!("from-{base}");
        let (code, answer) = fleet.submit(via, base, &id, &fleet.config("")).await;
        assert_eq!(code, 200, "{answer}");
        let since = Instant::now();
        fleet.in_force(base + 1).await;
        controls.push(since.elapsed());
        while !hosts.iter().all(|host| host.config() > base) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        everywhere.push(since.elapsed());
        // Random pauses spread submissions over all phases of the processes' polls.
        tokio::time::sleep(Duration::from_millis(rand::random_range(0..1_000))).await;
    }
    print("in force in every control process", &mut controls);
    print("heard of by every entry host", &mut everywhere);
    requests(fleet.controls.len(), begin.elapsed());
}

/// Measures the time from the primary's failure, which hosts report immediately, until every host
/// may acknowledge writes again.
async fn promotions(rounds: u32) {
    let mut gaps = Vec::new();
    for _ in 0..rounds {
        let fleet = Fleet::start().await;
        fleet.open().await;
        let hosts = fleet.hosts(&server_name(0)).await;
        fleet.server(&server_name(0)).set_faults(Faults {
            dead: true,
            ..Faults::default()
        });
        let since = Instant::now();
        for host in &hosts {
            host.set_unreachable(&[&server_name(0)]);
        }
        let successor = wait_for_new_primary(&hosts[0], &server_name(0)).await;
        wait_for_primary(&hosts, &successor).await;
        gaps.push(since.elapsed());
        fleet.stop();
    }
    print("promotion, from reports to all hosts", &mut gaps);
}

#[derive(Clone, Copy)]
enum End {
    HandedOver,
    Died,
}

/// Measures the longest time during which any host cannot acknowledge writes while the controller
/// is replaced.
async fn takeovers(rounds: u32, end: End) {
    let mut gaps = Vec::new();
    for _ in 0..rounds {
        let mut fleet = Fleet::start().await;
        fleet.open().await;
        let hosts = fleet.hosts(&server_name(0)).await;
        let old = fleet.leader(0).await;
        fleet.named_standbys(old).await;
        match end {
            End::HandedOver => fleet.controls[old].stop.drain(),
            End::Died => fleet.stop_control(old),
        }
        gaps.push(longest_gap(&hosts).await);
        fleet.stop();
    }
    let what = match end {
        End::HandedOver => "no lease while a controller hands over",
        End::Died => "no lease after a controller's death",
    };
    print(what, &mut gaps);
}

async fn longest_gap(hosts: &[Host]) -> Duration {
    let start = Instant::now();
    let (mut since, mut longest) = (None, Duration::ZERO);
    while start.elapsed() < WATCH {
        let idle = hosts.iter().any(|host| host.primary().is_none());
        match (idle, since) {
            (true, None) => since = Some(Instant::now()),
            (false, Some(_)) => since = None,
            _ => {}
        }
        let gap = since.map_or(Duration::ZERO, |begin| begin.elapsed());
        longest = longest.max(gap);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    longest
}

fn requests(processes: usize, span: Duration) {
    println!("platform requests of {processes} control processes in {span:?}:");
    let metrics = flamingopost_daemon::metrics::render();
    let lines = metrics.lines();
    for line in lines.filter(|line| line.starts_with("flamingopost_platform_requests_total")) {
        println!("  {line}");
    }
}

fn print(what: &str, spans: &mut [Duration]) {
    spans.sort();
    let median = spans[spans.len() / 2];
    let (least, greatest) = (spans[0], spans[spans.len() - 1]);
    println!(
        "{what}: least {} ms, median {} ms, greatest {} ms ({} rounds)",
        least.as_millis(),
        median.as_millis(),
        greatest.as_millis(),
        spans.len()
    );
}
