//! Reads after writes, in the model.

use std::time::Duration;

use flamingopost_load::reads::{Run, Tally};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn play(near_lag: u64, far_lag: u64, think: u64) -> Tally {
    let run = Run {
        near_lag: ms(near_lag),
        far_lag: ms(far_lag),
        think: ms(think),
        probe: ms(100),
        patience: ms(50),
        locality: ms(0),
        writes: 200.0,
        reads: 5,
        length: ms(8_000),
        seed: 3,
    };
    run.play()
}

#[test]
fn replicas_serve_almost_all_reads_at_ordinary_lag() {
    for think in [20, 500] {
        let tally = play(5, 5, think);
        assert!(tally.replica_share() > 0.95, "{:?}", tally.served);
        assert_eq!(tally.stale, 0);
    }
}

/// One replica falls far behind; the other one goes on, and when both do, the reads of sessions
/// whose writes are old enough stay on replicas. Nobody reads without its write.
#[test]
fn a_replica_far_behind_costs_its_part_and_no_more() {
    let tally = play(5, 2_000, 20);
    assert!(tally.replica_share() > 0.95, "{:?}", tally.served);
    let both = play(2_000, 2_000, 2_000);
    assert!(both.replica_share() > 0.3, "{:?}", both.served);
    assert_eq!((tally.stale, both.stale), (0, 0));
}
