//! Measures what a host spends on decisions that depend on the list of hosts, for several sizes of
//! the fleet: `cargo run --release -p flamingopost-proxy --example fleet_cost`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;
use std::time::{Duration, Instant};

use common::{NoProtocol, fleet_of, host_list, peer, service};
use flamingopost_proxy::fleet::Fleet;
use flamingopost_proxy::platform::Change;

/// Duration of one measurement.
const RUN: Duration = Duration::from_millis(200);
/// Numbers of hosts and of services.
const SIZES: [(usize, usize); 7] = [
    (30, 8),
    (300, 8),
    (300, 100),
    (300, 1_000),
    (1_000, 100),
    (1_000, 1_000),
    (2_000, 1_000),
];

fn main() {
    common::without_tasks(measure);
}

fn measure() {
    println!("microseconds of one host");
    println!("hosts, services, followed, whole list, one change, session start, step, heartbeats");
    for (hosts, services) in SIZES {
        let fleet = fleet_of(hosts, services, 0);
        let followed: Vec<String> = (0..services)
            .map(service)
            .filter(|it| fleet.follows(it))
            .collect();
        let list = host_list(hosts);
        let whole = microseconds(|| fleet.apply_host_list(list.clone()));
        let gone = || fleet.apply_host_changes(vec![Change::Removed(peer(1).host)]);
        let back = || fleet.apply_host_changes(vec![Change::Put(peer(1))]);
        let one = microseconds(|| (gone(), back())) / 2.0;
        let session = microseconds(|| black_box(fleet.serving_hosts(&service(1))).is_some());
        let step = microseconds(|| election_step(&fleet, &followed));
        let heartbeats = microseconds(|| black_box(fleet.electors()).len());
        let count = followed.len();
        println!(
            "{hosts}, {services}, {count}, {whole:.1}, {one:.1}, {session:.2}, {step:.2}, {heartbeats:.2}"
        );
    }
}

/// Asks what one step of the election task of each of `services` asks.
fn election_step(fleet: &Fleet<NoProtocol>, services: &[String]) {
    for service in services {
        black_box(fleet.serves(service));
        black_box(fleet.electors().len());
        black_box(fleet.rank(service));
    }
}

/// Returns the average duration of `work`.
fn microseconds<T>(work: impl Fn() -> T) -> f64 {
    black_box(work());
    let started = Instant::now();
    let mut rounds = 0_u32;
    while started.elapsed() < RUN {
        black_box(work());
        rounds += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}
