//! Replicas set aside by their own latency against their peers.

use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::health::{Panel, Standing};
use flamingopost_core::key::ServerKey;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn servers<const N: usize>() -> [ServerKey; N] {
    let mut names = Directory::default();
    std::array::from_fn(|index| names.servers.intern(&format!("server-{index}")))
}

fn answer(panel: &mut Panel, server: ServerKey, took: Duration) {
    (0..40).for_each(|_| panel.answered(server, took));
}

/// Lot views hang now and then: one of two replicas has a bad disk and takes twenty times as long.
#[test]
fn a_slow_replica_is_set_aside_and_comes_back_by_trial() {
    let [slow, fast] = servers();
    let mut panel = Panel::default();
    answer(&mut panel, slow, ms(80));
    answer(&mut panel, fast, ms(4));
    assert_eq!(panel.judge(0.3, ms(0)), [(slow, Standing::Aside)]);
    assert_eq!(panel.judge(0.3, ms(900)), []);
    assert_eq!(panel.judge(0.3, ms(1000)), [(slow, Standing::Trial)]);
    answer(&mut panel, slow, ms(4));
    assert_eq!(panel.judge(0.3, ms(1100)), [(slow, Standing::Full)]);
}

#[test]
fn a_relapse_takes_longer_each_time() {
    let [slow, fast] = servers();
    let mut panel = Panel::default();
    let mut now = ms(0);
    let mut outs = Vec::new();
    while outs.len() < 4 {
        answer(&mut panel, fast, ms(4));
        if panel.standing(slow) != Standing::Aside {
            answer(&mut panel, slow, ms(80));
        }
        for (_, standing) in panel.judge(0.3, now) {
            if standing == Standing::Trial {
                outs.push(now);
            }
        }
        now += ms(100);
    }
    let gaps: Vec<Duration> = outs.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.is_sorted_by(|a, b| *b >= *a + ms(900)), "{gaps:?}");
}

/// The load doubles and all replicas become slow together. None of them is the cause, and one
/// less would make it worse.
#[test]
fn nobody_is_set_aside_when_all_are_slow() {
    let [one, two, three] = servers();
    let mut panel = Panel::default();
    for server in [one, two, three] {
        answer(&mut panel, server, ms(300));
    }
    assert_eq!(panel.judge(0.5, ms(0)), []);
}

/// One replica is slow, but its peers are already busy: with its work added they would be the
/// next slow ones, and the next to be set aside, until none is left.
#[test]
fn nobody_is_set_aside_when_the_rest_would_drown() {
    let [slow, fast] = servers();
    let mut panel = Panel::default();
    answer(&mut panel, slow, ms(80));
    answer(&mut panel, fast, ms(4));
    assert_eq!(
        panel.judge(0.5, ms(0)),
        [],
        "one would have to do the work of two"
    );
}

#[test]
fn at_most_half_are_set_aside() {
    let all: [ServerKey; 5] = servers();
    let mut panel = Panel::default();
    for round in 0..10 {
        for (index, server) in all.iter().enumerate() {
            let took = if index < 2 { ms(4) } else { ms(100) };
            answer(&mut panel, *server, took);
        }
        panel.judge(0.1, ms(round));
    }
    let aside = all.map(|server| panel.standing(server));
    let count = aside.iter().filter(|s| **s == Standing::Aside).count();
    assert!(count <= 2, "{aside:?}");
}

#[test]
fn a_few_slow_answers_do_not_make_a_slow_replica() {
    let [one, two] = servers();
    let mut panel = Panel::default();
    for _ in 0..10 {
        answer(&mut panel, one, ms(4));
        answer(&mut panel, two, ms(4));
        panel.answered(one, ms(2000));
        answer(&mut panel, one, ms(4));
        assert_eq!(panel.judge(0.3, ms(0)), []);
    }
}
