//! Random fault schedules over the leadership state machines, with invariants checked at every
//! step.
//!
//! `FLAMINGOPOST_SCHEDULES` sets how many schedules run and `FLAMINGOPOST_SEED` the first seed.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use crate::world::{Fault, SERVICES, World};
use flamingopost_core::history::Survival;
use flamingopost_core::row::Service;
use flamingopost_core::view::State;
use rand::RngExt;

const SCHEDULES: u64 = 24;
/// Time for recovery after the end of all faults.
const SETTLE: Duration = Duration::from_secs(20);

/// Guards against acknowledged writes that are neither kept nor reported as lost, and against two
/// primaries or two controllers that act at once. Each seed is one random order of partitions,
/// outages, pauses, restarts, and lost and late messages.
#[test]
fn random_schedules_uphold_the_invariants() {
    let first = env_number("FLAMINGOPOST_SEED").unwrap_or(1);
    let count = env_number("FLAMINGOPOST_SCHEDULES").unwrap_or(SCHEDULES);
    let mut acknowledged = 0;
    let mut failed = Vec::new();
    for seed in first..first + count {
        let mut world = World::new(seed);
        match catch_unwind(AssertUnwindSafe(|| run_schedule(&mut world))) {
            Ok(()) => acknowledged += world.acknowledged.len(),
            Err(_) => {
                eprintln!("seed {seed}:");
                world
                    .trace_lines
                    .iter()
                    .for_each(|line| eprintln!("{line}"));
                failed.push(seed);
                if failed.len() >= env_number("FLAMINGOPOST_STOP").unwrap_or(5) as usize {
                    break;
                }
            }
        }
    }
    println!("{count} schedules from seed {first}: {acknowledged} writes acknowledged");
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn run_schedule(world: &mut World) {
    world.run(Duration::from_secs(8));
    let end = world.now + Duration::from_millis(world.rng.random_range(8_000..30_000));
    while world.now < end {
        let fault = Fault::random(world);
        let span = Duration::from_millis(match world.rng.random_range(0..3) {
            0 => world.rng.random_range(10..700),
            1 => world.rng.random_range(700..4_000),
            _ => world.rng.random_range(4_000..14_000),
        });
        world.inject(fault, span);
        let pause = Duration::from_millis(world.rng.random_range(5..2_500));
        world.run(world.now + pause);
    }
    // Faults that are still active end within their spans.
    world.run(world.now + Duration::from_secs(14));
    world.heal();
    world.run(world.now + SETTLE);
    check_recovery(world);
}

/// Checks that after all faults every service takes writes, and that each acknowledged write is
/// kept or reported as lost.
fn check_recovery(world: &mut World) {
    let host = world.controller_host().expect("no host controls the shard");
    let row = world.controls[host]
        .1
        .row()
        .expect("a controller has a row")
        .clone();
    for service in 0..SERVICES {
        let state = &row.services[&world.services[service]];
        assert!(
            matches!(state.state, State::Open { .. }),
            "s{service} is {:?}",
            state.state
        );
        let since = world.now - Duration::from_secs(2);
        let lately = |ack: &&(usize, u64, _, Duration)| ack.0 == service && ack.3 >= since;
        let lately = world.acknowledged.iter().filter(lately).count();
        assert!(
            lately > 0,
            "s{service} acknowledges nothing after all faults"
        );
        check_writes(world, service, state);
    }
}

fn check_writes(world: &World, service: usize, state: &Service) {
    let primary = world.primary(service).expect("no primary of the open term");
    let log = &world.servers[primary].log;
    for (_, id, position, _) in world.acknowledged.iter().filter(|ack| ack.0 == service) {
        let kept = log.get(position.log as usize - 1) == Some(&(position.term, *id));
        let verdict = state.history.survival(*position);
        match verdict {
            Survival::Kept => assert!(kept, "write {id} at {position} is lost without a record"),
            Survival::Unknown => panic!("{position} is of a term that the row does not know"),
            Survival::Lost { ended_by, .. } if !kept => {
                let known = state.losses.iter().any(|loss| {
                    let covered = loss.acknowledged.is_some_and(|known| known >= *position);
                    loss.opened >= ended_by && (covered || !loss.complete)
                });
                assert!(known, "the loss of {position} is not recorded");
            }
            Survival::Lost { .. } => {}
        }
    }
}
