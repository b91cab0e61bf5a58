//! Detection of replicas that are slow compared with their peers.

use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::health::{HealthState, ReplicaHealth};
use flamingopost_core::key::ServerKey;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn servers<const N: usize>() -> [ServerKey; N] {
    let mut names = Directory::default();
    std::array::from_fn(|index| names.servers.intern(&format!("server-{index}")))
}

fn answer(replicas: &mut ReplicaHealth, server: ServerKey, took: Duration) {
    (0..40).for_each(|_| replicas.record(server, took));
}

/// Lot views are slow now and then: one of two replicas has a bad disk and takes twenty times as
/// long.
#[test]
fn a_slow_replica_is_set_aside_and_returns_after_a_trial() {
    let [slow, fast] = servers();
    let mut replicas = ReplicaHealth::default();
    answer(&mut replicas, slow, ms(80));
    answer(&mut replicas, fast, ms(4));
    assert_eq!(replicas.evaluate(0.3, ms(0)), [(slow, HealthState::Aside)]);
    assert_eq!(replicas.evaluate(0.3, ms(900)), []);
    assert_eq!(
        replicas.evaluate(0.3, ms(1000)),
        [(slow, HealthState::Trial)]
    );
    answer(&mut replicas, slow, ms(4));
    assert_eq!(
        replicas.evaluate(0.3, ms(1100)),
        [(slow, HealthState::Full)]
    );
}

#[test]
fn each_relapse_doubles_the_time_aside() {
    let [slow, fast] = servers();
    let mut replicas = ReplicaHealth::default();
    let mut now = ms(0);
    let mut trials = Vec::new();
    while trials.len() < 4 {
        answer(&mut replicas, fast, ms(4));
        if replicas.state(slow) != HealthState::Aside {
            answer(&mut replicas, slow, ms(80));
        }
        for (_, state) in replicas.evaluate(0.3, now) {
            if state == HealthState::Trial {
                trials.push(now);
            }
        }
        now += ms(100);
    }
    let gaps: Vec<Duration> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.is_sorted_by(|a, b| *b >= *a + ms(900)), "{gaps:?}");
}

/// The load doubles and all replicas become slow together. None of them is the cause, and setting
/// one aside would make it worse.
#[test]
fn no_replica_is_set_aside_when_all_are_slow() {
    let [one, two, three] = servers();
    let mut replicas = ReplicaHealth::default();
    for server in [one, two, three] {
        answer(&mut replicas, server, ms(300));
    }
    assert_eq!(replicas.evaluate(0.5, ms(0)), []);
}

/// One replica is slow, but its peers are already busy. With its work added they would become slow
/// and be set aside in turn, until none is left.
#[test]
fn no_replica_is_set_aside_when_the_others_lack_capacity() {
    let [slow, fast] = servers();
    let mut replicas = ReplicaHealth::default();
    answer(&mut replicas, slow, ms(80));
    answer(&mut replicas, fast, ms(4));
    assert_eq!(
        replicas.evaluate(0.5, ms(0)),
        [],
        "one replica would have to do the work of two"
    );
}

#[test]
fn at_most_half_are_set_aside() {
    let all: [ServerKey; 5] = servers();
    let mut replicas = ReplicaHealth::default();
    for round in 0..10 {
        for (index, server) in all.iter().enumerate() {
            let took = if index < 2 { ms(4) } else { ms(100) };
            answer(&mut replicas, *server, took);
        }
        replicas.evaluate(0.1, ms(round));
    }
    let aside = all.map(|server| replicas.state(server));
    let count = aside.iter().filter(|s| **s == HealthState::Aside).count();
    assert!(count <= 2, "{aside:?}");
}

#[test]
fn a_few_slow_answers_do_not_make_a_slow_replica() {
    let [one, two] = servers();
    let mut replicas = ReplicaHealth::default();
    for _ in 0..10 {
        answer(&mut replicas, one, ms(4));
        answer(&mut replicas, two, ms(4));
        replicas.record(one, ms(2000));
        answer(&mut replicas, one, ms(4));
        assert_eq!(replicas.evaluate(0.3, ms(0)), []);
    }
}
